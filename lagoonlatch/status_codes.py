"""Validity of HTTP status codes that other systems send."""

from __future__ import annotations

FIRST_FINAL_STATUS = 200
LAST_FINAL_STATUS = 599
"""Bounds of the status codes of final answers. The parsers also accept 600 to 999, and
one of them takes 000 to 099 for interim answers."""


def is_final_status(status: int) -> bool:
    """Return whether a final answer may have this status code."""
    return FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS
