"""Test region weights in a model of three regions whose demand peaks in turn."""

import itertools
import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.demand import (
    DemandMeter,
    DemandTable,
    DemandWeights,
    assign_demand,
    decode_demand,
    encode_demand,
)
from lagoonlatch.steering.placement import region_weights
from tests.steering.samples import make_upstream_table
from tests.steering.test_placement import add_upstreams

SLOTS = {"north": 36, "mid": 8, "south": 30}
VMS = {f"{region}-{n}": region for region in SLOTS for n in range(4)}


class ModelVm:
    def __init__(self, vm, fleet):
        region, near = VMS[vm], [o for o in VMS if VMS[o] == VMS[vm] and o != vm]
        self.meter = DemandMeter(region, fleet.clock)
        self.table = DemandTable(region, self.meter, VMS.get, lambda: near, fleet.clock)
        self.weights = DemandWeights(
            region,
            SLOTS,
            fleet.upstream_table,
            self.table,
            lambda *move: fleet.moves.append(move),
            fleet.clock,
        )


class Fleet:
    """VMs that exchange demand each 200 ms within a region and each second beyond."""

    def __init__(self, loss=0.0):
        self.clock, self.random, self.loss = ManualClock(), random.Random(7), loss
        self.upstream_table = make_upstream_table(self.clock)
        add_upstreams(self.upstream_table, {"n-a": 18, "m-a": 4, "s-a": 15}, slots=2)
        self.cut, self.surge, self.moves, self.served = set(), {}, [], []
        self.vms = {vm: ModelVm(vm, self) for vm in VMS}

    def demand(self, region):
        phase = self.clock.now() / 36_000.0 + list(SLOTS).index(region) / 3.0
        swing = 1.0 + 0.55 * math.sin(2.0 * math.pi * phase)
        return 0.8 * sum(SLOTS.values()) / 3.0 * (swing + self.surge.get(region, 0.0))

    def shares(self, region):
        """Return the weights of each VM of a region."""
        return [self.vms[v].weights.find("ledger") for v in VMS if VMS[v] == region]

    def exchange(self):
        for vm, other in itertools.permutations(VMS, 2):
            table, regions = self.vms[vm].table, {VMS[vm], VMS[other]}
            is_far = len(regions) == 2
            is_due = not is_far or self.clock.now() % 1_000.0 == 0.0
            is_lost = self.random.random() < self.loss or is_far and regions & self.cut
            if is_due and not is_lost:
                demand = table.region_demand() if is_far else table.own_demand()
                sent = decode_demand(encode_demand(demand))
                self.vms[other].table.update(vm, sent)

    def run(self, seconds):
        """Return the mean weights of each region in steps of 200 ms."""
        history = []
        for _ in range(round(seconds * 5)):
            for vm, region in VMS.items():
                for _ in range(int(self.demand(region) / 4.0 + self.random.random())):
                    self.vms[vm].meter.note_request("ledger")
                    self.vms[vm].meter.note_attempt("ledger", 200.0, region)
            self.clock.advance(200.0)
            self.exchange()
            history.append({r: mean_weights(self.shares(r)) for r in SLOTS})
            equal = {r: region_weights(r, SLOTS, 3) for r in SLOTS}
            self.served.append([self.serve(w) for w in (history[-1], equal)])
        return history

    def serve(self, weights):
        """Return the share of the demand that lands where there is capacity."""
        demand = {region: self.demand(region) for region in SLOTS}
        load = {to: sum(demand[r] * weights[r][to] for r in SLOTS) for to in SLOTS}
        return sum(min(load[to], SLOTS[to]) for to in SLOTS) / sum(demand.values())

    def suspect_south(self, is_suspect):
        for upstream in self.upstream_table.of_service("ledger"):
            upstream.is_suspect = is_suspect and upstream.region == "south"


def mean_weights(shares):
    return {to: sum(weights[to] for weights in shares) / len(shares) for to in SLOTS}


