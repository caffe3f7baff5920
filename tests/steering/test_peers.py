import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.knowledge import Knowledge
from lagoonlatch.steering.peers import (
    ALIVE_WITHOUT_ENTRY_LIMIT,
    FIRST_HEARTBEAT_TIMEOUT,
    REORDERING_WINDOW,
    PeerStatus,
    PeerTable,
    RoundRobin,
)
from lagoonlatch.steering.watchers import Standing


def make_status(vm, run=1, leaving=False, **fields):
    return PeerStatus(
        vm=vm,
        run=run,
        is_leaving=leaving,
        **fields,
    )


def test_vm_is_silent_after_its_heartbeats_stop_but_not_if_unknown():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(make_status("vm1"))
    clock.advance(1_500.0)
    assert table.is_silent("vm1")
    assert not table.is_silent("vm2")
    assert not table.is_alive("vm1")


def test_vm_with_a_long_interval_is_not_silent_between_two_heartbeats():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(make_status("vm1", interval=2_600.0))
    clock.advance(4_900.0)
    assert table.is_alive("vm1")
    assert not table.is_silent("vm1")
    clock.advance(2_000.0)
    assert table.is_silent("vm1")


def test_vm_counts_as_alive_for_a_limited_time_whatever_its_interval():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(make_status("vm1", interval=16_000.0))
    clock.advance(ALIVE_WITHOUT_ENTRY_LIMIT)
    assert not table.is_alive("vm1")
    assert not table.is_silent("vm1")


def test_expected_vm_without_a_heartbeat_becomes_silent():
    clock = ManualClock()
    table = PeerTable(clock)
    table.expect_heartbeats("vm1")
    clock.advance(FIRST_HEARTBEAT_TIMEOUT - 1.0)
    table.expect_heartbeats("vm1")
    assert not table.is_silent("vm1")
    clock.advance(1.0)
    assert table.is_silent("vm1")


def test_vms_that_know_later_changes_are_returned():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(make_status("vm1", knowledge=Knowledge(revision=10)))
    later = Knowledge(revision=12)
    table.update(make_status("vm2", knowledge=later, standing=Standing.WATCHES))
    assert table.ahead_of(Knowledge(revision=10)) == ["vm2"]
    assert table.standing_by_vm()["vm2"] is Standing.WATCHES
    clock.advance(2_000.0)
    assert table.ahead_of(Knowledge(revision=10)) == []
    assert table.standing_by_vm() == {}


def test_leaving_applies_to_one_run():
    table = PeerTable(ManualClock())
    table.update(make_status("vm1", run=5, leaving=True))
    assert table.is_leaving("vm1", 5)
    assert not table.is_leaving("vm1", 6)


def test_late_status_of_an_earlier_run_is_ignored():
    table = PeerTable(ManualClock())
    table.update(make_status("vm1", run=6))
    table.update(make_status("vm1", run=5, leaving=True))
    assert not table.is_leaving("vm1", 5)


def test_status_is_accepted_after_a_restart_with_the_clock_set_back():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(make_status("vm1", run=6, leaving=True))
    clock.advance(REORDERING_WINDOW)
    table.update(make_status("vm1", run=2))
    assert not table.is_leaving("vm1", 2)


@pytest.mark.parametrize("count", [9, 77, 333])
def test_all_peers_of_a_large_fleet_are_selected_in_turn(count):
    round_robin = RoundRobin(max_peers=8, interval=250.0)
    vms = list(range(count))
    rounds = round(round_robin.heartbeat_interval(count) / 250.0)
    peers_by_round = [
        round_robin.select_peers(vms, round_number) for round_number in range(rounds)
    ]
    assert all(len(peers) == 8 for peers in peers_by_round)
    assert {vm for peers in peers_by_round for vm in peers} == set(vms)
    assert round_robin.select_peers([1, 2, 3], 5) == [1, 2, 3]
