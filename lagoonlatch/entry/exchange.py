"""Exchange one request and its answer on a connection to an upstream."""

from __future__ import annotations

import contextlib
import errno
import itertools
from collections.abc import Callable, Iterator
from functools import partial
from typing import TypeVar

import gevent
import h11
from gevent import socket

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.messages import (
    Answered,
    FailureKind,
    NotRun,
    Outcome,
    Unknown,
    UpstreamAnswer,
    UpstreamRequest,
)
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.headers import is_stamp, read_answer_fields
from lagoonlatch.sockets import (
    ACKNOWLEDGEMENT_CHECK_INTERVAL,
    ClosedWindowGuard,
    tune_socket,
)
from lagoonlatch.status_codes import is_final_status

CONNECT_TIMEOUT: Millis = 400.0
"""Time limit of opening a connection; allows for some round trips between regions, but
not for the retransmission of a lost SYN."""

UNACKNOWLEDGED_TIMEOUT: Millis = 800.0
"""Time after which a peer that acknowledges no data counts as unreachable; allows for
several round trips and one retransmission between regions. A peer that acknowledges
everything may read as late as the deadline of its request."""

DEFAULT_KEEP_ALIVE: Millis = 4_000.0
"""Idle limit of a connection whose upstream announces none."""

KEEP_ALIVE_MARGIN: Millis = 1_500.0
"""Margin before the idle limit within which a connection is no longer reused."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Size limit of an answer body, which is kept in memory until it is complete."""

EVENTS_BETWEEN_YIELDS = 8
"""Parser events handled before other greenlets may run; most answers have fewer."""

MAX_SKIPPED_ANSWERS = 16
"""Limit of the interim answers, and of the answers to other requests, that are skipped
before the expected one. A faulty upstream may send them without end."""

_CHUNK_BYTES = 64 * 1024
_MISDIRECTED = 421
_FIRST_SUCCESS, _FIRST_REDIRECT = 200, 300

_T = TypeVar("_T")


