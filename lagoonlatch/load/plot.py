"""The benchmark's figures as an SVG picture: one row of bars for each scenario."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from xml.sax.saxutils import escape

BAR_HEIGHT = 12
BAR_GAP = 3
ROW_GAP = 14
LABEL_WIDTH = 110
PANEL_WIDTH = 260
NUMBER_WIDTH = 60
TITLE_HEIGHT = 40
COLOURS = ("#1b6ca8", "#d98e32", "#777777")


@dataclass(frozen=True)
class Panel:
    """One figure of all scenarios.

    Parameters
    ----------
    title : str
        Its name and unit.
    value_by_run : mapping of tuple to float
        The figure by scenario and variant.
    """

    title: str
    value_by_run: Mapping[tuple[str, str], float]


def plot(figures: Mapping[str, Mapping], variants: Sequence[str]) -> str:
    """Return an SVG of p99 of the worst served and of wrongful refusals.

    Parameters
    ----------
    figures : mapping of str to mapping
        Each scenario's runs by variant.
    variants : sequence of str
        In the order of their bars.
    """
    runs = {
        (scenario, variant): by_variant[variant]
        for scenario, by_variant in figures.items()
        for variant in variants
    }
    panels = (
        Panel(
            "p99 of the worst served, ms",
            {name: run["worst served"].get("p99", 0.0) for name, run in runs.items()},
        ),
        Panel(
            "refused though within rate, %",
            {name: _wrongful_percent(run) for name, run in runs.items()},
        ),
    )
    return _draw(list(figures), variants, panels)


def _wrongful_percent(run: Mapping) -> float:
    return 100.0 * run["refused though within rate"] / max(run["within rate"], 1)


def _draw(
    scenarios: Sequence[str], variants: Sequence[str], panels: Sequence[Panel]
) -> str:
    row_height = len(variants) * (BAR_HEIGHT + BAR_GAP) + ROW_GAP
    height = TITLE_HEIGHT + row_height * len(scenarios)
    width = LABEL_WIDTH + len(panels) * (PANEL_WIDTH + NUMBER_WIDTH)
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        *_legend(variants),
    ]
    for row, scenario in enumerate(scenarios):
        top = TITLE_HEIGHT + row * row_height
        lines.append(_text(4, top + BAR_HEIGHT, scenario))
    for column, panel in enumerate(panels):
        left = LABEL_WIDTH + column * (PANEL_WIDTH + NUMBER_WIDTH)
        lines.append(_text(left, TITLE_HEIGHT - 8, panel.title))
        lines += _bars(panel, scenarios, variants, left, row_height)
    return "\n".join([*lines, "</svg>", ""])


def _bars(
    panel: Panel,
    scenarios: Sequence[str],
    variants: Sequence[str],
    left: int,
    row_height: int,
) -> list[str]:
    highest = max(panel.value_by_run.values(), default=0.0) or 1.0
    lines = []
    for row, scenario in enumerate(scenarios):
        for index, variant in enumerate(variants):
            value = panel.value_by_run[scenario, variant]
            top = TITLE_HEIGHT + row * row_height + index * (BAR_HEIGHT + BAR_GAP)
            width = round(PANEL_WIDTH * value / highest, 1)
            colour = COLOURS[index % len(COLOURS)]
            lines.append(
                f'<rect x="{left}" y="{top}" width="{width}" height="{BAR_HEIGHT}" '
                f'fill="{colour}"/>'
            )
            label = f"{value:.1f}" if value < 100 else f"{value:.0f}"
            lines.append(_text(left + width + 4, top + BAR_HEIGHT - 2, label))
    return lines


def _legend(variants: Sequence[str]) -> list[str]:
    lines = []
    for index, variant in enumerate(variants):
        left = LABEL_WIDTH + index * 120
        colour = COLOURS[index % len(COLOURS)]
        lines.append(f'<rect x="{left}" y="4" width="10" height="10" fill="{colour}"/>')
        lines.append(_text(left + 14, 13, variant))
    return lines


def _text(left: float, top: float, text: str) -> str:
    return f'<text x="{left}" y="{top}">{escape(text)}</text>'
