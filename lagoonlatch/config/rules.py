"""The registry of rules for a configuration and what rules share."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from lagoonlatch.config.model import Configuration
from lagoonlatch.config.strict import quote
from lagoonlatch.registry import Registry

HIGHEST_RATE = 1e7
"""Requests a second."""
HIGHEST_COUNT = 1_000_000
LONGEST_ID = 63

_ID = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
_MOST_LISTED = 12


@dataclass(frozen=True)
class Problem:
    """A value that breaks a rule.

    Parameters
    ----------
    place : str
        The path of the value, such as ``$.services_by_id.ledger.deadline``.
    value : object
        The offending value.
    valid : str
        Which values are valid.
    """

    place: str
    value: object
    valid: str

    def __str__(self) -> str:
        return f"{self.place}: {quote(self.value)} is not valid; valid: {self.valid}"


Rule = Callable[[Configuration], Iterator[Problem]]

RULES: Registry[Rule] = Registry("rule of the configuration")


def check_keys(place: str, ids: Iterable[str]) -> Iterator[Problem]:
    """Yield the ids among the keys of a mapping that are malformed."""
    for item_id in ids:
        yield from check_id(place, item_id)


def check_id(place: str, value: str) -> Iterator[Problem]:
    """Yield a problem if an id is malformed."""
    if len(value) > LONGEST_ID or not _ID.fullmatch(value):
        valid = f"1 to {LONGEST_ID} of a-z 0-9 . _ - that begin and end with a-z or 0-9"
        yield Problem(place, value, valid)


def check_known(place: str, value: str, known: Iterable[str]) -> Iterator[Problem]:
    """Yield a problem unless `value` is one of `known`."""
    if value not in known:
        yield Problem(place, value, listed(known))


def listed(names: Iterable[str]) -> str:
    """Return names for a message, the first few if there are many."""
    ordered = sorted(names)
    if not ordered:
        return "none is defined"
    shown = ", ".join(ordered[:_MOST_LISTED])
    more = len(ordered) - _MOST_LISTED
    return f"{shown} and {more} more" if more > 0 else shown


def check_above_zero(place: str, value: float, highest: float) -> Iterator[Problem]:
    """Yield a problem unless 0 < `value` <= `highest`."""
    if not math.isfinite(value) or not 0 < value <= highest:
        yield Problem(place, value, f"above 0, at most {highest:.15g}")


def check_number(
    place: str, value: float, lowest: float, highest: float, kind: str = "number"
) -> Iterator[Problem]:
    """Yield a problem unless `lowest` <= `value` <= `highest`."""
    if not math.isfinite(value) or not lowest <= value <= highest:
        yield Problem(place, value, f"{kind} from {lowest:.15g} to {highest:.15g}")
