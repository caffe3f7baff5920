"""Callers that leave while their requests wait, are sent or run."""

import gevent
import pytest
from gevent.event import Event

from lagoonlatch.entry.cancellation import CallerLeftError, CancellationToken


def test_wait_of_a_cancelled_request_is_interrupted():
    token = CancellationToken()
    never = Event()

    def wait():
        with token.interruptible():
            never.wait()

    task = gevent.spawn(wait)
    gevent.sleep(0)
    token.cancel()
    with pytest.raises(CallerLeftError):
        task.get(timeout=1.0)


def test_cancelled_request_begins_no_further_wait():
    token = CancellationToken()
    token.cancel()
    token.cancel()
    assert token.is_cancelled
    with pytest.raises(CallerLeftError):
        token.check()
    with pytest.raises(CallerLeftError), token.interruptible():
        pytest.fail("the wait began")


def test_cancellation_between_waits_interrupts_nothing():
    token = CancellationToken()
    released = Event()

    def wait():
        with token.interruptible():
            pass
        released.wait()
        return token.is_cancelled

    task = gevent.spawn(wait)
    gevent.sleep(0)
    token.cancel()
    gevent.sleep(0.01)
    released.set()
    assert task.get(timeout=1.0)


def test_cancellation_at_the_end_of_a_wait_does_not_interrupt_the_next_one():
    """It would break off a request that has been sent and may run only once."""
    token = CancellationToken()
    granted, answered = Event(), Event()

    def wait():
        with token.interruptible():
            granted.wait()
        answered.wait()
        return "answer read"

    task = gevent.spawn(wait)
    gevent.sleep(0)
    granted.set()
    token.cancel()
    gevent.sleep(0.01)
    answered.set()
    assert task.get(timeout=1.0) == "answer read"
