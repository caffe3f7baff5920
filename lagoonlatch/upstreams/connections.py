"""The HTTP connections to one upstream instance.

A connection carries one request at a time. Only a connection on which the last answer
ended as announced is used again, and only after a look whether the upstream has closed
it or sent something unasked meanwhile.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

import gevent.socket
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis

DEFAULT_CONNECT_TIMEOUT: Millis = 1_000.0
DEFAULT_FRESHNESS: Millis = 1_000.0
DEFAULT_UNACKNOWLEDGED_LIMIT: Millis = 2_000.0
DEFAULT_LONGEST_IDLE: Millis = 30_000.0


@dataclass(frozen=True, kw_only=True)
class ConnectionSettings:
    """How connections to upstreams are opened and kept.

    Parameters
    ----------
    source_address : str
        IP address from which connections are opened, or empty for any.
    connect_timeout : Millis
        How long opening may take.
    freshness : Millis
        A request that must not be repeated uses a connection only within this time
        after its last answer; a longer silence may hide that it is lost.
    longest_idle : Millis
        An idle connection is closed after this time.
    unacknowledged_limit : Millis
        How long sent bytes may stay unacknowledged before the kernel gives up.
    """

    source_address: str = ""
    connect_timeout: Millis = DEFAULT_CONNECT_TIMEOUT
    freshness: Millis = DEFAULT_FRESHNESS
    longest_idle: Millis = DEFAULT_LONGEST_IDLE
    unacknowledged_limit: Millis = DEFAULT_UNACKNOWLEDGED_LIMIT


@dataclass(frozen=True)
class ConnectFailed:
    """No connection could be had, so nothing was sent."""

    reason: str


class Connection:
    """One open connection.

    Parameters
    ----------
    sock : gevent.socket.socket
        Connected socket.
    opened : Millis
        When it was opened.
    """

    def __init__(self, sock: gevent.socket.socket, opened: Millis) -> None:
        self.sock = sock
        self.opened = opened
        self.last_answer = opened

    def has_input(self) -> bool:
        """Return whether bytes or the end of the stream wait to be read."""
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def acknowledge_at_once(self) -> None:
        """Acknowledge the next bytes without delay.

        An upstream that writes head and body apart, with Nagle's algorithm on, holds
        the body back for a delayed acknowledgement, some 40 ms.
        """
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def shut_down(self, how: int) -> None:
        """Shut one or both directions; a connection that is gone stays gone."""
        try:
            self.sock.shutdown(how)
        except OSError:
            return

    def close(self) -> None:
        """Close it."""
        self.sock.close()


class ConnectionPool:
    """The connections to one instance, never more than `limit` at once.

    Parameters
    ----------
    address : str
        ``IP:port``.
    limit : int
        Connections open at once, idle ones included.

    Attributes
    ----------
    echoes_request_ids : bool
        Whether the upstream has named the request in an answer; from then on every
        answer has to.
    """

    def __init__(
        self, address: str, limit: int, clock: Clock, settings: ConnectionSettings
    ) -> None:
        assert limit > 0, f"limit {limit} leaves no connection; valid: above 0"
        host, _, port = address.rpartition(":")
        self.address = address
        self.limit = limit
        self.echoes_request_ids = False
        self._endpoint = (host.strip("[]"), int(port))
        self._clock = clock
        self._settings = settings
        self._idle: list[Connection] = []
        self._open = 0
        self._lost_before: Millis = 0.0
        self._closed = False

    @property
    def open_count(self) -> int:
        """Connections open now, idle ones included."""
        return self._open

    def acquire(
        self, repeatable: bool, left: Millis
    ) -> Result[Connection, ConnectFailed]:
        """Return a connection for one request.

        Parameters
        ----------
        repeatable : bool
            Whether the request may be sent again; otherwise only a new connection or
            one that answered within the freshness time will do.
        left : Millis
            Bounds the time for opening, beside the connect timeout.
        """
        self._drop_expired()
        allowed = self._settings.longest_idle
        if not repeatable:
            allowed = self._settings.freshness
        while self._idle:
            connection = self._idle.pop()
            silent_for = self._clock.now() - connection.last_answer
            if silent_for <= allowed and not connection.has_input():
                return Success(connection)
            self.discard(connection)
        return self._open_new(left)

    def release(self, connection: Connection) -> None:
        """Keep a connection whose last answer ended as announced."""
        connection.last_answer = self._clock.now()
        if self._closed or connection.opened < self._lost_before:
            self.discard(connection)
        else:
            self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection."""
        connection.close()
        self._open -= 1

    def discard_opened_before(self, instant: Millis) -> None:
        """Close idle connections opened before `instant`; keep no such one later."""
        self._lost_before = max(self._lost_before, instant)
        for connection in [c for c in self._idle if c.opened < instant]:
            self._idle.remove(connection)
            self.discard(connection)

    def close(self) -> None:
        """Close all idle connections, and those in use when they are released."""
        self._closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.discard(self._idle.pop())

    def _open_new(self, left: Millis) -> Result[Connection, ConnectFailed]:
        """Open a new connection, closing an idle one if the limit asks for it."""
        if self._open >= self.limit and self._idle:
            self.discard(self._idle.pop(0))
        if self._open >= self.limit:
            return Failure(ConnectFailed(f"all {self.limit} connections are in use"))
        self._open += 1
        sock = self._new_socket()
        timeout = min(self._settings.connect_timeout, max(left, 1.0))
        sock.settimeout(timeout / MILLIS_PER_SECOND)
        try:
            sock.connect(self._endpoint)
        except OSError as error:
            sock.close()
            self._open -= 1
            return Failure(ConnectFailed(str(error)))
        except BaseException:
            sock.close()
            self._open -= 1
            raise
        return Success(Connection(sock, self._clock.now()))

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - self._settings.longest_idle
        while self._idle and self._idle[0].last_answer < oldest:
            self.discard(self._idle.pop(0))

    def _new_socket(self) -> gevent.socket.socket:
        family = socket.AF_INET6 if ":" in self._endpoint[0] else socket.AF_INET
        sock = gevent.socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(self._settings.unacknowledged_limit),
        )
        if self._settings.source_address:
            sock.bind((self._settings.source_address, 0))
        return sock
