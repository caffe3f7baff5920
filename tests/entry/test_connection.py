"""Callers' connections with requests split, pipelined, invalid, slow and cut off."""

from dataclasses import replace

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock
from lagoonlatch.entry import connection
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.body_memory import STALL_TIME, BodyMemoryLimit
from lagoonlatch.entry.connection import IDLE_CHECK_INTERVAL, CallerConnection
from lagoonlatch.entry.messages import CallerAnswer
from lagoonlatch.steering.model import CallerLimits

LIMITS = CallerLimits(
    header_bytes=2_000, body_bytes=1_000, header_timeout=300.0, idle_timeout=500.0
)
GET = b"GET /a/%d HTTP/1.1\r\nHost: H.example:80\r\nRequest-Id: %d\r\n\r\n"
READ_TIMEOUT_SECONDS = 3.0


class EchoHandler:
    """Answers with the target and body, once `may_answer` is set.

    Attributes
    ----------
    is_interruptible : bool
        Whether the wait for `may_answer` ends when the caller leaves.
    """

    def __init__(self):
        self.requests = []
        self.refusal = None
        self.is_interruptible = True
        self.may_answer = Event()
        self.may_answer.set()
        self.delays = {}
        self.answered_targets = []

    def check_head(self, _request):
        return self.refusal

    def handle(self, request):
        self.requests.append(request)
        if self.is_interruptible:
            with request.cancellation.interruptible():
                self.may_answer.wait()
        else:
            self.may_answer.wait()
        gevent.sleep(self.delays.get(request.target, 0.0))
        self.answered_targets.append(request.target)
        return CallerAnswer(
            status=200,
            headers=[(b"X-Path", request.target), (b"Connection", b"odd")],
            body=request.body or request.target,
        )


class Session:
    """A connection and the caller at its other end."""

    def __init__(self, limits=LIMITS, is_stopping=False):
        self.handler = EchoHandler()
        self.is_stopping = is_stopping
        self.memory_limit = AnswerMemoryLimit(1_000_000, Clock())
        self.body_memory_limit = BodyMemoryLimit(10_000_000, Clock())
        self.caller, server = socket.socketpair()
        self.caller.settimeout(READ_TIMEOUT_SECONDS)
        self.connection = CallerConnection(
            _SocketIgnoringOptions(server),
            self.handler,
            lambda: limits,
            lambda: self.is_stopping,
            self.memory_limit,
            self.body_memory_limit,
            Clock(),
        )
        self.task = gevent.spawn(self.connection.run)

    def send(self, data):
        self.caller.sendall(data)
        return self

    def read_to_end(self):
        data = b""
        try:
            while chunk := self.caller.recv(65_536):
                data += chunk
        except ConnectionResetError:
            data += b"(reset)"
        return data

    def read_until(self, marker):
        data = b""
        while marker not in data:
            chunk = self.caller.recv(65_536)
            assert chunk, f"closed after {data!r}"
            data += chunk
        return data


