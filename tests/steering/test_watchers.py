import math

import pytest

from lagoonlatch.steering.watchers import Standing, should_watch, watch_timeout

SETTLE = 2_500.0


def watchers_of(vms, standings=None):
    """Return who watches once all have told each other."""
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
def test_two_of_any_number_watch(count):
    vms = [f"vm-{number}" for number in range(count)]
    assert len(watchers_of(vms)) == min(count, 2)


def test_another_takes_the_place_of_one_that_the_store_refuses():
    vms = [f"vm-{number}" for number in range(9)]
    first = sorted(watchers_of(vms))
    refused = dict.fromkeys(first, Standing.REFUSED)
    second = watchers_of(vms, refused)
    assert len(second) == 2
    assert not second & set(first)


def test_one_that_hears_nobody_watches():
    assert should_watch("vm-1", {})
    assert should_watch("vm-1", {"vm-2": Standing.REFUSED, "vm-3": Standing.LISTENS})


def longest_gap(waits_by_vm, until=60_000.0):
    """Return the longest time in which no watch came round."""
    rounds = sorted(
        instant
        for vm in waits_by_vm
        for instant in rounds_of(vm, [o for o in waits_by_vm if o != vm], until)
    )
    return max(b - a for a, b in zip(rounds, rounds[1:], strict=False))


def rounds_of(vm, others, until):
    now = 1_700_000_000_000.0 + float(int(vm.removeprefix("vm-")) * 131 % 997)
    start = now
    while now - start < until:
        now += watch_timeout(vm, others, SETTLE, now)
        yield now


def test_watches_come_round_within_the_settling_time():
    assert watch_timeout("vm-1", [], SETTLE, 12_345.0) == SETTLE
    for count in (2, 3, 6, 10):
        vms = dict.fromkeys(f"vm-{number}" for number in range(count))
        assert longest_gap(vms) <= SETTLE + 1.0


def test_a_wait_is_never_too_short_or_long_to_spread():
    for now in range(0, 10_000, 37):
        wait = watch_timeout("vm-1", ["vm-2", "vm-3"], SETTLE, float(now))
        assert 1_000.0 < wait <= 3.0 * SETTLE
        assert not math.isnan(wait)
