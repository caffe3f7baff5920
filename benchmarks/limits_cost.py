"""Measure what limits and ownership cost: processor time, memory and messages.

Run from the root: ``python -m benchmarks.limits_cost``. Processor times are medians of
five loops in this process; messages are counted on virtual time.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc

from returns.result import Success

from lagoonlatch.clock import Clock
from lagoonlatch.limits import BucketSpec, FleetLimiter, GrantRequest, Settlement
from lagoonlatch.ownership import (
    Candidate,
    Owner,
    OwnershipKeeper,
    OwnershipTable,
    decode_table,
    encode_table,
)
from tests.limits.fleet import Fleet
from tests.ownership.fakes import FakeStore

CALLS = 5_000
LOOPS = 5
SECONDS = 10.0
START = 6_000.0


class OwnAll:
    """A region of which one VM owns every slot, since long ago."""

    def __init__(self, owner):
        self._owner = owner

    def slot_of(self, key):
        """Return the only slot."""
        return 0

    def owner_of(self, slot):
        """Return the owner."""
        return self._owner

    def owned_since(self, slot):
        """Return a time long past."""
        return -1e9


class Known:
    """Another VM's view of `OwnAll`."""

    def __init__(self, owner):
        self._owner = owner

    slot_of = OwnAll.slot_of
    owner_of = OwnAll.owner_of

    def owned_since(self, slot):
        """Return None: another VM owns it."""


class Direct:
    """A transport that calls the owner's limiter."""

    def __init__(self, limiter):
        self._limiter = limiter

    def grant(self, vm_id, request, deadline):
        """Return the owner's answer."""
        return Success(self._limiter.serve_grant(request))


def spec_of(bucket):
    """Return a bucket that never runs dry in a loop."""
    return BucketSpec(bucket, 1e6, 1e6, {"a": 1.0})


def microseconds(action):
    """Return the processor time of one call, the median of some loops."""
    times = []
    for _loop in range(LOOPS):
        start = time.process_time()
        for _call in range(CALLS):
            action()
        times.append((time.process_time() - start) / CALLS * 1e6)
    return statistics.median(times)


def owner_limiter(specs=spec_of):
    """Return a limiter that owns everything."""
    me = Owner("x", 1)
    return FleetLimiter(me, "a", {"a": OwnAll(me)}, None, specs, Clock())


def processor_time():
    """Print the processor time of each call."""
    spec = spec_of("tested")
    owner = owner_limiter(lambda _bucket: spec)
    print(f"admit at the owner: {microseconds(lambda: owner.admit('tested')):.1f} us")
    ids = iter(range(10**9))

    def grant():
        request_id = next(ids)
        news = (Settlement(request_id - 1, 1.0, closed=True),)
        owner.serve_grant(
            GrantRequest("tested", "a", 1.0, "y", 1, request_id, settlements=news)
        )

    print(f"grant with one settlement: {microseconds(grant):.1f} us")
    known = {"a": Known(Owner("x", 1))}
    holder = FleetLimiter(
        Owner("y", 1), "a", known, Direct(owner), lambda _bucket: spec, Clock()
    )
    cost = microseconds(lambda: holder.admit("tested"))
    print(f"admit elsewhere, grants ahead included, no network: {cost:.1f} us")


def memory():
    """Print the memory of a bucket in use, at three sizes."""
    for buckets in (100, 1_000, 10_000):
        spec_by_id = {f"organisation/{n}": None for n in range(buckets)}
        spec_by_id = {name: spec_of(name) for name in spec_by_id}
        gc.collect()
        tracemalloc.start()
        limiter = owner_limiter(spec_by_id.get)
        for name in spec_by_id:
            limiter.admit(name)
        gc.collect()
        used, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        start = time.process_time()
        limiter.tick()
        tick = (time.process_time() - start) * 1000.0
        print(
            f"{buckets} buckets in use: {used / buckets:.0f} bytes each, "
            f"a tick {tick:.2f} ms"
        )


def messages(regions, vms_per_region, rate):
    """Print calls of one bucket at 70% of its rate, spread over all VMs."""
    names = tuple(f"r{n:02}" for n in range(regions))
    spec = BucketSpec.spread("organisation/tested", rate, rate, names)
    fleet = Fleet(regions=names, vms_per_region=vms_per_region, specs=(spec,), slots=16)
    interval = 1_000.0 / (rate * 0.7)
    vms = sorted(fleet.vm_by_name)
    for index in range(int(SECONDS * 1_000.0 / interval)):
        name = vms[index * 7 % len(vms)]
        fleet.request_at(START + index * interval, name, spec.id)
    fleet.time.run_until(START)
    fleet.messages = 0
    fleet.time.run_until(START + SECONDS * 1_000.0)
    admitted = sum(item.admitted for item in fleet.arrivals)
    print(
        f"{regions} regions, {len(vms)} VMs, rate {rate:.0f}: "
        f"{fleet.messages / admitted:.2f} calls an admitted request, "
        f"{fleet.messages / SECONDS / len(vms):.1f} calls/s a VM, "
        f"{admitted} of {len(fleet.arrivals)} admitted"
    )


def ownership():
    """Print sizes and times of tables and rounds."""
    for slots in (64, 256, 1_024):
        owners = {slot: Owner(f"vm-{slot % 100:04}", 1) for slot in range(slots)}
        table = OwnershipTable(1, owners)
        document = encode_table(table)
        cost = microseconds(lambda d=document: decode_table(d))
        print(f"table of {slots} slots: {len(document)} bytes, decode {cost:.0f} us")
    for vms in (10, 100, 1_000):
        cost = round_cost(vms)
        print(f"a quiet round among {vms} VMs of a scope: {cost:.0f} us")


class AllAlive:
    """A view of many live VMs."""

    def __init__(self, vms):
        self._candidates = [Candidate(Owner(f"vm-{n}", 1)) for n in range(vms)]

    def candidates(self):
        """Return all VMs."""
        return tuple(self._candidates)

    def incarnation_of(self, vm):
        """Return the only incarnation."""
        return 1


def round_cost(vms):
    """Return the processor time of a keeper's round in which nothing changes."""
    keeper = OwnershipKeeper(FakeStore(), "a", Owner("vm-0", 1), AllAlive(vms), Clock())
    owners = {slot: Owner(f"vm-{slot % vms}", 1) for slot in range(64)}
    keeper.apply_table(1, encode_table(OwnershipTable(1, owners)))
    times = []
    for _round in range(200):
        start = time.process_time()
        keeper.step()
        times.append((time.process_time() - start) * 1e6)
    return statistics.median(times)


def main():
    """Print all figures."""
    processor_time()
    memory()
    for regions, vms_per_region, rate in (
        (3, 3, 20.0),
        (3, 3, 200.0),
        (3, 3, 2_000.0),
        (3, 10, 200.0),
        (3, 30, 200.0),
        (6, 3, 200.0),
        (17, 3, 200.0),
    ):
        messages(regions, vms_per_region, rate)
    ownership()


if __name__ == "__main__":
    main()
