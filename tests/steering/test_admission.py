from lagoonlatch.steering.admission import (
    RETURN_SPREAD,
    Admission,
    retry_delay_after_rest,
)
from tests.steering.samples import make_route

ROUTE = make_route(goal=600.0)


def make_admission(duration=300.0):
    admission = Admission()
    admission.note_duration(ROUTE.id, duration)
    return admission


def test_a_request_waits_as_long_as_it_can_still_meet_its_goal():
    assert make_admission().longest_wait(ROUTE, 1_200.0) == 300.0


def test_a_request_that_can_not_be_finished_in_time_is_not_kept():
    assert make_admission().longest_wait(ROUTE, 250.0) == 0.0


def test_a_request_never_waits_into_the_time_that_its_work_takes():
    assert make_admission().longest_wait(ROUTE, 400.0) == 100.0


def test_work_beyond_the_goal_still_gets_a_short_wait():
    assert make_admission(900.0).longest_wait(ROUTE, 1_200.0) == 75.0


def test_the_wait_grows_with_those_ahead():
    admission = make_admission()
    assert admission.expected_wait(ROUTE, 0, 3.0) == 0.0
    assert admission.expected_wait(ROUTE, 4, 3.0) == 400.0


def test_the_time_to_come_back_is_bounded():
    assert make_admission(10.0).retry_delay(ROUTE) == 200.0
    assert make_admission(60_000.0).retry_delay(ROUTE) == 2_000.0


def test_callers_of_upstreams_that_rest_come_back_as_these_return():
    """Load: 1,000 callers while four upstreams want nothing for 1 to 4 s."""
    rests = [1_000.0, 2_000.0, 3_000.0, 4_000.0]
    delays = [retry_delay_after_rest(rests) for _ in range(1_000)]
    assert min(delays) >= min(rests)
    assert max(delays) <= max(rests) + RETURN_SPREAD
    for second in range(1, 5):
        there = sum(
            second * 1_000.0 <= delay < (second + 1) * 1_000.0 for delay in delays
        )
        assert 150 < there < 350


def test_callers_of_one_upstream_that_rests_do_not_come_back_together():
    delays = sorted(retry_delay_after_rest([2_000.0]) for _ in range(1_000))
    assert delays[-1] - delays[0] > RETURN_SPREAD / 2
