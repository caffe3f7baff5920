import math

import pytest

from lagoonlatch.steering.watchers import Standing, should_watch, watch_timeout

SETTLE_TIME_MS = 2_500.0


def watchers_of(vms, standings=None):
    """Return the VMs that watch after they have exchanged their standings."""
    standings = dict(standings or {})
    for vm in vms:
        standings.setdefault(vm, Standing.LISTENS)
    for _ in range(3):
        for vm in vms:
            if standings[vm] is not Standing.REFUSED:
                near = {other: standings[other] for other in vms if other != vm}
                watches = should_watch(vm, near)
                standings[vm] = Standing.WATCHES if watches else Standing.LISTENS
    return {vm for vm, standing in standings.items() if standing is Standing.WATCHES}


@pytest.mark.parametrize("count", [1, 2, 3, 26, 100])
def test_two_vms_watch_in_a_region_of_any_size(count):
    vms = [f"vm-{number}" for number in range(count)]
    assert len(watchers_of(vms)) == min(count, 2)


def test_vms_refused_by_the_store_are_replaced():
    vms = [f"vm-{number}" for number in range(9)]
    first = sorted(watchers_of(vms))
    refused = dict.fromkeys(first, Standing.REFUSED)
    second = watchers_of(vms, refused)
    assert len(second) == 2
    assert not second & set(first)


def test_vm_without_a_known_watcher_watches():
    assert should_watch("vm-1", {})
    assert should_watch("vm-1", {"vm-2": Standing.REFUSED, "vm-3": Standing.LISTENS})


def longest_time_between_renewals(watcher_ids, until=60_000.0):
    """Return the longest time in which no watch was renewed."""
    renewals = sorted(
        instant
        for vm in watcher_ids
        for instant in renewal_times(
            vm, [peer for peer in watcher_ids if peer != vm], until
        )
    )
    return max(b - a for a, b in zip(renewals, renewals[1:], strict=False))


def renewal_times(vm, others, until):
    # The start times are spread over about 1 s.
    now = 1_700_000_000_000.0 + float(int(vm.removeprefix("vm-")) * 131 % 997)
    start = now
    while now - start < until:
        now += watch_timeout(vm, others, SETTLE_TIME_MS, now)
        yield now


def test_some_watch_is_renewed_within_the_settling_time():
    assert watch_timeout("vm-1", [], SETTLE_TIME_MS, 12_345.0) == SETTLE_TIME_MS
    for count in (2, 3, 6, 10):
        vms = dict.fromkeys(f"vm-{number}" for number in range(count))
        assert longest_time_between_renewals(vms) <= SETTLE_TIME_MS + 1.0


def test_wait_stays_within_bounds():
    for now in range(0, 10_000, 37):
        wait = watch_timeout("vm-1", ["vm-2", "vm-3"], SETTLE_TIME_MS, float(now))
        assert 1_000.0 < wait <= 3.0 * SETTLE_TIME_MS
        assert not math.isnan(wait)
