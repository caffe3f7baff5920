"""The queues alone, on a virtual clock: the same figures on every machine.

``python -m benchmarks.upstreams_queues`` serves the load of
`benchmarks.upstreams_fairness` with twelve slots and work of 15 to 25 ms, for each
registered queue and five seeds, and prints JSON: the p99 of the worst-served
organisation that keeps to its rate, the longest wait and the share of slot time used.
Nothing is refused here, so the sender's line grows without bound.

Then eight equal organisations raise the load at 3, 12 and 36 slots: p99 beside that at
a load of 0.3.
"""

from __future__ import annotations

import json
import random
import statistics

from benchmarks.upstreams_fairness import LARGE, LARGE_RATE, PHASES, SMALL, SMALL_RATE
from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.upstreams import QUEUES
from tests.upstreams.virtual import Run

SLOTS = 12
SEEDS = range(5)
SECONDS = 30.0
WARM_UP_MILLIS = 2_000.0
SHORTEST_WORK = 15.0
LONGEST_WORK = 25.0
HEADROOM_SLOTS = (3, 12, 36)
LOADS = (0.3, 0.8, 0.9, 0.95)
HEADROOM_SECONDS = 12.0
ORGANISATIONS = 8


def main() -> None:
    results = {}
    for name in QUEUES.names():
        phases = {phase.name: summary(name, phase) for phase in PHASES}
        quiet = phases["quiet"]["worst_p99_ms"]
        for result in phases.values():
            result["ratio_to_quiet"] = round(result["worst_p99_ms"] / quiet, 2)
        headroom = {f"{slots}-slots": rise(name, slots) for slots in HEADROOM_SLOTS}
        results[name] = phases | {"p99_beside_low_load": headroom}
    print(json.dumps(results, indent=2))


def summary(queue, phase):
    runs = [measure(queue, phase, seed) for seed in SEEDS]
    return {
        name: round(statistics.median(run[name] for run in runs), 2) for name in runs[0]
    }


def measure(queue, phase, seed):
    run = Run(queue, SLOTS, list(arrivals(phase, seed)))
    latencies_by_organisation = {name: [] for name in LARGE[1:] + SMALL}
    for pending in run.started:
        latencies = latencies_by_organisation.get(pending.organisation)
        if latencies is not None and pending.arrived > WARM_UP_MILLIS:
            work = float(pending.request.target[1:])
            latencies.append(pending.started - pending.arrived + work)
    until = SECONDS * MILLIS_PER_SECOND
    organisations = LARGE + SMALL
    used = sum(run.slot_time(name, until) for name in organisations)
    return {
        "worst_p99_ms": max(map(p99, latencies_by_organisation.values())),
        "longest_ms": max(map(max, latencies_by_organisation.values())),
        "slot_time_used": used / (SLOTS * until),
    }


def rise(queue, slots):
    p99_by_load = {load: evenly_loaded_p99(queue, slots, load) for load in LOADS}
    low = p99_by_load[LOADS[0]]
    return {str(load): round(value / low, 2) for load, value in p99_by_load.items()}


def evenly_loaded_p99(queue, slots, load):
    source = random.Random(0)
    mean = (SHORTEST_WORK + LONGEST_WORK) / 2.0
    due = 0.0
    evenly = []
    while due < HEADROOM_SECONDS * MILLIS_PER_SECOND:
        due += source.expovariate(load * slots / mean)
        name = f"organisation-{source.randrange(ORGANISATIONS)}"
        evenly.append((due, name, source.uniform(SHORTEST_WORK, LONGEST_WORK)))
    run = Run(queue, slots, evenly)
    return p99(
        [
            pending.started - pending.arrived + float(pending.request.target[1:])
            for pending in run.started
            if pending.arrived > WARM_UP_MILLIS
        ]
    )


def arrivals(phase, seed):
    for organisation in LARGE + SMALL:
        source = random.Random(f"{seed}-{organisation}")
        deviates = organisation == LARGE[0]
        rate = LARGE_RATE if organisation in LARGE else SMALL_RATE
        rate *= phase.factor if deviates else 1.0
        slow = deviates and phase.slow_millis
        due = 0.0
        while due < SECONDS * MILLIS_PER_SECOND:
            due += source.expovariate(rate) * MILLIS_PER_SECOND
            work = source.uniform(SHORTEST_WORK, LONGEST_WORK)
            yield due, organisation, float(phase.slow_millis) if slow else work


def p99(values):
    return statistics.quantiles(values, n=100)[98]


if __name__ == "__main__":
    main()
