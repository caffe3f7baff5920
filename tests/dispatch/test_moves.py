from lagoonlatch.config.model import Configuration, Move
from lagoonlatch.dispatch.moves import MovePlanner
from lagoonlatch.standins.manual_clock import ManualClock

MOVE = Move(
    service="ledger", source="north", destination="south", rate_cap=50, share_cap=0.5
)


def _planner(move=MOVE):
    clock = ManualClock()
    planner = MovePlanner(clock)
    planner.configure(Configuration(moves_by_id={"m": move}))
    return clock, planner


def _count_moved(planner, requests):
    return sum(planner.select_move("ledger", "north") == "m" for _ in range(requests))


def test_share_starts_small_and_grows_up_to_its_cap():
    clock, planner = _planner()
    assert 0 < _count_moved(planner, 1000) < 50
    for _ in range(300):
        clock.advance(1_000.0)
        planner.record_success("m")
    assert 499 <= _count_moved(planner, 1000) <= 501


def test_failures_reduce_the_share():
    clock, planner = _planner()
    for _ in range(300):
        clock.advance(1_000.0)
        planner.record_success("m")
    for _ in range(3):
        clock.advance(1_100.0)
        planner.record_failure("m")
    assert _count_moved(planner, 1000) < 70


def test_no_request_is_moved_while_the_cap_is_used_up():
    clock, planner = _planner()
    planner.record_cap_refusal("m", 500.0)
    assert _count_moved(planner, 1000) == 0
    clock.advance(501.0)
    assert _count_moved(planner, 1000) > 0


def test_removed_move_moves_no_request():
    _, planner = _planner()
    planner.configure(Configuration())
    assert planner.select_move("ledger", "north") == ""
    planner.record_success("m")
    planner.record_failure("m")


def test_requests_of_other_regions_and_services_are_not_moved():
    _, planner = _planner()
    assert planner.select_move("ledger", "south") == ""
    assert planner.select_move("docs", "north") == ""
