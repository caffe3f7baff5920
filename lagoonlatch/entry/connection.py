"""A caller's connection: requests are read ahead and answered in order."""

from __future__ import annotations

import contextlib
import itertools
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import gevent
import h11
from gevent import socket
from gevent.event import Event
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import CallerBytesRejected, RequestCrashed
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import (
    CONNECTION_FIELDS,
    CallerAnswer,
    CallerRequest,
)
from lagoonlatch.platform.headers import read_request_fields
from lagoonlatch.steering.model import CallerLimits

MAX_READ_AHEAD = 16
"""Requests of one connection that are worked on at once; more wait unread."""

EVENTS_AT_ONCE = 8
"""Parts of a request that are read before other tasks have their turn; most requests
have fewer."""

WRITE_TIMEOUT: Millis = 10_000.0
"""A caller that takes nothing of its answer for so long is gone."""

CLOSE_WAIT: Millis = 1_000.0
"""How long the caller's own close is waited for, lest a reset eat the answer."""

PENDING_POLL: Millis = 500.0
"""How often a reader looks whether its connection has become idle."""

_CHUNK = 64 * 1024


class Handler(Protocol):
    """Answers whole requests."""

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer."""


@dataclass(frozen=True)
class _Rejected:
    """The caller's bytes are no request that can be served."""

    status: int
    reason: str


@dataclass(frozen=True)
class _Closed:
    """The caller closed the connection or stayed idle too long."""


@dataclass(frozen=True)
class _Ending:
    """The end has been announced to the caller; what arrives now counts as unread."""


class _Pending:
    """A request that has been read and not yet answered."""

    def __init__(self, parser: h11.Connection, before: Event | None) -> None:
        self.parser = parser
        self.before = before
        self.answered = Event()
        self.request: CallerRequest | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.wants_close = False


