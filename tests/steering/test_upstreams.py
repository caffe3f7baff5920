import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.upstreams import REPORTED_LOAD_LIFETIME
from tests.steering.samples import make_record, make_upstream_table


@pytest.fixture
def clock():
    return ManualClock()


def test_upstreams_that_were_running_before_are_warm(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"), was_running=True)
    assert not upstream_table.find("u1").is_cold()


def test_new_upstream_is_cold_for_the_cold_duration(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"))
    assert upstream_table.find("u1").is_cold()
    clock.advance(3_001.0)
    assert not upstream_table.find("u1").is_cold()


def test_new_run_with_the_same_id_is_cold(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"), was_running=True)
    upstream_table.find("u1").in_flight = 2
    upstream_table.put(make_record("u1", born=2.0))
    assert upstream_table.find("u1").is_cold()
    assert upstream_table.find("u1").in_flight == 0


def test_same_run_is_warm_after_its_entry_expired_and_returned(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"), was_running=True)
    upstream_table.remove("u1")
    clock.advance(2_000.0)
    upstream_table.put(make_record("u1"))
    assert not upstream_table.find("u1").is_cold()


def test_cold_time_of_the_entry_is_used(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"), was_running=True)
    upstream_table.put(make_record("u1", cold_left=1_500.0))
    assert upstream_table.find("u1").cold_left() == 1_500.0


def test_upstreams_are_cold_after_an_evacuation(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"), was_running=True)
    upstream_table.put(make_record("u2", data_centre="s-a"), was_running=True)
    upstream_table.evacuate(frozenset({"n-a"}))
    assert [state.record.id for state in upstream_table.usable("ledger")] == ["u2"]
    upstream_table.evacuate(frozenset())
    assert upstream_table.find("u1").is_cold()
    assert not upstream_table.find("u2").is_cold()


def test_draining_suspect_and_removed_upstreams_are_not_usable(clock):
    upstream_table = make_upstream_table(clock)
    for name in ("u1", "u2", "u3", "u4"):
        upstream_table.put(make_record(name), was_running=True)
    upstream_table.put(make_record("u1", is_draining=True))
    upstream_table.find("u2").is_suspect = True
    removed = upstream_table.find("u3")
    upstream_table.remove("u3")
    assert [state.record.id for state in upstream_table.usable("ledger")] == ["u4"]
    assert not upstream_table.is_usable(removed)


def test_upstream_that_changes_its_service_leaves_the_old_one(clock):
    upstream_table = make_upstream_table(clock, services=("ledger", "docs"))
    upstream_table.put(make_record("u1"), was_running=True)
    upstream_table.put(make_record("u1", service="docs"))
    assert not list(upstream_table.usable("ledger"))
    assert [state.record.id for state in upstream_table.usable("docs")] == ["u1"]


def test_upstream_of_an_unknown_data_centre_is_ignored(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1", data_centre="mars"))
    assert upstream_table.find("u1") is None


def test_reported_load_of_others_expires(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"), was_running=True)
    state = upstream_table.find("u1")
    state.in_flight = 1
    assert state.load() == 1
    state.set_load_of_others(2, reported_ahead=4)
    assert (state.load(), state.reported_ahead()) == (3, 4)
    clock.advance(REPORTED_LOAD_LIFETIME)
    assert (state.load(), state.reported_ahead()) == (1, 0)
