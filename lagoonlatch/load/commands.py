"""The commands of the benchmark."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import defopt
import msgspec
from returns.result import Failure

from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.load.bench import FLAGS_BY_VARIANT, run_headroom, run_variant
from lagoonlatch.load.plot import plot
from lagoonlatch.load.report import format_headrooms, format_report
from lagoonlatch.load.scenarios import SCENARIOS

HEADROOM = "headroom"
"""Measured apart from the scenarios, with a load that grows."""
DEFAULT_SEED = 20_261_204


def bench(
    *,
    scenario: Sequence[str] = (),
    variant: Sequence[str] = (),
    seed: int = DEFAULT_SEED,
    out: Path | None = None,
) -> int:
    """Run scenarios on fleets of real processes and print what was measured.

    Parameters
    ----------
    scenario
        The scenarios to run; all by default.
    variant
        The sets of policies to compare; all by default.
    seed
        Fixes the arrivals of requests.
    out
        File that gets the figures as JSON; a picture goes beside it as .svg.
    """
    names = list(scenario) or [*SCENARIOS.names(), HEADROOM]
    variants = list(variant) or list(FLAGS_BY_VARIANT)
    for name in names:
        found = SCENARIOS.find(name)
        if name != HEADROOM and isinstance(found, Failure):
            return _bad_input(f"{found.failure()}, {HEADROOM}")
    for name in variants:
        if name not in FLAGS_BY_VARIANT:
            valid = ", ".join(FLAGS_BY_VARIANT)
            return _bad_input(f"unknown variant {name!r}; valid: {valid}")
    figures = _run_scenarios([n for n in names if n != HEADROOM], variants, seed)
    headrooms = _run_headrooms(variants, seed) if HEADROOM in names else {}
    document = {
        "seed": seed,
        "flags": FLAGS_BY_VARIANT,
        "scenarios": figures,
        "headroom": headrooms,
    }
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        encoded = msgspec.json.format(msgspec.json.encode(document), indent=1)
        out.write_bytes(encoded + b"\n")
        out.with_suffix(".svg").write_text(plot(figures, variants))
    if figures:
        print(format_report(figures, variants))
    if headrooms:
        print(format_headrooms(headrooms))
    return ExitCode.DONE


def _run_scenarios(
    names: Sequence[str], variants: Sequence[str], seed: int
) -> dict[str, dict[str, object]]:
    figures: dict[str, dict[str, object]] = {}
    for name in names:
        chosen = SCENARIOS.find(name).unwrap()(seed)
        figures[name] = {"summary": chosen.summary}
        for kind in variants:
            _say(f"{name}: {kind} ...")
            figures[name][kind] = run_variant(chosen, FLAGS_BY_VARIANT[kind])
    return figures


def _run_headrooms(variants: Sequence[str], seed: int) -> dict[str, dict[str, object]]:
    found = {}
    for kind in variants:
        _say(f"{HEADROOM}: {kind} ...")
        found[kind] = run_headroom(FLAGS_BY_VARIANT[kind], seed)
    return found


def _say(message: str) -> None:
    print(message, file=sys.stderr, flush=True)


def main() -> int:
    """Run the benchmark from the command line."""
    return defopt.run(bench, short={})


def _bad_input(message: str) -> int:
    print(f"error: {message}", file=sys.stderr)
    return ExitCode.BAD_INPUT
