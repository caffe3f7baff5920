"""Tests of the choice of upstreams, including a simulation of their object caches."""

import random
from collections import OrderedDict

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.placement import Placement, PlacementRequest, region_weights
from tests.steering.samples import make_record, make_upstream_table

REGIONS = ("north", "mid", "south")


def make_placement(upstream_table, region="north", consume_cold_request=lambda _: True):
    return Placement(upstream_table, region, REGIONS, consume_cold_request)


def add_upstreams(upstream_table, counts, slots=9):
    for data_centre, count in counts.items():
        for index in range(count):
            record = make_record(
                f"{data_centre}-{index}", data_centre=data_centre, slots=slots
            )
            upstream_table.put(record, was_running=True)


def make_request(name="lookup/1", **fields):
    return PlacementRequest(service="ledger", object_name=name, **fields)


def test_object_stays_with_its_upstream():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6, "s-a": 6, "m-a": 6})
    placement = make_placement(upstream_table)
    chosen = {
        placement.pick(placement.candidates(make_request(), 100.0), 0.0).record.id
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_vms_of_a_region_choose_the_same_upstream():
    upstream_tables = [make_upstream_table(), make_upstream_table()]
    for upstream_table in upstream_tables:
        add_upstreams(upstream_table, {"n-a": 6, "s-a": 6, "m-a": 6})
    for number in range(50):
        firsts = {
            make_placement(upstream_table)
            .candidates(make_request(f"lookup/{number}"), 100.0)
            .upstreams[0]
            .record.id
            for upstream_table in upstream_tables
        }
        assert len(firsts) == 1


def test_another_upstream_is_used_after_the_affinity_wait():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6, "s-a": 6, "m-a": 6}, slots=3)
    placement = make_placement(upstream_table)
    candidates = placement.candidates(make_request(), 100.0)
    candidates.upstreams[0].in_flight = 3
    assert placement.pick(candidates, 0.0) is None
    assert placement.pick(candidates, 100.0) is candidates.upstreams[1]


def test_another_upstream_that_remembers_the_object_is_used_at_once():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6, "s-a": 6, "m-a": 6}, slots=3)
    placement = make_placement(upstream_table)
    candidates = placement.candidates(make_request(), 100.0)
    candidates.upstreams[0].in_flight = 3
    candidates.upstreams[1].note_object("lookup/1")
    assert placement.pick(candidates, 0.0) is candidates.upstreams[1]


def test_only_upstreams_of_the_allowed_regions_are_candidates():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6, "s-a": 6, "m-a": 6})
    placement = make_placement(upstream_table)
    found = placement.candidates(make_request(regions=frozenset({"south"})), 100.0)
    assert {state.region for state in found.upstreams} == {"south"}
    nowhere = placement.candidates(make_request(regions=frozenset({""})), 100.0)
    assert not nowhere.upstreams


def test_tried_upstreams_are_no_candidates():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 2})
    placement = make_placement(upstream_table)
    first, second = placement.candidates(make_request(), 100.0).upstreams
    again = placement.candidates(
        make_request(tried=frozenset({first.record.id})), 100.0
    )
    assert again.upstreams == (second,)


def test_cold_upstreams_get_only_permitted_requests():
    upstream_table = make_upstream_table()
    upstream_table.put(make_record("new"))
    upstream_table.put(make_record("old"), was_running=True)
    placement = make_placement(upstream_table, consume_cold_request=lambda _: False)
    for number in range(20):
        candidates = placement.candidates(make_request(f"lookup/{number}"), 100.0)
        assert placement.pick(candidates, 0.0).record.id == "old"


def test_failing_upstream_comes_last():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 3})
    placement = make_placement(upstream_table)
    first = placement.candidates(make_request(), 100.0).upstreams[0]
    for _ in range(10):
        first.note_failure()
    assert first not in placement.candidates(make_request(), 100.0).upstreams[:2]


def test_order_is_unchanged_if_all_upstreams_fail_alike():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 3})
    placement = make_placement(upstream_table)
    before = placement.candidates(make_request(), 100.0).upstreams
    for state in before:
        for _ in range(8):
            state.note_failure()
    before[0].note_failure()
    before[1].note_success()
    assert placement.candidates(make_request(), 100.0).upstreams == before


def test_requests_without_an_object_go_to_the_least_loaded_upstream():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 2})
    placement = make_placement(upstream_table)
    upstream_table.find("n-a-0").in_flight = 1
    candidates = placement.candidates(make_request(""), 100.0)
    assert placement.pick(candidates, 0.0).record.id == "n-a-1"


