"""Faixa Registo: a belt ledger and its certificates in three regions.

Keys are derived from the organisations' names, so that the example can be tried;
in earnest, only digests of random keys stand in such a program.
"""

from lagoonlatch.operators import Fleet, FleetService, digest_key

REGIONS = ("norte", "centro", "sul")
DATA_CENTRES_PER_REGION = 2
LINK_MBIT = 4_000
LINK_DELAY_MS = 20

LEDGER_INSTANCES = 24
LEDGER_SLOTS = 9
DOCS_INSTANCES = 12
DOCS_SLOTS = 3
CONNECTIONS = 360

# Name, requests a second, burst, share in the queues.
ORGANISATIONS = (
    ("federation-norte", 400, 400, 4),
    ("federation-sul", 300, 300, 4),
    ("league-centro", 200, 200, 2),
    ("dojo-aurora", 20, 10, 1),
    ("dojo-bambu", 20, 10, 1),
    ("dojo-cedro", 15, 10, 1),
    ("dojo-duna", 10, 5, 1),
    ("dojo-estrela", 10, 5, 1),
)

CLIENTS = {
    "norte-1": ["10.10.0.0/16"],
    "norte-2": ["10.11.0.0/16"],
    "centro-1": ["10.20.0.0/16"],
    "centro-2": ["10.21.0.0/16"],
    "sul-1": ["10.30.0.0/16"],
    "sul-2": ["10.31.0.0/16"],
}


def example_key(organisation: str) -> str:
    """Return the key with which the example's callers show who they are."""
    return f"{organisation}-example-key"


def data_centres(region: str) -> list[str]:
    """Return the ids of a region's data centres."""
    return [f"{region}-{number + 1}" for number in range(DATA_CENTRES_PER_REGION)]


def build() -> Fleet:
    """Return the fleet."""
    fleet = Fleet()
    for region in REGIONS:
        fleet.region(region, data_centres(region))
    for region, other in (("norte", "centro"), ("norte", "sul"), ("centro", "sul")):
        fleet.link(region, other, capacity_mbit=LINK_MBIT, delay=LINK_DELAY_MS)
    for name, rate, burst, weight in ORGANISATIONS:
        fleet.organisation(
            name,
            rate=rate,
            burst=burst,
            weight=weight,
            key_digests=[digest_key(example_key(name))],
        )
    _define_ledger(fleet)
    _define_docs(fleet)
    for data_centre, cidrs in CLIENTS.items():
        fleet.client_blocks(data_centre, cidrs)
    return fleet


def _define_ledger(fleet: Fleet) -> None:
    ledger = fleet.service("ledger", deadline=5_000)
    ledger.read("/public", open=True)
    ledger.read("/ranks")
    # Twice on the record would be a false belt: at most once.
    ledger.write("/promotions")
    _add_instances(ledger, LEDGER_INSTANCES, LEDGER_SLOTS, network=1)


def _define_docs(fleet: Fleet) -> None:
    docs = fleet.service("docs", deadline=10_000)
    docs.read("/certificates")
    _add_instances(docs, DOCS_INSTANCES, DOCS_SLOTS, network=2)


def _add_instances(
    service: FleetService, instances: int, slots: int, network: int
) -> None:
    centres = [centre for region in REGIONS for centre in data_centres(region)]
    for number in range(instances):
        centre = centres[number % len(centres)]
        service.upstream(
            f"{service.id}-{number + 1:02}",
            centre,
            f"10.100.{network}.{number + 1}:9000",
            slots=slots,
            connections=CONNECTIONS,
        )


if __name__ == "__main__":
    build().print_json()
