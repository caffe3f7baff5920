import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.peers import (
    HEARD_MOST,
    NEVER_HEARD,
    RUN_ORDER,
    PeerStatus,
    PeerTable,
    RoundRobin,
)
from lagoonlatch.steering.watchers import Standing


def tell(vm, run=1, leaving=False, **more):
    return PeerStatus(
        vm=vm,
        run=run,
        is_leaving=leaving,
        **more,
    )


def test_a_vm_that_was_heard_and_is_silent_is_told_from_one_never_heard():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(tell("vm1"))
    clock.advance(1_500.0)
    assert table.is_silent("vm1")
    assert not table.is_silent("vm2")
    assert not table.is_alive("vm1")


def test_a_vm_that_tells_rarely_is_not_silent_between_two_tells():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(tell("vm1", interval=2_600.0))
    clock.advance(4_900.0)
    assert table.is_alive("vm1")
    assert not table.is_silent("vm1")
    clock.advance(2_000.0)
    assert table.is_silent("vm1")


def test_a_vm_without_an_entry_is_not_counted_on_for_long_however_rarely_it_tells():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(tell("vm1", interval=16_000.0))
    clock.advance(HEARD_MOST)
    assert not table.is_alive("vm1")
    assert not table.is_silent("vm1")


def test_a_vm_whose_entry_is_known_and_that_tells_nothing_is_silent_in_the_end():
    clock = ManualClock()
    table = PeerTable(clock)
    table.expect_heartbeats("vm1")
    clock.advance(NEVER_HEARD - 1.0)
    table.expect_heartbeats("vm1")
    assert not table.is_silent("vm1")
    clock.advance(1.0)
    assert table.is_silent("vm1")


def test_vms_that_know_later_changes_are_named():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(tell("vm1", revision=10))
    table.update(tell("vm2", revision=12, standing=Standing.WATCHES))
    assert table.ahead_of(10, 0) == ["vm2"]
    assert table.standing_by_vm()["vm2"] is Standing.WATCHES
    clock.advance(2_000.0)
    assert table.ahead_of(10, 0) == []
    assert table.standing_by_vm() == {}


def test_leaving_holds_for_one_run():
    table = PeerTable(ManualClock())
    table.update(tell("vm1", run=5, leaving=True))
    assert table.is_leaving("vm1", 5)
    assert not table.is_leaving("vm1", 6)


def test_a_late_telling_of_an_earlier_run_is_ignored():
    table = PeerTable(ManualClock())
    table.update(tell("vm1", run=6))
    table.update(tell("vm1", run=5, leaving=True))
    assert not table.is_leaving("vm1", 5)


def test_a_vm_that_started_again_with_its_time_of_day_set_back_is_heard():
    clock = ManualClock()
    table = PeerTable(clock)
    table.update(tell("vm1", run=6, leaving=True))
    clock.advance(RUN_ORDER)
    table.update(tell("vm1", run=2))
    assert not table.is_leaving("vm1", 2)


@pytest.mark.parametrize("count", [9, 77, 333])
def test_in_a_large_fleet_all_are_told_in_turn(count):
    rounds = RoundRobin(max_peers=8, interval=250.0)
    vms = list(range(count))
    turns = round(rounds.heartbeat_interval(count) / 250.0)
    told_by_turn = [rounds.select_peers(vms, turn) for turn in range(turns)]
    assert all(len(told) == 8 for told in told_by_turn)
    assert {vm for told in told_by_turn for vm in told} == set(vms)
    assert rounds.select_peers([1, 2, 3], 5) == [1, 2, 3]
