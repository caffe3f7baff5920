import random

import pytest

from lagoonlatch.limits import BucketSpec
from tests.limits.fleet import Fleet

REGIONS = ("a", "b", "c")
SMALL = BucketSpec.spread("organisation/small", 5.0, 5, REGIONS)
SLOW = BucketSpec.spread("organisation/slow", 1.0, 5, REGIONS)
TOLERANCE_TOKENS = 1e-6


def warmed_up_fleet(**changes):
    fleet = Fleet(**{"specs": (SMALL, SLOW), **changes})
    fleet.time.run_until(10_000.0)
    return fleet


def test_whole_burst_at_once_through_one_vm():
    fleet = warmed_up_fleet()
    for _request in range(5):
        fleet.request_at(10_000.0, "a0", SMALL.id)
    fleet.time.run_until(11_000.0)
    assert [item.admitted for item in fleet.arrivals] == [True] * 5


@pytest.mark.parametrize("seed", range(20))
def test_whole_burst_at_once_through_any_vms(seed):
    """The rate is too low for any of the five requests to wait for a token."""
    rng = random.Random(seed)
    spec = BucketSpec.spread(f"organisation/{seed}", 0.2, 5, REGIONS)
    fleet = Fleet(specs=(spec,), seed=seed, between=35.0, jitter=rng.choice([0, 20]))
    fleet.time.run_until(40_000.0)
    for _request in range(5):
        at = 40_000.0 + rng.random() * rng.choice([0, 5, 40])
        fleet.request_at(at, rng.choice(sorted(fleet.vm_by_name)), spec.id)
    fleet.time.run_until(42_000.0)
    assert [item.admitted for item in fleet.arrivals] == [True] * 5
    assert fleet.overrun(spec.id) <= TOLERANCE_TOKENS


def test_sixth_request_is_refused_with_an_exact_retry_after():
    fleet = warmed_up_fleet()
    for vm in ["a0", "a1", "a2", "b0", "b2", "c1"]:
        fleet.request_at(10_000.0, vm, SLOW.id)
    fleet.time.run_until(12_000.0)
    refused = [item for item in fleet.arrivals if not item.admitted]
    assert len(refused) == 1
    retry_at = refused[0].ended_at + refused[0].retry_after
    fleet.request_at(retry_at, "a0", SLOW.id)
    fleet.time.run_until(15_000.0)
    assert fleet.arrivals[-1].admitted
    assert fleet.overrun(SLOW.id) <= TOLERANCE_TOKENS


def test_request_waits_for_a_token_that_comes_soon():
    fleet = warmed_up_fleet()
    for vm in ["a0"] * 6:
        fleet.request_at(10_000.0, vm, SMALL.id)
    fleet.time.run_until(12_000.0)
    assert all(item.admitted for item in fleet.arrivals)
    assert 200.0 <= fleet.arrivals[-1].ended_at - 10_000.0 <= 350.0
    assert fleet.overrun(SMALL.id) <= TOLERANCE_TOKENS


def test_request_without_a_token_in_time_is_refused_at_once():
    fleet = warmed_up_fleet()
    for vm in ["a0"] * 12:
        fleet.request_at(10_000.0, vm, SLOW.id)
    fleet.time.run_until(12_000.0)
    refused = [item for item in fleet.arrivals if not item.admitted]
    assert len(refused) == 7
    assert all(item.ended_at - item.at <= 50.0 for item in refused)


def test_bucket_without_rate_refuses_everywhere():
    closed = BucketSpec.spread("organisation/closed", 0.0, 0, REGIONS)
    fleet = warmed_up_fleet(specs=(closed,))
    for vm in sorted(fleet.vm_by_name):
        fleet.request_at(10_000.0, vm, closed.id)
    fleet.time.run_until(11_000.0)
    assert len(fleet.arrivals) == len(fleet.vm_by_name)
    assert not any(item.admitted for item in fleet.arrivals)


def test_retry_after_accounts_for_waiting_requests():
    fleet = warmed_up_fleet()
    for _request in range(7):
        fleet.request_at(10_000.0, "a0", SMALL.id)
    fleet.time.run_until(10_300.0)
    refused = [item for item in fleet.arrivals if not item.admitted]
    assert len(refused) == 1
    retry_at = refused[0].ended_at + refused[0].retry_after
    assert 10_399.0 <= retry_at <= 10_450.0


def test_raised_rate_takes_effect_within_seconds():
    low = BucketSpec.spread("organisation/raised", 0.001, 1, REGIONS)
    fleet = warmed_up_fleet(specs=(low,))
    names = sorted(fleet.vm_by_name)
    for name in names:
        fleet.request_at(10_000.0, name, low.id)
    fleet.time.run_until(11_000.0)
    raised = BucketSpec(low.id, 100.0, 100, low.weight_by_scope)
    fleet.spec_by_id[low.id] = raised
    for vm in fleet.live():
        vm.limiter.configure([raised])
    fleet.arrivals.clear()
    for name in names:
        fleet.request_at(13_000.0, name, raised.id)
    fleet.time.run_until(14_000.0)
    assert [item.admitted for item in fleet.arrivals] == [True] * len(names)


@pytest.mark.parametrize("vm", ["a0", "a1", "a2"])
def test_request_waits_for_tokens_no_longer_than_its_deadline(vm):
    """A round of calls in progress at the deadline is completed first."""
    round_millis = 50.0
    fleet = warmed_up_fleet()
    for _request in range(5):
        fleet.request_at(10_000.0, vm, SMALL.id)
    fleet.request_at(10_000.0, vm, SMALL.id, deadline=100.0)
    fleet.time.run_until(11_000.0)
    refused = [item for item in fleet.arrivals if not item.admitted]
    assert len(refused) == 1
    assert refused[0].ended_at - refused[0].at <= 100.0 + round_millis
