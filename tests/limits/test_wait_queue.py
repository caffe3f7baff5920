import gevent
import pytest

from lagoonlatch.limits.wait_queue import PATIENCE, Rounds
from tests.limits.virtual import VirtualClock, VirtualTime


class Source:
    """Tokens that one round of calls brings after 50 ms."""

    def __init__(self, brings):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.tokens = 0
        self.brings = list(brings)
        self.rounds = Rounds(self.fetch, self.wait_for, self.clock)
        self.outcomes = []

    def fetch(self, _needed):
        self.clock.sleep(50.0)
        brought = self.brings.pop(0) if self.brings else 0
        if isinstance(brought, Exception):
            raise brought
        self.tokens += brought

    def wait_for(self, tokens):
        return 0.0 if self.brings else 1_000.0 * tokens

    def take(self):
        if self.tokens < 1:
            return None
        self.tokens -= 1
        return "taken"

    def join(self, name):
        outcome = self.rounds.join(1.0, self.take, lambda _promised: "given up")
        self.outcomes.append((name, outcome, self.time.now))

    def spawn(self, *names):
        waiting = [gevent.spawn(self.join, name) for name in names]
        self.time.run_until(10.0)
        return waiting


def test_waiters_share_one_round_and_are_served_in_order():
    source = Source([2])
    source.spawn("first", "second", "third")
    source.time.run_until(1_000.0)
    assert source.outcomes == [
        ("first", "taken", 50.0),
        ("second", "taken", 50.0),
        ("third", "given up", 50.0),
    ]


def test_waiter_is_given_up_when_its_patience_ends():
    source = Source([0] * 100)
    source.spawn("only")
    source.time.run_until(10_000.0)
    assert source.outcomes[0][1] == "given up"
    assert PATIENCE <= source.outcomes[0][2] <= PATIENCE + 60.0


def test_killed_waiter_takes_no_token():
    source = Source([1])
    first, _second = source.spawn("first", "second")
    first.kill()
    source.time.run_until(1_000.0)
    assert source.outcomes == [("second", "taken", 50.0)]


def test_failed_round_fails_its_waiters_and_not_the_next():
    source = Source([AssertionError("broken"), 1])
    (first,) = source.spawn("first")
    with pytest.raises(AssertionError, match="broken"):
        source.time.run_until(1_000.0)
    assert first.ready() and not first.successful()
    source.spawn("second")
    source.time.run_until(2_000.0)
    assert [outcome[:2] for outcome in source.outcomes] == [("second", "taken")]