class _SocketIgnoringOptions:
    """A Unix socket that ignores the options of TCP sockets."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *_args):
        pass

    def __getattr__(self, name):
        return getattr(self._sock, name)


def statuses(data):
    return [
        int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:] if part[:3].isdigit()
    ]


def test_request_is_handled_as_sent_and_answered():
    session = Session()
    session.send(GET % (1, 1))
    data = session.read_until(b"/a/1")
    assert statuses(data) == [200]
    assert b"odd" not in data
    (request,) = session.handler.requests
    assert request.host == "h.example"
    assert (b"Request-Id", b"1") in request.headers
    session.caller.close()
    session.task.join(1.0)
    assert session.task.ready()


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    session = Session()
    session.handler.delays = {b"/a/1": 0.2, b"/a/2": 0.0, b"/a/3": 0.1}
    session.send(b"".join(GET % (i, i) for i in (1, 2, 3)))
    data = session.read_until(b"\r\n\r\n/a/3")
    order = [data.index(b"X-Path: /a/%d" % i) for i in (1, 2, 3)]
    assert order == sorted(order)
    assert session.handler.answered_targets == [b"/a/2", b"/a/3", b"/a/1"]


def test_connection_is_kept_between_requests():
    session = Session()
    for number in range(3):
        session.send(GET % (number, number))
        session.read_until(b"\r\n\r\n/a/%d" % number)
    assert len(session.handler.requests) == 3


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
def test_body_with_length_or_in_chunks_is_read(body):
    session = Session()
    session.send(b"POST /a HTTP/1.1\r\nHost: h\r\n" + body)
    session.read_until(b"\r\n\r\nhello")
    assert session.handler.requests[0].body == b"hello"
    assert session.handler.requests[0].has_body


def test_request_with_connection_close_is_the_last():
    session = Session()
    closing = b"GET /a/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    data = session.send(closing + GET % (2, 2)).read_to_end()
    assert statuses(data) == [200]
    assert b"Connection: close" in data
    assert len(session.handler.requests) == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        (b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabcdef\r\n",
            400,
        ),
        (b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3_000, 431),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
            + b"x" * 1_001,
            413,
        ),
    ],
)
def test_invalid_request_is_rejected_without_being_handled(data, status):
    session = Session()
    answer = session.send(data).read_to_end()
    assert statuses(answer) == [status]
    assert b"Connection: close" in answer
    assert session.handler.requests == []


def test_requests_before_an_invalid_one_are_answered_first():
    session = Session()
    session.handler.delays = {b"/a/1": 0.1}
    data = session.send(GET % (1, 1) + b"NONSENSE\r\n\r\n").read_to_end()
    assert statuses(data) == [200, 400]


@pytest.mark.parametrize(
    "data", [b"GET /a HT", b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"]
)
def test_slow_request_gets_408(data):
    session = Session()
    assert statuses(session.send(data).read_to_end()) == [408]
    assert session.handler.requests == []


def test_idle_connection_is_closed_after_its_timeout_without_an_answer():
    session = Session()
    session.send(GET % (1, 1))
    session.read_until(b"\r\n\r\n/a/1")
    clock = Clock()
    started = clock.now()
    assert session.read_to_end() == b""
    assert 400.0 <= clock.now() - started <= 1_500.0


def test_lowered_idle_timeout_applies_after_the_next_answer():
    limits = [CallerLimits(idle_timeout=800.0)]
    session = Session()
    session.connection._limits = lambda: limits[0]
    session.send(GET % (1, 1))
    session.read_until(b"\r\n\r\n/a/1")
    limits[0] = CallerLimits(idle_timeout=100.0)
    gevent.sleep(0.5)
    session.send(GET % (2, 2))
    session.read_until(b"\r\n\r\n/a/2")


def test_handling_stops_when_the_caller_disconnects():
    session = Session()
    session.handler.may_answer.clear()
    session.send(GET % (1, 1))
    gevent.sleep(0.05)
    session.caller.close()
    session.task.join(1.0)
    session.handler.may_answer.set()
    gevent.sleep(0.05)
    assert session.handler.answered_targets == []


def test_handling_that_may_not_be_interrupted_continues():
    session = Session()
    session.handler.is_interruptible = False
    session.handler.may_answer.clear()
    session.send(GET % (1, 1))
    gevent.sleep(0.05)
    session.caller.close()
    session.task.join(1.0)
    assert session.handler.requests[0].cancellation.is_cancelled
    session.handler.may_answer.set()
    gevent.sleep(0.05)
    assert session.handler.answered_targets == [b"/a/1"]


def test_stopping_vm_closes_the_connection_with_the_last_answer():
    session = Session(is_stopping=True)
    session.handler.delays = {b"/a/1": 0.1, b"/a/2": 0.1}
    data = session.send(GET % (1, 1) + GET % (2, 2)).read_to_end()
    assert statuses(data) == [200, 200]
    assert data.count(b"Connection: close") == 1


def test_idle_connection_of_a_stopping_vm_can_be_closed():
    session = Session()
    session.send(GET % (1, 1))
    session.read_until(b"\r\n\r\n/a/1")
    session.connection.close_if_idle()
    assert session.read_to_end() == b""


def test_connection_with_a_request_in_progress_is_not_closed():
    session = Session()
    session.handler.may_answer.clear()
    session.send(GET % (1, 1))
    gevent.sleep(0.05)
    session.connection.close_if_idle()
    session.handler.may_answer.set()
    assert b"\r\n\r\n/a/1" in session.read_until(b"/a/1")


def test_request_after_the_announced_close_is_not_handled():
    session = Session()
    session.send(GET % (1, 1))
    session.read_until(b"\r\n\r\n/a/1")
    session.connection.close_if_idle()
    session.send(GET % (2, 2))
    session.read_to_end()
    assert [request.target for request in session.handler.requests] == [b"/a/1"]


def test_exception_in_the_handler_is_answered_with_500():
    session = Session()
    session.handler.handle = lambda request: 1 / 0
    session.send(GET % (1, 1))
    assert statuses(session.read_until(b"\r\n\r\n")) == [500]


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 900000",
        b"Content-Length: 5\r\nExpect: 100-continue",
        b"Transfer-Encoding: chunked\r\n\r\n11000\r\n" + bytes(0x11000),
    ],
)
def test_refusal_by_the_head_does_not_wait_for_a_large_body(framing):
    session = Session()
    session.handler.refusal = CallerAnswer(status=401)
    session.send(b"POST /a HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n")
    assert statuses(session.read_to_end()) == [401]
    assert not session.handler.requests


def test_refusal_by_the_head_keeps_the_connection_after_a_small_body():
    session = Session()
    session.handler.refusal = CallerAnswer(status=401)
    session.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
    session.send(GET % (1, 1))
    assert statuses(session.read_until(b"X-Path: /a/1")) == [401, 200]


def test_announced_body_over_the_limit_is_refused_unread():
    session = Session()
    session.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n")
    assert statuses(session.read_to_end()) == [413]


def test_body_without_memory_is_refused_with_a_retry_delay_and_memory_is_returned():
    limits = replace(LIMITS, body_bytes=100_000_000)
    session = Session(limits)
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx"
    session.send(head % 50_000_000)
    data = session.read_to_end()
    assert statuses(data) == [503]
    assert b"Retry-After: 0.5" in data
    assert session.body_memory_limit.used_bytes == 0


def test_stalled_body_that_gives_way_is_answered_with_408():
    session = Session(replace(LIMITS, body_bytes=1_000_000, header_timeout=9_000.0))
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx"
    session.send(head % 1_000_000)
    gevent.sleep(1.2 * STALL_TIME / MILLIS_PER_SECOND)
    other = session.body_memory_limit.open(8_500_000)
    assert other.prepare(0, 0.0, lambda: False)
    assert statuses(session.read_to_end()) == [408]
    assert not session.handler.requests


def test_expect_100_continue_is_answered():
    session = Session()
    session.send(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert b"100" in session.read_until(b"\r\n\r\n")
    session.send(b"ok")
    session.read_until(b"\r\n\r\nok")


@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    count=st.integers(1, 6),
    cuts=st.lists(st.integers(1, 400), max_size=8),
    delays=st.lists(st.sampled_from([0.0, 0.001, 0.01]), min_size=6, max_size=6),
)
def test_answers_do_not_depend_on_how_the_bytes_are_split(count, cuts, delays):
    session = Session()
    session.handler.delays = {b"/a/%d" % i: delays[i] for i in range(count)}
    stream = b"".join(GET % (i, i) for i in range(count))
    for cut in sorted(set(cuts)):
        session.send(stream[:cut])
        stream = stream[cut:]
        gevent.sleep(0.0)
    session.send(stream)
    data = session.read_until(b"\r\n\r\n/a/%d" % (count - 1))
    assert statuses(data) == [200] * count
    assert [r.target for r in session.handler.requests] == [
        b"/a/%d" % i for i in range(count)
    ]
    session.caller.close()


@settings(max_examples=60, deadline=None)
@given(st.binary(min_size=1, max_size=300))
def test_arbitrary_bytes_end_in_an_answer_or_a_close(data):
    session = Session()
    session.send(data)
    session.caller.shutdown(socket.SHUT_WR)
    answer = session.read_to_end()
    assert answer == b"" or statuses(answer) or answer == b"(reset)"
    session.task.join(2.0)
    assert session.task.ready()


class BlobHandler:
    """Answers with a body that belongs to the target alone."""

    def __init__(self, size):
        self.size = size

    def body(self, target):
        return (target + b"|") * (self.size // (len(target) + 1))

    def handle(self, request):
        return CallerAnswer(status=200, body=self.body(request.target))


class SlowSession(Session):
    """A connection whose caller reads nothing at first; small kernel buffers."""

    def __init__(self, size):
        super().__init__()
        self.connection._handler = BlobHandler(size)

    def read_answer(self):
        """Return the body of the next answer."""
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            head += self.caller.recv(1)
        assert head.startswith(b"HTTP/1.1 200 "), head
        length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
        body = b""
        while len(body) < length:
            chunk = self.caller.recv(length - len(body))
            assert chunk, f"closed after {len(body)} of {length} bytes"
            body += chunk
        return body


SLOW_READER_PAUSE_SECONDS: float = 1.5 * IDLE_CHECK_INTERVAL / MILLIS_PER_SECOND
"""Longer than the interval at which the connection's reader wakes up."""


