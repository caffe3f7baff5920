"""Faulty upstreams and callers that send data until the VM closes the connection.

The tests guard against unbounded memory use and against blocking other greenlets.
"""

import itertools
import tracemalloc

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry import exchange
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.exchange import UpstreamConnection
from lagoonlatch.entry.messages import Answered, Unknown
from tests.entry.scripted import ScriptedUpstream
from tests.entry.test_connection import Session
from tests.entry.test_exchange import REQUEST

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s\r\n"
    b"Content-Length: 2\r\n\r\nno"
)

ENDLESS_ANSWERS = {
    "bytes that are no head": (b"", b"\x17" * 4_096),
    "a header line": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4_096),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 200),
    "answers to another request": (b"", OTHER_ANSWER * 100),
    "a body without a length": (HEAD + b"\r\n", b"b" * 65_536),
    "chunks": (CHUNKED, b"1000\r\n" + b"c" * 4_096 + b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\nc\r\n" * 1_000),
    "a chunk extension": (CHUNKED + b"5;x=", b"x" * 4_096),
    "a chunk size": (CHUNKED, b"0" * 4_096),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n" * 500),
}

TIMEOUT: float = 1_000.0
MAX_MEMORY_BYTES = 8 * 1024 * 1024
"""Memory limit; beyond it, memory use counts as growing with the data sent."""

MAX_PAUSE_SECONDS: float = 0.25
"""Longest time for which other greenlets may be blocked."""


class PauseMeter:
    """Measures the longest time for which other greenlets were blocked."""

    def __init__(self):
        self.longest_pause = 0.0
        self._task = gevent.spawn(self._tick)

    def _tick(self):
        clock = Clock()
        last = clock.now()
        while True:
            gevent.sleep(0.01)
            now = clock.now()
            self.longest_pause = max(self.longest_pause, (now - last) / 1_000.0)
            last = now

    def stop(self):
        self._task.kill()
        return self.longest_pause


def send_endlessly(first, rest):
    """Return a step that sends `rest` until the other side closes."""

    def step(sock, _request):
        sock.sendall(first)
        for _ in itertools.count():
            sock.sendall(rest)

    return step


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_exchange_with_endless_answer_is_aborted(kind, monkeypatch):
    monkeypatch.setattr(exchange, "MAX_ANSWER_BYTES", 1024 * 1024)
    upstream = ScriptedUpstream(send_endlessly(*ENDLESS_ANSWERS[kind]))
    clock = Clock()
    memory_limit = AnswerMemoryLimit(4 * 1024 * 1024, Clock())
    connection = UpstreamConnection.open(upstream.address, 500.0, memory_limit, clock)
    pause_meter = PauseMeter()
    tracemalloc.start()
    started = clock.now()
    outcome = connection.exchange(REQUEST, TIMEOUT)
    took = clock.now() - started
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gevent.sleep(0.05)
    assert isinstance(outcome, Unknown)
    assert not connection.is_reusable
    assert took <= TIMEOUT + 300.0
    assert peak < MAX_MEMORY_BYTES
    assert pause_meter.stop() < MAX_PAUSE_SECONDS
    assert upstream.closed == [True]
    assert not memory_limit.used_bytes
    upstream.stop()


def test_endless_bytes_after_a_complete_answer_are_not_read():
    complete_answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    upstream = ScriptedUpstream(send_endlessly(complete_answer, b"x" * 65_536))
    connection = UpstreamConnection.open(
        upstream.address, 500.0, AnswerMemoryLimit(1_000_000, Clock()), Clock()
    )
    outcome = connection.exchange(REQUEST, TIMEOUT)
    assert isinstance(outcome, Answered)
    assert outcome.answer.body == b"ok"
    assert not connection.is_reusable
    gevent.sleep(0.05)
    assert upstream.closed == [True]
    upstream.stop()


def test_concurrent_endless_bodies_share_one_memory_limit():
    """All upstreams of a service send endless bodies at the same time."""
    limit = 2 * 1024 * 1024
    memory_limit = AnswerMemoryLimit(limit, Clock())
    upstreams = [
        ScriptedUpstream(send_endlessly(*ENDLESS_ANSWERS["a body without a length"]))
        for _ in range(8)
    ]

    def run_exchange(upstream):
        connection = UpstreamConnection.open(
            upstream.address, 500.0, memory_limit, Clock()
        )
        return connection.exchange(REQUEST, 3_000.0)

    tracemalloc.start()
    tasks = [gevent.spawn(run_exchange, upstream) for upstream in upstreams]
    gevent.joinall(tasks, timeout=10)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert all(isinstance(task.value, Unknown) for task in tasks)
    assert peak < 3 * limit + MAX_MEMORY_BYTES
    assert not memory_limit.used_bytes
    for upstream in upstreams:
        upstream.stop()


ENDLESS_REQUESTS = {
    "bytes that are no head": (b"", b"\x17" * 4_096),
    "a header line": (b"GET / HTTP/1.1\r\nX: ", b"x" * 4_096),
    "header lines": (b"GET / HTTP/1.1\r\n", b"X: y\r\n" * 500),
    "a body": (
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"c" * 4_096 + b"\r\n",
    ),
    "tiny chunks": (
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nc\r\n" * 1_000,
    ),
    "a chunk extension": (
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
        b"x" * 4_096,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_connection_of_endlessly_sending_caller_is_closed(kind):
    session = Session()
    first, rest = ENDLESS_REQUESTS[kind]
    pause_meter = PauseMeter()
    tracemalloc.start()

    def send():
        session.caller.sendall(first)
        for _ in itertools.count():
            session.caller.sendall(rest)

    sender = gevent.spawn(send)
    session.task.join(timeout=10)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert session.task.ready()
    assert peak < MAX_MEMORY_BYTES
    assert pause_meter.stop() < MAX_PAUSE_SECONDS
    sender.kill()
