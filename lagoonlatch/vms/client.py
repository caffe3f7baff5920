"""Calls to other VMs over pooled connections."""

from __future__ import annotations

import itertools
import secrets
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.vms.client_connection import ClientConnection
from lagoonlatch.vms.connection import MAX_FRAME_BYTES
from lagoonlatch.vms.errors import PeerError, PeerUnreachable
from lagoonlatch.vms.settling import CallVoided, SettledCall

CONNECT_TIMEOUT: Millis = 1_000.0
MAX_IDLE_PER_PEER = 8
MAX_CALLS_PER_PEER = 256
IDLE_TIMEOUT: Millis = 20_000.0
"""Shorter than the server's, so that the client closes first."""

SETTLE_AFTER: Millis = 500.0
"""A call without an answer for so long is asked after on a new connection."""

_CALL_ID_BYTES = 8


@dataclass
class _PeerState:
    idle: deque[ClientConnection] = field(default_factory=deque)
    in_flight: set[ClientConnection] = field(default_factory=set)


class PeerClients:
    """Calls the other VMs, one call at a time on each connection.

    Parameters
    ----------
    clock : Clock
        Ages the idle connections.
    source_address : str, optional
        Own IP address that outgoing connections are bound to.
    connect_timeout : Millis
        How long opening a connection may take.
    max_idle_per_peer, max_calls_per_peer : int
        Bounds on idle connections and on calls in flight to one peer.
    settle_after : Millis
        How long a call waits before it is asked after.

    Notes
    -----
    A connection whose call timed out, was cancelled or failed is closed, never
    used again. An idle connection is used again only if nothing arrived on it.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        source_address: str | None = None,
        connect_timeout: Millis = CONNECT_TIMEOUT,
        max_idle_per_peer: int = MAX_IDLE_PER_PEER,
        max_calls_per_peer: int = MAX_CALLS_PER_PEER,
        idle_timeout: Millis = IDLE_TIMEOUT,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        settle_after: Millis = SETTLE_AFTER,
    ) -> None:
        self._clock = clock
        self._source_address = source_address
        self._connect_timeout = connect_timeout
        self._max_idle_per_peer = max_idle_per_peer
        self._max_calls_per_peer = max_calls_per_peer
        self._idle_timeout = idle_timeout
        self._max_frame_bytes = max_frame_bytes
        self._settle_after = settle_after
        self._call_ids = itertools.count()
        self._call_id_prefix = secrets.token_hex(_CALL_ID_BYTES)
        self._peers_by_endpoint: dict[tuple[str, int], _PeerState] = {}

    def call(
        self,
        address: str,
        port: int,
        method_name: str,
        *args: Any,
        deadline: Millis,
        fresh: bool = False,
        incarnation: int = 0,
    ) -> Result[Any, PeerError]:
        """Call a method of the `Peer` protocol.

        Parameters
        ----------
        address, port : str, int
            Where the peer listens.
        method_name : str
            A method of ``Peer.Iface``.
        *args
            Its arguments, generated thrift structs.
        deadline : Millis
            Milliseconds from now, for connecting, sending and the answer.
        fresh : bool
            Open a new connection rather than take an idle one.
        incarnation : int
            For ``execute`` and ``relay``: the run of the peer that was heard last.
            A call whose connection goes silent or is lost is then asked after on a
            new connection, and sent once more if it never arrived, so few outcomes
            stay unknown.

        Returns
        -------
        Result
            The answer, `PeerUnreachable` if the call was not run, or
            `PeerOutcomeUnknown` if it may have run.
        """
        endpoint = (address, port)
        ends = self._clock.now() + deadline
        answer = self._attempt(endpoint, method_name, args, ends, fresh, incarnation)
        if isinstance(answer, Failure) and isinstance(answer.failure(), CallVoided):
            return self._attempt(endpoint, method_name, args, ends, True, incarnation)
        return answer

    def _attempt(self, endpoint, method_name, args, ends, fresh, incarnation):
        peer = self._peers_by_endpoint.setdefault(endpoint, _PeerState())
        if len(peer.in_flight) >= self._max_calls_per_peer:
            return Failure(PeerUnreachable(f"{len(peer.in_flight)} calls in flight"))
        connection = None if fresh else self._take_idle(peer)
        if connection is None:
            connection = ClientConnection(self._clock.now(), self._max_frame_bytes)
        peer.in_flight.add(connection)
        try:
            opened = self._open(connection, endpoint, ends - self._clock.now())
            if not isinstance(opened, Success):
                return opened
            return self._send_and_receive(
                connection, endpoint, method_name, args, ends, incarnation
            )
        finally:
            # Also reached when the calling greenlet is killed.
            peer.in_flight.discard(connection)
            self._put_back(peer, connection)

    def _send_and_receive(
        self, connection, endpoint, method_name, args, ends, incarnation
    ):
        if incarnation:
            args[0].call_id = f"{self._call_id_prefix}-{next(self._call_ids)}"
        sent_at = self._clock.now()
        sent = connection.send(method_name, args, ends - sent_at)
        if not isinstance(sent, Success):
            return sent
        if not incarnation:
            return connection.receive(ends - self._clock.now())
        settled = SettledCall(
            self, self._clock, endpoint, args[0].call_id, incarnation, sent_at, ends
        )
        return settled.receive(connection, self._settle_after)

    def drop_idle(self, address: str, port: int) -> None:
        """Close the idle connections to a peer, so that new ones are tried."""
        peer = self._peers_by_endpoint.get((address, port))
        if peer is not None:
            _close_idle(peer)

    def forget(self, address: str, port: int) -> None:
        """Close the idle connections to a peer that is gone for good."""
        self.drop_idle(address, port)
        peer = self._peers_by_endpoint.get((address, port))
        if peer is not None and not peer.in_flight:
            del self._peers_by_endpoint[address, port]

    def close(self) -> None:
        """Close all idle connections."""
        for peer in self._peers_by_endpoint.values():
            _close_idle(peer)

    def _take_idle(self, peer):
        oldest_use = self._clock.now() - self._idle_timeout
        while peer.idle:
            connection = peer.idle.pop()
            if connection.used_at >= oldest_use and connection.is_clean():
                return connection
            connection.close()
        return None

    def _open(self, connection, endpoint, deadline):
        if connection.is_open:
            return Success(None)
        timeout = max(min(self._connect_timeout, deadline), 0.0)
        return connection.open(endpoint, self._source_address, timeout)

    def _put_back(self, peer, connection):
        if connection.timed_out:
            # Its path may have gone silent; the idle ones share the path.
            _close_idle(peer)
        if not connection.reusable:
            connection.close()
            return
        connection.used_at = self._clock.now()
        peer.idle.append(connection)
        while len(peer.idle) > self._max_idle_per_peer:
            peer.idle.popleft().close()


def _close_idle(peer: _PeerState) -> None:
    while peer.idle:
        peer.idle.pop().close()
