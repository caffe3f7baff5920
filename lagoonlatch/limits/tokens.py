"""Exact arithmetic on amounts of tokens.

Every amount is a multiple of `TOKEN_QUANTUM`, a power of two, so that floating-point
sums and differences of amounts are exact and rounding creates no tokens.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from lagoonlatch.ownership.table import hash_parts

TOKEN_QUANTUM = 2.0**-20


def floor_tokens(amount: float) -> float:
    """Return the largest multiple of `TOKEN_QUANTUM` that is at most `amount`."""
    return math.floor(amount / TOKEN_QUANTUM) * TOKEN_QUANTUM


def split_tokens(
    amount: float, weight_by_scope: Mapping[str, float], salt: str = ""
) -> dict[str, float]:
    """Split `amount` by weight into parts that add up to exactly `amount`.

    Whole tokens aren't split, since a request could use the fractions of a token on
    several shards only after collecting them.

    Parameters
    ----------
    amount : float
        Tokens.
    weight_by_scope : Mapping of str to float
        At least one weight is above 0.
    salt : str
        Determines which of several equal scopes get the remaining tokens.

    Returns
    -------
    dict of str to float
        Every VM computes the same parts from the same weights.
    """
    total = sum(weight_by_scope.values())
    assert total > 0, f"no weight is above 0: {dict(weight_by_scope)}"
    whole = math.floor(amount)
    exact = {scope: whole * w / total for scope, w in weight_by_scope.items()}
    parts = {scope: float(math.floor(part)) for scope, part in exact.items()}
    by_remainder = sorted(
        exact, key=lambda scope: (parts[scope] - exact[scope], hash_parts(salt, scope))
    )
    remaining = whole - int(sum(parts.values()))
    for scope in by_remainder[:remaining]:
        parts[scope] += 1.0
    heaviest = max(exact, key=lambda scope: (weight_by_scope[scope], scope))
    parts[heaviest] += floor_tokens(amount - whole)
    return parts
