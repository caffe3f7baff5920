"""Test that the number of heartbeats of a VM does not grow with the fleet.

The rounds are counted without running VMs.
"""

import random
from collections import Counter

import pytest

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.entry.peers import (
    FAR_INTERVAL_ROUNDS,
    FAR_ROUNDS,
    HEARTBEAT_INTERVAL,
    NEAR_ROUNDS,
)

MAX_DATAGRAMS_PER_SECOND = 40
"""Limit for sent and for received heartbeats of a VM in a fleet of any size. Datagrams
for requests are not included."""

ROUNDS_PER_SECOND = MILLIS_PER_SECOND / HEARTBEAT_INTERVAL
DURATION_SECONDS = 20


def simulate_heartbeats(count):
    """Simulate the heartbeats of `count` VMs in three regions.

    Returns
    -------
    sent, received : float
        Largest numbers of heartbeats of one VM per second.
    """
    region_by_vm = {vm: vm % 3 for vm in range(count)}
    first_round_by_vm = {vm: random.Random(vm).getrandbits(16) for vm in range(count)}
    sent, received = Counter(), Counter()
    for number in range(int(DURATION_SECONDS * ROUNDS_PER_SECOND)):
        for vm, region in region_by_vm.items():
            near = [n for n in range(count) if n % 3 == region and n != vm]
            round_number = first_round_by_vm[vm] + number
            recipients = NEAR_ROUNDS.select_peers(near, round_number)
            if round_number % FAR_INTERVAL_ROUNDS == 0:
                far = [n for n in range(count) if n % 3 != region]
                recipients += FAR_ROUNDS.select_peers(
                    far, round_number // FAR_INTERVAL_ROUNDS
                )
            sent[vm] += len(recipients)
            received.update(recipients)
    return max(sent.values()) / DURATION_SECONDS, max(
        received.values()
    ) / DURATION_SECONDS


@pytest.mark.parametrize("count", [10, 100, 1_000])
def test_heartbeats_of_a_vm_are_limited_in_a_fleet_of_any_size(count, monkeypatch):
    if count == 1_000:
        monkeypatch.setattr("tests.entry.test_budget.DURATION_SECONDS", 4)
    sent, received = simulate_heartbeats(count)
    assert sent <= MAX_DATAGRAMS_PER_SECOND
    assert received <= MAX_DATAGRAMS_PER_SECOND
