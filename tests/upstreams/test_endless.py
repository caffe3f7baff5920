"""Faulty upstreams that send data until the earlier daemon closes the connection.

The tests guard against unbounded memory use and against blocking other greenlets.
"""

import tracemalloc

import gevent
import pytest
from returns.result import Failure

from lagoonlatch.clock import Clock
from lagoonlatch.upstreams.http import CONFIRM_TIMEOUT, Exchange
from tests.entry.scripted import ScriptedUpstream
from tests.entry.test_endless import (
    ENDLESS_ANSWERS,
    MAX_PAUSE_SECONDS,
    TIMEOUT,
    PauseMeter,
    send_endlessly,
)
from tests.upstreams.test_http import make_pool, make_request

LARGEST_BODY_BYTES = 1024 * 1024
MAX_MEMORY_BYTES = 8 * 1024 * 1024
"""Memory limit; beyond it, memory use counts as growing with the data sent."""

END_MARGIN = 300.0
GUARD_SECONDS = 10.0


@pytest.fixture
def run_exchange():
    """Return a function that plays one exchange with an endless answer."""
    upstreams = []

    def run(kind):
        first, rest = ENDLESS_ANSWERS[kind]
        upstream = ScriptedUpstream(send_endlessly(first.replace(b"r1", b"r-1"), rest))
        upstreams.append(upstream)
        clock = Clock()
        pool = make_pool(upstream.address)
        started = clock.now()
        request = make_request(deadline=TIMEOUT)
        begun = Exchange(request, pool, clock, started + TIMEOUT, LARGEST_BODY_BYTES)
        with gevent.Timeout(GUARD_SECONDS):
            outcome = begun.perform()
            begun.settle()
        assert isinstance(outcome, Failure)
        assert pool.open_count == 0
        return clock.now() - started

    yield run
    for upstream in upstreams:
        upstream.stop()


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_ends_in_time_and_does_not_block_other_greenlets(
    kind, run_exchange
):
    meter = PauseMeter()
    took = run_exchange(kind)
    gevent.sleep(0.05)
    assert meter.stop() < MAX_PAUSE_SECONDS
    assert took <= TIMEOUT + CONFIRM_TIMEOUT + END_MARGIN


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_uses_little_memory(kind, run_exchange):
    tracemalloc.start()
    try:
        run_exchange(kind)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_MEMORY_BYTES
