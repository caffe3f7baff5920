"""Share of the slots' capacity that is served before p99 doubles.

``python -m benchmarks.upstreams_headroom`` starts four stand-in instances of three
slots and raises an open-loop load through one owner. One queue for the service stands
beside one queue for each instance (the instance drawn at random) in the same run.
Prints JSON: for each load p99, refusals and the sender's and owner's processor time
for each request; and the highest load before p99 is twice that of the lowest load,
as a share of the nominal capacity (slots by work time) and of the slot time held.
"""

from __future__ import annotations

import contextlib
import json
import random
import tempfile
import time

import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram
from returns.result import Success

from benchmarks.upstreams_fairness import INSTANCES, LONGEST_MICROS, SEED, start
from lagoonlatch.clock import MILLIS_PER_SECOND
from tests.upstreams.processes import CLOCK, build_owner, make_request

SLOTS = 3
WORK_MILLIS = 20.0
SECONDS = 6.0
WARM_UP_SECONDS = 1.0
ORGANISATIONS = 8
SHARES = (0.3, 0.5, 0.7, 0.8, 0.85, 0.9, 0.95)
DOUBLED = 2.0


def main() -> None:
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        instances = [start(stack, directory, number) for number in range(INSTANCES)]
        results = {
            "queue-of-service": run(instances, pinned=False),
            "queue-of-instance": run(instances, pinned=True),
        }
    print(json.dumps(results, indent=2))


def run(instances, pinned):
    steps = [run_step(instances, share, pinned) for share in SHARES]
    base = steps[0]["p99_ms"]
    served = [
        (step["share"], step["slots_held"])
        for step in steps
        if step["p99_ms"] < DOUBLED * base and not step["refused"]
    ]
    share, slots_held = max(served)
    return {"headroom": share, "headroom_slots_held": slots_held, "steps": steps}


def run_step(instances, share, pinned):
    owner = build_owner(instances)
    source = random.Random(SEED)
    histogram = HdrHistogram(1, LONGEST_MICROS, 3)
    refused = []
    rate = share * len(instances) * SLOTS / WORK_MILLIS * MILLIS_PER_SECOND
    begun = CLOCK.now()
    due = begun
    running = Group()
    processor = time.process_time()
    number = 0
    while due < begun + (SECONDS + WARM_UP_SECONDS) * MILLIS_PER_SECOND:
        gevent.sleep(max(due - CLOCK.now(), 0.0) / MILLIS_PER_SECOND)
        counted = due >= begun + WARM_UP_SECONDS * MILLIS_PER_SECOND
        request = make_request(
            f"r-{number}",
            organisation=f"organisation-{number % ORGANISATIONS}",
            upstream=f"u{source.randrange(len(instances))}" if pinned else "",
        )
        running.spawn(one, owner, request, due, histogram, refused, counted)
        number += 1
        due += source.expovariate(rate / MILLIS_PER_SECOND)
    running.join()
    processor = time.process_time() - processor
    held = owner.loads()[0].latency
    owner.stop()
    return {
        "share": share,
        "slots_held": round(share * held / WORK_MILLIS, 3),
        "p50_ms": percentile(histogram, 50.0),
        "p99_ms": percentile(histogram, 99.0),
        "refused": len(refused),
        "processor_ms_per_request": round(processor * MILLIS_PER_SECOND / number, 3),
    }


def one(owner, request, due, histogram, refused, counted):
    outcome = owner.execute(request)
    if not counted:
        return
    if isinstance(outcome, Success):
        histogram.record_value(int((CLOCK.now() - due) * 1_000.0))
    else:
        refused.append(outcome.failure())


def percentile(histogram, percent):
    return round(histogram.get_value_at_percentile(percent) / MILLIS_PER_SECOND, 1)


if __name__ == "__main__":
    main()
