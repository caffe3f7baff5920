"""One seeded run: faults in series and overlapping, then peace, then the oracle."""

from __future__ import annotations

import random
from dataclasses import dataclass

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform.registrations import VM_PREFIX
from lagoonlatch.standins.entry_fleet import ask
from tests.soak.kinds import KINDS_BY_NAME
from tests.soak.oracle import DRAIN, find_problems
from tests.soak.world import EQUAL_PATH, EQUAL_SHARE, Caller, World, now

CALLERS_BY_VM = 4

LANES = 2
"""Faults that may overlap; within a lane one follows the other."""

LAST_REQUESTS = 30
"""Number of requests to each VM that show whether it uses an upstream."""

RECOVERY: Millis = 6_000.0
"""After the last fault everything is served again within this."""


@dataclass(frozen=True)
class Verdict:
    """What came of a run."""

    seed: int
    kinds: tuple[str, ...]
    requests: int
    served: int
    problems: tuple[str, ...]


def play(
    seed: int,
    duration: Millis = 15_000.0,
    vms: int = 4,
    instances: int = 6,
    planted: str = "",
    kinds: tuple[str, ...] = (),
    without_store: tuple[str, ...] = (),
    equal_share: float = EQUAL_SHARE,
    cold_rate: float | None = None,
) -> Verdict:
    """Play the run that `seed` names.

    Parameters
    ----------
    planted : str
        Name of a known fault of the program that is put into it; see `planted`.
    kinds : tuple of str
        Kinds of faults to choose from; empty for all.
    without_store : tuple of str
        VMs that can't reach the store in the whole run. Others tell them of changes.
    equal_share : float
        Share of the safe requests that are equal.
    cold_rate : float, optional
        Requests a second that a cold upstream takes from all VMs together.
    """
    rng = random.Random(seed)
    names = sorted(kinds or KINDS_BY_NAME)
    played: list[str] = []
    world = World(vms, instances, planted)
    world.equal_share = equal_share
    world.cold_rate = cold_rate or world.cold_rate
    with world:
        for vm in without_store:
            world.cut_from_store(vm)
        end = now() + duration
        callers = [
            gevent.spawn(
                Caller(world, vm, number, random.Random(rng.random())).run,
                end + RECOVERY,
            )
            for vm in sorted(world.vms_by_id)
            for number in range(CALLERS_BY_VM)
        ]
        lanes = [
            gevent.spawn(_play_lane, world, random.Random(rng.random()), names, end)
            for _ in range(LANES)
        ]
        for lane in gevent.joinall(lanes, raise_error=True):
            played += lane.value
        gevent.joinall(callers, raise_error=True)
        problems = [
            *find_problems(world),
            *_unserved(world),
            *_unregistered(world, set(world.vms_by_id) - set(without_store)),
            *_behind(world),
        ]
        asked = world.history.asked
        return Verdict(
            seed=seed,
            kinds=tuple(played),
            requests=len(asked),
            served=sum(one.status == 200 for one in asked),
            problems=tuple(problems),
        )


def _play_lane(
    world: World, rng: random.Random, names: list[str], end: Millis
) -> list[str]:
    played = []
    gevent.sleep(rng.uniform(0.5, 1.5))
    while now() < end:
        name = rng.choice(names)
        played.append(name)
        KINDS_BY_NAME[name](world, rng, rng.uniform(300.0, 3_500.0))
        gevent.sleep(rng.uniform(0.0, 1_500.0) / MILLIS_PER_SECOND)
    return played


def _unregistered(world: World, vms: set[str]) -> list[str]:
    """Return which of `vms` have no entry after all faults have ended."""
    keys = world.store.keys()
    return [
        f"{vm} has no entry in the store after the last fault"
        for vm in sorted(vms)
        if f"{VM_PREFIX}{vm}" not in keys
    ]


def _behind(world: World) -> list[str]:
    """Return the VMs that miss a last change of the store, an upstream that leaves."""
    name = min(world.instances_by_id)
    instance = world.instances_by_id[name]
    world.register(instance, world.data_centre_by_instance[name], "draining")
    gevent.sleep(DRAIN / MILLIS_PER_SECOND)
    fields = {"Authorization": f"Token {world.history.keys[-1][1]}"}
    for vm in world.vms_by_id.values():
        for number in range(LAST_REQUESTS):
            cookie = f"Affinity-Key=last-{number}"
            ask(vm, f"last-{vm.id}-{number}", Cookie=cookie, **fields)
    reached = {request for _, request in instance.arrivals}
    return [
        f"{vm} does not know that {name} leaves"
        for vm in world.vms_by_id
        if any(f"last-{vm}-{number}" in reached for number in range(LAST_REQUESTS))
    ]


def _unserved(world: World) -> list[str]:
    """Return the VMs that don't serve after all faults have ended."""
    key = world.history.keys[-1][1]
    found = []
    for vm in world.vms_by_id.values():
        fields = {"Authorization": f"Token {key}"}
        statuses = [
            ask(vm, f"end-{vm.id}-{n}", path=path, **fields)
            for path in ("/look/1", EQUAL_PATH)
            for n in range(5)
        ]
        if not set(statuses) <= {200, 429}:
            found.append(
                f"{vm.id} answers {statuses} after the last fault, the last ones to"
                f" {EQUAL_PATH}"
            )
    return found
