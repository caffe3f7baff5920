"""Upstreams and callers in trouble that send without end, until the VM closes."""

import itertools
import tracemalloc

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry import exchange
from lagoonlatch.entry.exchange import AnswerMemoryLimit, UpstreamConnection
from lagoonlatch.entry.messages import Answered, Unknown
from tests.entry.scripted import ScriptedUpstream
from tests.entry.test_connection import Session
from tests.entry.test_exchange import REQUEST

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s\r\n"
    b"Content-Length: 2\r\n\r\nno"
)

ENDLESS = {
    "bytes that are no head": (b"", b"\x17" * 4_096),
    "a header line": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4_096),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 200),
    "answers to another request": (b"", OTHER * 100),
    "a body without a length": (HEAD + b"\r\n", b"b" * 65_536),
    "chunks": (CHUNKED, b"1000\r\n" + b"c" * 4_096 + b"\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\nc\r\n" * 1_000),
    "a chunk extension": (CHUNKED + b"5;x=", b"x" * 4_096),
    "a chunk size": (CHUNKED, b"0" * 4_096),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n" * 500),
}

TIME: float = 1_000.0
MEMORY = 8 * 1024 * 1024
"""Bytes beyond which memory counts as growing with what is sent."""

LONGEST_PAUSE: float = 0.25
"""Seconds for which other tasks may stand still."""


class Ticker:
    """Measures how long other tasks had to stand still."""

    def __init__(self):
        self.longest = 0.0
        self._task = gevent.spawn(self._tick)

    def _tick(self):
        clock = Clock()
        last = clock.now()
        while True:
            gevent.sleep(0.01)
            now = clock.now()
            self.longest = max(self.longest, (now - last) / 1_000.0)
            last = now

    def stop(self):
        self._task.kill()
        return self.longest


def endless(first, rest):
    """Return a step that sends `rest` until the other side closes."""

    def step(sock, _request):
        sock.sendall(first)
        for _ in itertools.count():
            sock.sendall(rest)

    return step


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_upstream_that_sends_without_end_is_given_up(kind, monkeypatch):
    monkeypatch.setattr(exchange, "MAX_ANSWER_BYTES", 1024 * 1024)
    upstream = ScriptedUpstream(endless(*ENDLESS[kind]))
    clock = Clock()
    held = AnswerMemoryLimit(4 * 1024 * 1024)
    connection = UpstreamConnection.open(upstream.address, 500.0, held, clock)
    ticker = Ticker()
    tracemalloc.start()
    started = clock.now()
    outcome = connection.exchange(REQUEST, TIME)
    took = clock.now() - started
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gevent.sleep(0.05)
    assert isinstance(outcome, Unknown)
    assert not connection.is_reusable
    assert took <= TIME + 300.0
    assert peak < MEMORY
    assert ticker.stop() < LONGEST_PAUSE
    assert upstream.closed == [True]
    assert not held._held
    upstream.stop()


def test_bytes_without_end_behind_a_whole_answer_are_not_read():
    whole = HEAD + b"Content-Length: 2\r\n\r\nok"
    upstream = ScriptedUpstream(endless(whole, b"x" * 65_536))
    connection = UpstreamConnection.open(
        upstream.address, 500.0, AnswerMemoryLimit(1_000_000), Clock()
    )
    outcome = connection.exchange(REQUEST, TIME)
    assert isinstance(outcome, Answered)
    assert outcome.answer.body == b"ok"
    assert not connection.is_reusable
    gevent.sleep(0.05)
    assert upstream.closed == [True]
    upstream.stop()


def test_many_endless_bodies_at_once_stay_within_one_bound():
    """Load: a service whose upstreams all send bodies without end."""
    limit = 2 * 1024 * 1024
    held = AnswerMemoryLimit(limit)
    upstreams = [
        ScriptedUpstream(endless(*ENDLESS["a body without a length"])) for _ in range(8)
    ]

    def ask(upstream):
        connection = UpstreamConnection.open(upstream.address, 500.0, held, Clock())
        return connection.exchange(REQUEST, 3_000.0)

    tracemalloc.start()
    tasks = [gevent.spawn(ask, upstream) for upstream in upstreams]
    gevent.joinall(tasks, timeout=10)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert all(isinstance(task.value, Unknown) for task in tasks)
    assert peak < 3 * limit + MEMORY
    assert not held._held
    for upstream in upstreams:
        upstream.stop()


CALLER = {
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


@pytest.mark.parametrize("kind", CALLER)
def test_a_caller_that_sends_without_end_is_closed(kind):
    session = Session()
    first, rest = CALLER[kind]
    ticker = Ticker()
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
    assert peak < MEMORY
    assert ticker.stop() < LONGEST_PAUSE
    sender.kill()
