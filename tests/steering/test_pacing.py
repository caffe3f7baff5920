"""Pacing of an upstream that starts or recovers, on virtual time."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.standins.paced_fleet import WORK, PacedFleet
from lagoonlatch.steering.pacing import (
    MAX_IDLE,
    UNUSED_LIFETIME,
    HomePace,
    PaceOutcome,
    UpstreamPace,
)
from lagoonlatch.steering.placement import Placement, PlacementRequest
from tests.steering.samples import make_record, make_upstream_table


def test_upstream_that_is_slow_after_its_cold_time_is_not_flooded():
    """Load: 61 VMs send 61 requests a second, twice what the upstream can serve."""
    paced, vm_paced, naive = (
        PacedFleet(61),
        PacedFleet(61, scopes=("vm",)),
        PacedFleet(61, scopes=()),
    )
    for fleet in (paced, vm_paced, naive):
        fleet.run(9_000.0)
    assert paced.count("rejected", 0.0, 6_000.0) <= 3
    assert paced.count("late", 0.0, 9_000.0) == 0
    assert vm_paced.count("rejected", 0.0, 6_000.0) > 30
    assert naive.count("rejected", 0.0, 6_000.0) > 100
    # The upstream serves 30 requests a second.
    assert paced.count("served", 7_000.0, 9_000.0) >= 57


def test_fewer_requests_are_rejected_if_the_home_vm_is_silent():
    """Load: each of 61 VMs decides alone, as in a partition."""
    paced, naive = (
        PacedFleet(61, has_home=False),
        PacedFleet(61, scopes=(), has_home=False),
    )
    for fleet in (paced, naive):
        fleet.run(9_000.0)
    rejected = paced.count("rejected", 0.0, 6_000.0)
    assert rejected < 0.5 * naive.count("rejected", 0.0, 6_000.0)
    assert paced.count("served", 7_000.0, 9_000.0) >= 55


def test_lost_answers_do_not_block_an_upstream():
    """Load: no answer arrives for 4 s, longer than requests last."""
    fleet = PacedFleet(20)
    fleet.run(3_500.0)
    fleet.loses_answers = True
    fleet.run(4_000.0)
    fleet.loses_answers = False
    fleet.run(8_000.0)
    assert fleet.count("served", 13_500.0, 15_500.0) >= 38


@pytest.mark.parametrize("crashes", ["home VM", "upstream"])
def test_crash_during_the_ramp_does_not_block_an_upstream(crashes):
    """Load: 20 VMs; the home VM loses all counts, or the upstream all requests."""
    fleet = PacedFleet(20, warm_up=3_000.0)
    fleet.run(3_300.0)
    if crashes == "home VM":
        fleet.vms[0].start(upstream_was_running=True)
    else:
        lost = fleet.upstream.crash()
        for request in lost:
            request.vm.state.is_suspect = True
        fleet.fail(lost)
        fleet.run(500.0)
        for request in lost:
            request.vm.state.clear_suspicion(0.0)
    fleet.run(6_000.0)
    end = fleet.elapsed()
    assert fleet.count("served", end - 2_000.0, end) >= 38


def test_pace_is_halved_once_for_the_requests_of_one_moment():
    clock = ManualClock()
    pace = UpstreamPace(8, clock)
    for _ in range(7):
        pace.note_outcome(PaceOutcome.TIMELY, clock.now())
    sent_at = clock.now()
    clock.advance(50.0)
    for _ in range(4):
        pace.note_outcome(PaceOutcome.FAILED, sent_at)
    assert (pace.limit, pace.decreases) == (4, 1)


def test_rejecting_upstream_gets_one_request_after_an_idle_time():
    clock = ManualClock()
    pace = UpstreamPace(3, clock)
    pace.note_outcome(PaceOutcome.FAILED, clock.now())
    assert pace.bound(0) == 0
    clock.advance(MAX_IDLE)
    assert pace.bound(0) == 1
    pace.note_sent()
    assert pace.bound(0) == 0


def test_home_pace_ignores_slots_held_too_briefly_for_a_request():
    """Rejected requests and refused claims must not raise the pace of all VMs."""
    clock = ManualClock()
    pace = HomePace(6, clock)
    for held, limit in ((10.0, 1), (WORK, 2), (2_000.0, 1)):
        pace.note_count("a", 1, (WORK, WORK))
        clock.advance(held)
        pace.note_count("a", 0, (WORK, WORK))
        assert pace.limit == limit


def test_only_upstreams_that_start_or_recover_are_paced():
    clock = ManualClock()
    table = make_upstream_table(clock)
    table.put(make_record("old"), was_running=True)
    table.put(make_record("new"))
    assert table.paced_count() == 1
    # Its entry ends in an outage of the store and returns.
    table.remove("old")
    table.put(make_record("old"))
    assert table.find("old").pace is None
    table.find("old").clear_suspicion(0.0)
    assert table.paced_count() == 2
    table.note_traffic("ledger")
    clock.advance(UNUSED_LIFETIME)
    table.take_ended_paces()
    assert [table.find(name).pace is None for name in ("old", "new")] == [True, False]


def test_upstreams_that_warm_up_before_any_traffic_are_not_paced():
    """A fleet that started with its upstreams paced all of them at the first requests.

    Load: none for 4 s, then all requests of a deployment.
    """
    clock = ManualClock()
    table = make_upstream_table(clock)
    for name in ("a", "b"):
        table.put(make_record(name))
    table.take_ended_paces()
    assert table.paced_count() == 2
    clock.advance(4_000.0)
    table.take_ended_paces()
    assert table.paced_count() == 0
    assert table.find("a").home_pace is None


def test_requests_do_not_wait_for_a_paced_upstream():
    clock = ManualClock()
    table = make_upstream_table(clock)
    for name in ("a", "b"):
        table.put(make_record(name), was_running=True)
    placement = Placement(table, "north", ["north"], lambda _: True)
    request = PlacementRequest(service="ledger", object_name="lookup/1")
    candidates = placement.candidates(request, 100.0)
    first, second = candidates.upstreams
    first.clear_suspicion(0.0)
    first.in_flight = 1
    assert placement.pick(candidates, 0.0) is second
    assert candidates.first_to_wait_for() is second
