import gevent
from returns.result import Failure, Success

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.dispatch.request import Answer
from lagoonlatch.idempotency.outcomes import (
    ANSWER_RETENTION,
    OUTCOME_RETENTION,
    OutcomeTable,
)
from lagoonlatch.standins.manual_clock import ManualClock

ANSWERED = Success(Answer(200, (), b"booked"))
UNKNOWN = Failure(Refusal("outcome-unknown"))
NOT_RUN = Failure(Refusal("no-capacity"))


class _CountedRuns:
    def __init__(self, *outcomes):
        self._outcomes = list(outcomes)
        self.count = 0

    def __call__(self):
        self.count += 1
        gevent.sleep(0)
        return self._outcomes.pop(0)


def _table(**options):
    clock = ManualClock()
    return clock, OutcomeTable(clock, **options)


def test_second_request_gets_the_first_answer():
    _, table = _table()
    runs = _CountedRuns(ANSWERED)
    for _ in range(3):
        assert table.run_once("k", "f", 1e9, runs) == ANSWERED
    assert runs.count == 1


def test_concurrent_requests_share_one_run():
    _, table = _table()
    runs = _CountedRuns(ANSWERED)
    waiting = [gevent.spawn(table.run_once, "k", "f", 1e9, runs) for _ in range(5)]
    assert [item.get() for item in waiting] == [ANSWERED] * 5
    assert runs.count == 1


def test_run_continues_when_the_calling_greenlet_is_killed():
    _, table = _table()
    runs = _CountedRuns(ANSWERED)
    caller = gevent.spawn(table.run_once, "k", "f", 1e9, runs)
    gevent.sleep(0)
    caller.kill()
    assert table.run_once("k", "f", 1e9, runs) == ANSWERED
    assert runs.count == 1


def test_request_with_unknown_outcome_is_not_run_again():
    _, table = _table()
    runs = _CountedRuns(UNKNOWN)
    for _ in range(2):
        assert table.run_once("k", "f", 1e9, runs) == UNKNOWN
    assert runs.count == 1


def test_request_that_was_not_run_may_run_later():
    _, table = _table()
    runs = _CountedRuns(NOT_RUN, ANSWERED)
    assert table.run_once("k", "f", 1e9, runs) == NOT_RUN
    assert table.run_once("k", "f", 1e9, runs) == ANSWERED


def test_key_reused_for_another_request_is_refused():
    _, table = _table()
    table.run_once("k", "f", 1e9, _CountedRuns(ANSWERED))
    refused_outcome = table.run_once("k", "other", 1e9, _CountedRuns())
    assert refused_outcome.failure().kind == "idempotency-key-reused"


def test_answer_is_dropped_before_its_record():
    clock, table = _table()
    runs = _CountedRuns(ANSWERED)
    table.run_once("k", "f", 1e9, runs)
    clock.advance(ANSWER_RETENTION + 1)
    late_outcome = table.run_once("k", "f", 1e9, runs)
    assert late_outcome.failure().kind == "idempotency-outcome-unknown"
    clock.advance(OUTCOME_RETENTION)
    table.run_once("other", "f", 1e9, _CountedRuns(ANSWERED))
    assert len(table) == 1


def test_full_table_refuses_new_keys_and_keeps_its_records():
    _, table = _table(capacity=1)
    runs = _CountedRuns(ANSWERED)
    table.run_once("k", "f", 1e9, runs)
    refused_outcome = table.run_once("new", "f", 1e9, _CountedRuns())
    assert refused_outcome.failure().kind == "no-capacity"
    assert table.run_once("k", "f", 1e9, runs) == ANSWERED
