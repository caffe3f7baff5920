"""Reading the log file in which a stand-in upstream notes its executions."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def read_executions(log: Path, upstream: str) -> list[dict[str, Any]]:
    """Return the executions in a log, in the order of starting.

    Parameters
    ----------
    log : Path
        Has a line for the start and one for the end of each execution; the end is
        missing if the process ended first.
    upstream : str
        The instance's id, put into each execution as ``upstream``.
    """
    if not log.exists():
        return []
    found: list[dict[str, Any]] = []
    for line in log.read_text().splitlines():
        execution = json.loads(line) | {"upstream": upstream}
        if execution["end"] is None:
            found.append(execution)
        else:
            _end(found, execution)
    return found


def _end(found: list[dict[str, Any]], ended: dict[str, Any]) -> None:
    for execution in reversed(found):
        same = execution["request_id"] == ended["request_id"]
        if same and execution["end"] is None and execution["start"] == ended["start"]:
            execution.update(ended)
            return
