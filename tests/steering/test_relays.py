"""Tests which VMs receive a change, in regions of different sizes."""

import pytest

from lagoonlatch.steering.relays import (
    MAX_DIRECT_BYTES,
    MAX_DIRECT_VMS,
    RECIPIENTS_PER_FAR_REGION,
    Partition,
    choose_far_recipients,
    choose_near_recipients,
)


def vms(count):
    return [f"vm-{number}" for number in range(count)]


def recipients_and_max_copies(near, reachable, size):
    """Return the VMs that get a change and the most copies that one VM sends."""
    relays = choose_near_recipients(near, reachable, size)
    served = [
        [vm for vm in near if partition.contains(vm)]
        for partition in relays.values()
        if partition
    ]
    max_copies = max([len(relays), *map(len, served)])
    return {*relays, *(vm for partition in served for vm in partition)}, max_copies


@pytest.mark.parametrize("count", [1, 3, 25, 65, 333])
@pytest.mark.parametrize("size", [300, 2_000, 7_000])
def test_change_reaches_all_vms_of_a_region_without_filling_a_link(count, size):
    recipients, max_copies = recipients_and_max_copies(vms(count), vms(count), size)
    assert recipients == set(vms(count))
    # 50 copies of 7 KB take a quarter of a second on a link of 10 Mbit/s.
    assert max_copies <= max(MAX_DIRECT_VMS, 50)
    if count <= 25:
        # A change of 7,000 bytes has 6 relays, and a partition may have up to 12 VMs.
        assert max_copies * size <= max(MAX_DIRECT_BYTES, 6 * size * 2)


def test_small_change_is_sent_without_relays():
    assert choose_near_recipients(vms(25), vms(25), 300) == dict.fromkeys(vms(25))


def test_relays_are_chosen_among_reachable_vms():
    reachable = vms(25)[10:]
    assert set(choose_near_recipients(vms(25), reachable, 7_000)) <= set(reachable)
    assert choose_near_recipients(vms(25), [], 7_000)


def test_partitions_have_similar_sizes():
    counts = [
        sum(Partition(index=i, count=5).contains(vm) for vm in vms(1_000))
        for i in range(5)
    ]
    assert sum(counts) == 1_000
    assert min(counts) > 150


def test_change_is_sent_to_some_vms_of_each_other_region():
    chosen = choose_far_recipients({"mid": vms(10), "south": ["only"], "north": []})
    assert len(chosen) == RECIPIENTS_PER_FAR_REGION + 1
    assert len(set(chosen)) == len(chosen)
