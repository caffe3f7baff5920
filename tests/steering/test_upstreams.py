import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.rate_limits import NamedLimit
from lagoonlatch.steering.upstreams import MAX_LIMIT_WAIT, REPORTED_LOAD_LIFETIME
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


def make_limited_state():
    clock = ManualClock()
    table = make_upstream_table(clock)
    table.put(make_record("u1"), was_running=True)
    state = table.find("u1")
    assert state.name_limit(4.0, clock.now())
    clock.advance(100.0)
    return state, clock


def test_limit_ends_only_with_an_answer_to_a_later_request():
    state, clock = make_limited_state()
    sent_before = clock.now() - 150.0
    assert not state.end_limit(sent_before)
    assert state.rate_limit == 4.0
    assert state.end_limit(clock.now())
    assert state.rate_limit is None


def test_limit_is_raised_only_by_an_answer_to_a_later_request():
    state, clock = make_limited_state()
    assert not state.name_limit(9.0, clock.now() - 150.0)
    assert state.name_limit(2.0, clock.now() - 150.0)
    clock.advance(1.0)
    assert state.name_limit(9.0, clock.now())
    assert state.rate_limit == 9.0


def test_home_vm_that_knows_no_limit_does_not_end_one_named_since():
    state, clock = make_limited_state()
    assert not state.set_limit_from_home(None, clock.now() - 150.0)
    assert state.rate_limit == 4.0
    assert state.set_limit_from_home(None, clock.now())
    assert state.rate_limit is None


def test_limit_of_another_run_is_ignored():
    state, clock = make_limited_state()
    other = NamedLimit(rate=1.0, born=state.record.born + 1.0, epoch=7)
    assert not state.set_limit_from_home(other, clock.now())
    assert state.rate_limit == 4.0


def test_epoch_proves_only_requests_that_were_sent_after_it_was_known():
    state, clock = make_limited_state()
    sent_before = clock.now() - 10.0
    limit = NamedLimit(rate=4.0, born=state.record.born, epoch=7)
    state.set_limit_from_home(limit, clock.now())
    assert state.epoch_before(sent_before) == 0
    assert state.epoch_before(clock.now()) == 7


def test_spent_limit_is_claimed_again_at_the_latest_after_a_second():
    state, clock = make_limited_state()
    state.set_limit_wait(5_000.0)
    assert state.is_limit_spent()
    clock.advance(MAX_LIMIT_WAIT)
    assert not state.is_limit_spent()
    assert state.limit_wait() == 4_000.0


def test_unanswered_claims_of_a_limited_upstream_hold_no_slots():
    state, clock = make_limited_state()
    state.in_flight, state.unanswered_claims = 3, 2
    assert state.held_slots() == 1
    clock.advance(1.0)
    state.end_limit(clock.now())
    assert state.held_slots() == 3
