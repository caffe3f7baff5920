"""Probe suspect upstreams with health checks until they answer or are gone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from enum import Enum

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.events import UpstreamSuspected, UpstreamTrusted
from lagoonlatch.entry.exchange import UpstreamConnection
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import (
    Answered,
    FailureKind,
    NotRun,
    Outcome,
    Unknown,
    UpstreamRequest,
)
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.platform.headers import health_request_fields
from lagoonlatch.steering.upstreams import UpstreamState

PROBE_TIMEOUT: Millis = 1_000.0
"""Time limit of one health check, which waits for a slot like other requests."""

FIRST_PROBE_INTERVAL: Millis = 250.0
MAX_PROBE_INTERVAL: Millis = 1_000.0
"""Bounds of the interval between health checks, which doubles after each."""

_OK = 200


class _CheckResult(Enum):
    """Result of one health check."""

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    """The upstream runs and sends something, but not that it is healthy."""
    MISSING = "missing"
    """The upstream doesn't answer, or another one has its address."""


class Prober:
    """Probes suspect upstreams, each in its own greenlet.

    Parameters
    ----------
    claim_check : callable
        Returns whether a check of an upstream with a rate limit may be sent now.
    """

    def __init__(
        self,
        facts: Facts,
        memory_limit: AnswerMemoryLimit,
        notices: UpstreamNotices,
        claim_check: Callable[[UpstreamState], bool],
        clock: Clock,
    ) -> None:
        self._memory_limit = memory_limit
        self._notices = notices
        self._claim_check = claim_check
        self._facts = facts
        self._clock = clock
        self._failure_callbacks_by_id: defaultdict[str, list[Callable[[], None]]] = (
            defaultdict(list)
        )

    def suspect(
        self,
        upstream: UpstreamState,
        reason: str,
        on_check_failed: Callable[[], None] | None = None,
    ) -> None:
        """Mark `upstream` as suspect, and probe it until it answers or is gone.

        Parameters
        ----------
        on_check_failed : callable, optional
            Is called once if the upstream doesn't answer the next health check.
        """
        if upstream.is_removed:
            return
        if on_check_failed is not None:
            self._failure_callbacks_by_id[upstream.record.id].append(on_check_failed)
        if upstream.is_suspect:
            return
        upstream.is_suspect = True
        emit(UpstreamSuspected(upstream=upstream.record.id, why=reason))
        gevent.spawn(self._probe_while_suspect, upstream)

    def _probe_while_suspect(self, upstream: UpstreamState) -> None:
        interval = FIRST_PROBE_INTERVAL
        since = self._clock.now()
        while upstream.is_suspect and not (upstream.is_removed or upstream.is_leaving):
            rest_left = upstream.rest_left()
            if rest_left > 0.0:
                gevent.sleep(rest_left / MILLIS_PER_SECOND)
                continue
            if upstream.rate_limit is not None and not self._claim_check(upstream):
                gevent.sleep(interval / MILLIS_PER_SECOND)
                continue
            result = self._probe(upstream, since)
            callbacks = self._failure_callbacks_by_id.pop(upstream.record.id, ())
            if result is _CheckResult.HEALTHY:
                return
            if result is _CheckResult.MISSING:
                for on_check_failed in callbacks:
                    on_check_failed()
            gevent.sleep(interval / MILLIS_PER_SECOND)
            interval = min(interval * 2.0, MAX_PROBE_INTERVAL)

    def _probe(self, upstream: UpstreamState, since: Millis) -> _CheckResult:
        rules = self._facts.rules
        service = rules and rules.services_by_id.get(upstream.record.service)
        if not service:
            return _CheckResult.UNHEALTHY
        sent_at = self._clock.now()
        outcome = self._check(upstream.record.address, service.health_path)
        if isinstance(outcome, Unknown) and outcome.kind is FailureKind.MALFORMED:
            return _CheckResult.UNHEALTHY
        answer = outcome.answer if isinstance(outcome, Answered | NotRun) else None
        if answer is None:
            return _CheckResult.MISSING
        fields = answer.fields
        if fields.upstream and fields.upstream != upstream.record.id:
            return _CheckResult.MISSING
        self._notices.handle_answer(upstream, answer, sent_at, is_check=True)
        if not isinstance(outcome, Answered) or answer.status != _OK:
            return _CheckResult.UNHEALTHY
        upstream.clear_suspicion(fields.cold_left)
        emit(
            UpstreamTrusted(
                upstream=upstream.record.id,
                after_ms=round(self._clock.now() - since),
                cold_ms=round(fields.cold_left),
            )
        )
        return _CheckResult.HEALTHY

    def _check(self, address: str, path: str) -> Outcome | None:
        request = UpstreamRequest(
            method=b"GET",
            target=path.encode(),
            headers=health_request_fields(address),
            body=b"",
            has_body=False,
            request_id=b"",
            requires_stamp=False,
        )
        try:
            with gevent.Timeout(PROBE_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
                connection = UpstreamConnection.open(
                    address, PROBE_TIMEOUT, self._memory_limit, self._clock
                )
                try:
                    return connection.exchange(request, PROBE_TIMEOUT)
                finally:
                    connection.close()
        except OSError:
            return None
