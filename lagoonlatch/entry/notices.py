"""What upstreams say of themselves in their answers: leaving, wanting nothing."""

from __future__ import annotations

from collections.abc import Callable

from lagoonlatch.entry.events import (
    UpstreamLeaving,
    UpstreamResting,
    UpstreamWishOdd,
)
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import UpstreamAnswer
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.steering.model import UpstreamRecord
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable


class UpstreamNotices:
    """Takes in what upstreams wish, from any of their answers.

    Parameters
    ----------
    tell_leaving : callable
        Tells other VMs of an upstream that leaves, when the store has not yet.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        pool: ConnectionPool,
        tell_leaving: Callable[[UpstreamRecord], None],
    ) -> None:
        self._upstream_table = upstream_table
        self._pool = pool
        self._tell_leaving = tell_leaving

    def note(self, upstream: UpstreamState, answer: UpstreamAnswer) -> None:
        """Take in an answer of the run of `upstream` that the request was sent to."""
        record, fields = upstream.record, answer.fields
        if fields.odd:
            emit(UpstreamWishOdd(upstream=record.id, why=fields.odd))
        if fields.rest > 0.0:
            upstream.set_rest(fields.rest)
            emit(UpstreamResting(upstream=record.id, rest_ms=round(fields.rest)))
        if not fields.is_leaving:
            return
        self._pool.drop(record.id)
        if self._upstream_table.note_leaving(record.id, record.born):
            emit(UpstreamLeaving(upstream=record.id, told_by="itself"))
            if not record.is_draining and not upstream.is_removed:
                self._tell_leaving(record)

    def handle_peer_notice(self, upstream_id: str, born: float, vm: str) -> None:
        """Take in another VM's word that a run of an upstream leaves."""
        if self._upstream_table.note_leaving(upstream_id, born):
            self._pool.drop(upstream_id)
            emit(UpstreamLeaving(upstream=upstream_id, told_by=vm))
