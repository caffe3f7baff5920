"""Answers that wait for memory while others are read or not yet written."""

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry.answer_memory import SMALL_ANSWER_BYTES, AnswerMemoryLimit
from lagoonlatch.entry.exchange import UpstreamConnection
from lagoonlatch.entry.messages import Answered, FailureKind, Unknown
from tests.entry.scripted import ScriptedUpstream, send_answer
from tests.entry.test_exchange import REQUEST

MEMORY_LIMIT = 1_000_000


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
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT)
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        large = start_limited(memory_limit, 900_000)
        gevent.sleep(0.2)
        assert not large.ready()
        assert memory_limit.used_bytes < MEMORY_LIMIT + 3 * SMALL_ANSWER_BYTES
    assert len(large.get(timeout=2.0).answer.body) == 900_000
    assert memory_limit.used_bytes == 0


def test_small_answer_is_read_while_unwritten_answers_use_the_memory(start_limited):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT)
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        small = start_limited(memory_limit, SMALL_ANSWER_BYTES)
        assert isinstance(small.get(timeout=2.0), Answered)


def test_answers_larger_than_the_memory_together_do_not_block_each_other(
    start_limited,
):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT)
    tasks = [start_limited(memory_limit, 900_000) for _ in range(6)]
    outcomes = [task.get(timeout=5.0) for task in tasks]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert memory_limit.used_bytes == 0


def test_answer_that_gets_no_memory_in_time_is_given_up(start_limited):
    memory_limit = AnswerMemoryLimit(MEMORY_LIMIT)
    with memory_limit.hold_complete(MEMORY_LIMIT + 1):
        outcome = start_limited(memory_limit, 900_000, timeout=300.0).get(timeout=2.0)
    assert isinstance(outcome, Unknown)
    assert outcome.kind is FailureKind.OUT_OF_TIME
    assert memory_limit.used_bytes == 0
