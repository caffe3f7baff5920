"""Answers that wait for memory while others are read or not yet written."""

import time

import gevent
import pytest
from gevent import socket

from lagoonlatch.clock import Clock
from lagoonlatch.entry.answer_memory import (
    CONGESTION_TIME,
    RELIEF_FRACTION,
    SMALL_ANSWER_BYTES,
    AnswerMemoryLimit,
)
from lagoonlatch.entry.exchange import UpstreamConnection
from lagoonlatch.entry.messages import Answered, FailureKind, Unknown
from lagoonlatch.standins.entry_fleet import HOST, KEY, EntryFleet, ask
from lagoonlatch.standins.instance import LARGE_PREFIX
from lagoonlatch.standins.manual_clock import ManualClock
from tests.entry.scripted import ScriptedUpstream, send_answer
from tests.entry.test_exchange import REQUEST
from tests.entry.test_process import eventually

MEMORY_LIMIT = 1_000_000

VM_MEMORY_MB = 20.0
"""Allows 5 MB of answers."""

STALLED_CALLERS = 8
STALLED_REQUESTS = 3
MAX_REFUSAL_SECONDS = 0.5


def answer_of(size):
    """Return an answer with a body of `size` bytes."""
    body = b"x" * size
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % size + body


@pytest.fixture
def start_limited():
    """Return a function that starts an exchange; all share one memory limit."""
    upstreams = []

    def start(memory_limit, size, timeout=2_000.0):
        upstream = ScriptedUpstream(send_answer(answer_of(size)))
        upstreams.append(upstream)
        connection = UpstreamConnection.open(
            upstream.address, 500.0, memory_limit, Clock()
        )
        return gevent.spawn(connection.exchange, REQUEST, timeout)

    yield start
    for upstream in upstreams:
        upstream.stop()


def test_large_answer_waits_while_unwritten_answers_use_the_memory(start_limited):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT, Clock())
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        large = start_limited(memory_limit, 900_000)
        gevent.sleep(0.2)
        assert not large.ready()
        assert memory_limit.used_bytes < MEMORY_LIMIT + 3 * SMALL_ANSWER_BYTES
    assert len(large.get(timeout=2.0).answer.body) == 900_000
    assert memory_limit.used_bytes == 0


def test_small_answer_is_read_while_unwritten_answers_use_the_memory(start_limited):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT, Clock())
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        small = start_limited(memory_limit, SMALL_ANSWER_BYTES)
        assert isinstance(small.get(timeout=2.0), Answered)


def test_answers_larger_than_the_memory_together_do_not_block_each_other(
    start_limited,
):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT, Clock())
    tasks = [start_limited(memory_limit, 900_000) for _ in range(6)]
    outcomes = [task.get(timeout=5.0) for task in tasks]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert memory_limit.used_bytes == 0


def test_answer_that_gets_no_memory_in_time_is_given_up(start_limited):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT, Clock())
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        outcome = start_limited(memory_limit, 900_000, timeout=300.0).get(timeout=2.0)
    assert isinstance(outcome, Unknown)
    assert outcome.kind is FailureKind.OUT_OF_TIME
    assert memory_limit.used_bytes == 0


def test_memory_that_is_used_up_for_a_short_time_is_not_congested():
    """Callers with fast connections accept their answers sooner."""
    clock = ManualClock()
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT, clock)
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        clock.advance(CONGESTION_TIME - 1.0)
        assert not memory_limit.is_congested
        clock.advance(1.0)
        assert memory_limit.is_congested
    assert not memory_limit.is_congested


def test_memory_stays_congested_until_much_of_it_is_free():
    clock = ManualClock()
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT, clock)
    remaining = round(MEMORY_LIMIT * RELIEF_FRACTION)
    with memory_limit.hold_complete(remaining):
        with memory_limit.hold_complete(1):
            with memory_limit.hold_complete(MEMORY_LIMIT - remaining):
                clock.advance(CONGESTION_TIME)
            assert memory_limit.is_congested
        assert not memory_limit.is_congested


def stall(vm, number):
    """Send pipelined requests for 1.2 MB of answers, of which nothing is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.connect(("127.0.0.1", vm.caller_port))
    for request in range(STALLED_REQUESTS):
        name = f"{number}-{request}"
        sock.sendall(
            f"GET {LARGE_PREFIX}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {name}\r\nAuthorization: Token {KEY}\r\n\r\n".encode()
        )
    return sock


def test_downloads_go_to_another_vm_while_slow_callers_use_the_memory_of_one():
    """They would wait at the VM until their deadline, and occupy slots of upstreams."""
    with EntryFleet(vms=2, memory_mb=VM_MEMORY_MB) as fleet:
        full, free = fleet.vms_by_id.values()
        stalled = [stall(full, number) for number in range(STALLED_CALLERS)]
        assert eventually(lambda: ask(full, "d1", path="/fetch/1") == 503)
        started = time.monotonic()
        assert ask(full, "d2", path="/fetch/2") == 503
        assert time.monotonic() - started < MAX_REFUSAL_SECONDS
        assert ask(full, "s1", path="/look/1") == 200
        assert ask(free, "d3", path="/fetch/3") == 200
        for sock in stalled:
            sock.close()
        assert eventually(lambda: ask(full, "d4", path="/fetch/4") == 200)
