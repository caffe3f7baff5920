"""Simulate limiters and keepers of many VMs on virtual time and a faulty network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from returns.result import Failure, Success

from lagoonlatch.limits.limiter import LIMITERS
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.ownership import (
    Candidate,
    Owner,
    OwnershipKeeper,
    PlatformView,
)
from tests.limits.virtual import VirtualClock, VirtualTime
from tests.ownership.fakes import FakeStore, FakeVmList

GOSSIP_INTERVAL_MILLIS = 500.0
SUSPECT_AFTER_MILLIS = 2_000.0


@dataclass
class Network:
    """Delays, losses and duplicates of messages, from a seeded generator.

    All delays are in milliseconds. `cut` holds the pairs of regions that don't reach
    each other.
    """

    rng: random.Random
    delay_within_region: float = 0.5
    delay_between_regions: float = 20.0
    jitter: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    cut: set = field(default_factory=set)

    def delays(self, source, target):
        """Return the delay of each copy of a message that arrives."""
        if frozenset((source, target)) in self.cut:
            return []
        base = (
            self.delay_within_region if source == target else self.delay_between_regions
        )
        if self.rng.random() < self.loss:
            return []
        copies = 2 if self.rng.random() < self.duplication else 1
        return [base + self.rng.random() * self.jitter for _copy in range(copies)]


class Vm:
    """One VM with its clock, keepers and limiter; it can be paused and killed."""

    def __init__(self, fleet, name, region, incarnation, speed):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.this_vm = Owner(name, incarnation)
        self.alive = True
        self.paused = False
        self.ended_at = None
        self._deferred_actions = []
        self.clock = VirtualClock(fleet.time, speed, at=self.at)
        fleet.list.listed.add(name)
        self.lease = fleet.store.grant_lease(0).value_or(None)
        fleet.store.put_if(f"vms/{name}", b"{}", 0, self.lease or 0)
        self.keeper_by_region = {scope: self._keeper(scope) for scope in fleet.regions}
        limiter = LIMITERS.find(fleet.limiter).unwrap()
        self.limiter = limiter(
            self.this_vm, region, self.keeper_by_region, self, fleet.spec, self.clock
        )
        self.limiter.configure(fleet.spec_by_id.values())
        gevent.spawn(self.keeper_by_region[region].run)
        gevent.spawn(self.limiter.run)

    def _keeper(self, scope):
        view = PlatformView(
            self.fleet.store,
            self.fleet.list,
            lambda: self.fleet.candidates(scope) if scope == self.region else (),
            self.fleet.incarnation_of,
        )
        return OwnershipKeeper(
            self.fleet.store,
            scope,
            self.this_vm,
            view,
            self.clock,
            slots=self.fleet.slots,
        )

    def at(self, when, action):
        """Call `action` at `when`.

        If the VM is paused then, the call is made when it resumes; if the VM is killed,
        the call isn't made.
        """
        self.fleet.time.at(when, lambda: self._act(action))

    def _act(self, action):
        if not self.alive:
            return
        if self.paused:
            self._deferred_actions.append(action)
        else:
            action()

    def pause(self):
        self.paused = True
        self.ended_at = self.fleet.time.now

    def resume(self):
        self.paused = False
        self.ended_at = None
        deferred, self._deferred_actions = self._deferred_actions, []
        for action in deferred:
            action()

    def kill(self):
        self.alive = False
        self.ended_at = self.fleet.time.now

    def seems_alive(self):
        if self.ended_at is None:
            return True
        return self.fleet.time.now - self.ended_at < SUSPECT_AFTER_MILLIS

    def grant(self, vm_id, request, deadline):
        """Carry a grant call as the transport of this VM's limiter."""
        self.fleet.messages += 1
        outcome = AsyncResult()
        now = self.fleet.time.now
        target = self.fleet.vm_by_name.get(vm_id)
        self.at(now + deadline, lambda: _set_once(outcome, Failure("timeout")))
        if target is not None:
            for delay in self.fleet.network.delays(self.region, target.region):
                target.at(
                    now + delay,
                    lambda: gevent.spawn(self._serve, target, request, outcome),
                )
        return outcome.get()

    def _serve(self, target, request, outcome):
        reply = target.limiter.serve_grant(request)
        for delay in self.fleet.network.delays(target.region, self.region):
            self.at(
                self.fleet.time.now + delay,
                lambda: _set_once(outcome, Success(reply)),
            )


def _set_once(outcome, value):
    if not outcome.ready():
        outcome.set(value)


@dataclass(frozen=True)
class Arrival:
    """A request and its outcome."""

    at: float
    ended_at: float
    bucket: str
    admitted: bool
    retry_after: float = 0.0


