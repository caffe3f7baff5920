"""Run one attempt at one upstream and update the upstream's state from its outcome."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import replace

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.cancellation import CallerLeftError
from lagoonlatch.entry.events import AttemptFailed, RequestQuarantined, UpstreamGone
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import (
    Answered,
    FailureKind,
    NotRun,
    Outcome,
    Unknown,
    UpstreamAnswer,
    UpstreamRequest,
    describe_outcome,
)
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.entry.probes import Prober
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.crashes import Crash, CrashQuarantine
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable

GRANT_LIFETIME: Millis = 500.0
"""A request that is sent later than this after its slot was granted counts towards the
limit of a later time, so it is not sent to an upstream that has a rate limit."""

_FIRST_SERVER_ERROR = 500

_CALLER_LEFT_REASON = "the caller has left"


class AttemptRunner:
    """Sends requests to upstreams over pooled connections.

    Parameters
    ----------
    report_suspect : callable
        Reports to the other VMs what this VM knows of the request with a fingerprint.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        pool: ConnectionPool,
        prober: Prober,
        admission: Admission,
        quarantine: CrashQuarantine,
        report_suspect: Callable[[str], None],
        notices: UpstreamNotices,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        self._upstream_table = upstream_table
        self._pool = pool
        self._prober = prober
        self._admission = admission
        self._quarantine = quarantine
        self._report_suspect = report_suspect
        self._notices = notices
        self._metrics = metrics
        self._clock = clock

    def run(
        self,
        upstream: UpstreamState,
        request: UpstreamRequest,
        time_left: Millis,
        route: str,
        fingerprint: str,
    ) -> Outcome:
        """Send a request of `route` and return its outcome within `time_left`.

        Parameters
        ----------
        fingerprint : str
            Identifies the request; the same if the caller sends the request again.
        """
        started = self._clock.now()
        born = upstream.record.born
        outcome = self._exchange(upstream, request, time_left)
        ended = self._clock.now()
        duration = ended - started
        possible_crash = Crash(
            upstream=upstream.record.id, born=born, sent_at=started, ended_at=ended
        )
        self._update_state(upstream, outcome, fingerprint, possible_crash)
        self._record(upstream, request, outcome, duration)
        if (
            isinstance(outcome, Answered)
            and outcome.answer.status < _FIRST_SERVER_ERROR
        ):
            self._admission.note_duration(route, duration)
        return outcome

    def _exchange(
        self, upstream: UpstreamState, request: UpstreamRequest, time_left: Millis
    ) -> Outcome:
        deadline = self._clock.now() + time_left
        if self._pool.has_closed_early(upstream.record):
            # The upstream closed idle connections early, so it may have restarted.
            self._pool.drop(upstream.record.id)
            self._prober.suspect(upstream, "closed kept connections")
            return NotRun("upstream under suspicion", reached=False)
        try:
            with request.cancellation.interruptible():
                connection = self._pool.acquire(upstream.record, time_left)
        except CallerLeftError:
            return NotRun(_CALLER_LEFT_REASON, reached=False)
        except OSError as error:
            reason = error.strerror or type(error).__name__
            self._prober.suspect(upstream, f"no connection: {reason}")
            return NotRun(reason, reached=False)
        if not self._upstream_table.is_usable(upstream):
            # The upstream became unusable while the connection was being opened.
            connection.close()
            return NotRun("not to be used any more", reached=False)
        is_late = deadline - time_left + GRANT_LIFETIME < self._clock.now()
        if is_late and upstream.rate_limit is not None:
            self._pool.release(upstream.record, connection)
            return NotRun("connected too long after the grant", reached=False)
        if request.cancellation.is_cancelled:
            self._pool.release(upstream.record, connection)
            return NotRun(_CALLER_LEFT_REASON, reached=False)
        break_off_scope = (
            request.cancellation.interruptible()
            if request.is_idempotent
            else contextlib.nullcontext()
        )
        timer = gevent.Timeout(
            max(deadline - self._clock.now(), 1.0) / MILLIS_PER_SECOND
        )
        try:
            with timer, break_off_scope:
                outcome = connection.exchange(request, deadline - self._clock.now())
        except CallerLeftError:
            return Unknown(FailureKind.CALLER_LEFT, _CALLER_LEFT_REASON)
        except gevent.Timeout as error:
            if error is not timer:
                raise
            return Unknown(FailureKind.OUT_OF_TIME, "no whole answer in time")
        self._pool.release(upstream.record, connection)
        return outcome

    def _record(
        self,
        upstream: UpstreamState,
        request: UpstreamRequest,
        outcome: Outcome,
        duration: Millis,
    ) -> None:
        name, why = describe_outcome(outcome)
        self._metrics.attempt_ended(upstream.record.service, name)
        if isinstance(outcome, Answered):
            return
        emit(
            AttemptFailed(
                request=request.request_id.decode("latin-1"),
                upstream=upstream.record.id,
                outcome=name,
                why=why,
                took_ms=round(duration),
                load=upstream.load(),
            )
        )

    def _update_state(
        self,
        upstream: UpstreamState,
        outcome: Outcome,
        fingerprint: str,
        possible_crash: Crash,
    ) -> None:
        started = possible_crash.sent_at
        match outcome:
            case Answered(answer):
                if self._quarantine.clear(fingerprint):
                    self._report_suspect(fingerprint)
                self._update_load(upstream, answer)
                self._notices.handle_answer(upstream, answer, started)
                if answer.status < _FIRST_SERVER_ERROR:
                    upstream.note_success()
                else:
                    upstream.note_failure()
            case NotRun(misdirected=True):
                self._upstream_table.remove(upstream.record.id)
                self._pool.drop(upstream.record.id)
                why = "another upstream has its address"
                emit(UpstreamGone(upstream=upstream.record.id, why=why))
            case NotRun(reached=True, answer=answer):
                upstream.note_failure()
                if answer is not None:
                    self._update_load(upstream, answer)
                    self._notices.handle_answer(upstream, answer, started)
            case Unknown(
                kind=FailureKind.RESET | FailureKind.CLOSED,
                reason=reason,
                heard_at=heard_at,
            ):
                upstream.note_failure()
                if heard_at is not None:
                    # It may have been down already when the request was sent.
                    possible_crash = replace(
                        possible_crash, sent_at=min(started, heard_at)
                    )
                if not self._pool.has_open(upstream.record):
                    self._prober.suspect(
                        upstream,
                        reason,
                        lambda: self._record_crash(fingerprint, possible_crash),
                    )
            case Unknown(kind=FailureKind.CALLER_LEFT):
                # This VM has closed the connection, so it says nothing of the upstream.
                pass
            case Unknown():
                upstream.note_failure()

    def _record_crash(self, fingerprint: str, crash: Crash) -> None:
        """Record a crash of an upstream that ran a request; report it if it is new."""
        if not self._quarantine.add(fingerprint, [crash]):
            return
        self._report_suspect(fingerprint)
        if self._quarantine.refused_for(fingerprint):
            deaths = len(self._quarantine.crashes(fingerprint))
            emit(RequestQuarantined(fingerprint=fingerprint, deaths=deaths))

    def _update_load(self, upstream: UpstreamState, answer: UpstreamAnswer) -> None:
        load = answer.fields.load
        if load is not None:
            # The upstream's count includes this VM's requests, possibly this one too.
            upstream.set_load_of_others(
                load.running + load.waiting - upstream.in_flight
            )
