"""Handle the notices in answers of upstreams that leave, rest or name a limit."""

from __future__ import annotations

from collections.abc import Callable

from lagoonlatch.clock import Millis
from lagoonlatch.entry.events import (
    UpstreamLeaving,
    UpstreamResting,
    UpstreamWishOdd,
)
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import UpstreamAnswer
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.entry.slots import emit_limit_change
from lagoonlatch.steering.model import UpstreamRecord
from lagoonlatch.steering.rate_limits import NamedLimit
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable

_FIRST_SERVER_ERROR = 500


class UpstreamNotices:
    """Applies the notices that upstreams put into any of their answers.

    Parameters
    ----------
    report_leaving : callable
        Reports a leaving upstream to other VMs, unless its store entry says so already.
    report_limit : callable
        Reports a limit to the home VM of an upstream, and whether the limit has ended.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        pool: ConnectionPool,
        report_leaving: Callable[[UpstreamRecord], None],
        report_limit: Callable[[UpstreamState, NamedLimit, bool], None],
    ) -> None:
        self._upstream_table = upstream_table
        self._pool = pool
        self._report_leaving = report_leaving
        self._report_limit = report_limit

    def handle_answer(
        self,
        upstream: UpstreamState,
        answer: UpstreamAnswer,
        sent_at: Millis,
        is_check: bool = False,
    ) -> None:
        """Apply the notices in an answer of the run that `upstream` describes.

        Parameters
        ----------
        sent_at : Millis
            A time at or before which the request was sent.
        is_check : bool
            Whether it is the answer to a health check, which doesn't end a limit.
        """
        record, fields = upstream.record, answer.fields
        if fields.odd:
            emit(UpstreamWishOdd(upstream=record.id, why=fields.odd))
        if fields.rest > 0.0:
            upstream.set_rest(fields.rest)
            emit(UpstreamResting(upstream=record.id, rest_ms=round(fields.rest)))
        # A refusal or failure without the field, or a field that can't be read, doesn't
        # show that the upstream has no limit.
        is_served = answer.status < _FIRST_SERVER_ERROR and not fields.not_run
        ends_limit = is_served and not (is_check or fields.odd)
        if fields.rate_limit is not None or ends_limit:
            self._update_limit(upstream, fields.rate_limit, sent_at)
        if not fields.is_leaving:
            return
        self._pool.drop(record.id)
        if self._upstream_table.note_leaving(record.id, record.born):
            emit(UpstreamLeaving(upstream=record.id, told_by="itself"))
            if not record.is_draining and not upstream.is_removed:
                self._report_leaving(record)

    def _update_limit(
        self, upstream: UpstreamState, rate: float | None, sent_at: Millis
    ) -> None:
        limit = NamedLimit(
            rate=rate or 0.0,
            born=upstream.record.born,
            epoch=upstream.epoch_before(sent_at),
        )
        if rate is None:
            has_changed = upstream.end_limit(sent_at)
            if has_changed:
                self._report_limit(upstream, limit, True)
        else:
            has_changed = upstream.name_limit(rate, sent_at)
            self._report_limit(upstream, limit, False)
        if has_changed:
            emit_limit_change(upstream, "itself")

    def handle_peer_notice(self, upstream_id: str, born: float, vm: str) -> None:
        """Apply the report of another VM that a run of an upstream leaves."""
        if self._upstream_table.note_leaving(upstream_id, born):
            self._pool.drop(upstream_id)
            emit(UpstreamLeaving(upstream=upstream_id, told_by=vm))
