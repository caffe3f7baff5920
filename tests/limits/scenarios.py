"""Scenarios of requests and faults as data that hypothesis can generate and shrink."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lagoonlatch.limits import BucketSpec
from tests.limits.fleet import Fleet

REGIONS = ("a", "b", "c")
VMS = tuple(f"{region}{index}" for region in REGIONS for index in range(3))
BUCKET = "organisation/tested"
WARM_UP_MILLIS = 6_000.0


@dataclass(frozen=True)
class Fault:
    """A fault that starts `at` milliseconds after the warm-up and lasts `duration`.

    A `target` below 3 selects the owner of that region's shard when the fault starts. A
    `target` of 3 or more selects a fixed VM.
    """

    kind: str
    at: float
    duration: float
    target: int

    def apply(self, fleet):
        start = WARM_UP_MILLIS + self.at
        getattr(self, f"_{self.kind}")(fleet, start, start + self.duration)

    def _target_name(self, fleet):
        if self.target >= len(REGIONS):
            return VMS[self.target - len(REGIONS)]
        region = REGIONS[self.target]
        if not fleet.live(region):
            return f"{region}0"
        return fleet.owner_name(BUCKET, region)

    def _cut(self, fleet, start, end):
        region = REGIONS[self.target % len(REGIONS)]
        other = REGIONS[(self.target + 1) % len(REGIONS)]
        pair = frozenset((region, other))
        fleet.time.at(start, lambda: fleet.network.cut.add(pair))
        fleet.time.at(end, lambda: fleet.network.cut.discard(pair))

    def _pause(self, fleet, start, end):
        paused = []

        def pause():
            vm = fleet.vm_by_name[self._target_name(fleet)]
            if vm.alive and not vm.paused:
                vm.pause()
                paused.append(vm)
                fleet.store.end_lease(vm.lease)

        fleet.time.at(start, pause)
        fleet.time.at(end, lambda: [vm.resume() for vm in paused if vm.alive])

    def _kill(self, fleet, start, end):
        def kill():
            name = self._target_name(fleet)
            if fleet.vm_by_name[name].alive:
                fleet.kill_vm(name, self.duration / 2, self.duration / 3)

        fleet.time.at(start, kill)

    def _replace(self, fleet, start, end):
        def replace():
            name = self._target_name(fleet)
            fleet.vm_by_name[name].kill()
            fleet.time.at(end, lambda: fleet.start_vm(name, name[0]))

        fleet.time.at(start, replace)

    def _store_out(self, fleet, start, end):
        fleet.time.at(start, lambda: setattr(fleet.store, "unavailable", True))
        fleet.time.at(end, lambda: setattr(fleet.store, "unavailable", False))

    def _lose_answers(self, fleet, start, end):
        fleet.time.at(start, lambda: setattr(fleet.store, "lose_answers", True))
        fleet.time.at(end, lambda: setattr(fleet.store, "lose_answers", False))

    def _hand_over(self, fleet, start, end):
        def hand_over():
            vm = fleet.vm_by_name[self._target_name(fleet)]
            if vm.alive and not vm.paused:
                vm.keeper_by_region[vm.region].hand_over()

        fleet.time.at(start, hand_over)


FAULT_KINDS = (
    "cut",
    "pause",
    "kill",
    "replace",
    "store_out",
    "lose_answers",
    "hand_over",
)


@dataclass(frozen=True)
class Scenario:
    """Requests that arrive in batches at `load` times the rate, and faults."""

    seed: int
    rate: float
    burst: int
    load: float
    max_batch_size: int
    vms: tuple[int, ...]
    jitter: float
    loss: float
    duplication: float
    faults: tuple[Fault, ...] = ()
    duration: float = 6_000.0

    def run(self, limiter="leased-shards"):
        fleet = Fleet(
            limiter,
            specs=(BucketSpec.spread(BUCKET, self.rate, self.burst, REGIONS),),
            seed=self.seed,
            jitter=self.jitter,
            loss=self.loss,
            duplication=self.duplication,
            speed_spread=0.004,
        )
        self._schedule_requests(fleet)
        for fault in self.faults:
            fault.apply(fleet)
        fleet.time.run_until(WARM_UP_MILLIS + self.duration + 1_000.0)
        return fleet

    def _schedule_requests(self, fleet):
        rng = random.Random(self.seed)
        when = WARM_UP_MILLIS
        while when < WARM_UP_MILLIS + self.duration:
            for _request in range(rng.randint(1, self.max_batch_size)):
                fleet.request_at(when, VMS[rng.choice(self.vms)], BUCKET)
            mean = (1 + self.max_batch_size) / 2 / (self.rate * self.load) * 1000.0
            when += rng.expovariate(1.0 / mean)


SPEED_BOUND = 1.004
"""Speed of the fastest clock that `Scenario.run` allows."""


def overrun(fleet):
    """Return the worst overrun, with time counted on the fastest possible clock."""
    return fleet.overrun(BUCKET, SPEED_BOUND)
