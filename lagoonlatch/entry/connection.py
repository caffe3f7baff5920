"""Serve a caller's connection: pipelined requests run together, answers keep order."""

from __future__ import annotations

import contextlib
import itertools
import traceback
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

import gevent
import h11
from gevent import socket
from gevent.event import Event
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.body_memory import (
    MAX_WAIT,
    SMALL_BODY_BYTES,
    BodyMemoryLimit,
    RequestBody,
)
from lagoonlatch.entry.events import (
    AnswerCutOff,
    AnswerDiscarded,
    BodyRefused,
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
from lagoonlatch.platform.headers import read_request_fields, retry_after
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

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Limit of the bytes that the kernel holds unread for a connection; allows for 21 MB/s
at a round trip of 3 ms. The kernel uses twice as much memory."""

CLOSE_TIMEOUT: Millis = 1_000.0
"""Time to wait for the caller to close the connection. Closing it earlier may cause a
reset that discards the answer."""

CLOSE_CHECK_INTERVAL: Millis = 100.0
"""Interval at which a reader that waits for an answer to be written checks whether the
caller has closed the connection."""

IDLE_CHECK_INTERVAL: Millis = 500.0
"""Interval at which a reader checks whether its connection has become idle."""

EVICTION_CHECK_INTERVAL: Millis = 500.0
"""Interval at which the reader of a body checks whether it has to give way."""

BODY_MEMORY_RETRY_DELAY: Millis = 500.0
"""Delay after which a caller retries a request for whose body this VM has no memory;
its next connection probably leads to another VM."""

_CHUNK_BYTES = 64 * 1024

_receive_buffer = memoryview(bytearray(_CHUNK_BYTES))
"""Shared by all connections, since each parser copies its bytes before other greenlets
run. A buffer for each read would fragment the heap."""


class Handler(Protocol):
    """Decides about requests and handles complete ones."""

    def check_head(self, request: CallerRequest) -> CallerAnswer | None:
        """Return the answer to a request that is refused before its body is read."""

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to a request."""


@dataclass(frozen=True)
class _Rejected:
    """The caller sent bytes that aren't a valid request within the limits."""

    status: int
    reason: str


@dataclass(frozen=True)
class _Refused:
    """The request is answered without its body."""

    answer: CallerAnswer


@dataclass(frozen=True)
class _Closed:
    """The caller closed the connection or stayed idle too long."""


@dataclass(frozen=True)
class _IgnoredRequest:
    """An answer has announced the close of the connection; later bytes are ignored."""


_Failed = _Rejected | _Refused | _Closed | _IgnoredRequest


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
    body : RequestBody or None
        What has been read of the body, if it is kept.
    refusal : CallerAnswer or None
        The answer that is given once the body has been read and discarded.
    """

    def __init__(self, parser: h11.Connection, previous_answered: Event | None) -> None:
        self.parser = parser
        self.previous_answered = previous_answered
        self.answered = Event()
        self.request: CallerRequest | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.must_close = False
        self.body: RequestBody | None = None
        self.refusal: CallerAnswer | None = None
        self.discarded_bytes = 0

    def release_body(self) -> None:
        """Forget the body, which nobody needs any more."""
        if self.request is not None:
            self.request = replace(self.request, body=b"")
        if self.body is not None:
            self.body.release()
            self.body = None


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
    body_memory_limit : BodyMemoryLimit
        Counts bodies until their requests are handled.
    """

    def __init__(
        self,
        sock: socket.socket,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        memory_limit: AnswerMemoryLimit,
        body_memory_limit: BodyMemoryLimit,
        clock: Clock,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._limits = limits
        self._is_stopping = is_stopping
        self._memory_limit = memory_limit
        self._body_memory_limit = body_memory_limit
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
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

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
            try:
                result = self._read_request(pending, limits)
            finally:
                if pending.request is None:
                    pending.release_body()
            if isinstance(result, Success):
                self._start(pending)
                continue
            failure = result.failure()
            if isinstance(failure, _Closed):
                return
            if isinstance(failure, _IgnoredRequest):
                break
            if isinstance(failure, _Refused):
                self._refuse(pending, failure.answer)
            else:
                self._reject(pending, failure)
        self._drain()

    def _read_request(
        self, pending: _PendingRequest, limits: CallerLimits
    ) -> Result[None, _Failed]:
        """Read a request into `pending`."""
        parser = pending.parser
        if self._unread:
            parser.receive_data(self._unread)
        started = self._clock.now() if self._unread else None
        self._unread = b""
        request: CallerRequest | None = None
        failure: _Failed | None = None
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
                if request is not None and parser.they_are_waiting_for_100_continue:
                    if failure := self._await_memory(pending, request, 0):
                        return Failure(failure)
                    if not self._send_continue(pending):
                        return Failure(_Closed())
                    if self._is_closing:
                        return Failure(_IgnoredRequest())
                data = self._receive(started, pending.body, request is not None, limits)
                if data is None:
                    return Failure(_describe_timeout(pending, request))
                if data == b"":
                    return Failure(_Closed())
                if self._is_closing:
                    return Failure(_IgnoredRequest())
                started = started or self._clock.now()
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                result = _to_request(event, self._clock.now())
                if isinstance(result, Failure):
                    return result
                request = result.unwrap()
                failure = self._begin_body(pending, event, request, limits)
            elif isinstance(event, h11.Data):
                assert request is not None, "a body follows its head"
                failure = self._add_to_body(pending, request, event.data, limits)
            elif isinstance(event, h11.EndOfMessage):
                assert request is not None, "a message begins with its head"
                self._unread, _ = parser.trailing_data
                if pending.body is not None:
                    pending.body.end_await()
                    request.body = pending.body.content()
                pending.request = request
                return Success(None)
            else:
                return Failure(_Closed())
            if failure is not None:
                return Failure(failure)

    def _begin_body(
        self,
        pending: _PendingRequest,
        head: h11.Request,
        request: CallerRequest,
        limits: CallerLimits,
    ) -> _Failed | None:
        """Decide what the head of a request decides."""
        length = _announced_length(head)
        if not request.has_body or length == 0:
            return None
        pending.refusal = self._handler.check_head(request)
        if pending.refusal is not None:
            is_long = length is not None and length > SMALL_BODY_BYTES
            if is_long or pending.parser.they_are_waiting_for_100_continue:
                return _Refused(pending.refusal)
            return None
        if length is not None and length > limits.body_bytes:
            return _too_large(limits)
        pending.body = self._body_memory_limit.open(length)
        return None

    def _add_to_body(
        self,
        pending: _PendingRequest,
        request: CallerRequest,
        data: bytes,
        limits: CallerLimits,
    ) -> _Failed | None:
        if pending.refusal is not None:
            pending.discarded_bytes += len(data)
            if pending.discarded_bytes > SMALL_BODY_BYTES:
                return _Refused(pending.refusal)
            return None
        assert pending.body is not None, "a body is refused or kept"
        if len(pending.body) + len(data) > limits.body_bytes:
            return _too_large(limits)
        failure = self._await_memory(pending, request, len(data))
        if failure is None:
            pending.body.append(data)
        return failure

    def _await_memory(
        self, pending: _PendingRequest, request: CallerRequest, size: int
    ) -> _Failed | None:
        """Wait for the memory of `size` more bytes of a body."""
        body = pending.body
        if body is None:
            return None
        time_left = request.fields.time_left
        has_memory = body.prepare(
            size,
            MAX_WAIT if time_left is None else time_left,
            lambda: self._is_ended or is_closed_by_peer(self._sock),
        )
        if self._is_closing:
            return _IgnoredRequest()
        if has_memory:
            return None
        if body.is_evicted:
            return _evicted(request)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        _log_body_refused(request, status, "no memory for bodies")
        return _Refused(
            CallerAnswer(status=status, headers=[retry_after(BODY_MEMORY_RETRY_DELAY)])
        )

    def _receive(
        self,
        started: Millis | None,
        body: RequestBody | None,
        has_head: bool,
        limits: CallerLimits,
    ) -> memoryview | None:
        """Return the next bytes, none at the end, or None if it is too slow.

        A body that has to give way also counts as too slow.
        """
        if body is not None:
            body.await_bytes()
        try:
            return self._receive_in_time(started, body, has_head, limits)
        finally:
            if body is not None:
                body.end_await()

    def _receive_in_time(
        self,
        started: Millis | None,
        body: RequestBody | None,
        has_head: bool,
        limits: CallerLimits,
    ) -> memoryview | None:
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
                    return _receive_buffer[:0]
            else:
                since = last_received if has_head else started
                time_left = limits.header_timeout - (now - since)
                if time_left <= 0.0 or (body is not None and body.is_evicted):
                    return None
                if body is not None and body.reserved_bytes:
                    time_left = min(time_left, EVICTION_CHECK_INTERVAL)
            data = self._receive_within(time_left)
            if data is not None:
                return data

    def _receive_within(self, timeout: Millis) -> memoryview | None:
        """Return the next bytes, no bytes at the end, or None after `timeout`.

        The bytes are valid until another greenlet runs.
        """
        timer = gevent.Timeout.start_new(max(timeout, 1.0) / MILLIS_PER_SECOND)
        try:
            return _receive_buffer[: self._sock.recv_into(_receive_buffer)]
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
        if pending.refusal is not None:
            pending.greenlet = gevent.spawn(self._finish, pending, pending.refusal)
        else:
            pending.greenlet = gevent.spawn(self._serve, pending)

    def _reject(self, pending: _PendingRequest, rejected: _Rejected) -> None:
        emit(CallerBytesRejected(status=rejected.status, why=rejected.reason))
        self._refuse(pending, CallerAnswer(status=rejected.status))

    def _refuse(self, pending: _PendingRequest, answer: CallerAnswer) -> None:
        """Answer a request whose rest is not read, and close the connection."""
        self._is_closing = True
        pending.must_close = True
        self._pending_requests.append(pending)
        pending.greenlet = gevent.spawn(self._finish, pending, answer)

    def _serve(self, pending: _PendingRequest) -> None:
        assert pending.request is not None, "only whole requests are served"
        try:
            answer = self._handler.handle(pending.request)
        except Exception:
            # A bug in the handler must not leave the caller without an answer.
            name = pending.request.fields.request_id.decode("latin-1")
            emit(RequestCrashed(request=name, why=traceback.format_exc()))
            answer = CallerAnswer(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        finally:
            pending.release_body()
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
            if self._receive_within(IDLE_CHECK_INTERVAL) == b"":
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


def _announced_length(head: h11.Request) -> int | None:
    """Return the length of the body; None if it isn't known."""
    value = dict(head.headers).get(b"content-length")
    return None if value is None else int(value)


def _too_large(limits: CallerLimits) -> _Rejected:
    reason = f"body of over {limits.body_bytes} bytes"
    return _Rejected(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)


def _describe_timeout(
    pending: _PendingRequest, request: CallerRequest | None
) -> _Failed:
    """Return what becomes of a request whose bytes don't come in time."""
    if pending.refusal is not None:
        return _Refused(pending.refusal)
    if request is not None and pending.body is not None and pending.body.is_evicted:
        return _evicted(request)
    reason = "request not complete in time"
    return _Rejected(HTTPStatus.REQUEST_TIMEOUT, reason)


def _evicted(request: CallerRequest) -> _Refused:
    status = HTTPStatus.REQUEST_TIMEOUT
    _log_body_refused(request, status, "body stalled while bodies use all memory")
    return _Refused(CallerAnswer(status=status))


def _log_body_refused(request: CallerRequest, status: int, reason: str) -> None:
    name = request.fields.request_id.decode("latin-1")
    emit(BodyRefused(request=name, status=int(status), why=reason))


def _to_request(
    head: h11.Request, received: Millis
) -> Result[CallerRequest, _Rejected]:
    """Return a request without its body."""
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
            body=b"",
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
