from lagoonlatch.steering.admission import (
    MAX_RETRY_DELAY,
    MIN_RETRY_DELAY,
    RETRY_JITTER,
    Admission,
    retry_delay_after_limit,
    retry_delay_after_rest,
)
from tests.steering.samples import make_route

ROUTE = make_route(goal=600.0)


def make_admission(duration=300.0):
    admission = Admission()
    admission.note_duration(ROUTE.id, duration)
    return admission


def test_request_waits_as_long_as_it_can_still_meet_its_goal():
    assert make_admission().longest_wait(ROUTE, 1_200.0) == 300.0


def test_request_that_cannot_finish_in_time_is_refused():
    assert make_admission().longest_wait(ROUTE, 250.0) == 0.0


def test_wait_leaves_enough_time_for_the_work():
    assert make_admission().longest_wait(ROUTE, 400.0) == 100.0


def test_request_longer_than_its_goal_may_wait_briefly():
    assert make_admission(900.0).longest_wait(ROUTE, 1_200.0) == 75.0


def test_expected_wait_grows_with_the_number_of_requests_ahead():
    admission = make_admission()
    assert admission.expected_wait(ROUTE, 0, 3.0) == 0.0
    assert admission.expected_wait(ROUTE, 4, 3.0) == 400.0


def test_retry_delay_is_bounded():
    assert make_admission(10.0).retry_delay(ROUTE) == 200.0
    assert make_admission(60_000.0).retry_delay(ROUTE) == 2_000.0


def test_callers_retry_as_resting_upstreams_return():
    """1,000 callers are refused while four upstreams rest for 1 to 4 s."""
    rests = [1_000.0, 2_000.0, 3_000.0, 4_000.0]
    delays = [retry_delay_after_rest(rests) for _ in range(1_000)]
    assert min(delays) >= min(rests)
    assert max(delays) <= max(rests) + RETRY_JITTER
    for second in range(1, 5):
        retries_in_second = sum(
            second * 1_000.0 <= delay < (second + 1) * 1_000.0 for delay in delays
        )
        assert 150 < retries_in_second < 350


def test_callers_of_one_resting_upstream_do_not_retry_together():
    delays = sorted(retry_delay_after_rest([2_000.0]) for _ in range(1_000))
    assert delays[-1] - delays[0] > RETRY_JITTER / 2


def test_callers_retry_when_a_limit_allows_it_and_not_together():
    delays = sorted(retry_delay_after_limit([500.0, 1_500.0]) for _ in range(1_000))
    assert delays[0] >= 500.0 and delays[-1] <= 3_000.0
    for start in (500.0, 1_000.0, 1_500.0, 2_000.0, 2_500.0):
        assert sum(start <= delay < start + 500.0 for delay in delays) < 500


def test_retry_delay_after_a_limit_is_bounded():
    for wait in (0.0, 60_000.0):
        delay = retry_delay_after_limit([wait])
        assert MIN_RETRY_DELAY <= delay <= MAX_RETRY_DELAY * 2.0
