"""Answers of the store that are no answers."""

import itertools
import tracemalloc

import gevent
import pytest
from gevent.server import StreamServer
from returns.result import Failure, Success

from lagoonlatch.platform import connections
from lagoonlatch.platform.connections import Connections
from lagoonlatch.platform.endpoint import Endpoint
from tests.entry.scripted import INVALID_STATUSES, make_answer_bytes

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

ENDLESS_ANSWERS = {
    "bytes that are no head": (b"", b"\x17" * 4_096),
    "a header line": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4_096),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 500),
    "a body without a length": (HEAD + b"\r\n", b"b" * 65_536),
    "a body with a huge length": (
        HEAD + b"Content-Length: 999999999999\r\n\r\n",
        b"b" * 65_536,
    ),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"c" * 4_096 + b"\r\n",
    ),
    "tiny chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nc\r\n" * 999),
}

TIMEOUT = 1_000.0
MAX_MEMORY_BYTES = 8 * 1024 * 1024
"""Memory limit; beyond it, memory use counts as growing with the data sent."""

MAX_PAUSE_SECONDS = 0.25
"""Longest time for which other greenlets may be blocked."""


@pytest.fixture
def serve():
    """Return a function that starts a store that sends the given bytes."""
    servers = []

    def start(first, rest=b""):
        def send(sock, _address):
            sock.recv(65_536)
            sock.sendall(first)
            for _ in itertools.count() if rest else ():
                sock.sendall(rest)
            sock.recv(1)

        server = StreamServer(("127.0.0.1", 0), send)
        server.start()
        servers.append(server)
        return Connections(Endpoint("127.0.0.1", server.server_port), TIMEOUT)

    yield start
    for server in servers:
        server.stop()


def longest_pause(pauses):
    last = gevent.get_hub().loop.now()
    while True:
        gevent.sleep(0.01)
        gevent.get_hub().loop.update_now()
        now = gevent.get_hub().loop.now()
        pauses.append(now - last)
        last = now


@pytest.fixture
def call_endless_store(serve, monkeypatch):
    """Return a function that calls a store with an endless answer."""
    monkeypatch.setattr(connections, "MAX_ANSWER_BYTES", 1024 * 1024, raising=False)

    def call(kind):
        calls = serve(*ENDLESS_ANSWERS[kind])
        with gevent.Timeout(5.0):
            result = calls.call("GET", "/kv-key?key=a")
        assert isinstance(result, Failure)

    return call


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_of_the_store_uses_little_memory(kind, call_endless_store):
    """Guards against a VM that keeps all bytes and runs out of memory."""
    tracemalloc.start()
    try:
        call_endless_store(kind)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_MEMORY_BYTES


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_of_the_store_blocks_no_other_task(kind, call_endless_store):
    pauses = []
    meter = gevent.spawn(longest_pause, pauses)
    call_endless_store(kind)
    meter.kill()
    assert max(pauses, default=0.0) < MAX_PAUSE_SECONDS


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_of_the_store_with_an_invalid_status_is_no_answer(serve, status):
    # Statuses 600 to 999 were returned, and the era of such an answer counted.
    store = serve(make_answer_bytes(status))
    outcome = store.call("GET", "/kv")
    assert isinstance(outcome, Failure)
    assert outcome.failure().sent


def test_large_answer_of_the_store_is_read_whole(serve):
    body = b"x" * 2_000_000
    calls = serve(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    result = calls.call("GET", "/kv-range?path_prefix=a")
    assert isinstance(result, Success)
    assert result.unwrap().body == body
