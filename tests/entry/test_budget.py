"""What a VM costs must not grow with the fleet: counts, on virtual time."""

import random
from collections import Counter

import pytest

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.entry.peers import FAR, FAR_EVERY, NEAR, TELL_INTERVAL

DATAGRAMS = 40
"""A second, out and in, whatever the size of the fleet; requests come on top."""

ROUNDS_A_SECOND = MILLIS_PER_SECOND / TELL_INTERVAL
SECONDS = 20


def play(count):
    """Let `count` VMs of three regions tell; return what the busiest sent and got."""
    region_by_vm = {vm: vm % 3 for vm in range(count)}
    first_by_vm = {vm: random.Random(vm).getrandbits(16) for vm in range(count)}
    sent, received = Counter(), Counter()
    for number in range(int(SECONDS * ROUNDS_A_SECOND)):
        for vm, region in region_by_vm.items():
            near = [n for n in range(count) if n % 3 == region and n != vm]
            turn = first_by_vm[vm] + number
            told = NEAR.select_peers(near, turn)
            if turn % FAR_EVERY == 0:
                far = [n for n in range(count) if n % 3 != region]
                told += FAR.select_peers(far, turn // FAR_EVERY)
            sent[vm] += len(told)
            received.update(told)
    return max(sent.values()) / SECONDS, max(received.values()) / SECONDS


@pytest.mark.parametrize("count", [10, 100, 1_000])
def test_tells_have_one_bound_in_a_fleet_of_any_size(count, monkeypatch):
    if count == 1_000:
        monkeypatch.setattr("tests.entry.test_budget.SECONDS", 4)
    sent, received = play(count)
    assert sent <= DATAGRAMS
    assert received <= DATAGRAMS
