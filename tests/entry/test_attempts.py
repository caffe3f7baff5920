"""Attempts over scripted connections."""

from dataclasses import replace

import gevent
import pytest
from gevent.event import Event

from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.attempts import GRANT_LIFETIME, AttemptRunner
from lagoonlatch.entry.cancellation import CancellationToken
from lagoonlatch.entry.messages import (
    Answered,
    FailureKind,
    NotRun,
    Unknown,
    UpstreamAnswer,
    UpstreamRequest,
)
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.platform.headers import read_answer_fields
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.crashes import CrashQuarantine
from tests.steering.samples import make_record, make_upstream_table

REQUEST = UpstreamRequest(
    method=b"GET", target=b"/", headers=[], body=b"", has_body=False, request_id=b"r1"
)

SILENCE_MS = 800.0


class ScriptedConnection:
    """Answers each request with the status and fields of the harness."""

    def __init__(self, harness):
        self._harness = harness
        self.is_reusable = True
        self.is_open = True

    def exchange(self, request, _time_left):
        self._harness.sent.append(request)
        self._harness.may_answer.wait()
        if self._harness.answer == "reset":
            self.is_reusable = False
            return Unknown(FailureKind.RESET, "reset")
        if self._harness.answer == "silence":
            self.is_reusable = False
            self._harness.clock.advance(SILENCE_MS)
            return Unknown(FailureKind.RESET, "silent", self._harness.last_heard_at)
        status, fields = self._harness.answer
        answer = UpstreamAnswer(
            status=status,
            headers=fields,
            body=b"",
            fields=read_answer_fields(fields, status),
            has_stamp=True,
        )
        if answer.fields.not_run:
            return NotRun(f"turned away with {status}", True, False, answer)
        return Answered(answer)

    def has_no_input(self):
        return self.is_open

    def is_expired(self):
        return False

    def close(self):
        self.is_open = False


class ScriptedPool(ConnectionPool):
    """Opens scripted connections; calls `on_open` before each."""

    def __init__(self, harness):
        super().__init__(AnswerMemoryLimit(1_000, harness.clock), harness.clock)
        self._harness = harness
        self.on_open = lambda: None
        self.opened = []

    def acquire(self, upstream, timeout):
        if self._idle_by_id[upstream.id]:
            return self._idle_by_id[upstream.id].pop()
        self.on_open()
        self.opened.append(ScriptedConnection(self._harness))
        return self.opened[-1]


class FakeProber:
    """Marks upstreams as suspect; their health checks fail at `fail_checks`."""

    def __init__(self):
        self.callbacks = []

    def suspect(self, upstream, _reason, on_check_failed=None):
        upstream.is_suspect = True
        if on_check_failed is not None:
            self.callbacks.append(on_check_failed)

    def fail_checks(self):
        for on_check_failed in self.callbacks:
            on_check_failed()
        self.callbacks.clear()


class AttemptHarness:
    def __init__(self):
        self.clock = ManualClock()
        self.upstream_table = make_upstream_table(self.clock)
        self.upstream_table.put(make_record("i-1"), was_running=True)
        self.upstream = self.upstream_table.find("i-1")
        self.sent = []
        self.reported = []
        self.limit_reports = []
        self.prober = FakeProber()
        self.quarantine = CrashQuarantine(self.clock)
        self.answer = (200, [])
        self.may_answer = Event()
        self.may_answer.set()
        self.last_heard_at = self.clock.now()
        self.pool = ScriptedPool(self)
        self.attempts = AttemptRunner(
            self.upstream_table,
            self.pool,
            self.prober,
            Admission(),
            self.quarantine,
            self.reported.append,
            UpstreamNotices(
                self.upstream_table,
                self.pool,
                self.reported.append,
                lambda *report: self.limit_reports.append(report),
            ),
            EntryMetrics("vm-0", "n-a"),
            self.clock,
        )

    def run(self, request=REQUEST):
        return self.attempts.run(self.upstream, request, 1_000.0, "route", "f")


@pytest.fixture
def harness():
    return AttemptHarness()


def test_upstream_that_drains_during_connect_gets_no_request(harness):
    """The upstream must be checked right before a request is sent.

    An earlier check missed upstreams that began to drain while the connection was
    opened.
    """
    record = replace(harness.upstream.record, is_draining=True)
    harness.pool.on_open = lambda: harness.upstream_table.put(record)
    outcome = harness.run()
    assert outcome == NotRun("not to be used any more", reached=False)
    assert harness.sent == []
    assert not harness.pool.opened[0].is_open


