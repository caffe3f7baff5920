"""Serve a caller's connection: pipelined requests run together, answers keep order."""

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
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.events import (
    AnswerCutOff,
    AnswerDiscarded,
    CallerBytesRejected,
    RequestCrashed,
)
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import (
    CALLER_LEFT_STATUS,
    CONNECTION_FIELDS,
    CallerAnswer,
    CallerRequest,
)
from lagoonlatch.platform.headers import read_request_fields
from lagoonlatch.sockets import is_closed_by_peer
from lagoonlatch.steering.model import CallerLimits

MAX_PIPELINED_REQUESTS = 16
"""Limit of the requests of one connection that are handled at the same time; further
ones stay unread."""

EVENTS_BETWEEN_YIELDS = 8
"""Parser events handled before other greenlets may run; most requests have fewer."""

STALLED_WRITE_TIMEOUT: Millis = 10_000.0
"""A caller that accepts no bytes for so long counts as gone. A write that makes
progress has no limit, since links to callers may be slow."""

UNSENT_BYTES = 64 * 1024
"""Limit of the bytes that the kernel holds unsent for a connection, so that writes show
the caller's progress and waiting answers use memory that is counted."""

CLOSE_TIMEOUT: Millis = 1_000.0
"""Time to wait for the caller to close the connection. Closing it earlier may cause a
reset that discards the answer."""

CLOSE_CHECK_INTERVAL: Millis = 100.0
"""Interval at which a reader that waits for an answer to be written checks whether the
caller has closed the connection."""

IDLE_CHECK_INTERVAL: Millis = 500.0
"""Interval at which a reader checks whether its connection has become idle."""

_CHUNK_BYTES = 64 * 1024


class Handler(Protocol):
    """Handles complete requests."""

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to a request."""


@dataclass(frozen=True)
class _Rejected:
    """The caller sent bytes that aren't a valid request within the limits."""

    status: int
    reason: str


@dataclass(frozen=True)
class _Closed:
    """The caller closed the connection or stayed idle too long."""


@dataclass(frozen=True)
class _IgnoredRequest:
    """An answer has announced the close of the connection; later bytes are ignored."""


class _PendingRequest:
    """A request that is being read or has not been answered yet.

    Parameters
    ----------
    previous_answered : Event or None
        Is set when the previous request of the connection has been answered.

    Attributes
    ----------
    must_close : bool
        Whether the connection is closed after the answer.
    """

    def __init__(self, parser: h11.Connection, previous_answered: Event | None) -> None:
        self.parser = parser
        self.previous_answered = previous_answered
        self.answered = Event()
        self.request: CallerRequest | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.must_close = False


