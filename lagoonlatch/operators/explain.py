"""The story of one request, from the log lines of several entry VMs."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lagoonlatch.exit_codes import ExitCode

_VM_EVENTS = frozenset(
    {
        "configuration_in_force",
        "evacuations_changed",
        "news_taken",
        "reloaded",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "watch_history_gone",
        "watch_silent",
    }
)
_UPSTREAM_EVENTS = frozenset(
    {
        "upstream_gone",
        "upstream_held",
        "upstream_known",
        "upstream_leaving",
        "upstream_resting",
        "upstream_suspected",
        "upstream_trusted",
    }
)


@dataclass(frozen=True)
class LogLine:
    """One decoded line."""

    timestamp: str
    vm: str
    event: str
    fields: Mapping[str, object]

    def text(self) -> str:
        """Return the line for people."""
        shown = {
            name: value
            for name, value in self.fields.items()
            if name not in ("timestamp", "vm", "data_centre", "event", "level")
        }
        pairs = " ".join(f"{name}={value}" for name, value in shown.items())
        return f"{self.timestamp} {self.vm} {self.event} {pairs}"


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode JSON lines; text before the first brace and other lines are left out."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.MsgspecError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield LogLine(
                timestamp=str(fields.get("timestamp", "")),
                vm=str(fields.get("vm", "")),
                event=str(fields["event"]),
                fields=fields,
            )


def tell_story(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return what the lines say of a request, oldest first.

    Its own lines are marked with ``>``. Before them stand the last state of its VM and
    what that VM had noted of the upstreams that it tried.
    """
    ordered = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        return []
    vms = {line.vm for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {"", None}
    first, last = own[0].timestamp, own[-1].timestamp
    context = _context(ordered, vms, upstreams, first, last)
    told = sorted([*context, *own], key=lambda line: line.timestamp)
    return [f"{'>' if line in own else ' '} {line.text()}" for line in told]


def _context(
    ordered: list[LogLine],
    vms: set[str],
    upstreams: set[object],
    first: str,
    last: str,
) -> list[LogLine]:
    """Return the newest line of each kind before `first`, and all up to `last`."""
    newest: dict[tuple[str, str, object], LogLine] = {}
    during = []
    for line in ordered:
        if line.vm not in vms or line.timestamp > last:
            continue
        about = line.fields.get("upstream")
        if line.event in _UPSTREAM_EVENTS and about not in upstreams:
            continue
        if line.event not in _VM_EVENTS | _UPSTREAM_EVENTS:
            continue
        if line.timestamp < first:
            newest[line.vm, line.event, about] = line
        else:
            during.append(line)
    return [*newest.values(), *during]


def explain(request: str, *files: str) -> int:
    """Print what the logs of the entry VMs say of a request.

    Parameters
    ----------
    request : str
        The request's id.
    files : str
        Files with the log lines of one or more VMs; standard input without any.
    """
    texts: list[str] = []
    for name in files:
        try:
            texts += Path(name).read_text(errors="replace").splitlines()
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return ExitCode.BAD_INPUT
    if not files:
        texts = sys.stdin.read().splitlines()
    story = tell_story(request, read_lines(texts))
    if not story:
        print(f"no line names request {request!r}", file=sys.stderr)
        return ExitCode.FAILED
    print("\n".join(story))
    return ExitCode.DONE