def test_upstream_evacuated_during_connect_gets_no_request(harness):
    data_centre = harness.upstream.record.data_centre
    harness.pool.on_open = lambda: harness.upstream_table.evacuate(
        frozenset({data_centre})
    )
    assert isinstance(harness.run(), NotRun)
    assert harness.sent == []


CALLER_LEFT = "the caller has left"


def make_cancellable(is_idempotent):
    return replace(
        REQUEST, is_idempotent=is_idempotent, cancellation=CancellationToken()
    )


@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("moment", ["before", "while connecting"])
def test_nothing_is_sent_for_a_caller_that_has_left(harness, is_idempotent, moment):
    request = make_cancellable(is_idempotent)
    if moment == "before":
        request.cancellation.cancel()
    else:
        harness.pool.on_open = request.cancellation.cancel
    assert harness.run(request) == NotRun(CALLER_LEFT, reached=False)
    assert harness.sent == []
    assert not harness.upstream.is_suspect
    assert all(connection.is_open for connection in harness.pool.opened)


def test_connection_that_opens_slowly_is_not_awaited_after_the_caller_left(harness):
    request = make_cancellable(False)
    harness.pool.on_open = Event().wait
    task = gevent.spawn(harness.run, request)
    gevent.sleep(0)
    request.cancellation.cancel()
    assert task.get(timeout=1.0) == NotRun(CALLER_LEFT, reached=False)
    assert not harness.upstream.is_suspect


def test_idempotent_request_is_broken_off_when_its_caller_leaves(harness):
    """The upstream is sound, so nothing may count against it."""
    request = make_cancellable(True)
    harness.may_answer.clear()
    failures = []
    harness.upstream.note_failure = lambda: failures.append("failure")
    task = gevent.spawn(harness.run, request)
    gevent.sleep(0)
    request.cancellation.cancel()
    assert task.get(timeout=1.0) == Unknown(FailureKind.CALLER_LEFT, CALLER_LEFT)
    assert failures == []
    assert not harness.upstream.is_suspect


def test_request_that_may_run_only_once_goes_on_after_its_caller_left(harness):
    request = make_cancellable(False)
    harness.may_answer.clear()
    task = gevent.spawn(harness.run, request)
    gevent.sleep(0)
    request.cancellation.cancel()
    gevent.sleep(0.01)
    assert not task.ready()
    harness.may_answer.set()
    assert isinstance(task.get(timeout=1.0), Answered)


LEAVING_FIELDS = [(b"server-leaving", b"1")]
REST_FIELDS = [(b"not-run", b"1"), (b"retry-after", b"2.5")]


def test_leaving_upstream_gets_no_more_requests_and_is_reported(harness):
    harness.answer = (200, LEAVING_FIELDS)
    assert isinstance(harness.run(), Answered)
    assert not harness.upstream_table.is_usable(harness.upstream)
    assert harness.reported == [harness.upstream.record]
    assert not harness.pool.opened[0].is_open
    harness.answer = (200, LEAVING_FIELDS)
    assert isinstance(harness.run(), NotRun)
    assert len(harness.sent) == 1
    assert len(harness.reported) == 1


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_notice_is_accepted_in_any_answer(harness, status):
    harness.answer = (status, LEAVING_FIELDS)
    harness.run()
    assert not harness.upstream_table.is_usable(harness.upstream)


def test_resting_upstream_gets_no_requests_until_its_rest_ends(harness):
    harness.answer = (503, REST_FIELDS)
    harness.run()
    harness.answer = (200, [])
    harness.clock.advance(2_400.0)
    assert isinstance(harness.run(), NotRun)
    harness.clock.advance(100.0)
    assert isinstance(harness.run(), Answered)
    assert not harness.reported


def test_notices_of_a_previous_run_do_not_apply_to_the_new_run(harness):
    """The answer belongs to a request sent before the upstream restarted."""
    started_again = replace(harness.upstream.record, born=2.0)
    harness.pool.on_open = lambda: None
    previous_run = harness.upstream

    class RestartingConnection(ScriptedConnection):
        def exchange(self, request, time_left):
            harness.upstream_table.put(started_again)
            return super().exchange(request, time_left)

    harness.pool._idle_by_id["i-1"] = [RestartingConnection(harness)]
    harness.answer = (503, [*LEAVING_FIELDS, *REST_FIELDS])
    harness.run()
    assert previous_run.is_removed
    assert harness.upstream_table.is_usable(harness.upstream_table.find("i-1"))