class UpstreamConnection:
    """A connection to an upstream that carries one request at a time."""

    def __init__(
        self, sock: socket.socket, memory_limit: AnswerMemoryLimit, clock: Clock
    ) -> None:
        self._sock = sock
        self._memory_limit = memory_limit
        self._clock = clock
        self._guard = ClosedWindowGuard(sock, UNACKNOWLEDGED_TIMEOUT, clock)
        self._has_body = False
        self._idle_since = clock.now()
        self._heard_at = clock.now()
        self._keep_alive = DEFAULT_KEEP_ALIVE
        self.is_reusable = True

    @classmethod
    def open(
        cls,
        address: str,
        timeout: Millis,
        memory_limit: AnswerMemoryLimit,
        clock: Clock,
    ) -> UpstreamConnection:
        """Connect to ``IP:port``.

        Parameters
        ----------
        memory_limit : AnswerMemoryLimit
            Limits the memory of the answers on all connections.

        Raises
        ------
        OSError
            If no connection is established within `timeout`.
        """
        seconds = max(min(timeout, CONNECT_TIMEOUT), 1.0) / MILLIS_PER_SECOND
        sock = socket.create_connection(
            Endpoint.from_address(address).pair, timeout=seconds
        )
        tune_socket(sock, UNACKNOWLEDGED_TIMEOUT)
        return cls(sock, memory_limit, clock)

    def idle_time(self) -> Millis:
        """Return how long the connection has been idle."""
        return self._clock.now() - self._idle_since

    def is_expired(self) -> bool:
        """Return whether the upstream may soon close the idle connection."""
        return self.idle_time() > max(self._keep_alive - KEEP_ALIVE_MARGIN, 0.0)

    def has_no_input(self) -> bool:
        """Return whether neither data nor the end of the stream has arrived."""
        return not _can_read(self._sock)

    def close(self) -> None:
        """Close the connection at once, even during an exchange."""
        self.is_reusable = False
        self._sock.close()

    def exchange(self, request: UpstreamRequest, time_left: Millis) -> Outcome:
        """Send `request` and return its outcome.

        Afterwards the connection is closed unless `is_reusable` is true.
        """
        is_finished = False
        try:
            outcome = self._exchange(request, self._clock.now() + time_left)
            is_finished = True
            return outcome
        finally:
            self._idle_since = self._clock.now()
            with contextlib.suppress(OSError):
                self._guard.reset()
            if not is_finished or not self.is_reusable:
                self.close()

    def _exchange(self, request: UpstreamRequest, deadline: Millis) -> Outcome:
        parts, parser = _encode(request)
        self._has_body = bool(request.body)
        sender = _Sender(
            self._sock, parts, lambda operation: self._guarded(operation, deadline)
        )
        try:
            if not sender.send():
                self.is_reusable = False
            return self._classify(request, self._receive(request, parser, deadline))
        except TimeoutError as error:
            self.is_reusable = False
            if error.errno == errno.ETIMEDOUT:
                return Unknown(
                    FailureKind.RESET, "peer acknowledges nothing", self._heard_at
                )
            return Unknown(FailureKind.OUT_OF_TIME, "no whole answer in time")
        except OSError as error:
            self.is_reusable = False
            reason = error.strerror or type(error).__name__
            if not sender.has_sent_bytes:
                return NotRun(reason, reached=False)
            return Unknown(FailureKind.RESET, reason)
        except (h11.RemoteProtocolError, _MalformedAnswerError) as error:
            self.is_reusable = False
            return Unknown(FailureKind.MALFORMED, str(error))
        except _ClosedError as error:
            self.is_reusable = False
            return Unknown(FailureKind.CLOSED, str(error))

    def _guarded(self, operation: Callable[[], _T], deadline: Millis) -> _T:
        """Return the result of a socket operation that may wait until `deadline`.

        Until then the connection is kept if the upstream acknowledges its data.

        Raises
        ------
        OSError
            If the operation fails or the upstream is out of reach.
        """
        needs_guard = self._has_body
        while True:
            timeout = self._seconds_until(deadline)
            if needs_guard:
                timeout = min(
                    timeout, ACKNOWLEDGEMENT_CHECK_INTERVAL / MILLIS_PER_SECOND
                )
            self._sock.settimeout(timeout)
            try:
                return operation()
            except TimeoutError as error:
                is_over = self._clock.now() >= deadline
                if error.errno is not None or is_over or not needs_guard:
                    raise
            needs_guard = self._guard.check()

    def _seconds_until(self, deadline: Millis) -> float:
        return max(deadline - self._clock.now(), 1.0) / MILLIS_PER_SECOND

    def _receive(
        self, request: UpstreamRequest, parser: h11.Connection, deadline: Millis
    ) -> UpstreamAnswer:
        """Return the answer with the id of the request; skip any others."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            builder = _AnswerBuilder(self._memory_limit)
            try:
                for event in self._events(parser, builder, deadline):
                    builder.add(event)
            finally:
                builder.release()
            unread, _ = parser.trailing_data
            answer = builder.build()
            if answer.fields.request_id == request.request_id:
                self._update_reusability(parser, answer, bool(unread))
                return answer
            if parser.their_state is not h11.DONE:
                raise _ClosedError("closed after an answer to another request")
            _, parser = _encode(request)
            if unread:
                parser.receive_data(unread)
        raise _MalformedAnswerError(f"{MAX_SKIPPED_ANSWERS} answers to other requests")

    def _events(
        self, parser: h11.Connection, builder: _AnswerBuilder, deadline: Millis
    ) -> Iterator[h11.Event]:
        for number in itertools.count(1):
            if number % EVENTS_BETWEEN_YIELDS == 0:
                # Let other greenlets run when bytes arrive faster than they are read.
                gevent.sleep(0)
                if self._clock.now() >= deadline:
                    raise TimeoutError
            event = parser.next_event()
            if event is h11.NEED_DATA:
                self._memory_limit.wait_for_memory(
                    builder, deadline - self._clock.now()
                )
                data = self._guarded(lambda: self._sock.recv(_CHUNK_BYTES), deadline)
                self._heard_at = self._clock.now()
                if not data:
                    self.is_reusable = False
                    if parser.their_state is h11.SEND_RESPONSE:
                        raise _ClosedError("closed before an answer")
                parser.receive_data(data)
                continue
            yield event
            if isinstance(event, h11.EndOfMessage):
                return

    def _update_reusability(
        self, parser: h11.Connection, answer: UpstreamAnswer, has_extra: bool
    ) -> None:
        if has_extra or parser.their_state is not h11.DONE:
            self.is_reusable = False
        if answer.fields.keep_alive is not None:
            self._keep_alive = answer.fields.keep_alive

    def _classify(self, request: UpstreamRequest, answer: UpstreamAnswer) -> Outcome:
        if answer.status == _MISDIRECTED:
            self.is_reusable = False
            return NotRun("another upstream has the address", True, True, answer)
        if answer.fields.not_run:
            return NotRun(f"turned away with {answer.status}", True, False, answer)
        is_success = _FIRST_SUCCESS <= answer.status < _FIRST_REDIRECT
        is_signed = answer.has_stamp or not request.requires_stamp
        if is_success and (not is_signed or _is_encoded(answer)):
            self.is_reusable = False
            return Unknown(
                FailureKind.MALFORMED, "success without the upstream's stamp"
            )
        return Answered(answer)


class _ClosedError(Exception):
    """The upstream closed the connection before the answer was complete."""


class _MalformedAnswerError(Exception):
    """The upstream sent data that can't be part of a valid answer."""


