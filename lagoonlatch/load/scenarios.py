"""The benchmark's scenarios: a load and what goes wrong meanwhile."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.model import Move
from lagoonlatch.config.publish import Publisher
from lagoonlatch.load.bench_fleet import LARGE, SERVICE, WORK_MS, streams
from lagoonlatch.load.plan import LoadPlan
from lagoonlatch.platform import HttpStore
from lagoonlatch.registry import Registry
from lagoonlatch.standins.fleet import LocalFleet

DURATION: Millis = 16_000.0
FAULT_AT: Millis = 5_000.0
REPAIR_AT: Millis = 11_000.0
QUIET_SHARE = 0.6
TIMES_RATE = 5.0
COLD: Millis = 6_000.0
MOVE_RATE_CAP = 20.0

Notes = dict[str, float]


@dataclass(frozen=True)
class Fault:
    """Something done to the fleet while the load runs.

    Parameters
    ----------
    at : Millis
        When, from the start of the load.
    act : callable
        Does it; what it returns goes into the report.
    """

    at: Millis
    act: Callable[[LocalFleet], Notes | None]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load and its faults."""

    summary: str
    plan: LoadPlan
    faults: tuple[Fault, ...] = field(default=())


SCENARIOS: Registry[Callable[[int], Scenario]] = Registry("scenario")


@SCENARIOS.register("quiet-day")
def _quiet_day(seed: int) -> Scenario:
    return Scenario(
        summary="every organisation sends 60% of its rate", plan=_quiet(seed)
    )


@SCENARIOS.register("five-times")
def _five_times(seed: int) -> Scenario:
    sent = streams(QUIET_SHARE, {LARGE: TIMES_RATE})
    return Scenario(
        summary=f"{LARGE} sends 5 times its rate, the others 60%",
        plan=LoadPlan(streams=tuple(sent), duration=DURATION, seed=seed),
    )


@SCENARIOS.register("vm-killed")
def _vm_killed(seed: int) -> Scenario:
    return Scenario(
        summary="one VM is killed at 5 s",
        plan=_quiet(seed),
        faults=(Fault(FAULT_AT, lambda fleet: _kill_vms(fleet, "norte-1")),),
    )


@SCENARIOS.register("vm-drained")
def _vm_drained(seed: int) -> Scenario:
    return Scenario(
        summary="one VM is stopped as planned at 5 s",
        plan=_quiet(seed),
        faults=(Fault(FAULT_AT, _drain_vm),),
    )


@SCENARIOS.register("region-lost")
def _region_lost(seed: int) -> Scenario:
    return Scenario(
        summary="all VMs and upstreams of norte are killed at 5 s",
        plan=_quiet(seed),
        faults=(Fault(FAULT_AT, lambda fleet: _kill_region(fleet, "norte")),),
    )


@SCENARIOS.register("cold-move")
def _cold_move(seed: int) -> Scenario:
    return Scenario(
        summary="norte's traffic moves to sul, at most 20/s, whose upstreams are cold",
        plan=_quiet(seed),
        faults=(Fault(FAULT_AT, _move_to_cold),),
    )


@SCENARIOS.register("store-out")
def _store_out(seed: int) -> Scenario:
    return Scenario(
        summary="the platform's store is out from 5 s to 11 s",
        plan=_quiet(seed),
        faults=(
            Fault(FAULT_AT, lambda fleet: fleet.switch(outage=True)),
            Fault(REPAIR_AT, lambda fleet: fleet.switch(outage=False)),
        ),
    )


def _quiet(seed: int) -> LoadPlan:
    sent = tuple(streams(QUIET_SHARE))
    return LoadPlan(streams=sent, duration=DURATION, seed=seed)


def _kill_vms(fleet: LocalFleet, place: str) -> None:
    """Kill the VMs of a data centre or region; the list drops them later."""
    gone = [vm for vm in fleet.vms_by_id if vm.startswith(place)]
    for vm in gone:
        fleet.kill(vm)
    fleet.list_vms(vm for vm in fleet.vms_by_id if vm not in gone)


def _kill_region(fleet: LocalFleet, region: str) -> None:
    for upstream_id, upstream in fleet.upstreams_by_id().items():
        if upstream.data_centre.startswith(region):
            fleet.kill(upstream_id)
    _kill_vms(fleet, region)


def _drain_vm(fleet: LocalFleet) -> Notes:
    vm = next(vm for vm in fleet.vms_by_id if vm.startswith("norte-1"))
    fleet.list_vms(fleet.vms_by_id, leaving=[vm])
    began = time.monotonic()
    fleet.terminate(vm)
    code = fleet.wait(vm)
    fleet.list_vms(other for other in fleet.vms_by_id if other != vm)
    elapsed = (time.monotonic() - began) * MILLIS_PER_SECOND
    return {"drain ms": round(elapsed), "exit code of the drained VM": code}


def _move_to_cold(fleet: LocalFleet) -> Notes:
    fleet.upstream_flags = {
        SERVICE: ["--work-ms", str(WORK_MS), "--cold-ms", str(COLD)]
    }
    for upstream_id, upstream in fleet.upstreams_by_id().items():
        if upstream.data_centre.startswith("sul"):
            fleet.kill(upstream_id)
            fleet.start_upstream(SERVICE, upstream_id, upstream)
    move = Move(
        service=SERVICE,
        source="norte",
        destination="sul",
        rate_cap=MOVE_RATE_CAP,
        share_cap=1.0,
    )
    configuration = replace(fleet.configuration, moves_by_id={"bench": move})
    store = HttpStore.from_address(fleet.platform)
    published = Publisher(store, Clock()).publish(configuration, "bench-move", 1)
    return {"move published": float(published.map(lambda _: 1).value_or(0))}
