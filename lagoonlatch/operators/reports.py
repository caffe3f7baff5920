"""Text that operators read: tables, time lines and single lines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime

from returns.result import Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.events import Event
from lagoonlatch.operators.admin_client import AdminError
from lagoonlatch.operators.status import Status

_STATUS_HEADINGS = (
    "VM",
    "DATA CENTRE",
    "REGION",
    "VERSION",
    "STATE",
    "PEERS",
    "SLOTS",
    "IN FLIGHT",
)


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows in columns under their headings."""
    lines = [tuple(headings), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_statuses(
    status_by_vm: Mapping[str, Result[Status, AdminError]],
) -> str:
    """Return a table of the fleet, one line for each VM asked."""
    return format_table(
        _STATUS_HEADINGS,
        [_status_row(vm, answer) for vm, answer in status_by_vm.items()],
    )


def format_events(events: Iterable[Event]) -> str:
    """Return a time line, one event a line."""
    return "\n".join(map(_event_line, events))


def _status_row(vm: str, answer: Result[Status, AdminError]) -> Sequence[object]:
    if not isinstance(answer, Success):
        reason = answer.failure().reason
        return (vm, "-", "-", "-", f"no answer: {reason}", "-", "-", "-")
    status = answer.unwrap()
    return (
        status.vm,
        status.data_centre,
        status.region,
        status.configuration_version,
        "leaving" if status.leaving else "serving",
        len(status.peers_alive),
        sum(status.owned_slots_by_scope.values()),
        status.in_flight,
    )


def _event_line(event: Event) -> str:
    seconds = event.stamp.millis / MILLIS_PER_SECOND
    time = datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
    facts = " ".join(f"{name}={value}" for name, value in sorted(event.detail.items()))
    parts = (time.replace("+00:00", "Z"), event.vm, event.kind.value, event.subject)
    return "  ".join((*parts, facts)).rstrip()
