"""A first configuration: one region, one service, one organisation.

Run ``python -m examples.first_hour | lagoonlatch check -``.
"""

from lagoonlatch.operators import Fleet


def build() -> Fleet:
    """Return the fleet."""
    fleet = Fleet()
    fleet.region("norte", data_centres=["norte-1"])

    # In earnest, give key_digests=[...], so that no key stands in a file.
    fleet.organisation("dojo-aurora", rate=20, burst=10, keys=["aurora-first-key"])

    ledger = fleet.service("ledger", deadline=5_000)
    ledger.read("/public", open=True)
    ledger.read("/ranks")
    ledger.write("/promotions")
    ledger.upstream("ledger-1", "norte-1", "127.0.0.1:9101", slots=9, connections=360)
    return fleet


if __name__ == "__main__":
    build().print_json()