def test_pipelined_answers_to_a_slow_reader_are_not_mixed():
    session = SlowSession(size=600_000)
    targets = [b"/a/%d" % number for number in range(3)]
    session.send(b"".join(GET % (number, number) for number in range(3)))
    for target in targets:
        gevent.sleep(SLOW_READER_PAUSE_SECONDS)
        assert session.read_answer() == session.connection._handler.body(target)


def test_download_by_a_slow_reader_is_not_cut_off():
    session = SlowSession(size=3_000_000)
    session.send(GET % (1, 1))
    gevent.sleep(SLOW_READER_PAUSE_SECONDS)
    assert session.read_answer() == session.connection._handler.body(b"/a/1")


def test_answer_to_a_closing_caller_that_reads_slowly_is_not_cut_off():
    session = SlowSession(size=3_000_000)
    get = GET % (1, 1)
    session.send(get[:-2] + b"Connection: close\r\n\r\n")
    gevent.sleep(SLOW_READER_PAUSE_SECONDS)
    assert session.read_answer() == session.connection._handler.body(b"/a/1")
    assert session.read_to_end() == b""


def test_write_is_not_limited_in_total_while_the_caller_reads(monkeypatch):
    monkeypatch.setattr(connection, "STALLED_WRITE_TIMEOUT", 300.0)
    session = SlowSession(size=3_000_000)
    session.send(GET % (1, 1))
    expected = session.connection._handler.body(b"/a/1")
    received = b""
    while expected not in received:
        # Ten pauses at least, together longer than the limit of a stalled write.
        gevent.sleep(0.1)
        chunk = session.caller.recv(300_000)
        assert chunk, f"closed after {len(received)} bytes"
        received += chunk
    assert received.endswith(expected)


