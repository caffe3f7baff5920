"""Runs scenarios on fleets of real processes, each policy set in turn."""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.publish import Publisher
from lagoonlatch.load.bench_fleet import (
    SERVICE,
    SMALLEST_LARGE_RATE,
    VMS,
    WORK_MS,
    bench_configuration,
    key_of,
    streams,
)
from lagoonlatch.load.generator import run_load
from lagoonlatch.load.headroom import (
    headroom,
    headroom_configuration,
    measure_steps,
)
from lagoonlatch.load.plan import LoadPlan
from lagoonlatch.load.recorder import TIMELINE_STEP
from lagoonlatch.load.scenarios import QUIET_SHARE, Scenario
from lagoonlatch.load.usage import Usage, read_usage
from lagoonlatch.platform import HttpStore
from lagoonlatch.standins.caller import Caller
from lagoonlatch.standins.fleet import CALLERS_PORT, LocalFleet
from lagoonlatch.standins.waiting import wait_until

WARM_UP: Millis = 3_000.0
LIST_LAG: Millis = 1_000.0
READY_TIMEOUT: Millis = 2_000.0
RECOVERY_WINDOW = 4
"""Steps of the time line that are averaged."""
RECOVERED_SHARE = 0.9

FLAGS_BY_VARIANT: Mapping[str, Sequence[str]] = {
    "lagoonlatch": (),
    "naive": (
        "--selection=round-robin",
        "--limiter=static-split",
        "--queue=first-come-first-served",
    ),
}
"""The policies compared: the default ones, and one naive set."""


@dataclass
class _Meter:
    """What the fleet's processes and the store have done since the start."""

    fleet: LocalFleet
    usage_by_vm: dict[str, Usage] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)

    def start(self) -> None:
        for vm in self.fleet.vms_by_id:
            self.usage_by_vm[vm] = read_usage(self.fleet.pid(vm))
        self.calls = self.fleet.control("GET", "calls")

    def report(self, requests: int, duration: Millis) -> dict[str, object]:
        seconds = duration / MILLIS_PER_SECOND
        calls = self.fleet.control("GET", "calls")
        used, resident = self._usage()
        made = sum(calls.values()) - sum(self.calls.values())
        return {
            "store calls a second": round(made / seconds, 1),
            "processor ms a request, all VMs": round(sum(used) / max(requests, 1), 2),
            "processor share of a core, busiest VM": round(
                max(used, default=0.0) / duration, 3
            ),
            "resident MB, largest VM": round(max(resident, default=0) / 1e6, 1),
        }

    def _usage(self) -> tuple[list[Millis], list[int]]:
        used: list[Millis] = []
        resident: list[int] = []
        for vm, before in self.usage_by_vm.items():
            after = read_usage(self.fleet.pid(vm))
            if after is not None and before is not None:
                used.append(max(after.processor - before.processor, 0.0))
                resident.append(after.resident_bytes)
        return used, resident


def run_variant(scenario: Scenario, flags: Sequence[str]) -> dict[str, object]:
    """Run one scenario on a new fleet and return its figures.

    Parameters
    ----------
    scenario : Scenario
        Load and faults.
    flags : sequence of str
        Flags of every daemon, naming policies.
    """
    with _fleet(bench_configuration(), flags) as fleet:
        _put_in_force(fleet)
        return _measure(scenario, fleet)


def run_headroom(flags: Sequence[str], seed: int) -> dict[str, object]:
    """Offer a new fleet more and more load and return its headroom.

    Parameters
    ----------
    flags : sequence of str
        Flags of every daemon, naming policies.
    seed : int
        Fixes the arrivals.
    """
    with _fleet(headroom_configuration(), flags) as fleet:
        _put_in_force(fleet)
        steps = measure_steps(fleet.configuration, _addresses(fleet), seed)
    return {"headroom": headroom(steps), "steps": steps}


def _fleet(configuration: Configuration, flags: Sequence[str]) -> LocalFleet:
    return LocalFleet.from_configuration(
        configuration,
        vms=VMS,
        flags=flags,
        upstream_flags={SERVICE: ["--work-ms", str(WORK_MS)]},
        platform_switches={"list_lag": LIST_LAG},
    )


def _put_in_force(fleet: LocalFleet) -> None:
    store = HttpStore.from_address(fleet.platform)
    Publisher(store, Clock()).publish(fleet.configuration, "bench", 0).unwrap()
    # A naive limiter may never serve the small ones.
    pending = {
        (organisation_id, vm)
        for organisation_id, item in fleet.configuration.organisations_by_id.items()
        for vm in _endpoints(fleet)
        if item.rate >= SMALLEST_LARGE_RATE
    }
    if not wait_until(lambda: _serve(pending)):
        raise TimeoutError(f"not served within the time: {sorted(pending)}")
    warm_up = LoadPlan(streams=tuple(streams(QUIET_SHARE)), duration=WARM_UP, seed=0)
    run_load(warm_up, _addresses(fleet), Clock())


def _serve(pending: set[tuple[str, str]]) -> bool:
    """Send a request for each pair of organisation and VM; drop those served.

    A pair is asked no more once it was served: with few tokens for each VM, asking
    all again and again would use them up.
    """
    for organisation, vm in sorted(pending):
        caller = Caller([vm], SERVICE, key_of(organisation), timeout=READY_TIMEOUT)
        if caller.request("GET", "/ranks/ready", vm=vm).ok:
            pending.remove((organisation, vm))
    return not pending


def _measure(scenario: Scenario, fleet: LocalFleet) -> dict[str, object]:
    meter = _Meter(fleet)
    meter.start()
    notes: dict[str, float] = {}
    tasks = [
        gevent.spawn_later(fault.at / MILLIS_PER_SECOND, _act, fault, fleet, notes)
        for fault in scenario.faults
    ]
    recorder = run_load(scenario.plan, _addresses(fleet), Clock())
    gevent.joinall(tasks, raise_error=True)
    report = recorder.report(fleet.configuration.organisations_by_id)
    if scenario.faults:
        at = scenario.faults[0].at
        report["recovery ms"] = recovery(recorder.timeline(), at)
    # Other work on the machine shows in latencies; say how much there was.
    report["load average"] = round(os.getloadavg()[0], 1)
    return report | notes | meter.report(len(recorder.samples), scenario.plan.duration)


def _act(fault, fleet, notes) -> None:
    notes.update(fault.act(fleet) or {})


def recovery(timeline: Sequence[tuple[int, int]], fault_at: Millis) -> Millis:
    """Return how long after a fault too few requests were served.

    That is so while, over a second, less than 90% of those due are served; 0 if it
    never was.

    Parameters
    ----------
    timeline : sequence of tuple of int
        Requests due, and served of those, in each step.
    fault_at : Millis
        When the fault happened, from the start.
    """
    fault_step = int(fault_at // TIMELINE_STEP)
    low_until = fault_step
    for step in range(fault_step, len(timeline) - RECOVERY_WINDOW + 1):
        window = timeline[step : step + RECOVERY_WINDOW]
        due = sum(item[0] for item in window)
        if sum(item[1] for item in window) < RECOVERED_SHARE * due:
            low_until = step + RECOVERY_WINDOW
    return (low_until - fault_step) * TIMELINE_STEP


def _endpoints(fleet: LocalFleet) -> list[str]:
    return [f"{address}:{CALLERS_PORT}" for address in _addresses(fleet)]


def _addresses(fleet: LocalFleet) -> tuple[str, ...]:
    return tuple(plan.address for plan in fleet.vms_by_id.values())
