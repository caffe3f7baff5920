"""Habihan Warp Labs: loom bookings and thread charts on three island regions.

Keys are derived from the organisations' names, so that the example can be tried;
in earnest, only digests of random keys stand in such a program.
"""

from lagoonlatch.operators import Fleet, FleetService, digest_key

REGIONS = ("luzon", "visayas", "mindanao")
DATA_CENTRES_PER_REGION = 2
LINK_MBIT = 4_000
LINK_DELAY_MS = 35

DESK_INSTANCES = 28
CHART_INSTANCES = 12
SLOTS = 3
CONNECTIONS = 390

# Name, requests a second, burst, share in the queues.
ORGANISATIONS = (
    ("weavers-union", 120, 120, 4),
    ("mill-panay", 80, 80, 3),
    ("mill-davao", 60, 60, 2),
    ("shop-abel", 10, 10, 1),
    ("shop-binakol", 10, 10, 1),
    ("shop-hablon", 8, 8, 1),
    ("shop-inabel", 8, 5, 1),
    ("shop-tnalak", 5, 5, 1),
)

CLIENTS = {
    "luzon-1": ["10.40.0.0/16"],
    "luzon-2": ["10.41.0.0/16"],
    "visayas-1": ["10.50.0.0/16"],
    "visayas-2": ["10.51.0.0/16"],
    "mindanao-1": ["10.60.0.0/16"],
    "mindanao-2": ["10.61.0.0/16"],
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
    for region, other in (
        ("luzon", "visayas"),
        ("luzon", "mindanao"),
        ("visayas", "mindanao"),
    ):
        fleet.link(region, other, capacity_mbit=LINK_MBIT, delay=LINK_DELAY_MS)
    for name, rate, burst, weight in ORGANISATIONS:
        fleet.organisation(
            name,
            rate=rate,
            burst=burst,
            weight=weight,
            key_digests=[digest_key(example_key(name))],
        )
    _define_desk(fleet)
    _define_charts(fleet)
    for data_centre, cidrs in CLIENTS.items():
        fleet.client_blocks(data_centre, cidrs)
    return fleet


def _define_desk(fleet: Fleet) -> None:
    desk = fleet.service("desk", deadline=8_000)
    desk.read("/slots")
    # A doubled booking sets two shops against each other: at most once.
    desk.write("/bookings")
    desk.write("/drafts")
    _add_instances(desk, DESK_INSTANCES, network=1)


def _define_charts(fleet: Fleet) -> None:
    # Managers on bad signal give up quickly: better a refusal than a late chart.
    charts = fleet.service("charts", deadline=4_000)
    charts.read("/charts")
    _add_instances(charts, CHART_INSTANCES, network=2)


def _add_instances(service: FleetService, instances: int, network: int) -> None:
    centres = [centre for region in REGIONS for centre in data_centres(region)]
    for number in range(instances):
        service.upstream(
            f"{service.id}-{number + 1:02}",
            centres[number % len(centres)],
            f"10.200.{network}.{number + 1}:9000",
            slots=SLOTS,
            connections=CONNECTIONS,
        )


if __name__ == "__main__":
    build().print_json()
