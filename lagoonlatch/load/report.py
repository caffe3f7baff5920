"""The benchmark's figures as text."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lagoonlatch.operators.reports import format_table

_HEADINGS = (
    "SCENARIO",
    "POLICIES",
    "SENT",
    "SERVED",
    "P50",
    "P99",
    "P99.9",
    "WORST P99",
    "LEAST SERVED",
    "REFUSALS P99",
    "WITHIN RATE",
    "REFUSED OF THOSE",
    "OVERRUN",
    "RECOVERY MS",
    "STORE/S",
    "CPU MS/REQ",
    "MB",
)
_LOAD_HEADINGS = (
    "ORGANISATION",
    "SENT",
    "SERVED",
    "P50",
    "P99",
    "P99.9",
    "WITHIN RATE",
    "REFUSED OF THOSE",
    "OVERRUN",
)
_GENERATOR = "generator's share of a core"
RATIO_FIGURES = ("p99", "worst p99", "refused though within rate")


def format_report(
    figures: Mapping[str, Mapping[str, object]], variants: Sequence[str]
) -> str:
    """Return a table of all runs, and the ratios between variants below it."""
    rows = [
        _row(scenario, variant, runs[variant])
        for scenario, runs in figures.items()
        for variant in variants
    ]
    lines = [format_table(_HEADINGS, rows)]
    if len(variants) > 1:
        lines += ["", *_ratio_lines(figures, variants)]
    for scenario, runs in figures.items():
        for variant in variants:
            run = runs[variant]
            lines.append(f"{scenario}, {variant}: {_listed(run['refusals'])}")
    return "\n".join(lines)


def format_headrooms(headroom_by_variant: Mapping[str, Mapping]) -> str:
    """Return the steps of each variant and the headroom that they show."""
    headings = ("POLICIES", "OFFERED", "SERVED", "REFUSED", "P99", "GENERATOR")
    rows = [
        (
            variant,
            step.offered,
            step.served,
            step.refused,
            step.p99,
            step.generator_share,
        )
        for variant, run in headroom_by_variant.items()
        for step in run["steps"]
    ]
    lines = ["headroom, as parts of the slots' capacity:", format_table(headings, rows)]
    for variant, run in headroom_by_variant.items():
        lines.append(f"headroom, {variant}: {run['headroom']}")
    return "\n".join(lines)


def format_load(figures: Mapping[str, object]) -> str:
    """Return the figures of one load as a table of organisations."""
    rows = [
        _load_row(name, run)
        for name, run in figures["by organisation"].items()
        if run["requests"]
    ]
    rows.append(_load_row("all", figures))
    notes = [
        f"wrong answers: {figures['wrong answers']}",
        f"refusals: {_listed(figures['refusals'])}",
        f"worst served within its rate: {_listed(figures['worst served'])}",
    ]
    notes.append(f"generator's share of a core: {figures[_GENERATOR]}")
    if figures["skipped by the generator"]:
        skipped = figures["skipped by the generator"]
        notes.append(f"not an open loop: {skipped} requests could not be sent in time")
    return "\n".join([format_table(_LOAD_HEADINGS, rows), "", *notes])


def _listed(values: Mapping[str, object]) -> str:
    return ", ".join(f"{name} {value}" for name, value in values.items()) or "none"


def _load_row(name: str, run: Mapping) -> tuple[object, ...]:
    return (
        name,
        run["requests"],
        run["served"],
        *(run["latency ms"].get(part, "-") for part in ("p50", "p99", "p99.9")),
        run["within rate"],
        run["refused though within rate"],
        run["largest overrun"],
    )


def _row(scenario: str, variant: str, run: Mapping) -> tuple[object, ...]:
    latency = run["latency ms"]
    return (
        scenario,
        variant,
        run["requests"],
        run["served"],
        *(latency.get(name, "-") for name in ("p50", "p99", "p99.9")),
        run["worst served"].get("p99", "-"),
        least_served(run),
        run["latency of refusals ms"].get("p99", "-"),
        run["within rate"],
        run["refused though within rate"],
        run["largest overrun"],
        run.get("recovery ms", "-"),
        run["store calls a second"],
        run["processor ms a request, all VMs"],
        run["resident MB, largest VM"],
    )


def least_served(run: Mapping) -> float:
    """Return the lowest part of its due that any organisation was served.

    Its due is what the exact bucket admits; an organisation that is not served at all
    has no latency, and shows only here.
    """
    shares = [
        min(item["served"] / item["within rate"], 1.0)
        for item in run["by organisation"].values()
        if item["within rate"]
    ]
    return round(min(shares, default=1.0), 3)


def _ratio_lines(figures: Mapping, variants: Sequence[str]) -> list[str]:
    first, *others = variants
    lines = []
    for scenario, runs in figures.items():
        for other in others:
            ratios = ratios_of(runs[other], runs[first])
            text = ", ".join(f"{name} {value}" for name, value in ratios.items())
            lines.append(f"{scenario}, {other} / {first}: {text}")
    return lines


def ratios_of(run: Mapping, base: Mapping) -> dict[str, object]:
    """Return figures of a run as multiples of those of another.

    A figure that is 0 in the base is given as ``x : 0``.
    """
    return {
        name: _ratio(_figure(run, name), _figure(base, name)) for name in RATIO_FIGURES
    }


def _figure(run: Mapping, name: str) -> float:
    if name == "p99":
        return run["latency ms"].get("p99", 0.0)
    if name == "worst p99":
        return run["worst served"].get("p99", 0.0)
    return run[name]


def _ratio(value: float, base: float) -> object:
    return round(value / base, 2) if base else f"{value:g} : 0"
