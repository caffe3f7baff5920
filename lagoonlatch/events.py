"""The time line: a bounded ring of typed events in each process."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lagoonlatch.clock import HybridClock, Stamp

DEFAULT_CAPACITY = 4096


class EventKind(Enum):
    """What an event says happened."""

    VM_STARTED = "vm-started"
    VM_LEAVING = "vm-leaving"
    VM_STOPPED = "vm-stopped"
    PEER_REACHABLE = "peer-reachable"
    PEER_SILENT = "peer-silent"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    CONFIGURATION_REJECTED = "configuration-rejected"
    CONFIGURATION_REGRESSED = "configuration-regressed"
    STORE_REACHABLE = "store-reachable"
    STORE_UNREACHABLE = "store-unreachable"
    OWNER_CHANGED = "owner-changed"
    UPSTREAM_EJECTED = "upstream-ejected"
    UPSTREAM_RESTORED = "upstream-restored"
    UPSTREAM_DRAINING = "upstream-draining"
    UPSTREAM_DIED = "upstream-died"
    REQUEST_QUARANTINED = "request-quarantined"
    MOVE_STARTED = "move-started"
    MOVE_ENDED = "move-ended"
    KEY_WITHDRAWN = "key-withdrawn"


@dataclass(frozen=True)
class Event:
    """One event of one process.

    Parameters
    ----------
    stamp : Stamp
        Hybrid logical time.
    vm : str
        The VM on which it happened.
    kind : EventKind
        What happened.
    subject : str
        What it happened to, for example an upstream's id.
    detail : dict of str to str
        Further facts; never a key.
    """

    stamp: Stamp
    vm: str
    kind: EventKind
    subject: str
    detail: dict[str, str] = field(default_factory=dict)


class EventLog:
    """The newest events of one process, at most `capacity` of them."""

    def __init__(
        self, vm: str, hybrid_clock: HybridClock, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self._vm = vm
        self._hybrid_clock = hybrid_clock
        self._ring: deque[Event] = deque(maxlen=capacity)

    def record(self, kind: EventKind, subject: str, **detail: str) -> Event:
        """Append an event stamped now and return it."""
        event = Event(self._hybrid_clock.tick(), self._vm, kind, subject, detail)
        self._ring.append(event)
        return event

    def since(self, stamp: Stamp) -> tuple[Event, ...]:
        """Return the events later than `stamp`, oldest first."""
        return tuple(event for event in self._ring if event.stamp > stamp)


def merge_events(logs: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Return the events of several processes in the order of their stamps."""
    merged = [event for log in logs for event in log]
    merged.sort(key=lambda event: (event.stamp, event.vm))
    return tuple(merged)
