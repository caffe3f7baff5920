"""The fleet that the benchmark runs, small enough for one machine."""

from __future__ import annotations

import itertools

from lagoonlatch.config.model import Configuration
from lagoonlatch.load.plan import Stream
from lagoonlatch.operators import Fleet

REGIONS = ("norte", "centro", "sul")
DATA_CENTRES_PER_REGION = 2
SERVICE = "ledger"
SLOTS = 3
CONNECTIONS = 360
WORK_MS = 50
VMS = 6
LINK_MBIT = 4_000
LINK_DELAY_MS = 20

LARGE = "federation-norte"
# Name, requests a second, burst, weight; the large ones call from every region.
ORGANISATIONS = (
    (LARGE, 100, 100, 4),
    ("federation-sul", 60, 60, 3),
    ("dojo-aurora", 5, 5, 1),
    ("dojo-bambu", 5, 5, 1),
    ("dojo-cedro", 5, 5, 1),
    ("dojo-duna", 5, 5, 1),
)
SMALLEST_LARGE_RATE = 50
HOME_SHARE = 0.6
WRITE_SHARE = 0.2

_SOURCE_NETWORK = 251


def key_of(organisation: str) -> str:
    """Return the key that an organisation's callers show."""
    return f"{organisation}-bench-key"


def source_of(region: str) -> str:
    """Return the address from which a region's callers send."""
    return f"127.{_SOURCE_NETWORK}.{REGIONS.index(region)}.1"


def bench_configuration() -> Configuration:
    """Return the configuration; upstream addresses are replaced by the fleet."""
    fleet = Fleet()
    for region in REGIONS:
        fleet.region(region, _data_centres(region))
        network = source_of(region).rpartition(".")[0]
        fleet.client_blocks(_data_centres(region)[0], [f"{network}.0/24"])
    for region, other in itertools.combinations(REGIONS, 2):
        fleet.link(region, other, capacity_mbit=LINK_MBIT, delay=LINK_DELAY_MS)
    for name, rate, burst, weight in ORGANISATIONS:
        keys = [key_of(name)]
        fleet.organisation(name, rate=rate, burst=burst, weight=weight, keys=keys)
    service = fleet.service(SERVICE, deadline=5_000)
    service.read("/ranks")
    service.write("/promotions")
    centres = itertools.chain.from_iterable(map(_data_centres, REGIONS))
    for number, centre in enumerate(centres, 1):
        service.upstream(
            f"{SERVICE}-{number}",
            centre,
            f"127.0.0.1:{number}",
            slots=SLOTS,
            connections=CONNECTIONS,
        )
    return fleet.build()


def streams(share: float, multiples: dict[str, float] | None = None) -> list[Stream]:
    """Return the streams of all organisations.

    Parameters
    ----------
    share : float
        Part of each organisation's rate that it sends.
    multiples : dict of str to float, optional
        Organisations that send so many times their rate instead.
    """
    found: list[Stream] = []
    for number, (name, rate, _, _) in enumerate(ORGANISATIONS):
        sent = rate * (multiples or {}).get(name, share)
        home = REGIONS[number % len(REGIONS)]
        for region, part in _parts(home, rate).items():
            found += _kinds(name, source_of(region), sent * part)
    return found


def _parts(home: str, rate: float) -> dict[str, float]:
    if rate < SMALLEST_LARGE_RATE:
        return {home: 1.0}
    elsewhere = (1.0 - HOME_SHARE) / (len(REGIONS) - 1)
    return {region: HOME_SHARE if region == home else elsewhere for region in REGIONS}


def _kinds(organisation: str, source: str, rate: float) -> list[Stream]:
    common = {
        "organisation": organisation,
        "key": key_of(organisation),
        "service": SERVICE,
        "source": source,
    }
    return [
        Stream(
            kind="read",
            method="GET",
            path="/ranks/{}",
            rate=rate * (1 - WRITE_SHARE),
            **common,
        ),
        Stream(
            kind="write",
            method="POST",
            path="/promotions/{}",
            rate=rate * WRITE_SHARE,
            **common,
        ),
    ]


def _data_centres(region: str) -> list[str]:
    return [f"{region}-{number + 1}" for number in range(DATA_CENTRES_PER_REGION)]
