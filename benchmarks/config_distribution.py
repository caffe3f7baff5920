"""Seconds until a change is in force on every VM, and the store's calls for it.

Run ``python -m benchmarks.config_distribution``. Daemons, the platform's stand-in and
the operator are processes of their own on one machine; each scenario is a fresh fleet.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, replace

import defopt
import msgspec

from lagoonlatch.clock import Clock
from lagoonlatch.config.model import (
    Configuration,
    DataCentre,
    Organisation,
    Route,
    Service,
    Upstream,
)
from lagoonlatch.config.publish import Publisher
from lagoonlatch.platform import HttpStore
from lagoonlatch.standins.fleet import LocalFleet
from lagoonlatch.standins.waiting import wait_until

VMS = (6, 12, 18)
CHANGES = 12
PAUSE_SECONDS = 0.5
IDLE_SECONDS = 15.0
REGIONS = ("norte", "centro", "sul")
CENTRES_PER_REGION = 2
POLL_SECONDS = 0.01
CALLS = ("range", "txn", "watch")


@dataclass(frozen=True)
class Scenario:
    """A fleet's size and the platform's faults while changes are made."""

    name: str
    vms: int
    switches: dict


SCENARIOS = (
    *(Scenario(f"{vms} VMs", vms, {}) for vms in VMS),
    Scenario("silent watches", 12, {"drop_watches": True}),
    Scenario("each call 300 ms late", 12, {"delay": 300}),
    Scenario("every answer of a change lost once", 12, {"lose_answers": 3}),
)


def _configuration() -> Configuration:
    centres = {
        f"{region}-{number}": DataCentre(region=region)
        for region in REGIONS
        for number in range(1, CENTRES_PER_REGION + 1)
    }
    upstream = Upstream(
        data_centre="norte-1", address="127.0.0.1:1", slots=9, connections=360
    )
    route = Route(method="*", path_prefix="/", idempotent=False)
    return Configuration(
        data_centres_by_id=centres,
        organisations_by_id=_organisations(1),
        services_by_id={
            "ledger": Service(routes=(route,), upstreams_by_id={"ledger-1": upstream})
        },
    )


def _organisations(count):
    return {
        f"dojo-{number}": Organisation(key_digests=(), rate=10.0, burst=5)
        for number in range(count)
    }


def _calls(fleet) -> Counter:
    return Counter(fleet.control("GET", "calls"))


def _in_force(fleet, version) -> bool:
    return all(
        fleet.status(vm)["configuration_version"] >= version for vm in fleet.vms_by_id
    )


def _seconds_to_force(fleet, publisher, version, configuration):
    """Return the seconds from the operator's call until the last VM has it."""
    began = time.monotonic()
    change = f"change-{version}"
    publisher.publish(configuration, change, version - 1).unwrap()
    accepted = time.monotonic()
    while not _in_force(fleet, version):
        time.sleep(POLL_SECONDS)
    ended = time.monotonic()
    return accepted - began, ended - accepted


def measure(scenario: Scenario) -> dict:
    """Return the figures of one scenario."""
    with LocalFleet.from_configuration(_configuration(), vms=scenario.vms) as fleet:
        publisher = Publisher(HttpStore.from_address(fleet.platform), Clock())
        publisher.publish(fleet.configuration, "change-1", 0).unwrap()
        assert wait_until(lambda: _in_force(fleet, 1)), "the fleet does not start"
        time.sleep(IDLE_SECONDS / 3)
        idle = _idle_calls(fleet)
        before = _calls(fleet)
        began = time.monotonic()
        figures = []
        for version in range(2, CHANGES + 2):
            fleet.switch(**scenario.switches)
            changed = replace(
                fleet.configuration, organisations_by_id=_organisations(version)
            )
            figures.append(_seconds_to_force(fleet, publisher, version, changed))
            time.sleep(PAUSE_SECONDS)
        elapsed = time.monotonic() - began
        spent = _calls(fleet) - before
    accept = sorted(accepted for accepted, _ in figures)
    force = sorted(in_force for _, in_force in figures)
    return {
        "scenario": scenario.name,
        "vms": scenario.vms,
        "accept_s_median": round(accept[len(accept) // 2], 3),
        "force_s_median": round(force[len(force) // 2], 3),
        "force_s_most": round(force[-1], 3),
        "idle_calls_a_second": {kind: round(idle[kind], 2) for kind in CALLS},
        "calls_a_change": {
            kind: round((spent[kind] - idle[kind] * elapsed) / CHANGES, 1)
            for kind in CALLS
        },
    }


def _idle_calls(fleet) -> dict[str, float]:
    before = _calls(fleet)
    time.sleep(IDLE_SECONDS)
    spent = _calls(fleet) - before
    return {kind: spent[kind] / IDLE_SECONDS for kind in CALLS}


def main() -> None:
    """Print the figures of each scenario as one line of JSON."""
    for scenario in SCENARIOS:
        print(msgspec.json.encode(measure(scenario)).decode(), flush=True)


if __name__ == "__main__":
    defopt.run(main)
