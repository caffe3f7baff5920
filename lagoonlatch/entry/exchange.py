"""One request and its answer on a connection to an upstream."""

from __future__ import annotations

import errno
import itertools
from collections.abc import Iterator

import gevent
import h11
from gevent import socket

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
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
from lagoonlatch.sockets import tune_socket

CONNECT_TIMEOUT: Millis = 400.0
"""Some round trips between regions; a lost opening packet is not waited for."""

UNACKNOWLEDGED_TIMEOUT: Millis = 800.0
"""A peer that acknowledges nothing for so long is out of reach; several round trips
and one retransmission between regions fit."""

DEFAULT_KEEP_ALIVE: Millis = 4_000.0
"""Idle time of a connection whose upstream tells none."""

KEEP_ALIVE_MARGIN: Millis = 1_500.0
"""A connection so near its idle limit is not used again."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer that is passed on; it is held in memory until it is whole."""

EVENTS_AT_ONCE = 8
"""Parts of an answer that are read before other tasks have their turn; most answers
have fewer."""

MAX_SKIPPED = 16
"""Interim answers, and answers to other requests, that are passed over before the one
that is waited for; an upstream in trouble may send them without end."""

_CHUNK = 64 * 1024
_MISDIRECTED = 421
_FIRST_SUCCESS, _FIRST_REDIRECT = 200, 300


class UpstreamConnection:
    """A connection that carries one request at a time."""

    def __init__(
        self, sock: socket.socket, held: AnswerMemoryLimit, clock: Clock
    ) -> None:
        self._sock = sock
        self._held = held
        self._clock = clock
        self._idle_since = clock.now()
        self._keep_alive = DEFAULT_KEEP_ALIVE
        self.is_reusable = True

    @classmethod
    def open(
        cls, address: str, timeout: Millis, held: AnswerMemoryLimit, clock: Clock
    ) -> UpstreamConnection:
        """Connect to ``IP:port``.

        Parameters
        ----------
        held : HeldBytes
            Bounds what answers hold in memory, over all connections.

        Raises
        ------
        OSError
            If there is no connection within `timeout`.
        """
        seconds = max(min(timeout, CONNECT_TIMEOUT), 1.0) / MILLIS_PER_SECOND
        sock = socket.create_connection(
            Endpoint.from_address(address).pair, timeout=seconds
        )
        tune_socket(sock, UNACKNOWLEDGED_TIMEOUT)
        return cls(sock, held, clock)

    def idle_time(self) -> Millis:
        """Return how long it has been idle."""
        return self._clock.now() - self._idle_since

    def is_expired(self) -> bool:
        """Return whether the upstream may be about to close it."""
        return self.idle_time() > max(self._keep_alive - KEEP_ALIVE_MARGIN, 0.0)

    def has_no_input(self) -> bool:
        """Return whether nothing has arrived on it, not even its end."""
        return not _has_arrived(self._sock)

    def close(self) -> None:
        """Close it, whatever is under way."""
        self.is_reusable = False
        self._sock.close()

    def exchange(self, request: UpstreamRequest, time_left: Millis) -> Outcome:
        """Send `request` and return its outcome.

        The connection is closed unless `is_reusable` holds afterwards.
        """
        finished = False
        try:
            outcome = self._exchange(request, self._clock.now() + time_left)
            finished = True
            return outcome
        finally:
            self._idle_since = self._clock.now()
            if not finished or not self.is_reusable:
                self.close()

    def _exchange(self, request: UpstreamRequest, deadline: Millis) -> Outcome:
        data, parser = _begin(request)
        sender = _Sender(self._sock, data)
        try:
            self._sock.settimeout(self._seconds_until(deadline))
            if not sender.send():
                self.is_reusable = False
            return self._judge(self._receive(request, parser, deadline))
        except TimeoutError as error:
            self.is_reusable = False
            if error.errno == errno.ETIMEDOUT:
                return Unknown(FailureKind.RESET, "peer acknowledges nothing")
            return Unknown(FailureKind.OUT_OF_TIME, "no whole answer in time")
        except OSError as error:
            self.is_reusable = False
            reason = error.strerror or type(error).__name__
            if not sender.has_sent:
                return NotRun(reason, reached=False)
            return Unknown(FailureKind.RESET, reason)
        except (h11.RemoteProtocolError, _SpoiltError) as error:
            self.is_reusable = False
            return Unknown(FailureKind.MALFORMED, str(error))
        except _ClosedError as error:
            self.is_reusable = False
            return Unknown(FailureKind.CLOSED, str(error))

    def _seconds_until(self, deadline: Millis) -> float:
        return max(deadline - self._clock.now(), 1.0) / MILLIS_PER_SECOND

    def _receive(
        self, request: UpstreamRequest, parser: h11.Connection, deadline: Millis
    ) -> UpstreamAnswer:
        """Return the answer that names the request; others are skipped."""
        for _ in range(MAX_SKIPPED):
            answer = _Assembler(self._held)
            try:
                for event in self._events(parser, deadline):
                    answer.add(event)
            finally:
                answer.release()
            received, _ = parser.trailing_data
            whole = answer.whole()
            if whole.fields.request_id == request.request_id:
                self._note_reuse(parser, whole, bool(received))
                return whole
            if parser.their_state is not h11.DONE:
                raise _ClosedError("closed after an answer to another request")
            _, parser = _begin(request)
            if received:
                parser.receive_data(received)
        raise _SpoiltError(f"{MAX_SKIPPED} answers to other requests")

    def _events(self, parser: h11.Connection, deadline: Millis) -> Iterator[h11.Event]:
        for number in itertools.count(1):
            if number % EVENTS_AT_ONCE == 0:
                # Bytes may come faster than they are read; other tasks go on.
                gevent.sleep(0)
                if self._clock.now() >= deadline:
                    raise TimeoutError
            event = parser.next_event()
            if event is h11.NEED_DATA:
                self._sock.settimeout(self._seconds_until(deadline))
                data = self._sock.recv(_CHUNK)
                if not data:
                    self.is_reusable = False
                    if parser.their_state is h11.SEND_RESPONSE:
                        raise _ClosedError("closed before an answer")
                parser.receive_data(data)
                continue
            yield event
            if isinstance(event, h11.EndOfMessage):
                return

    def _note_reuse(
        self, parser: h11.Connection, answer: UpstreamAnswer, has_extra: bool
    ) -> None:
        if has_extra or parser.their_state is not h11.DONE:
            self.is_reusable = False
        if answer.fields.keep_alive is not None:
            self._keep_alive = answer.fields.keep_alive

    def _judge(self, answer: UpstreamAnswer) -> Outcome:
        if answer.status == _MISDIRECTED:
            self.is_reusable = False
            return NotRun("another upstream has the address", True, True, answer)
        if answer.fields.not_run:
            return NotRun(f"turned away with {answer.status}", True, False, answer)
        is_success = _FIRST_SUCCESS <= answer.status < _FIRST_REDIRECT
        if is_success and (not answer.has_stamp or _is_encoded(answer)):
            self.is_reusable = False
            return Unknown(
                FailureKind.MALFORMED, "success without the upstream's stamp"
            )
        return Answered(answer)


