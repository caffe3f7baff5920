"""One HTTP exchange with an upstream, with an outcome that is true.

The library's client sends a request again by itself when a connection turns out to be
closed, which a request that must run at most once forbids; so only its parser is used.
"""

from __future__ import annotations

import errno
import socket

import gevent
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.status_codes import is_final_status
from lagoonlatch.upstreams import headers as names
from lagoonlatch.upstreams.connections import Connection, ConnectionPool
from lagoonlatch.upstreams.messages import (
    BoundedResponse,
    outcome_of,
    request_head,
)
from lagoonlatch.upstreams.outcomes import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    UpstreamOutcome,
    UpstreamRequest,
)

DEFAULT_LARGEST_BODY = 16 * 1024 * 1024
"""Bytes of an answer's body."""

MOST_CONNECTIONS = 2
"""Connections tried while none of them takes a single byte."""

CONFIRM_TIMEOUT: Millis = 250.0
ANSWER_MARGIN: Millis = 10.0
UNREACHABLE_RETRY_AFTER: Millis = 1_000.0

_BLOCK_SIZE = 65_536

_PARSED_SIZE = 4_096
"""Bytes of an answer that are parsed before other greenlets may run."""


class Exchange:
    """One request on one connection, done by one greenlet.

    `perform` returns the outcome; `settle` then waits until the upstream has ended the
    request as well. `abandon` may be called by another greenlet at any time.
    """

    def __init__(
        self,
        request: UpstreamRequest,
        pool: ConnectionPool,
        clock: Clock,
        until: Millis,
        largest_body: int = DEFAULT_LARGEST_BODY,
    ) -> None:
        self.request = request
        self.started = clock.now()
        self.until = until
        self._pool = pool
        self._clock = clock
        self._largest_body = largest_body
        self._connection: Connection | None = None
        self._sent = False
        self._abandoned: NotRun | Unknown | None = None
        self._confirmed = True
        self._stopped_waiting = False

    def perform(self) -> UpstreamOutcome:
        """Send the request and return what came of it."""
        head = request_head(self.request, self._pool.address)
        if head is None:
            return Failure(NotRun(NotRunReason.MALFORMED, 0.0))
        for _ in range(MOST_CONNECTIONS):
            left = self.until - self._clock.now()
            acquired = self._pool.acquire(self.request.idempotent, left)
            if self._abandoned is not None:
                return self._leave_unused(acquired)
            if not isinstance(acquired, Success):
                return _unreachable()
            self._connection = acquired.unwrap()
            problem = self._send(head)
            if problem is not None:
                return problem
            if self._sent:
                return self._receive()
        return _unreachable()

    def abandon(self, reason: UnknownReason) -> NotRun | Unknown:
        """Give the request up and return the outcome that is true from now on."""
        if self._abandoned is not None:
            return self._abandoned
        if not self._sent:
            self._abandoned = NotRun(NotRunReason.CANCELLED, 0.0)
            return self._abandoned
        self._abandoned = Unknown(reason)
        if self._connection is not None:
            self._cancel(self._connection)
        return self._abandoned

    def settle(self) -> bool:
        """Return whether the upstream is known to have ended the request.

        Closing our sending side cancels the request at the upstream, which confirms
        by closing its own or by answering after all. Without that within
        `CONFIRM_TIMEOUT` nothing is known.
        """
        connection = self._connection
        if connection is None:
            return True
        self._connection = None
        connection.shut_down(socket.SHUT_WR)
        confirmed = self._confirmed
        if not confirmed and not self._stopped_waiting:
            confirmed = self._drain(connection)
        self._pool.discard(connection)
        return confirmed

    def close(self) -> None:
        """Close the connection of an exchange that did not end as announced."""
        if self._connection is not None:
            self._drop()

    def _drain(self, connection: Connection) -> bool:
        """Return whether the upstream ends the connection in time."""
        until = self._clock.now() + CONFIRM_TIMEOUT
        try:
            while (left := until - self._clock.now()) > 0.0:
                connection.sock.settimeout(left / MILLIS_PER_SECOND)
                if not connection.sock.recv(_BLOCK_SIZE):
                    return True
                gevent.sleep(0)
        except TimeoutError:
            return False
        except OSError:
            return True
        return False

    def _leave_unused(self, acquired) -> UpstreamOutcome:
        if isinstance(acquired, Success):
            self._pool.release(acquired.unwrap())
        return Failure(self._abandoned)

    def _cancel(self, connection: Connection) -> None:
        connection.shut_down(socket.SHUT_WR)
        gevent.spawn_later(
            CONFIRM_TIMEOUT / MILLIS_PER_SECOND, self._stop_waiting, connection
        )

    def _stop_waiting(self, connection: Connection) -> None:
        if self._connection is connection:
            self._stopped_waiting = True
            connection.shut_down(socket.SHUT_RDWR)

    def _send(self, head: bytes) -> UpstreamOutcome | None:
        connection = self._connection
        left = max(self.until - self._clock.now(), 0.0)
        if left <= 0.0:
            self._drop()
            return Failure(NotRun(NotRunReason.DEADLINE, 0.0))
        told = max(left - ANSWER_MARGIN, 0.0)
        deadline = f"{names.DEADLINE}: {told:.0f}\r\n\r\n"
        payload = memoryview(head + deadline.encode() + self.request.body)
        connection.sock.settimeout(left / MILLIS_PER_SECOND)
        offset = 0
        self._sent = True
        try:
            while offset < len(payload):
                offset += connection.sock.send(payload[offset:])
        except TimeoutError as error:
            return self._fail(_reason_of(error))
        except OSError:
            if offset > 0 or self._abandoned is not None:
                return self._fail(UnknownReason.CLOSED)
            self._sent = False
            self._drop()
        return None

    def _receive(self) -> UpstreamOutcome:
        self._confirmed = False
        connection = self._connection
        answer = BoundedResponse(self.request.method, self._largest_body)
        try:
            while not answer.final:
                left = max(self.until - self._clock.now(), 1.0)
                connection.sock.settimeout(left / MILLIS_PER_SECOND)
                connection.acknowledge_at_once()
                data = connection.sock.recv(_BLOCK_SIZE)
                if not data:
                    self._confirmed = not self._stopped_waiting
                    return self._fail(answer.reason_when_closed())
                if not self._parse(answer, data):
                    return self._fail(UnknownReason.TIMED_OUT)
        except TimeoutError as error:
            return self._fail(_reason_of(error))
        except HTTPParseError:
            return self._fail(UnknownReason.MALFORMED_ANSWER)
        except OSError:
            self._confirmed = not self._stopped_waiting
            return self._fail(answer.reason_when_closed())
        return self._judge(answer, connection)

    def _parse(self, answer: BoundedResponse, data: bytes) -> bool:
        """Parse bytes of an answer; return False if its time has run out."""
        for start in range(0, len(data), _PARSED_SIZE):
            if answer.final:
                answer.surplus = True
                return True
            answer.feed(data[start : start + _PARSED_SIZE])
            if not answer.final:
                # Data may arrive faster than they are read, so that reading never
                # waits.
                gevent.sleep(0)
                if self._clock.now() >= self.until:
                    return False
        return True

    def _judge(self, answer: BoundedResponse, connection: Connection):
        if answer.too_large:
            return self._fail(UnknownReason.TOO_LARGE)
        if not is_final_status(answer.get_code()):
            return self._fail(UnknownReason.MALFORMED_ANSWER)
        ended = connection.has_input()
        if answer.surplus or (ended and connection.sock.recv(1)):
            return self._fail(UnknownReason.MALFORMED_ANSWER)
        self._confirmed = True
        if not self._is_own(answer):
            return self._fail(UnknownReason.CROSSED)
        if self._abandoned is not None:
            return Failure(self._abandoned)
        if not ended and answer.should_keep_alive():
            self._connection = None
            self._pool.release(connection)
        return outcome_of(answer)

    def _is_own(self, answer: BoundedResponse) -> bool:
        """Return whether the answer names this request, if the upstream does that."""
        echoed = answer.get(names.REQUEST_ID)
        if echoed is None:
            return not self._pool.echoes_request_ids
        self._pool.echoes_request_ids = True
        return echoed == self.request.request_id

    def _fail(self, reason: UnknownReason) -> UpstreamOutcome:
        if self._abandoned is not None:
            return Failure(self._abandoned)
        return Failure(Unknown(reason))

    def _drop(self) -> None:
        self._pool.discard(self._connection)
        self._connection = None


def _unreachable() -> UpstreamOutcome:
    return Failure(NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER))


def _reason_of(error: TimeoutError) -> UnknownReason:
    """Tell our own timeout from the kernel's, which got no acknowledgement."""
    unacknowledged = error.errno == errno.ETIMEDOUT
    return UnknownReason.SILENT if unacknowledged else UnknownReason.TIMED_OUT