@pytest.mark.parametrize(
    ("slots", "own_region", "expected"),
    [
        ({"a": 10, "b": 10, "c": 10}, "a", {"a": 1.0, "b": 0.0, "c": 0.0}),
        ({"a": 2, "b": 14, "c": 14}, "a", {"a": 0.2, "b": 0.4, "c": 0.4}),
        ({"b": 15, "c": 15}, "a", {"b": 0.5, "c": 0.5}),
        ({"a": 15}, "a", {"a": 1.0}),
    ],
)
def test_region_sends_excess_load_to_other_regions(slots, own_region, expected):
    assert region_weights(own_region, slots, 3) == pytest.approx(expected)


class CachingUpstream:
    """Upstream that takes 300 ms for the last 39 objects and 1,000 ms for others."""

    def __init__(self):
        self.objects = OrderedDict()

    def run(self, name):
        known = name in self.objects
        self.objects[name] = None
        self.objects.move_to_end(name)
        if len(self.objects) > 39:
            self.objects.popitem(last=False)
        return 300.0 if known else 1_000.0


def mean_duration(choose, requests=6_000):
    """Return the mean duration of requests for 80 objects a region at 18 upstreams."""
    clock = ManualClock()
    upstream_table = make_upstream_table(clock)
    add_upstreams(upstream_table, {"n-a": 6, "s-a": 6, "m-a": 6})
    servers = {name: CachingUpstream() for name in upstream_table.ids()}
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
        state = choose(upstream_table, region, name)
        state.note_object(name)
        state.in_flight += 1
        duration = servers[state.record.id].run(name)
        duration += 50.0 * max(state.in_flight - state.record.slots, 0)
        running.append((clock.now() + duration, state))
        total += duration
    return total / requests


def test_placement_halves_the_duration_of_least_loaded_selection():
    """There are more objects than an upstream remembers; 60% of the slots are used."""

    def least_loaded(upstream_table, _region, _name):
        return min(upstream_table.usable("ledger"), key=lambda state: state.load())

    def by_placement(upstream_table, region, name):
        placement = make_placement(upstream_table, region)
        candidates = placement.candidates(make_request(name), 100.0)
        # A request that would wait goes to its first upstream, which adds a delay.
        return placement.pick(candidates, 0.0) or candidates.upstreams[0]

    assert mean_duration(by_placement) < 0.5 * mean_duration(least_loaded)


def limit(upstream, wait=0.0):
    upstream.name_limit(2.0, 1_000_000.0)
    upstream.set_limit_wait(wait)


def test_requests_go_to_the_next_upstream_at_once_while_a_limit_is_spent():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6})
    placement = make_placement(upstream_table)
    first, second = placement.candidates(make_request(), 100.0).upstreams[:2]
    limit(first)
    candidates = placement.candidates(make_request(), 100.0)
    assert placement.pick(candidates, 0.0) is first
    first.set_limit_wait(400.0)
    assert placement.pick(candidates, 0.0) is second


def test_upstream_with_a_limit_takes_no_candidate_from_an_object():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6})
    placement = make_placement(upstream_table)
    before = placement.candidates(make_request(), 100.0).upstreams
    limit(before[0], 400.0)
    after = placement.candidates(make_request(), 100.0)
    assert after.upstreams[: len(before)] == before
    assert sum(state.rate_limit is None for state in after.upstreams) == len(before)
    assert after.first_to_wait_for() is before[1]


def test_limit_waits_are_empty_while_an_upstream_has_no_limit():
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 2})
    placement = make_placement(upstream_table)
    first, second = upstream_table.of_service("ledger")
    limit(first, 400.0)
    assert placement.limit_waits(make_request()) == []
    limit(second, 900.0)
    assert placement.limit_waits(make_request()) == [400.0, 900.0]


@pytest.mark.parametrize("name", ["", "lookup/{}"])
def test_demand_weights_divide_requests_with_and_without_an_object(name):
    """A fixed hash would send all requests without an object to one region."""
    upstream_table = make_upstream_table()
    add_upstreams(upstream_table, {"n-a": 6, "s-a": 2, "m-a": 6})
    weights = {"north": 0.25, "south": 0.0, "mid": 0.75}
    placement = Placement(
        upstream_table, "north", REGIONS, lambda _: True, lambda _: weights
    )
    found = [
        placement.candidates(make_request(name.format(number)), 100.0).upstreams[0]
        for number in range(2_000)
    ]
    assert 400 < sum(state.region == "north" for state in found) < 600
    assert not any(state.region == "south" for state in found)
    only_south = make_request(regions=frozenset({"south"}))
    assert placement.candidates(only_south, 100.0).upstreams