class Fleet:
    """VMs of several regions that share virtual time."""

    def __init__(
        self,
        limiter="leased-shards",
        regions=("a", "b", "c"),
        vms_per_region=3,
        specs=(),
        seed=1,
        between=20.0,
        jitter=0.0,
        loss=0.0,
        duplication=0.0,
        speed_spread=0.0,
        slots=4,
    ):
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.network = Network(
            random.Random(seed + 1), 0.5, between, jitter, loss, duplication
        )
        self.limiter = limiter
        self.regions = tuple(regions)
        self.slots = slots
        self.speed_spread = speed_spread
        self.store = FakeStore()
        self.list = FakeVmList()
        self.spec_by_id = {spec.id: spec for spec in specs}
        self.messages = 0
        self.arrivals = []
        self.vm_by_name = {}
        for region in regions:
            for index in range(vms_per_region):
                self.start_vm(f"{region}{index}", region)
        self.time.at(0.0, self._gossip)

    def spec(self, bucket_id) -> BucketSpec | None:
        return self.spec_by_id.get(bucket_id)

    def start_vm(self, name, region):
        """Start a VM; one of the same name is killed and gets its next incarnation."""
        former = self.vm_by_name.get(name)
        incarnation = former.this_vm.incarnation + 1 if former else 1
        if former:
            former.kill()
            self.store.end_lease(former.lease)
        speed = 1.0 + self.rng.uniform(-self.speed_spread, self.speed_spread)
        self.vm_by_name[name] = Vm(self, name, region, incarnation, speed)

    def kill_vm(self, name, lease_lapse=6_000.0, list_lag=4_000.0):
        """Kill a VM whose lease lapses and whose listing ends after the given times."""
        vm = self.vm_by_name[name]
        vm.kill()
        now = self.time.now
        self.time.at(now + lease_lapse, lambda: self.store.end_lease(vm.lease))
        self.time.at(now + list_lag, lambda: self.list.listed.discard(name))

    def live(self, region=None):
        return [
            vm
            for vm in self.vm_by_name.values()
            if vm.alive and not vm.paused and region in (None, vm.region)
        ]

    def owner_name(self, bucket, region):
        keeper = self.live(region)[0].keeper_by_region[region]
        owner = keeper.owner_of(keeper.slot_of(bucket))
        return owner.vm if owner else f"{region}0"

    def candidates(self, region):
        return tuple(
            Candidate(vm.this_vm)
            for vm in self.vm_by_name.values()
            if vm.region == region and vm.seems_alive()
        )

    def incarnation_of(self, name):
        vm = self.vm_by_name.get(name)
        return vm.this_vm.incarnation if vm else None

    def request_at(self, when, vm_name, bucket, cost=1.0, deadline=10_000.0):
        """Schedule a request; it is lost if the VM is down at that time."""
        self.time.at(when, lambda: self._arrive(vm_name, bucket, cost, deadline))

    def _arrive(self, vm_name, bucket, cost, deadline=10_000.0):
        vm = self.vm_by_name[vm_name]
        if vm.alive and not vm.paused:
            gevent.spawn(self._request, vm, bucket, cost, deadline)

    def _request(self, vm, bucket, cost, deadline):
        at = self.time.now
        admission = vm.limiter.admit(bucket, cost, deadline)
        admitted = isinstance(admission, Success)
        retry_after = 0.0 if admitted else admission.failure().retry_after
        self.arrivals.append(Arrival(at, self.time.now, bucket, admitted, retry_after))

    def _gossip(self):
        """Exchange tables between VMs that reach each other, as heartbeats do."""
        live = self.live()
        for scope in self.regions:
            for vm in live:
                self._learn_from_best(vm, scope, live)
        self.time.at(self.time.now + GOSSIP_INTERVAL_MILLIS, self._gossip)

    def _learn_from_best(self, vm, scope, live):
        reachable = [
            peer.keeper_by_region[scope]
            for peer in live
            if frozenset((peer.region, vm.region)) not in self.network.cut
        ]
        best = max(reachable, key=lambda keeper: keeper.revision())
        vm.keeper_by_region[scope].apply_table(best.revision(), best.document())

    def overrun(self, bucket, speed=1.0):
        """Return by how many tokens the worst window exceeded rate * t + burst.

        The time t is counted on a clock of the given speed.
        """
        spec = self.spec_by_id[bucket]
        level = worst = spec.burst
        last = 0.0
        admitted = sorted(
            item.ended_at
            for item in self.arrivals
            if item.admitted and item.bucket == bucket
        )
        for at in admitted:
            earned = spec.rate * speed * (at - last) / 1000.0
            level = min(level + earned, spec.burst) - 1.0
            worst = min(worst, level)
            last = at
        return max(-worst, 0.0)
