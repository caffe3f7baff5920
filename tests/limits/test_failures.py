"""Failures, alone and two together: nothing overruns, and most is still admitted."""

from lagoonlatch.limits import BucketSpec
from tests.limits.fleet import Fleet

REGIONS = ("a", "b", "c")
SPEC = BucketSpec.spread("organisation/tested", 30.0, 30, REGIONS)
START = 8_000.0
TOLERANCE = 1e-6


def fleet_under_load(load, seconds=20, region=None):
    """Return a fleet with evenly spaced requests through VMs that own no shard."""
    fleet = Fleet(specs=(SPEC,))
    interval = 1_000.0 / (SPEC.rate * load)
    for index in range(int(seconds * 1_000.0 / interval)):
        name = f"{region or REGIONS[index % 3]}{index % 2}"
        fleet.request_at(START + index * interval, name, SPEC.id)
    return fleet


def admitted_between(fleet, start, end):
    return sum(
        item.admitted and start <= item.ended_at < end for item in fleet.arrivals
    )


def configure(fleet, region, spec):
    for vm in fleet.live(region):
        vm.limiter.configure([spec])
        vm.limiter._specs = {spec.id: spec}.get


def owner_at_start(fleet, region):
    fleet.time.run_until(START)
    return fleet.owner_name(SPEC.id, region)


def calls_per_second(fleet, seconds):
    return fleet.store.calls / seconds


def test_store_outage_changes_nothing():
    fleet = fleet_under_load(0.9)
    fleet.time.run_until(START)
    fleet.store.unavailable = True
    fleet.time.run_until(START + 21_000.0)
    assert all(item.admitted for item in fleet.arrivals)
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_killed_owner_costs_its_share_until_it_is_surely_gone():
    fleet = fleet_under_load(0.9)
    victim = owner_at_start(fleet, "a")
    fleet.kill_vm(victim)
    fleet.time.run_until(START + 21_000.0)
    while_gone = admitted_between(fleet, START + 2_000.0, START + 6_000.0)
    later = admitted_between(fleet, START + 14_000.0, START + 19_000.0)
    assert while_gone >= 0.9 * 4 * SPEC.rate * 2 / 3
    assert later >= 0.95 * 5 * SPEC.rate * 0.9 * 8 / 9
    assert fleet.owner_name(SPEC.id, "a") != victim
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_replaced_owner_is_followed_within_two_seconds():
    fleet = fleet_under_load(5.0)
    victim = owner_at_start(fleet, "a")
    fleet.start_vm(victim, "a")
    fleet.time.run_until(START + 21_000.0)
    assert admitted_between(fleet, START + 3_000.0, START + 19_000.0) >= (
        0.98 * 16 * SPEC.rate
    )
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_paused_owner_keeps_its_shard_and_spends_no_ended_lease():
    fleet = fleet_under_load(5.0)
    owner = owner_at_start(fleet, "a")
    vm = fleet.vm_by_name[owner]
    vm.pause()
    fleet.store.end_lease(vm.lease)
    fleet.time.run_until(START + 10_000.0)
    vm.wake()
    fleet.time.run_until(START + 21_000.0)
    assert fleet.owner_name(SPEC.id, "a") == owner
    assert admitted_between(fleet, START + 12_000.0, START + 19_000.0) >= (
        0.98 * 7 * SPEC.rate
    )
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_store_out_and_owner_replaced_together():
    fleet = fleet_under_load(5.0)
    victim = owner_at_start(fleet, "a")
    fleet.store.unavailable = True
    fleet.start_vm(victim, "a")
    fleet.time.run_until(START + 10_000.0)
    during = admitted_between(fleet, START + 2_000.0, START + 10_000.0)
    fleet.store.unavailable = False
    fleet.time.run_until(START + 21_000.0)
    after = admitted_between(fleet, START + 13_000.0, START + 19_000.0)
    assert during >= 0.95 * 8 * SPEC.rate * 2 / 3
    assert after >= 0.98 * 6 * SPEC.rate
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_paused_owner_and_cut_together():
    fleet = fleet_under_load(5.0)
    vm = fleet.vm_by_name[owner_at_start(fleet, "a")]
    vm.pause()
    fleet.network.cut.add(frozenset(("a", "b")))
    fleet.time.run_until(START + 10_000.0)
    during = admitted_between(fleet, START + 2_000.0, START + 10_000.0)
    vm.wake()
    fleet.network.cut.clear()
    fleet.time.run_until(START + 21_000.0)
    assert during >= 0.95 * 8 * SPEC.rate * 2 / 3
    assert admitted_between(fleet, START + 12_000.0, START + 19_000.0) >= (
        0.98 * 7 * SPEC.rate
    )
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_region_cut_from_all_others_spends_its_own_share():
    fleet = fleet_under_load(1.0, region="a")
    fleet.time.run_until(START)
    for other in ("b", "c"):
        fleet.network.cut.add(frozenset(("a", other)))
    fleet.time.run_until(START + 21_000.0)
    steady = admitted_between(fleet, START + 5_000.0, START + 19_000.0)
    assert 0.97 * 14 * SPEC.rate / 3 <= steady <= 14 * SPEC.rate / 3 + 1
    assert fleet.overrun(SPEC.id) <= TOLERANCE


def test_weights_that_move_between_regions_never_add_up_to_more():
    """Configuration reaches the gaining region first."""
    fleet = fleet_under_load(5.0)
    fleet.time.run_until(START)
    moved = BucketSpec(SPEC.id, SPEC.rate, SPEC.burst, {"a": 1.0})
    configure(fleet, "a", moved)
    fleet.time.run_until(START + 6_000.0)
    configure(fleet, "b", moved)
    configure(fleet, "c", moved)
    fleet.time.run_until(START + 21_000.0)
    assert fleet.overrun(SPEC.id) <= TOLERANCE
    assert admitted_between(fleet, START + 14_000.0, START + 19_000.0) >= (
        0.95 * 5 * SPEC.rate
    )


def test_calls_of_the_store_are_few():
    fleet = fleet_under_load(0.9)
    fleet.time.run_until(START)
    fleet.store.calls = 0
    fleet.time.run_until(START + 20_000.0)
    assert calls_per_second(fleet, 20.0) <= 1.0
