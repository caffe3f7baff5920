"""How much of the slots' capacity is served before callers notice."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.model import Configuration
from lagoonlatch.load.bench_fleet import (
    WORK_MS,
    bench_configuration,
    streams,
)
from lagoonlatch.load.generator import run_load
from lagoonlatch.load.plan import LoadPlan

SHARES = (0.3, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)
"""Parts of the capacity that are offered, one after the other."""
STEP_DURATION: Millis = 5_000.0
RATE_FACTOR = 20
"""Organisations' rates are raised, so that only slots limit."""
MOST_P99_GROWTH = 2.0
MOST_REFUSED_SHARE = 0.01


@dataclass(frozen=True)
class Step:
    """One offered load and what came of it.

    Parameters
    ----------
    offered : float
        Part of the capacity that was due.
    served : float
        Part of the capacity that was served.
    refused : float
        Part of the requests that was not served.
    p99 : Millis
        Of the requests served.
    generator_share : float
        Part of a core that the generator used.
    """

    offered: float
    served: float
    refused: float
    p99: Millis
    generator_share: float = 0.0


def headroom_configuration() -> Configuration:
    """Return the benchmark's configuration with rates out of the way."""
    configuration = bench_configuration()
    raised = {
        organisation_id: replace(
            item, rate=item.rate * RATE_FACTOR, burst=item.burst * RATE_FACTOR
        )
        for organisation_id, item in configuration.organisations_by_id.items()
    }
    return replace(configuration, organisations_by_id=raised)


def capacity_of(configuration: Configuration) -> float:
    """Return the requests a second that all slots together can run."""
    slots = sum(
        upstream.slots
        for service in configuration.services_by_id.values()
        for upstream in service.upstreams_by_id.values()
    )
    return slots * MILLIS_PER_SECOND / WORK_MS


def measure_steps(
    configuration: Configuration, vms: tuple[str, ...], seed: int
) -> list[Step]:
    """Offer a fleet more and more load and return each step's figures."""
    capacity = capacity_of(configuration)
    base = sum(stream.rate for stream in streams(1.0))
    found = []
    for share in SHARES:
        sent = tuple(streams(share * capacity / base))
        plan = LoadPlan(streams=sent, duration=STEP_DURATION, seed=seed)
        report = run_load(plan, vms, Clock()).report(configuration.organisations_by_id)
        seconds = STEP_DURATION / MILLIS_PER_SECOND
        found.append(
            Step(
                offered=round(report["requests"] / seconds / capacity, 3),
                served=round(report["served"] / seconds / capacity, 3),
                refused=round(1 - report["served"] / max(report["requests"], 1), 4),
                p99=report["latency ms"].get("p99", 0.0),
                generator_share=report["generator's share of a core"],
            )
        )
    return found


def headroom(steps: Sequence[Step]) -> float:
    """Return the largest part of the capacity served before callers notice.

    They notice when p99 is more than twice that of the first step, or when more than
    1% of requests are refused.
    """
    good = 0.0
    for step in steps:
        if step.refused > MOST_REFUSED_SHARE:
            break
        if step.p99 > MOST_P99_GROWTH * steps[0].p99:
            break
        good = max(good, step.served)
    return good
