"""Whom a VM passes news on to: counts for fleets of any size."""

import pytest

from lagoonlatch.steering.relays import (
    DIRECT_BYTES,
    DIRECT_MOST,
    FAR_COPIES,
    Partition,
    choose_far_recipients,
    choose_near_recipients,
)


def vms(count):
    return [f"vm-{number}" for number in range(count)]


def reached(near, able, size):
    """Return who gets a change, and the most copies that one VM sends."""
    relays = choose_near_recipients(near, able, size)
    served = [
        [vm for vm in near if part.contains(vm)] for part in relays.values() if part
    ]
    most = max([len(relays), *map(len, served)])
    return {*relays, *(vm for part in served for vm in part)}, most


@pytest.mark.parametrize("count", [1, 3, 25, 65, 333])
@pytest.mark.parametrize("size", [300, 2_000, 7_000])
def test_all_vms_of_a_region_are_reached_and_no_link_is_filled(count, size):
    found, most = reached(vms(count), vms(count), size)
    assert found == set(vms(count))
    # 50 copies of 7 KB are a quarter of a second on a link of 10 Mbit/s.
    assert most <= max(DIRECT_MOST, 50)
    if count <= 25:
        assert most * size <= max(DIRECT_BYTES, 6 * size * 2)


def test_a_small_change_needs_no_relay():
    assert choose_near_recipients(vms(25), vms(25), 300) == dict.fromkeys(vms(25))


def test_relays_are_among_those_that_are_heard():
    able = vms(25)[10:]
    assert set(choose_near_recipients(vms(25), able, 7_000)) <= set(able)
    assert choose_near_recipients(vms(25), [], 7_000)


def test_a_part_holds_a_fair_share():
    shares = [
        sum(Partition(index=i, count=5).contains(vm) for vm in vms(1_000))
        for i in range(5)
    ]
    assert sum(shares) == 1_000
    assert min(shares) > 150


def test_some_of_each_other_region_are_told():
    chosen = choose_far_recipients({"centro": vms(10), "sul": ["only"], "norte": []})
    assert len(chosen) == FAR_COPIES + 1
    assert len(set(chosen)) == len(chosen)
