"""Latency of the worst-served organisation, for each registered queue in one run.

``python -m benchmarks.upstreams_fairness`` starts four stand-in instances of three
slots, sends an open-loop load through one owner, and prints JSON: for each queue and
phase the p99 of each organisation that keeps to its rate, counted from when a request
was due, the refusals, and the ratios to the queue's own quiet phase.
"""

from __future__ import annotations

import contextlib
import json
import random
import tempfile
from dataclasses import dataclass, field

import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram
from returns.result import Success

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.upstreams import QUEUES
from tests.upstreams.processes import (
    CLOCK,
    Instance,
    build_owner,
    free_address,
    make_request,
)

SEED = 7
SECONDS = 20.0
WARM_UP_SECONDS = 2.0
INSTANCES = 4
LARGE_RATE = 90.0
SMALL_RATE = 18.0
LARGE = ("large-1", "large-2")
SMALL = tuple(f"small-{number}" for number in range(1, 7))
LONGEST_MICROS = 60_000_000


@dataclass(frozen=True)
class Phase:
    """What one organisation does beyond its rate, while the others keep to theirs."""

    name: str
    factor: float = 1.0
    slow_millis: int = 0


PHASES = (
    Phase("quiet"),
    Phase("five-times-rate", factor=5.0),
    Phase("slow-requests", slow_millis=1_000),
)


@dataclass
class Tally:
    """What one organisation got in one phase."""

    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LONGEST_MICROS, 3)
    )
    answered: int = 0
    refused: int = 0


def main() -> None:
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        instances = [start(stack, directory, number) for number in range(INSTANCES)]
        results = {name: run_queue(name, instances) for name in QUEUES.names()}
    print(json.dumps(results, indent=2))


def start(stack, directory, number):
    instance = Instance(free_address(), f"{directory}/{number}.log", ())
    instance.start()
    stack.callback(instance.kill)
    return instance


def run_queue(name, instances):
    phases = {phase.name: run_phase(name, phase, instances) for phase in PHASES}
    quiet = phases["quiet"]["worst_p99_ms"]
    for result in phases.values():
        result["ratio_to_quiet"] = round(result["worst_p99_ms"] / quiet, 2)
    return phases


def run_phase(queue, phase, instances):
    owner = build_owner(instances, queue=queue)
    tally_by_organisation = {name: Tally() for name in LARGE + SMALL}
    senders = [
        gevent.spawn(send, owner, name, phase, tally)
        for name, tally in tally_by_organisation.items()
    ]
    gevent.joinall(senders, raise_error=True)
    owner.stop()
    others = [t for name, t in tally_by_organisation.items() if name != LARGE[0]]
    return {
        "worst_p99_ms": max(percentile(tally, 99.0) for tally in others),
        "median_ms": max(percentile(tally, 50.0) for tally in others),
        "others_answered": sum(tally.answered for tally in others),
        "others_refused": sum(tally.refused for tally in others),
        "sender_answered": tally_by_organisation[LARGE[0]].answered,
        "sender_refused": tally_by_organisation[LARGE[0]].refused,
    }


def percentile(tally, percent):
    return round(tally.latency.get_value_at_percentile(percent) / MILLIS_PER_SECOND, 1)


def send(owner, organisation, phase, tally):
    """Send one organisation's requests when they are due, whatever waits."""
    source = random.Random(f"{SEED}-{organisation}")
    rate = LARGE_RATE if organisation in LARGE else SMALL_RATE
    deviates = organisation == LARGE[0]
    rate *= phase.factor if deviates else 1.0
    target = "/ledger/x"
    if deviates and phase.slow_millis:
        target += f"?behaviour=slow:{phase.slow_millis}"
    start = CLOCK.now()
    due = start
    running = Group()
    number = 0
    while due < start + (WARM_UP_SECONDS + SECONDS) * MILLIS_PER_SECOND:
        gevent.sleep(max(due - CLOCK.now(), 0.0) / MILLIS_PER_SECOND)
        request = make_request(
            f"{organisation}-{number}", target, organisation=organisation
        )
        counted = due >= start + WARM_UP_SECONDS * MILLIS_PER_SECOND
        number += 1
        running.spawn(one, owner, request, due, tally, counted)
        due += source.expovariate(rate) * MILLIS_PER_SECOND
    running.join()


def one(owner, request, due, tally, counted):
    outcome = owner.execute(request)
    if not counted:
        return
    if isinstance(outcome, Success):
        tally.answered += 1
        tally.latency.record_value(int((CLOCK.now() - due) * 1_000.0))
    else:
        tally.refused += 1


if __name__ == "__main__":
    main()
