"""What came of each request, and figures from it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from lagoonlatch.clock import Millis
from lagoonlatch.config.model import Organisation
from lagoonlatch.load.reference import largest_overrun, within_rate

MICROS_PER_MILLI = 1_000
HIGHEST_LATENCY: Millis = 120_000.0
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)
TIMELINE_STEP: Millis = 250.0


@dataclass(frozen=True)
class Sample:
    """One request.

    Parameters
    ----------
    organisation, kind : str
        Of its stream.
    due : Millis
        When it was due, from the start of the load.
    latency : Millis
        From when it was due to the end of its answer.
    problem : str
        Why it was not served; empty if it was.
    whole : bool
        Whether a served request got its own whole answer.
    """

    organisation: str
    kind: str
    due: Millis
    latency: Millis
    problem: str = ""
    whole: bool = True


@dataclass
class Recorder:
    """The samples of one run.

    Parameters
    ----------
    samples : list of Sample
        In the order of their ends.
    skipped : int
        Requests that the generator itself could not send in time.
    generator_share : float
        Part of a core that the generator used; near 1, it measures itself.
    """

    samples: list[Sample] = field(default_factory=list)
    skipped: int = 0
    generator_share: float = 0.0

    def add(self, sample: Sample) -> None:
        """Note one request."""
        self.samples.append(sample)

    def report(
        self, organisations_by_id: Mapping[str, Organisation]
    ) -> dict[str, object]:
        """Return the figures of the run as plain values.

        Parameters
        ----------
        organisations_by_id : mapping of str to Organisation
            Their rates and bursts.
        """
        ordered = sorted(self.samples, key=lambda sample: sample.due)
        by_organisation = {
            organisation_id: _organisation_report(
                [item for item in ordered if item.organisation == organisation_id],
                organisation,
            )
            for organisation_id, organisation in organisations_by_id.items()
        }
        sent = [item for item in by_organisation.values() if item["requests"]]
        return {
            "requests": len(ordered),
            "served": sum(not sample.problem for sample in ordered),
            "wrong answers": sum(not sample.whole for sample in ordered),
            "skipped by the generator": self.skipped,
            "generator's share of a core": round(self.generator_share, 2),
            "refusals": _problems(ordered),
            "latency ms": _percentiles(ordered),
            "latency of refusals ms": _percentiles(ordered, served=False),
            "within rate": sum(item["within rate"] for item in sent),
            "refused though within rate": sum(
                item["refused though within rate"] for item in sent
            ),
            "largest overrun": max(
                (item["largest overrun"] for item in sent), default=0.0
            ),
            "worst served": _worst_served(by_organisation),
            "by organisation": by_organisation,
            "due per step": [due for due, _ in self.timeline()],
            "served per step": [served for _, served in self.timeline()],
            "step ms": TIMELINE_STEP,
        }

    def timeline(self) -> list[tuple[int, int]]:
        """Return for each step how many requests were due, and served of those."""
        due: Counter[int] = Counter()
        served: Counter[int] = Counter()
        for sample in self.samples:
            step = int(sample.due // TIMELINE_STEP)
            due[step] += 1
            served[step] += not sample.problem
        return [(due[step], served[step]) for step in range(max(due, default=-1) + 1)]


def _organisation_report(
    samples: list[Sample], organisation: Organisation
) -> dict[str, object]:
    due_times = [sample.due for sample in samples]
    allowed = within_rate(due_times, organisation.rate, organisation.burst)
    admitted = [sample.due for sample in samples if not sample.problem]
    kinds = sorted({sample.kind for sample in samples})
    return {
        "requests": len(samples),
        "served": len(admitted),
        "refusals": _problems(samples),
        "within rate": sum(allowed),
        "refused though within rate": _wrongful(samples, allowed),
        "largest overrun": round(
            largest_overrun(admitted, organisation.rate, organisation.burst), 1
        ),
        "latency ms": _percentiles(samples),
        "latency ms by kind": {
            kind: _percentiles([item for item in samples if item.kind == kind])
            for kind in kinds
        },
    }


def _problems(samples: Iterable[Sample]) -> dict[str, int]:
    counted = Counter(sample.problem for sample in samples if sample.problem)
    return dict(sorted(counted.items()))


def _wrongful(samples: list[Sample], allowed: list[bool]) -> int:
    """Return how many requests were refused although they were within the rate.

    When an organisation sends more than its rate, which of its requests are admitted
    is a matter of order, so that only their number can be held against the fleet.
    """
    if all(allowed):
        return sum(bool(sample.problem) for sample in samples)
    served = sum(not sample.problem for sample in samples)
    return max(sum(allowed) - served, 0)


def _percentiles(samples: Iterable[Sample], served: bool = True) -> dict[str, float]:
    """Return percentiles of latencies, in milliseconds, of served or refused ones."""
    highest = int(HIGHEST_LATENCY * MICROS_PER_MILLI)
    histogram = HdrHistogram(1, highest, SIGNIFICANT_DIGITS)
    for sample in samples:
        if served is not bool(sample.problem):
            micros = int(sample.latency * MICROS_PER_MILLI)
            histogram.record_value(min(max(micros, 1), highest))
    if not histogram.get_total_count():
        return {}
    return {
        f"p{percentile:g}": round(
            histogram.get_value_at_percentile(percentile) / MICROS_PER_MILLI, 2
        )
        for percentile in PERCENTILES
    }


def _worst_served(by_organisation: Mapping[str, dict]) -> dict[str, object]:
    """Return the organisation with the highest p99 among those that kept the rate.

    An organisation that sends more than its rate waits by its own doing.
    """
    candidates = {
        organisation_id: item["latency ms"]["p99"]
        for organisation_id, item in by_organisation.items()
        if item["latency ms"] and item["within rate"] == item["requests"]
    }
    if not candidates:
        return {}
    worst = max(candidates, key=candidates.__getitem__)
    return {"organisation": worst, "p99": candidates[worst]}
