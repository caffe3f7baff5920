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


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_exchange_with_endless_answer_is_aborted(kind):
    first, rest = ENDLESS_ANSWERS[kind]
    upstream = ScriptedUpstream(send_endlessly(first.replace(b"r1", b"r-1"), rest))
    clock = Clock()
    pool = make_pool(upstream.address)
    meter = PauseMeter()
    tracemalloc.start()
    started = clock.now()
    request = make_request(deadline=TIMEOUT)
    begun = Exchange(request, pool, clock, started + TIMEOUT, LARGEST_BODY_BYTES)
    with gevent.Timeout(GUARD_SECONDS):
        outcome = begun.perform()
        begun.settle()
    took = clock.now() - started
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gevent.sleep(0.05)
    longest_pause = meter.stop()
    upstream.stop()
    assert isinstance(outcome, Failure)
    assert pool.open_count == 0
    assert peak < MAX_MEMORY_BYTES
    assert longest_pause < MAX_PAUSE_SECONDS
    assert took <= TIMEOUT + CONFIRM_TIMEOUT + END_MARGIN