def test_limit_in_an_answer_is_reported_to_the_home_vm(harness):
    harness.answer = (200, [(b"server-limit", b"2.5")])
    harness.run()
    assert harness.upstream.rate_limit == 2.5
    ((state, limit, is_ended),) = harness.limit_reports
    assert state is harness.upstream
    assert (limit.rate, is_ended) == (2.5, False)


def test_answer_without_a_limit_ends_it(harness):
    harness.answer = (200, [(b"server-limit", b"2.5")])
    harness.run()
    harness.clock.advance(1.0)
    harness.answer = (200, [])
    harness.run()
    assert harness.upstream.rate_limit is None
    assert harness.limit_reports[-1][2]


@pytest.mark.parametrize(
    "answer",
    [
        (200, [(b"server-limit", b"much")]),
        (500, []),
        (503, [(b"not-run", b"1")]),
        (429, [(b"not-run", b"1")]),
    ],
)
def test_unreadable_limit_or_refusal_does_not_end_the_known_limit(harness, answer):
    harness.answer = (200, [(b"server-limit", b"2.5")])
    harness.run()
    harness.clock.advance(1.0)
    harness.answer = answer
    harness.run()
    assert harness.upstream.rate_limit == 2.5


def test_request_that_connects_slowly_is_not_sent_under_a_limit(harness):
    harness.upstream.name_limit(2.5, harness.clock.now())
    harness.pool.on_open = lambda: harness.clock.advance(GRANT_LIFETIME + 1.0)
    assert isinstance(harness.run(), NotRun)
    assert harness.sent == []
    harness.clock.advance(1.0)
    harness.upstream.end_limit(harness.clock.now())
    harness.pool.drop("i-1")
    assert isinstance(harness.run(), Answered)


def test_equal_requests_that_one_crash_ended_count_it_once(harness):
    """A tenant whose requests are all equal must not be refused after one crash."""
    harness.answer = "reset"
    for _ in range(5):
        harness.upstream.is_suspect = False
        harness.run()
    harness.prober.fail_checks()
    assert harness.quarantine.count("f") == 1
    assert harness.reported == ["f"]
    assert harness.quarantine.admit("f") == 0.0


def crash_in_turn(harness, answer):
    """Let a request end at four upstreams, one after the other."""
    harness.answer = answer
    for number in range(4):
        name = f"i-{number}"
        harness.upstream_table.put(make_record(name), was_running=True)
        harness.upstream = harness.upstream_table.find(name)
        harness.run()
        harness.prober.fail_checks()
        harness.clock.advance(1.0)
    return harness.quarantine.count("f")


def test_request_is_not_suspected_of_upstreams_that_lost_power_together(harness):
    """A tenant whose requests are all equal must not be refused for a lost zone."""
    assert crash_in_turn(harness, "silence") == 1


def test_request_that_ends_one_upstream_after_the_other_is_suspected(harness):
    assert crash_in_turn(harness, "reset") == 4


def test_request_that_silences_upstreams_heard_since_the_last_is_suspected(harness):
    assert crash_in_turn(harness, "silence") == 1
    harness.last_heard_at = harness.clock.now()
    harness.upstream_table.put(make_record("i-9"), was_running=True)
    harness.upstream = harness.upstream_table.find("i-9")
    harness.run()
    harness.prober.fail_checks()
    assert harness.quarantine.count("f") == 2


def test_crash_of_the_next_run_is_another_crash(harness):
    harness.answer = "reset"
    for born in (1.0, 2.0):
        record = replace(harness.upstream.record, born=born)
        harness.upstream_table.put(record, was_running=True)
        harness.upstream = harness.upstream_table.find("i-1")
        harness.run()
        harness.clock.advance(10.0)
    harness.prober.fail_checks()
    assert harness.quarantine.count("f") == 2


def test_whole_answer_clears_the_suspicion_at_all_vms(harness):
    harness.answer = "reset"
    harness.run()
    harness.prober.fail_checks()
    harness.upstream.is_suspect = False
    harness.answer = (200, [])
    harness.run()
    harness.run()
    assert harness.quarantine.count("f") == 0
    assert harness.reported == ["f", "f"]
