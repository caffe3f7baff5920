"""An upstream's rate limit holds over all VMs, and is used, on virtual time."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.steering.limited_fleet import FAULTS, LimitedFleet, play

SIZES = (10, 77, 195)
RATES = st.floats(0.5, 25.0)
SEEDS = st.integers(0, 2**32)

CHECKED = settings(max_examples=8, deadline=None, print_blob=True)


@pytest.mark.parametrize("count", SIZES)
@CHECKED
@example(rate=23.0, seed=0, fault="home_cut_off", loss=0.02)
@given(
    rate=RATES,
    seed=SEEDS,
    fault=st.sampled_from(sorted(FAULTS)),
    loss=st.sampled_from([0.0, 0.02]),
)
def test_upstream_gets_no_more_than_the_rule_allows(count, rate, seed, fault, loss):
    fleet = play(count, rate, seed, fault, loss)
    arrivals, allowed = fleet.worst_window()
    assert arrivals <= allowed


@pytest.mark.parametrize("count", SIZES)
@CHECKED
@given(
    rate=RATES,
    seed=SEEDS,
    fault=st.sampled_from(["none", "home_killed", "limit_raised"]),
)
def test_limit_is_used_in_calm_and_with_one_vm_lost(count, rate, seed, fault):
    fleet = play(count, rate, seed, fault)
    # A play of 29 s or more may end just before a request.
    one_request = 1.0 / (fleet.rate * 29.0)
    assert fleet.used_share() >= 0.9 - one_request


@pytest.mark.parametrize("count", SIZES)
@CHECKED
@given(rate=st.floats(0.5, 5.0), seed=SEEDS)
def test_upstream_without_its_limit_gets_more_again(count, rate, seed):
    fleet = LimitedFleet(count, rate, seed)
    fleet.run(8_000.0)
    fleet.name_limit(None)
    fleet.run(12_000.0)
    assert fleet.served_per_second(12_000.0, 20_000.0) >= 2.5 * rate


@CHECKED
@given(rate=st.floats(2.0, 25.0), seed=SEEDS)
def test_limit_that_each_vm_keeps_for_itself_fails_the_check(rate, seed):
    fleet = LimitedFleet(10, rate, seed)
    for vm in fleet.vm_by_id.values():
        vm.homes.first_homes = lambda *_, vm=vm, **__: (vm.record,)
        vm.authority.fraction = lambda *_: 1.0
    fleet.run(20_000.0)
    arrivals, allowed = fleet.worst_window()
    assert arrivals > allowed
