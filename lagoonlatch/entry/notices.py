"""Handle the notices in answers of upstreams that leave, rest or name a limit."""

from __future__ import annotations

from collections.abc import Callable

from lagoonlatch.clock import Millis
from lagoonlatch.entry.events import (
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamResting,
    UpstreamUnlimited,
    UpstreamWishOdd,
)
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import UpstreamAnswer
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.steering.model import UpstreamRecord
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable


class UpstreamNotices:
    """Applies the notices that upstreams put into any of their answers.

    Parameters
    ----------
    report_leaving : callable
        Reports a leaving upstream to other VMs, unless its store entry says so already.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        pool: ConnectionPool,
        report_leaving: Callable[[UpstreamRecord], None],
    ) -> None:
        self._upstream_table = upstream_table
        self._pool = pool
        self._report_leaving = report_leaving

    def handle_answer(
        self,
        upstream: UpstreamState,
        answer: UpstreamAnswer,
        sent_at: Millis | None = None,
    ) -> None:
        """Apply the notices in an answer of the run that `upstream` describes.

        Parameters
        ----------
        sent_at : Millis, optional
            A time at or before which the request was sent. None for health checks,
            whose answers don't end a limit.
        """
        record, fields = upstream.record, answer.fields
        if fields.odd:
            emit(UpstreamWishOdd(upstream=record.id, why=fields.odd))
        if fields.rest > 0.0:
            upstream.set_rest(fields.rest)
            emit(UpstreamResting(upstream=record.id, rest_ms=round(fields.rest)))
        self._update_rate_limit(upstream, fields.rate_limit, sent_at)
        if not fields.is_leaving:
            return
        self._pool.drop(record.id)
        if self._upstream_table.note_leaving(record.id, record.born):
            emit(UpstreamLeaving(upstream=record.id, told_by="itself"))
            if not record.is_draining and not upstream.is_removed:
                self._report_leaving(record)

    def _update_rate_limit(
        self, upstream: UpstreamState, rate_limit: float | None, sent_at: Millis | None
    ) -> None:
        if rate_limit is not None:
            if upstream.set_rate_limit(rate_limit):
                emit(UpstreamLimited(upstream=upstream.record.id, rate=rate_limit))
        elif sent_at is not None and upstream.end_rate_limit(sent_at):
            emit(UpstreamUnlimited(upstream=upstream.record.id))

    def handle_peer_notice(self, upstream_id: str, born: float, vm: str) -> None:
        """Apply the report of another VM that a run of an upstream leaves."""
        if self._upstream_table.note_leaving(upstream_id, born):
            self._pool.drop(upstream_id)
            emit(UpstreamLeaving(upstream=upstream_id, told_by=vm))
