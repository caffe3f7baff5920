"""Processor time of a whole look-up at three sizes of the fleet.

Run: python -m benchmarks.lookup_answers

Clients are of random blocks; the tables are made anew once at each size, as they are
when a VM's status changes.
"""

from __future__ import annotations

import random
import socket
import time
from dataclasses import dataclass

from lagoonlatch.config.model import (
    ClientBlock,
    Configuration,
    DataCentre,
    Link,
    Service,
    Upstream,
)
from lagoonlatch.membership import VmRecord, VmStatus
from lagoonlatch.routing.lookup import Lookups

# VMs, regions, data centres and client blocks of each size.
SIZES = (
    (10, 3, 6, 48_000),
    (170, 8, 20, 48_000),
    (1_700, 17, 46, 48_000),
)
LOOKUPS = 5_000


@dataclass
class _Membership:
    listed: tuple[VmRecord, ...]
    generation: int = 1

    @property
    def me(self):
        """The first VM."""
        return self.listed[0]

    def records(self):
        """Return all VMs."""
        return self.listed


def fleet(vms, regions, data_centres):
    region_by_data_centre = {
        f"dc-{n:02d}": f"region-{n % regions:02d}" for n in range(data_centres)
    }
    centres = tuple(region_by_data_centre)
    records = tuple(
        VmRecord(
            id=f"vm-{n:04d}",
            incarnation=1,
            address=f"10.0.{n // 250}.{n % 250}",
            data_centre=centres[n % data_centres],
            region=region_by_data_centre[centres[n % data_centres]],
            leaving=False,
            status=VmStatus.ALIVE,
            last_heard=None,
        )
        for n in range(vms)
    )
    return region_by_data_centre, _Membership(records)


def configuration(region_by_data_centre, blocks, rng):
    centres = tuple(region_by_data_centre)
    regions = sorted(set(region_by_data_centre.values()))
    numbers = rng.sample(range(1 << 16, 223 << 16), blocks)
    return Configuration(
        version=1,
        data_centres_by_id={
            centre: DataCentre(region=region)
            for centre, region in region_by_data_centre.items()
        },
        links=tuple(
            Link(regions=(a, b), capacity_mbit=4000.0, delay=rng.uniform(5, 100))
            for a in regions
            for b in regions
            if a < b
        ),
        services_by_id={
            "ledger": Service(
                routes=(),
                upstreams_by_id={
                    f"u{n}": Upstream(
                        data_centre=centres[n % len(centres)],
                        address=f"10.9.0.{n}:80",
                        slots=9,
                        connections=300,
                    )
                    for n in range(24)
                },
            )
        },
        client_blocks=tuple(
            ClientBlock(
                cidr=f"{socket.inet_ntoa((number << 8).to_bytes(4, 'big'))}/24",
                data_centre=rng.choice(centres),
            )
            for number in numbers
        ),
    )


def main():
    for vms, regions, data_centres, blocks in SIZES:
        rng = random.Random(vms)
        region_by_data_centre, membership = fleet(vms, regions, data_centres)
        current = configuration(region_by_data_centre, blocks, rng)
        lookups = Lookups(membership)
        began = time.process_time()
        lookups.answer(current, "192.0.2.1", "ledger", "")
        first = time.process_time() - began
        clients = [socket.inet_ntoa(rng.randbytes(4)) for _ in range(LOOKUPS)]
        for client in clients[:500]:
            lookups.answer(current, client, "ledger", "")
        began = time.process_time()
        for client in clients:
            assert lookups.answer(current, client, "ledger", "").vms
        each = (time.process_time() - began) / LOOKUPS
        print(
            f"{vms:5} VMs, {data_centres:3} data centres: {each * 1e6:6.1f} us a "
            f"look-up, tables anew in {first * 1e3:6.2f} ms"
        )


if __name__ == "__main__":
    main()