class CallerConnection:
    """Serves one connection; `run` returns when it is closed.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    is_stopping : callable
        Returns whether the VM leaves, so that answers close their connections.
    """

    def __init__(
        self,
        sock: socket.socket,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._limits = limits
        self._is_stopping = is_stopping
        self._clock = clock
        self._pending: list[_Pending] = []
        self._is_ending = False
        self._idle_since = clock.now()
        self._idle_timeout = limits().idle_timeout
        self._unread = b""

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._pending and not self._unread

    def run(self) -> None:
        """Read and answer requests until either side ends the connection."""
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._read_requests()
        except OSError:
            # The caller reset the connection; nobody is left to answer.
            pass
        finally:
            self._cancel()
            self._sock.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way."""
        if self.is_idle and not self._is_ending:
            self._is_ending = True
            with contextlib.suppress(OSError):
                # The caller may have closed it first.
                self._sock.shutdown(socket.SHUT_WR)

    def _read_requests(self) -> None:
        while not self._is_ending:
            if len(self._pending) >= MAX_READ_AHEAD:
                self._pending[0].answered.wait()
                continue
            before = self._pending[-1].answered if self._pending else None
            limits = self._limits()
            parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
            pending = _Pending(parser, before)
            result = self._read_request(pending, limits)
            if isinstance(result, Success):
                pending.request = result.unwrap()
                self._start(pending)
                continue
            failure = result.failure()
            if isinstance(failure, _Closed):
                return
            if isinstance(failure, _Ending):
                break
            self._reject(pending, failure)
        self._await_end()

    def _read_request(
        self, pending: _Pending, limits: CallerLimits
    ) -> Result[CallerRequest, _Rejected | _Closed | _Ending]:
        parser = pending.parser
        if self._unread:
            parser.receive_data(self._unread)
        started = self._clock.now() if self._unread else None
        self._unread = b""
        head: h11.Request | None = None
        received: Millis = 0.0
        body = bytearray()
        turn = itertools.cycle(range(EVENTS_AT_ONCE))
        while True:
            if next(turn) == EVENTS_AT_ONCE - 1:
                # Bytes may come faster than they are read; other tasks go on.
                gevent.sleep(0)
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                return Failure(_Rejected(error.error_status_hint, str(error)))
            if event is h11.NEED_DATA:
                if head is not None and parser.they_are_waiting_for_100_continue:
                    self._send_continue(pending)
                data = self._receive(started, head is not None, limits)
                if data is None:
                    reason = "request not complete in time"
                    return Failure(_Rejected(HTTPStatus.REQUEST_TIMEOUT, reason))
                if data == b"":
                    return Failure(_Closed())
                if self._is_ending:
                    return Failure(_Ending())
                started = started or self._clock.now()
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head, received = event, self._clock.now()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    reason = f"body of over {limits.body_bytes} bytes"
                    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                    return Failure(_Rejected(status, reason))
            elif isinstance(event, h11.EndOfMessage):
                self._unread, _ = parser.trailing_data
                return _to_request(head, bytes(body), received)
            else:
                return Failure(_Closed())

    def _receive(
        self, started: Millis | None, has_head: bool, limits: CallerLimits
    ) -> bytes | None:
        """Return the next bytes: b"" at the end, None if a request is too slow."""
        last = self._clock.now()
        while True:
            now = self._clock.now()
            if started is None:
                # A caller may count on the limit that held at its last answer.
                allowed = max(limits.idle_timeout, self._idle_timeout)
                left = allowed - (now - self._idle_since)
                if self._pending:
                    left = PENDING_POLL
                elif left <= 0.0:
                    return b""
            else:
                since = last if has_head else started
                left = limits.header_timeout - (now - since)
                if left <= 0.0:
                    return None
            self._sock.settimeout(max(left, 1.0) / MILLIS_PER_SECOND)
            try:
                return self._sock.recv(_CHUNK)
            except TimeoutError:
                continue

    def _send_continue(self, pending: _Pending) -> None:
        if pending.before is not None:
            pending.before.wait()
        interim = h11.InformationalResponse(status_code=100, headers=[])
        self._sock.sendall(pending.parser.send(interim))

    def _start(self, pending: _Pending) -> None:
        pending.wants_close = pending.parser.their_state is h11.MUST_CLOSE
        if pending.wants_close:
            self._is_ending = True
        self._pending.append(pending)
        pending.greenlet = gevent.spawn(self._serve, pending)

    def _reject(self, pending: _Pending, rejected: _Rejected) -> None:
        self._is_ending = True
        pending.wants_close = True
        self._pending.append(pending)
        emit(CallerBytesRejected(status=rejected.status, why=rejected.reason))
        pending.greenlet = gevent.spawn(
            self._finish, pending, CallerAnswer(status=rejected.status)
        )

    def _serve(self, pending: _Pending) -> None:
        assert pending.request is not None, "only whole requests are served"
        try:
            answer = self._handler.handle(pending.request)
        except Exception:
            # A defect of this program; the caller still gets an answer.
            name = pending.request.fields.request_id.decode("latin-1")
            emit(RequestCrashed(request=name, why=traceback.format_exc()))
            answer = CallerAnswer(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        self._finish(pending, answer)

    def _finish(self, pending: _Pending, answer: CallerAnswer) -> None:
        if pending.before is not None:
            pending.before.wait()
            pending.before = None
        try:
            self._write(pending, answer)
        except OSError:
            # The caller is gone; the reader notices too and ends the connection.
            self._is_ending = True
        finally:
            self._pending.remove(pending)
            self._idle_since = self._clock.now()
            self._idle_timeout = self._limits().idle_timeout
            pending.answered.set()

    def _write(self, pending: _Pending, answer: CallerAnswer) -> None:
        is_last = self._pending[-1] is pending and not self._unread
        closes = pending.wants_close or (self._is_stopping() and is_last)
        data = _encode(pending.parser, answer, closes)
        if closes:
            self._is_ending = True
        with gevent.Timeout(WRITE_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
            self._sock.sendall(data)
        if closes:
            self._sock.shutdown(socket.SHUT_WR)

    def _await_end(self) -> None:
        """Take in what the caller still sends until it closes."""
        deadline: Millis | None = None
        while True:
            if not self._pending:
                deadline = deadline or self._clock.now() + CLOSE_WAIT
                if self._clock.now() >= deadline:
                    return
            self._sock.settimeout(PENDING_POLL / MILLIS_PER_SECOND)
            try:
                if not self._sock.recv(_CHUNK):
                    return
            except TimeoutError:
                continue
            gevent.sleep(0)

    def _cancel(self) -> None:
        """Drop the work whose answer nobody waits for."""
        for pending in list(self._pending):
            request = pending.request
            if pending.greenlet is not None and (request is None or request.may_cancel):
                pending.greenlet.kill(block=False)


def _to_request(
    head: h11.Request | None, body: bytes, received: Millis
) -> Result[CallerRequest, _Rejected]:
    assert head is not None, "a message begins with its head"
    lower = [(bytes(name), bytes(value)) for name, value in head.headers]
    value_by_name = dict(lower)
    if b"content-length" in value_by_name and b"transfer-encoding" in value_by_name:
        reason = "both a length and chunks"
        return Failure(_Rejected(HTTPStatus.BAD_REQUEST, reason))
    host = value_by_name.get(b"host", b"").decode("latin-1").lower()
    return Success(
        CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            host=host.partition(":")[0],
            headers=[(bytes(n), bytes(v)) for n, v in head.headers.raw_items()],
            body=body,
            has_body=(
                b"content-length" in value_by_name
                or b"transfer-encoding" in value_by_name
            ),
            fields=read_request_fields(lower),
            received=received,
        )
    )


def _encode(parser: h11.Connection, answer: CallerAnswer, closes: bool) -> bytes:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in CONNECTION_FIELDS
    ]
    headers.append((b"Content-Length", str(len(answer.body)).encode()))
    if closes:
        headers.append((b"Connection", b"close"))
    reason = _reason(answer.status)
    head = h11.Response(status_code=answer.status, headers=headers, reason=reason)
    parts = [parser.send(head)]
    if answer.body:
        parts.append(parser.send(h11.Data(data=answer.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
