"""Memory of request bodies, without connections."""

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry.body_memory import (
    CONNECTION_BYTES,
    GROWTH_BYTES,
    MAX_WAIT,
    SMALL_BODY_BYTES,
    STALL_TIME,
    BodyMemoryLimit,
)
from lagoonlatch.platform.settings_file import DEFAULT_MEMORY_BYTES
from lagoonlatch.standins.manual_clock import ManualClock

LIMIT = 20_000_000
LARGE = 9_000_000
LARGEST_BODY_BYTES = 67_108_864


def prepare(body, more=0, max_wait=0.0):
    return body.prepare(more, max_wait, lambda: False)


@pytest.mark.parametrize("length", [10, SMALL_BODY_BYTES + 1, None])
def test_body_is_kept_once_and_its_memory_is_returned(length):
    memory = BodyMemoryLimit(LIMIT, Clock())
    body = memory.open(length)
    expected = b""
    while len(expected) < (length or 3 * GROWTH_BYTES):
        data = b"0123456789"[: (length or len(expected) + 10) - len(expected)]
        assert prepare(body, len(data))
        body.append(data)
        expected += data
    assert body.content() == expected
    assert memory.used_bytes >= len(expected)
    body.release()
    assert memory.used_bytes == memory.large_bytes == 0


def test_largest_body_fits_on_the_smallest_vm():
    for length in (LARGEST_BODY_BYTES, None):
        memory = BodyMemoryLimit.from_vm_memory(DEFAULT_MEMORY_BYTES, Clock())
        assert prepare(memory.open(length), LARGEST_BODY_BYTES)


def test_small_bodies_have_memory_while_large_ones_use_theirs():
    memory = BodyMemoryLimit(LIMIT, Clock())
    large = [memory.open(LARGE - CONNECTION_BYTES) for _ in range(3)]
    assert [prepare(body) for body in large] == [True, True, False]
    small = [memory.open(SMALL_BODY_BYTES) for _ in range(10)]
    assert all(map(prepare, small))


def test_body_waits_unread_until_another_one_is_released():
    memory = BodyMemoryLimit(LIMIT, Clock())
    first, second = memory.open(LIMIT // 2), memory.open(LIMIT // 2)
    assert prepare(first)
    waiting = gevent.spawn(prepare, second, 0, MAX_WAIT)
    gevent.sleep(0.05)
    assert not waiting.ready()
    first.release()
    assert waiting.get(timeout=1.0)


def test_longest_stalled_body_gives_way_and_others_stay():
    clock = ManualClock()
    memory = BodyMemoryLimit(LIMIT, clock)
    stalled, moving = memory.open(LIMIT // 3), memory.open(LIMIT // 3)
    for body in (stalled, moving):
        assert prepare(body)
        body.await_bytes()
    clock.advance(STALL_TIME)
    moving.append(bytes(5_000))
    moving.await_bytes()
    assert prepare(memory.open(LIMIT // 2), max_wait=MAX_WAIT)
    assert (stalled.is_evicted, moving.is_evicted) == (True, False)
    assert not prepare(stalled)


def test_body_that_is_being_sent_never_gives_way():
    clock = ManualClock()
    memory = BodyMemoryLimit(LIMIT, clock)
    body = memory.open(LIMIT // 2)
    assert prepare(body)
    body.await_bytes()
    body.end_await()
    clock.advance(10 * STALL_TIME)
    assert not prepare(memory.open(LIMIT // 2))
    assert not body.is_evicted


def test_growing_bodies_that_wait_for_each_other_do_not_all_fail():
    memory = BodyMemoryLimit(LIMIT, Clock())
    bodies = [memory.open(None) for _ in range(3)]
    results = []

    def grow(body):
        while len(body) < LIMIT // 2:
            if not prepare(body, GROWTH_BYTES, MAX_WAIT):
                break
            body.append(bytes(GROWTH_BYTES))
            gevent.sleep(0)
        results.append(len(body) >= LIMIT // 2)
        body.release()

    gevent.joinall([gevent.spawn(grow, body) for body in bodies], raise_error=True)
    assert any(results)
    assert memory.used_bytes == 0


def test_number_of_bodies_that_wait_unread_is_bounded():
    memory = BodyMemoryLimit(LIMIT, Clock())
    assert prepare(memory.open(LARGE))
    assert prepare(memory.open(LARGE - 2 * CONNECTION_BYTES))
    waiting = [
        gevent.spawn(prepare, memory.open(LARGE), 0, MAX_WAIT)
        for _ in range(memory.max_waiting + 1)
    ]
    gevent.sleep(0.05)
    assert sum(task.ready() for task in waiting) == 1
    gevent.killall(waiting)
