"""The exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code means."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNCONFIRMED = 4