def test_nothing_is_written_after_a_broken_answer(monkeypatch):
    """After a partial write any further byte would belong to another answer."""
    monkeypatch.setattr(connection, "STALLED_WRITE_TIMEOUT", 200.0)
    session = SlowSession(size=600_000)
    session.send(b"".join(GET % (number, number) for number in range(3)))
    gevent.sleep(0.6)
    assert session.task.ready()
    data = session.read_to_end()
    assert data.count(b"HTTP/1.1 200 ") == 1
    assert len(data) < 600_000
    assert b"/a/1" not in data


def test_requests_behind_a_broken_answer_end(monkeypatch):
    """No greenlet may wait for ever for an answer that is never written."""
    monkeypatch.setattr(connection, "STALLED_WRITE_TIMEOUT", 200.0)
    session = SlowSession(size=600_000)
    pending = session.connection._pending_requests
    session.send(b"".join(GET % (number, number) for number in range(3)))
    gevent.sleep(0.1)
    greenlets = [request.greenlet for request in pending]
    gevent.joinall(greenlets, timeout=1.0)
    assert len(greenlets) == 3
    assert all(greenlet.ready() for greenlet in greenlets)


def test_request_behind_a_cancelled_one_ends_when_the_caller_disconnects():
    session = Session()
    session.handler.may_answer.clear()
    session.send(GET % (1, 1))
    gevent.sleep(0.05)
    session.handler.is_interruptible = False
    session.send(GET % (2, 2))
    gevent.sleep(0.05)
    last = session.connection._pending_requests[-1]
    session.caller.close()
    gevent.sleep(0.05)
    session.handler.may_answer.set()
    last.greenlet.join(1.0)
    assert last.greenlet.ready()


def test_interim_answer_is_not_written_after_the_last_answer():
    session = Session(is_stopping=True)
    session.handler.may_answer.clear()
    session.send(GET % (1, 1))
    gevent.sleep(0.05)
    session.send(
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    gevent.sleep(0.05)
    session.handler.may_answer.set()
    data = session.read_to_end()
    assert statuses(data) == [200]


def test_answer_that_is_not_written_yet_counts_as_used_memory():
    session = SlowSession(size=3_000_000)
    session.send(GET % (1, 1))
    gevent.sleep(0.1)
    body = session.connection._handler.body(b"/a/1")
    assert session.memory_limit.used_bytes == len(body)
    assert session.read_answer() == body
    gevent.sleep(0.01)
    assert session.memory_limit.used_bytes == 0


def test_answers_of_a_caller_that_has_left_use_no_memory():
    session = SlowSession(size=600_000)
    session.send(b"".join(GET % (number, number) for number in range(3)))
    gevent.sleep(0.1)
    assert session.memory_limit.used_bytes > 1_500_000
    session.caller.close()
    session.task.join(1.0)
    gevent.sleep(0.01)
    assert session.memory_limit.used_bytes == 0
