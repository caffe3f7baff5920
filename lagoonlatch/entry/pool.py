"""Pool of idle connections to the upstreams."""

from __future__ import annotations

from collections import defaultdict

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.exchange import UpstreamConnection
from lagoonlatch.steering.model import UpstreamRecord


class ConnectionPool:
    """Keeps the idle connections to each upstream; reuses the most recent one first.

    Parameters
    ----------
    memory_limit : AnswerMemoryLimit
        Limits the memory of the answers on all connections.
    """

    def __init__(self, memory_limit: AnswerMemoryLimit, clock: Clock) -> None:
        self._memory_limit = memory_limit
        self._clock = clock
        self._idle_by_id: dict[str, list[UpstreamConnection]] = defaultdict(list)

    def acquire(self, upstream: UpstreamRecord, timeout: Millis) -> UpstreamConnection:
        """Return an idle connection or a new one.

        Raises
        ------
        OSError
            If the upstream can't be reached.
        """
        idle = self._idle_by_id[upstream.id]
        while idle:
            connection = idle.pop()
            if connection.has_no_input() and not connection.is_expired():
                return connection
            connection.close()
        return UpstreamConnection.open(
            upstream.address, timeout, self._memory_limit, self._clock
        )

    def release(self, upstream: UpstreamRecord, connection: UpstreamConnection) -> None:
        """Keep a connection for later requests if it can be reused."""
        if connection.is_reusable:
            self._idle_by_id[upstream.id].append(connection)

    def has_open(self, upstream: UpstreamRecord) -> bool:
        """Return whether an idle connection to `upstream` is still open."""
        return any(
            connection.has_no_input() for connection in self._idle_by_id[upstream.id]
        )

    def has_closed_early(self, upstream: UpstreamRecord) -> bool:
        """Return whether an idle connection was closed well before its idle limit."""
        return any(
            not connection.has_no_input() and not connection.is_expired()
            for connection in self._idle_by_id[upstream.id]
        )

    def drop(self, upstream_id: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle_by_id.pop(upstream_id, ()):
            connection.close()

    def prune(self) -> None:
        """Close the idle connections that have expired."""
        for idle in self._idle_by_id.values():
            for connection in [c for c in idle if c.is_expired()]:
                idle.remove(connection)
                connection.close()