def largest_shift(history):
    """Return how far a weight moves at most within 2 s."""
    return max(
        abs(after[region][to] - before[region][to])
        for before, after in zip(history, history[10:], strict=False)
        for region, to in itertools.product(SLOTS, SLOTS)
    )


@pytest.mark.parametrize("loss", [0.0, 0.5])
@pytest.mark.parametrize(("surge", "gain"), [({}, 0.0), ({"north": 0.48}, 0.03)])
def test_peaks_in_turn_are_served_where_there_is_capacity(surge, gain, loss):
    """One organisation with 8% of a region's load may send 7 times as much."""
    fleet = Fleet(loss)
    history = fleet.run(36)
    fleet.surge = surge
    history += fleet.run(72)
    by_demand, by_equal = map(sum, zip(*fleet.served[-360:], strict=True))
    assert by_demand / 360 > by_equal / 360 + gain
    assert largest_shift(history) < 0.15
    for region in SLOTS:
        for one, other in itertools.combinations(fleet.shares(region), 2):
            assert one == pytest.approx(other, abs=0.03)
    assert fleet.moves


def test_region_that_is_cut_off_reserves_no_capacity():
    fleet = Fleet()
    history = fleet.run(36)
    fleet.cut = {"south"}
    fleet.suspect_south(True)
    history += fleet.run(30)
    known = fleet.vms["mid-0"].table.demand_by_region("ledger")
    assert known.keys() == {"north", "mid"}
    weights = fleet.shares("mid")[0]
    free = 36.0 - min(known["north"], 36.0)
    assert weights["south"] == 0.0
    assert weights["north"] * known["mid"] == pytest.approx(
        min(known["mid"] - 8.0, free), abs=2.0
    )
    fleet.cut = set()
    fleet.suspect_south(False)
    history += fleet.run(20)
    assert largest_shift(history) < 0.15


def test_restarted_vm_knows_the_demand_of_all_regions_within_a_second():
    fleet = Fleet()
    fleet.run(20)
    restarted = fleet.vms["mid-0"] = ModelVm("mid-0", fleet)
    assert restarted.weights.find("ledger") == region_weights("mid", SLOTS, 3)
    fleet.run(1)
    known, known_to_other = (
        fleet.vms[vm].table.demand_by_region("ledger") for vm in ("mid-0", "mid-1")
    )
    assert known == pytest.approx(known_to_other, rel=0.2)
    assert known.keys() == SLOTS.keys()


def test_even_deployment_stays_with_region_weights_when_it_loses_a_region():
    fleet = Fleet()
    add_upstreams(fleet.upstream_table, {"m-a": 15}, slots=2)
    weights = ModelVm("mid-0", fleet).weights
    assert weights.find("ledger") is None
    for number in range(15):
        fleet.upstream_table.remove(f"m-a-{number}")
    fleet.clock.advance(1_000.0)
    assert weights.find("ledger") is None


AMOUNTS = st.dictionaries(st.sampled_from("abcd"), st.floats(0.0, 1e6), min_size=1)


@given(AMOUNTS, AMOUNTS)
def test_no_region_is_overfilled_while_another_has_room(demand, capacity):
    load = dict.fromkeys({*demand, *capacity}, 0.0)
    for region, row in assign_demand(demand, capacity).items():
        assert sum(row.values()) == pytest.approx(1.0)
        assert min(row.values()) >= 0.0
        kept = min(demand[region], capacity.get(region, 0.0))
        assert row[region] * demand[region] >= kept * (1 - 1e-9) - 1e-6
        for to, share in row.items():
            load[to] += share * demand[region]
    spare = [capacity.get(to, 0.0) - load[to] for to in load]
    assert min(spare) >= -1e-3 or max(spare) <= 1e-3


@given(st.dictionaries(st.text(), st.integers(-(2**31), 2**31 - 1)))
def test_reported_demand_is_clipped(parts_by_service):
    decoded = decode_demand(parts_by_service)
    assert len(decoded) <= 16
    assert all(0.0 <= demand <= 10_000.0 for demand in decoded.values())
