"""Placement, played against the load it answers."""

import random
from collections import OrderedDict

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.placement import Placement, PlacementRequest, region_weights
from tests.steering.samples import make_record, make_upstream_table

REGIONS = ("north", "mid", "south")


def make_placement(fleet, region="north", take_cold=lambda _: True):
    return Placement(fleet, region, REGIONS, take_cold)


def fill(fleet, counts, slots=9):
    for data_centre, count in counts.items():
        for index in range(count):
            record = make_record(
                f"{data_centre}-{index}", data_centre=data_centre, slots=slots
            )
            fleet.put(record, was_running=True)


def wish(name="lookup/1", **fields):
    return PlacementRequest(service="ledger", object_name=name, **fields)


def test_an_object_stays_with_its_upstream():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 6, "s-a": 6, "m-a": 6})
    placement = make_placement(fleet)
    chosen = {
        placement.pick(placement.candidates(wish(), 100.0), 0.0).record.id
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_all_vms_of_a_region_choose_alike():
    fleets = [make_upstream_table(), make_upstream_table()]
    for fleet in fleets:
        fill(fleet, {"n-a": 6, "s-a": 6, "m-a": 6})
    for number in range(50):
        firsts = {
            make_placement(fleet)
            .candidates(wish(f"lookup/{number}"), 100.0)
            .upstreams[0]
            .record.id
            for fleet in fleets
        }
        assert len(firsts) == 1


def test_a_full_upstream_is_waited_for_and_then_passed_over():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 6, "s-a": 6, "m-a": 6}, slots=3)
    placement = make_placement(fleet)
    candidates = placement.candidates(wish(), 100.0)
    candidates.upstreams[0].in_flight = 3
    assert placement.pick(candidates, 0.0) is None
    assert placement.pick(candidates, 100.0) is candidates.upstreams[1]


def test_another_upstream_that_knows_the_object_is_taken_at_once():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 6, "s-a": 6, "m-a": 6}, slots=3)
    placement = make_placement(fleet)
    candidates = placement.candidates(wish(), 100.0)
    candidates.upstreams[0].in_flight = 3
    candidates.upstreams[1].note_object("lookup/1")
    assert placement.pick(candidates, 0.0) is candidates.upstreams[1]


def test_homes_bind():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 6, "s-a": 6, "m-a": 6})
    placement = make_placement(fleet)
    found = placement.candidates(wish(regions=frozenset({"south"})), 100.0)
    assert {state.region for state in found.upstreams} == {"south"}
    nowhere = placement.candidates(wish(regions=frozenset({""})), 100.0)
    assert not nowhere.upstreams


def test_tried_upstreams_are_not_tried_again():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 2})
    placement = make_placement(fleet)
    first, second = placement.candidates(wish(), 100.0).upstreams
    again = placement.candidates(wish(tried=frozenset({first.record.id})), 100.0)
    assert again.upstreams == (second,)


def test_cold_upstreams_take_only_what_they_are_given():
    fleet = make_upstream_table()
    fleet.put(make_record("new"))
    fleet.put(make_record("old"), was_running=True)
    placement = make_placement(fleet, take_cold=lambda _: False)
    for number in range(20):
        candidates = placement.candidates(wish(f"lookup/{number}"), 100.0)
        assert placement.pick(candidates, 0.0).record.id == "old"


def test_a_failing_upstream_comes_last():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 3})
    placement = make_placement(fleet)
    first = placement.candidates(wish(), 100.0).upstreams[0]
    for _ in range(10):
        first.note_failure()
    assert first not in placement.candidates(wish(), 100.0).upstreams[:2]


def test_if_all_fail_alike_objects_stay_where_they_are():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 3})
    placement = make_placement(fleet)
    before = placement.candidates(wish(), 100.0).upstreams
    for state in before:
        for _ in range(8):
            state.note_failure()
    before[0].note_failure()
    before[1].note_success()
    assert placement.candidates(wish(), 100.0).upstreams == before


def test_requests_without_an_object_go_where_there_is_room():
    fleet = make_upstream_table()
    fill(fleet, {"n-a": 2})
    placement = make_placement(fleet)
    fleet.find("n-a-0").in_flight = 1
    candidates = placement.candidates(wish(""), 100.0)
    assert placement.pick(candidates, 0.0).record.id == "n-a-1"


@pytest.mark.parametrize(
    ("slots", "home", "expected"),
    [
        ({"a": 10, "b": 10, "c": 10}, "a", {"a": 1.0, "b": 0.0, "c": 0.0}),
        ({"a": 2, "b": 14, "c": 14}, "a", {"a": 0.2, "b": 0.4, "c": 0.4}),
        ({"b": 15, "c": 15}, "a", {"b": 0.5, "c": 0.5}),
        ({"a": 15}, "a", {"a": 1.0}),
    ],
)
def test_a_region_sends_away_what_it_can_not_carry(slots, home, expected):
    assert region_weights(home, slots, 3) == pytest.approx(expected)


class RememberingUpstream:
    """Takes 300 ms for an object among the last 39 that it met, else 1,000 ms."""

    def __init__(self):
        self.objects = OrderedDict()

    def run(self, name):
        known = name in self.objects
        self.objects[name] = None
        self.objects.move_to_end(name)
        if len(self.objects) > 39:
            self.objects.popitem(last=False)
        return 300.0 if known else 1_000.0


def play(choose, requests=6_000):
    """Return the mean time of requests at 18 upstreams; each region has 80 objects."""
    clock = ManualClock()
    fleet = make_upstream_table(clock)
    fill(fleet, {"n-a": 6, "s-a": 6, "m-a": 6})
    servers = {name: RememberingUpstream() for name in fleet.ids()}
    generator = random.Random(7)
    running = []
    total = 0.0
    for _ in range(requests):
        clock.advance(3.0)
        for ends, state in [r for r in running if r[0] <= clock.now()]:
            state.in_flight -= 1
            running.remove((ends, state))
        region = generator.choice(REGIONS)
        name = f"lookup/{region}{generator.randrange(80)}"
        state = choose(fleet, region, name)
        state.note_object(name)
        state.in_flight += 1
        duration = servers[state.record.id].run(name)
        duration += 50.0 * max(state.in_flight - state.record.slots, 0)
        running.append((clock.now() + duration, state))
        total += duration
    return total / requests


def test_callers_get_faster_answers_than_from_the_least_loaded_upstream():
    """Load: more objects than an upstream remembers, at 60% of the slots."""

    def least_loaded(fleet, _region, _name):
        return min(fleet.usable("ledger"), key=lambda state: state.load())

    def placed(fleet, region, name):
        placement = make_placement(fleet, region)
        candidates = placement.candidates(wish(name), 100.0)
        # A request that waits for its own upstream pays for its place in the line.
        return placement.pick(candidates, 0.0) or candidates.upstreams[0]

    assert play(placed) < 0.5 * play(least_loaded)
