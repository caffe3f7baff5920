import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.upstreams import REPORTED_LOAD_LIFETIME
from tests.steering.samples import make_record, make_upstream_table


@pytest.fixture
def clock():
    return ManualClock()


def test_upstreams_of_the_first_reading_are_taken_for_warm(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"), was_running=True)
    assert not fleet.find("u1").is_cold()


def test_an_upstream_that_appears_later_is_cold_for_a_while(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"))
    assert fleet.find("u1").is_cold()
    clock.advance(3_001.0)
    assert not fleet.find("u1").is_cold()


def test_a_new_run_under_the_same_id_is_cold(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"), was_running=True)
    fleet.find("u1").in_flight = 2
    fleet.put(make_record("u1", born=2.0))
    assert fleet.find("u1").is_cold()
    assert fleet.find("u1").in_flight == 0


def test_an_entry_that_lapsed_and_came_back_is_as_warm_as_before(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"), was_running=True)
    fleet.remove("u1")
    clock.advance(2_000.0)
    fleet.put(make_record("u1"))
    assert not fleet.find("u1").is_cold()


def test_what_the_entry_says_of_coldness_counts(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"), was_running=True)
    fleet.put(make_record("u1", cold_left=1_500.0))
    assert fleet.find("u1").cold_time_left() == 1_500.0


def test_a_data_centre_taken_back_is_cold(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"), was_running=True)
    fleet.put(make_record("u2", data_centre="s-a"), was_running=True)
    fleet.evacuate(frozenset({"n-a"}))
    assert [state.record.id for state in fleet.usable("ledger")] == ["u2"]
    fleet.evacuate(frozenset())
    assert fleet.find("u1").is_cold()
    assert not fleet.find("u2").is_cold()


def test_draining_suspect_and_gone_upstreams_get_nothing(clock):
    fleet = make_upstream_table(clock)
    for name in ("u1", "u2", "u3", "u4"):
        fleet.put(make_record(name), was_running=True)
    fleet.put(make_record("u1", is_draining=True))
    fleet.find("u2").is_suspect = True
    gone = fleet.find("u3")
    fleet.remove("u3")
    assert [state.record.id for state in fleet.usable("ledger")] == ["u4"]
    assert not fleet.is_usable(gone)


def test_a_move_to_another_service_leaves_the_old_one(clock):
    fleet = make_upstream_table(clock, services=("ledger", "docs"))
    fleet.put(make_record("u1"), was_running=True)
    fleet.put(make_record("u1", service="docs"))
    assert not list(fleet.usable("ledger"))
    assert [state.record.id for state in fleet.usable("docs")] == ["u1"]


def test_an_unknown_data_centre_is_not_used(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1", data_centre="mars"))
    assert fleet.find("u1") is None


def test_the_requests_of_others_count_for_a_moment_after_they_were_told(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"), was_running=True)
    state = fleet.find("u1")
    state.in_flight = 1
    assert state.load() == 1
    state.set_load_of_others(2, reported_ahead=4)
    assert (state.load(), state.reported_ahead()) == (3, 4)
    clock.advance(REPORTED_LOAD_LIFETIME)
    assert (state.load(), state.reported_ahead()) == (1, 0)