class CallerConnection:
    """Serves one connection; `run` returns when it is closed.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    is_stopping : callable
        Returns whether the VM is shutting down, so that answers close connections.
    memory_limit : AnswerMemoryLimit
        Counts answers until they are written.
    """

    def __init__(
        self,
        sock: socket.socket,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        memory_limit: AnswerMemoryLimit,
        clock: Clock,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._limits = limits
        self._is_stopping = is_stopping
        self._memory_limit = memory_limit
        self._clock = clock
        self._pending_requests: list[_PendingRequest] = []
        self._is_closing = False
        self._is_ended = False
        self._idle_since = clock.now()
        self._idle_timeout = limits().idle_timeout
        self._unread = b""

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._pending_requests and not self._unread

    def run(self) -> None:
        """Read and answer requests until either side ends the connection."""
        try:
            self._tune_socket()
            self._read_requests()
        except OSError:
            # The caller reset the connection, so there is nobody to answer.
            pass
        finally:
            self._is_closing = self._is_ended = True
            self._cancel_requests()
            self._sock.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if self.is_idle and not self._is_closing:
            self._is_closing = True
            with contextlib.suppress(OSError):
                # The caller may have closed the connection already.
                self._sock.shutdown(socket.SHUT_WR)

    def _tune_socket(self) -> None:
        # The reader and the writers share the socket, and its timeout would apply to
        # both. Each of them sets a timer of its own instead.
        self._sock.settimeout(None)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
        )

    def _read_requests(self) -> None:
        while not self._is_closing:
            if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
                if not self._wait_for_answer(self._pending_requests[0].answered):
                    return
                continue
            previous_answered = (
                self._pending_requests[-1].answered if self._pending_requests else None
            )
            limits = self._limits()
            parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
            pending = _PendingRequest(parser, previous_answered)
            result = self._read_request(pending, limits)
            if isinstance(result, Success):
                pending.request = result.unwrap()
                self._start(pending)
                continue
            failure = result.failure()
            if isinstance(failure, _Closed):
                return
            if isinstance(failure, _IgnoredRequest):
                break
            self._reject(pending, failure)
        self._drain()

    def _read_request(
        self, pending: _PendingRequest, limits: CallerLimits
    ) -> Result[CallerRequest, _Rejected | _Closed | _IgnoredRequest]:
        parser = pending.parser
        if self._unread:
            parser.receive_data(self._unread)
        started = self._clock.now() if self._unread else None
        self._unread = b""
        head: h11.Request | None = None
        received: Millis = 0.0
        body = bytearray()
        event_numbers = itertools.cycle(range(EVENTS_BETWEEN_YIELDS))
        while True:
            if next(event_numbers) == EVENTS_BETWEEN_YIELDS - 1:
                # Let other greenlets run when bytes arrive faster than they are read.
                gevent.sleep(0)
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                return Failure(_Rejected(error.error_status_hint, str(error)))
            if event is h11.NEED_DATA:
                if head is not None and parser.they_are_waiting_for_100_continue:
                    if not self._send_continue(pending):
                        return Failure(_Closed())
                    if self._is_closing:
                        return Failure(_IgnoredRequest())
                data = self._receive(started, head is not None, limits)
                if data is None:
                    reason = "request not complete in time"
                    return Failure(_Rejected(HTTPStatus.REQUEST_TIMEOUT, reason))
                if data == b"":
                    return Failure(_Closed())
                if self._is_closing:
                    return Failure(_IgnoredRequest())
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
        """Return the next bytes, b"" at the end, or None if the request is too slow."""
        last_received = self._clock.now()
        while True:
            now = self._clock.now()
            if started is None:
                # The caller may rely on the limit that applied to its last answer.
                idle_timeout = max(limits.idle_timeout, self._idle_timeout)
                time_left = idle_timeout - (now - self._idle_since)
                if self._pending_requests:
                    time_left = IDLE_CHECK_INTERVAL
                elif time_left <= 0.0:
                    return b""
            else:
                since = last_received if has_head else started
                time_left = limits.header_timeout - (now - since)
                if time_left <= 0.0:
                    return None
            data = self._receive_within(time_left)
            if data is not None:
                return data

    def _receive_within(self, timeout: Millis) -> bytes | None:
        """Return the next bytes, b"" at the end, or None after `timeout`."""
        timer = gevent.Timeout.start_new(max(timeout, 1.0) / MILLIS_PER_SECOND)
        try:
            return self._sock.recv(_CHUNK_BYTES)
        except gevent.Timeout as error:
            if error is not timer:
                raise
            return None
        finally:
            timer.close()

    def _wait_for_answer(self, answered: Event) -> bool:
        """Wait until an answer is written; return False if the caller leaves first."""
        while not answered.wait(timeout=CLOSE_CHECK_INTERVAL / MILLIS_PER_SECOND):
            if is_closed_by_peer(self._sock):
                return False
        return True

    def _send_continue(self, pending: _PendingRequest) -> bool:
        """Send an interim answer, unless an earlier answer closes the connection.

        Return False if the caller leaves before.
        """
        previous_answered = pending.previous_answered
        if previous_answered is not None and not self._wait_for_answer(
            previous_answered
        ):
            return False
        if not self._is_closing:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._send(pending.parser.send(interim))
        return True

    def _send(self, data: bytes) -> None:
        """Send all of `data`.

        Raises
        ------
        OSError
            If the caller is gone. Some of `data` may have been sent, and nothing may
            follow it.
        """
        view = memoryview(data)
        while view:
            with gevent.Timeout(
                STALLED_WRITE_TIMEOUT / MILLIS_PER_SECOND, TimeoutError
            ):
                sent = self._sock.send(view[:_CHUNK_BYTES])
            view = view[sent:]

    def _start(self, pending: _PendingRequest) -> None:
        pending.must_close = pending.parser.their_state is h11.MUST_CLOSE
        if pending.must_close:
            self._is_closing = True
        self._pending_requests.append(pending)
        pending.greenlet = gevent.spawn(self._serve, pending)

    def _reject(self, pending: _PendingRequest, rejected: _Rejected) -> None:
        self._is_closing = True
        pending.must_close = True
        self._pending_requests.append(pending)
        emit(CallerBytesRejected(status=rejected.status, why=rejected.reason))
        pending.greenlet = gevent.spawn(
            self._finish, pending, CallerAnswer(status=rejected.status)
        )

    def _serve(self, pending: _PendingRequest) -> None:
        assert pending.request is not None, "only whole requests are served"
        try:
            answer = self._handler.handle(pending.request)
        except Exception:
            # A bug in the handler must not leave the caller without an answer.
            name = pending.request.fields.request_id.decode("latin-1")
            emit(RequestCrashed(request=name, why=traceback.format_exc()))
            answer = CallerAnswer(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        self._finish(pending, answer)

    def _finish(self, pending: _PendingRequest, answer: CallerAnswer) -> None:
        with self._memory_limit.hold_complete(len(answer.body)):
            self._write_in_order(pending, answer)

    def _write_in_order(self, pending: _PendingRequest, answer: CallerAnswer) -> None:
        if pending.previous_answered is not None:
            pending.previous_answered.wait()
            pending.previous_answered = None
        try:
            if self._is_ended:
                _log_discarded(pending, answer)
            else:
                self._write(pending, answer)
        except OSError as error:
            self._end(error)
        finally:
            self._pending_requests.remove(pending)
            self._idle_since = self._clock.now()
            self._idle_timeout = self._limits().idle_timeout
            pending.answered.set()

    def _end(self, error: OSError) -> None:
        """End the connection after an answer of which only a part may be written."""
        self._is_closing = self._is_ended = True
        emit(AnswerCutOff(why=error.strerror or str(error) or type(error).__name__))
        with contextlib.suppress(OSError):
            # The reader then finds the end of the stream, unless the caller has reset
            # the connection already.
            self._sock.shutdown(socket.SHUT_RDWR)

    def _write(self, pending: _PendingRequest, answer: CallerAnswer) -> None:
        is_last = self._pending_requests[-1] is pending and not self._unread
        must_close = pending.must_close or (self._is_stopping() and is_last)
        parts = _encode(pending.parser, answer, must_close)
        if must_close:
            self._is_closing = True
        for part in parts:
            self._send(part)
        if must_close:
            self._sock.shutdown(socket.SHUT_WR)

    def _drain(self) -> None:
        """Discard what the caller sends until it closes or `CLOSE_TIMEOUT` passes."""
        deadline: Millis | None = None
        while True:
            if not self._pending_requests:
                deadline = deadline or self._clock.now() + CLOSE_TIMEOUT
                if self._clock.now() >= deadline:
                    return
            data = self._receive_within(IDLE_CHECK_INTERVAL)
            if data == b"":
                return
            gevent.sleep(0)

    def _cancel_requests(self) -> None:
        """Cancel the requests whose answers nobody waits for."""
        for pending in list(self._pending_requests):
            if pending.request is not None:
                pending.request.cancellation.cancel()
            # Answers that are ready must not wait for those of cancelled requests.
            pending.answered.set()


def _log_discarded(pending: _PendingRequest, answer: CallerAnswer) -> None:
    if pending.request is None or answer.status == CALLER_LEFT_STATUS:
        return
    name = pending.request.fields.request_id.decode("latin-1")
    emit(AnswerDiscarded(request=name, status=answer.status))


def _to_request(
    head: h11.Request | None, body: bytes, received: Millis
) -> Result[CallerRequest, _Rejected]:
    assert head is not None, "a message begins with its head"
    lowercase_headers = [(bytes(name), bytes(value)) for name, value in head.headers]
    value_by_name = dict(lowercase_headers)
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
            fields=read_request_fields(lowercase_headers),
            received=received,
        )
    )


def _encode(
    parser: h11.Connection, answer: CallerAnswer, must_close: bool
) -> list[bytes]:
    """Return the parts of an answer; a large body is a part of its own, not a copy."""
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in CONNECTION_FIELDS
    ]
    headers.append((b"Content-Length", str(len(answer.body)).encode()))
    if must_close:
        headers.append((b"Connection", b"close"))
    phrase = _reason_phrase(answer.status)
    head = h11.Response(status_code=answer.status, headers=headers, reason=phrase)
    parts = [parser.send(head)]
    if answer.body:
        parts.append(parser.send(h11.Data(data=answer.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    if len(answer.body) > _CHUNK_BYTES:
        return [part for part in parts if part]
    return [b"".join(part for part in parts if part)]


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