class _Sender:
    """Sends one request and records whether the kernel accepted any bytes."""

    def __init__(
        self,
        sock: socket.socket,
        parts: list[bytes | memoryview],
        guarded: Callable[[Callable[[], int]], int],
    ) -> None:
        self._sock = sock
        self._parts = parts
        self._guarded = guarded
        self.has_sent_bytes = False

    def send(self) -> bool:
        """Send the request; return False if the upstream answered before its end."""
        for part in self._parts:
            view = memoryview(part)
            while view:
                if self.has_sent_bytes and _can_read(self._sock):
                    return False
                sent = self._guarded(partial(self._sock.send, view[:_CHUNK_BYTES]))
                self.has_sent_bytes = self.has_sent_bytes or sent > 0
                view = view[sent:]
        return True


class _AnswerBuilder:
    """Builds one answer from its parts."""

    def __init__(self, memory_limit: AnswerMemoryLimit) -> None:
        self._memory_limit = memory_limit
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._interim_count = 0

    def add(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            if not is_final_status(event.status_code):
                raise _MalformedAnswerError(f"invalid status {event.status_code}")
            self._head = event
        elif isinstance(event, h11.InformationalResponse):
            if _announces_body(event):
                raise _MalformedAnswerError(f"status {event.status_code} with a body")
            self._interim_count += 1
            if self._interim_count > MAX_SKIPPED_ANSWERS:
                raise _MalformedAnswerError(
                    f"over {MAX_SKIPPED_ANSWERS} interim answers"
                )
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._memory_limit.add_incomplete(self, len(event.data), len(self._body))
            max_bytes = min(MAX_ANSWER_BYTES, self._memory_limit.limit)
            if len(self._body) > max_bytes:
                raise _MalformedAnswerError(f"answer of over {max_bytes} bytes")

    def release(self) -> None:
        self._memory_limit.release_incomplete(self, len(self._body))

    def build(self) -> UpstreamAnswer:
        assert self._head is not None, "an answer ends after its head"
        lowercase_headers = [
            (bytes(name), bytes(value)) for name, value in self._head.headers
        ]
        return UpstreamAnswer(
            status=self._head.status_code,
            headers=[(bytes(n), bytes(v)) for n, v in self._head.headers.raw_items()],
            body=bytes(self._body),
            fields=read_answer_fields(lowercase_headers, self._head.status_code),
            has_stamp=any(is_stamp(name) for name, _ in lowercase_headers),
        )


def _can_read(sock: socket.socket) -> bool:
    """Return whether data, the end of the stream or an error can be read."""
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(timeout)
    return True


def _announces_body(event: h11.InformationalResponse) -> bool:
    """Return whether an interim answer names a body, which would be read as a head."""
    return any(
        name == b"transfer-encoding" or (name == b"content-length" and value != b"0")
        for name, value in event.headers
    )


def _is_encoded(answer: UpstreamAnswer) -> bool:
    return any(name.lower() == b"content-encoding" for name, _ in answer.headers)


def _make_head(request: UpstreamRequest) -> h11.Request:
    headers = list(request.headers)
    if request.has_body:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _encode(
    request: UpstreamRequest,
) -> tuple[list[bytes | memoryview], h11.Connection]:
    """Return the parts of the encoded request and a parser that expects its answer.

    A large body is a part of its own, not a copy.
    """
    parser = h11.Connection(h11.CLIENT)
    parts = [parser.send(_make_head(request))]
    if request.body:
        parts += parser.send_with_data_passthrough(h11.Data(data=request.body))
    parts.append(parser.send(h11.EndOfMessage()))
    parts = [part for part in parts if part]
    if len(request.body) > _CHUNK_BYTES:
        return parts, parser
    return [b"".join(parts)], parser
