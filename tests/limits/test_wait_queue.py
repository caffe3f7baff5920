import gevent
import pytest

from lagoonlatch.limits.wait_queue import MAX_TOKEN_WAIT, TokenWaitQueue
from tests.limits.virtual import VirtualClock, VirtualTime


class TokenSource:
    """A source of tokens whose rounds of calls take 50 ms."""

    def __init__(self, tokens_by_round):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.tokens = 0
        self.tokens_by_round = list(tokens_by_round)
        self.queue = TokenWaitQueue(self.fetch, self.expected_wait, self.clock)
        self.outcomes = []

    def fetch(self, _needed):
        self.clock.sleep(50.0)
        fetched = self.tokens_by_round.pop(0) if self.tokens_by_round else 0
        if isinstance(fetched, Exception):
            raise fetched
        self.tokens += fetched

    def expected_wait(self, tokens):
        return 0.0 if self.tokens_by_round else 1_000.0 * tokens

    def try_spend(self):
        if self.tokens < 1:
            return None
        self.tokens -= 1
        return "taken"

    def wait(self, name):
        outcome = self.queue.wait_for_tokens(
            1.0, self.try_spend, lambda _promised: "given up"
        )
        self.outcomes.append((name, outcome, self.time.now))

    def spawn(self, *names):
        waiting = [gevent.spawn(self.wait, name) for name in names]
        self.time.run_until(10.0)
        return waiting


def test_waiters_share_one_round_and_are_served_in_order():
    source = TokenSource([2])
    source.spawn("first", "second", "third")
    source.time.run_until(1_000.0)
    assert source.outcomes == [
        ("first", "taken", 50.0),
        ("second", "taken", 50.0),
        ("third", "given up", 50.0),
    ]


def test_waiter_is_refused_after_its_timeout():
    source = TokenSource([0] * 100)
    source.spawn("only")
    source.time.run_until(10_000.0)
    assert source.outcomes[0][1] == "given up"
    assert MAX_TOKEN_WAIT <= source.outcomes[0][2] <= MAX_TOKEN_WAIT + 60.0


def test_killed_waiter_gets_no_token():
    source = TokenSource([1])
    first, _second = source.spawn("first", "second")
    first.kill()
    source.time.run_until(1_000.0)
    assert source.outcomes == [("second", "taken", 50.0)]


def test_failed_round_fails_its_waiters_and_not_the_next():
    source = TokenSource([AssertionError("broken"), 1])
    (first,) = source.spawn("first")
    with pytest.raises(AssertionError, match="broken"):
        source.time.run_until(1_000.0)
    assert first.ready() and not first.successful()
    source.spawn("second")
    source.time.run_until(2_000.0)
    assert [outcome[:2] for outcome in source.outcomes] == [("second", "taken")]
