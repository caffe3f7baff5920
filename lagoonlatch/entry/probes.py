"""Health checks of upstreams under suspicion, until they answer or are gone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import UpstreamSuspected, UpstreamTrusted
from lagoonlatch.entry.exchange import AnswerMemoryLimit, UpstreamConnection
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import Answered, Outcome, UpstreamRequest
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.platform.headers import health_request_fields
from lagoonlatch.steering.upstreams import UpstreamState

PROBE_TIMEOUT: Millis = 1_000.0
"""A check waits for a slot like any request, so it may take as long as one."""

FIRST_PAUSE: Millis = 250.0
LONGEST_PAUSE: Millis = 1_000.0
"""Bounds of the growing pause between checks."""

_OK = 200


class Prober:
    """Checks suspects, one task for each."""

    def __init__(
        self,
        facts: Facts,
        held: AnswerMemoryLimit,
        wishes: UpstreamNotices,
        clock: Clock,
    ) -> None:
        self._held = held
        self._wishes = wishes
        self._facts = facts
        self._clock = clock
        self._on_dead_by_id: defaultdict[str, list[Callable[[], None]]] = defaultdict(
            list
        )

    def suspect(
        self,
        upstream: UpstreamState,
        reason: str,
        on_dead: Callable[[], None] | None = None,
    ) -> None:
        """Send `upstream` nothing until it answers a health check.

        `on_dead` is called once if the first check fails too.
        """
        if upstream.is_removed:
            return
        if on_dead is not None:
            self._on_dead_by_id[upstream.record.id].append(on_dead)
        if upstream.is_suspect:
            return
        upstream.is_suspect = True
        emit(UpstreamSuspected(upstream=upstream.record.id, why=reason))
        gevent.spawn(self._probe_until_known, upstream)

    def _probe_until_known(self, upstream: UpstreamState) -> None:
        pause = FIRST_PAUSE
        since = self._clock.now()
        while upstream.is_suspect and not (upstream.is_removed or upstream.is_leaving):
            rest = upstream.rest_left()
            if rest > 0.0:
                gevent.sleep(rest / MILLIS_PER_SECOND)
                continue
            if self._probe(upstream, since):
                self._on_dead_by_id.pop(upstream.record.id, None)
                return
            for call in self._on_dead_by_id.pop(upstream.record.id, ()):
                call()
            gevent.sleep(pause / MILLIS_PER_SECOND)
            pause = min(pause * 2.0, LONGEST_PAUSE)

    def _probe(self, upstream: UpstreamState, since: Millis) -> bool:
        rules = self._facts.rules
        service = rules and rules.services_by_id.get(upstream.record.service)
        if not service:
            return False
        outcome = self._check(upstream.record.address, service.health_path)
        if not isinstance(outcome, Answered):
            return False
        fields = outcome.answer.fields
        if fields.upstream and fields.upstream != upstream.record.id:
            return False
        self._wishes.note(upstream, outcome.answer)
        if outcome.answer.status != _OK:
            return False
        upstream.clear_suspicion(fields.cold_left)
        emit(
            UpstreamTrusted(
                upstream=upstream.record.id,
                after_ms=round(self._clock.now() - since),
                cold_ms=round(fields.cold_left),
            )
        )
        return True

    def _check(self, address: str, path: str) -> Outcome | None:
        request = UpstreamRequest(
            method=b"GET",
            target=path.encode(),
            headers=health_request_fields(address),
            body=b"",
            has_body=False,
            request_id=b"",
        )
        try:
            with gevent.Timeout(PROBE_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
                connection = UpstreamConnection.open(
                    address, PROBE_TIMEOUT, self._held, self._clock
                )
                try:
                    return connection.exchange(request, PROBE_TIMEOUT)
                finally:
                    connection.close()
        except OSError:
            return None
