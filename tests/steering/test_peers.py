from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.peers import MOST_TOLD, PeerTable, Telling, take_turn


def tell(vm, run=1, leaving=False, in_flight=None, spare=None):
    return Telling(
        vm=vm,
        run=run,
        is_leaving=leaving,
        in_flight_by_upstream=in_flight or {},
        spare_by_organisation=spare or {},
    )


def test_requests_of_all_that_are_heard_are_summed():
    clock = ManualClock()
    table = PeerTable(clock)
    assert table.requests_at("u1") is None
    table.hear(tell("vm1", in_flight={"u1": 2}))
    table.hear(tell("vm2", in_flight={"u1": 1, "u2": 4}))
    assert table.requests_at("u1") == 3
    assert table.requests_at("u3") == 0
    clock.advance(1_001.0)
    assert table.requests_at("u1") is None


def test_the_lender_is_the_one_with_most_left_after_what_it_was_asked():
    table = PeerTable(ManualClock())
    table.hear(tell("vm1", spare={"dojo": 10}))
    table.hear(tell("vm2", spare={"dojo": 8}))
    assert table.best_lender("dojo") == "vm1"
    table.note_asked("vm1", "dojo", 5)
    assert table.best_lender("dojo") == "vm2"
    table.hear(tell("vm1", spare={"dojo": 10}))
    assert table.best_lender("dojo") == "vm1"
    assert table.best_lender("other") is None


def test_a_vm_that_was_heard_and_is_silent_is_told_from_one_never_heard():
    clock = ManualClock()
    table = PeerTable(clock)
    table.hear(tell("vm1"))
    clock.advance(1_500.0)
    assert table.is_silent("vm1")
    assert not table.is_silent("vm2")
    assert not table.is_heard("vm1")


def test_leaving_holds_for_one_run():
    table = PeerTable(ManualClock())
    table.hear(tell("vm1", run=5, leaving=True))
    assert table.is_leaving("vm1", 5)
    assert not table.is_leaving("vm1", 6)


def test_a_late_telling_of_an_earlier_run_is_ignored():
    table = PeerTable(ManualClock())
    table.hear(tell("vm1", run=6))
    table.hear(tell("vm1", run=5, leaving=True))
    assert not table.is_leaving("vm1", 5)


def test_in_a_large_fleet_all_are_told_in_turn():
    vms = list(range(77))
    rounds = [take_turn(vms, turn) for turn in range(10)]
    assert all(len(told) == MOST_TOLD for told in rounds)
    assert {vm for told in rounds for vm in told} == set(vms)
    assert take_turn([1, 2, 3], 5) == [1, 2, 3]