class _ClosedError(Exception):
    """The upstream closed the connection before the answer was whole."""


class _SpoiltError(Exception):
    """What the upstream sends can't become the answer."""


class AnswerMemoryLimit:
    """Bounds the bytes of all answers that are not whole yet.

    Parameters
    ----------
    limit : int
        Bytes that all answers of this VM may hold together.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held = 0

    def add(self, count: int) -> bool:
        """Count bytes; return False if they are too many."""
        self._held += count
        return self._held <= self._limit

    def release(self, count: int) -> None:
        """Forget bytes."""
        self._held -= count


class _Sender:
    """Sends one request and knows whether any byte of it was handed over."""

    def __init__(self, sock: socket.socket, data: bytes) -> None:
        self._sock = sock
        self._data = data
        self.has_sent = False

    def send(self) -> bool:
        """Send all; return False if the upstream answered before the end."""
        view = memoryview(self._data)
        while view:
            if self.has_sent and _has_arrived(self._sock):
                return False
            count = self._sock.send(view[:_CHUNK])
            self.has_sent = self.has_sent or count > 0
            view = view[count:]
        return True


class _Assembler:
    """Collects the parts of one answer."""

    def __init__(self, held: AnswerMemoryLimit) -> None:
        self._held = held
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._interim = 0

    def add(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.InformationalResponse):
            self._interim += 1
            if self._interim > MAX_SKIPPED:
                raise _SpoiltError(f"over {MAX_SKIPPED} interim answers")
        elif isinstance(event, h11.Data):
            self._body += event.data
            is_holder = self._held.add(len(event.data))
            if len(self._body) > MAX_ANSWER_BYTES:
                raise _SpoiltError(f"answer of over {MAX_ANSWER_BYTES} bytes")
            if not is_holder:
                raise _SpoiltError("answers hold too much memory together")

    def release(self) -> None:
        self._held.release(len(self._body))

    def whole(self) -> UpstreamAnswer:
        assert self._head is not None, "an answer ends after its head"
        lower = [(bytes(name), bytes(value)) for name, value in self._head.headers]
        return UpstreamAnswer(
            status=self._head.status_code,
            headers=[(bytes(n), bytes(v)) for n, v in self._head.headers.raw_items()],
            body=bytes(self._body),
            fields=read_answer_fields(lower, self._head.status_code),
            has_stamp=any(is_stamp(name) for name, _ in lower),
        )


def _has_arrived(sock: socket.socket) -> bool:
    """Return whether bytes, the end or an error of the connection can be read."""
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


def _is_encoded(answer: UpstreamAnswer) -> bool:
    return any(name.lower() == b"content-encoding" for name, _ in answer.headers)


def _head(request: UpstreamRequest) -> h11.Request:
    headers = list(request.headers)
    if request.has_body:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _begin(request: UpstreamRequest) -> tuple[bytes, h11.Connection]:
    """Return the bytes of `request` and a parser that expects its answer."""
    parser = h11.Connection(h11.CLIENT)
    parts = [parser.send(_head(request))]
    if request.body:
        parts.append(parser.send(h11.Data(data=request.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part), parser
