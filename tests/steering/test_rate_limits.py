"""The bucket of a home VM, and reports that arrive in any order."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.rate_limits import (
    BURST_TOKENS,
    LIMIT_LIFETIME,
    MIN_RATE,
    NO_AUTHORITY_WAIT,
    NamedLimit,
    UpstreamRateLimiter,
)


class Home:
    """A home VM with an upstream that has named a limit."""

    def __init__(self, rate=4.0):
        self.clock = ManualClock()
        self.fraction = 1.0
        self.limiter = UpstreamRateLimiter(lambda _: self.fraction, self.clock)
        self.name(rate)

    def name(self, rate, epoch=0, born=1.0):
        self.limiter.report_named("u1", NamedLimit(rate=rate, born=born, epoch=epoch))

    def epoch(self):
        return self.limiter.limit_of("u1").epoch

    def rate(self):
        limit = self.limiter.limit_of("u1")
        return limit and limit.rate

    def count_granted(self, seconds, step=10.0):
        granted = 0
        for _ in range(round(seconds * 1_000.0 / step)):
            self.clock.advance(step)
            granted += self.limiter.consume("u1")
        return granted


def test_upstream_without_a_limit_is_not_bounded():
    limiter = UpstreamRateLimiter(lambda _: 1.0, ManualClock())
    assert all(limiter.consume("u1") for _ in range(100))
    assert limiter.wait("u1") == 0.0


@pytest.mark.parametrize("rate", [0.3, 1.9, 3.7, 40.0])
def test_requests_are_granted_at_the_named_rate(rate):
    home = Home(rate)
    assert home.count_granted(40.0) == pytest.approx(40.0 * rate, abs=1.0)


def test_idle_time_allows_only_a_small_burst():
    home = Home(rate=4.0)
    home.clock.advance(60_000.0)
    assert home.count_granted(0.01, step=1.0) <= BURST_TOKENS


def test_zero_still_allows_the_requests_that_show_its_end():
    home = Home(rate=0.0)
    assert home.count_granted(60.0) == pytest.approx(60.0 * MIN_RATE, abs=1.0)


def test_home_vm_without_authority_grants_nothing():
    home = Home()
    home.fraction = 0.0
    assert home.count_granted(10.0) == 0
    assert home.limiter.wait("u1") == NO_AUTHORITY_WAIT


def test_older_answer_with_a_higher_limit_does_not_raise_it():
    home = Home(rate=4.0)
    sent_before = home.epoch()
    home.name(2.0)
    home.name(4.0, epoch=sent_before)
    assert home.rate() == 2.0


def test_newer_answer_raises_the_limit():
    home = Home(rate=2.0)
    home.name(4.0, epoch=home.epoch())
    assert home.rate() == 4.0


def test_older_answer_without_a_limit_does_not_end_it():
    home = Home()
    sent_before = home.epoch()
    home.name(4.0)
    home.limiter.report_ended("u1", 1.0, sent_before)
    assert home.rate() == 4.0
    home.limiter.report_ended("u1", 1.0, home.epoch())
    assert home.rate() is None


def test_limit_of_an_earlier_run_does_not_bind_the_next_one():
    home = Home(rate=1.0)
    home.name(8.0, born=2.0)
    home.name(0.5, born=1.0)
    assert home.rate() == 8.0
    home.limiter.report_ended("u1", 1.0, home.epoch())
    assert home.rate() == 8.0


def test_claim_of_a_vm_that_heard_of_the_limit_before_its_end_is_ignored():
    home = Home()
    home.clock.advance(1_000.0)
    home.limiter.report_ended("u1", 1.0, home.epoch())
    home.clock.advance(500.0)
    known = NamedLimit(rate=4.0, born=1.0)
    home.limiter.report_known("u1", known, age=1_200.0)
    assert home.rate() is None
    home.limiter.report_known("u1", known, age=100.0)
    assert home.rate() == 4.0


def test_limit_that_is_never_named_again_is_dropped():
    home = Home()
    home.clock.advance(LIMIT_LIFETIME)
    home.limiter.prune()
    assert home.rate() is None
