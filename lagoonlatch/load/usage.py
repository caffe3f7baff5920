"""Processor time and memory of processes, from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


@dataclass(frozen=True)
class Usage:
    """What a process has used.

    Parameters
    ----------
    processor : Millis
        Processor time since its start.
    resident_bytes : int
        Memory now.
    """

    processor: Millis
    resident_bytes: int


def read_usage(pid: int) -> Usage | None:
    """Return what a process has used, or None if it is gone."""
    folder = Path("/proc", str(pid))
    try:
        # The name in brackets may hold spaces.
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = int((folder / "statm").read_text().split()[1])
    except (OSError, IndexError):
        return None
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return Usage(ticks * MILLIS_PER_SECOND / _TICKS_PER_SECOND, pages * _PAGE_BYTES)
