"""The status that each other VM reported last in a heartbeat.

A status is only a hint. Decisions must be correct without it; a late or lost status
only makes them less good.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.knowledge import Knowledge
from lagoonlatch.steering.watchers import Standing

STATUS_MAX_AGE: Millis = 1_000.0
"""Age beyond which a status is not used; several heartbeats are sent within it."""

SILENCE_TIMEOUT: Millis = 1_500.0
"""A VM without a heartbeat for this long is assumed to have ended or to be cut off."""

FIRST_HEARTBEAT_TIMEOUT: Millis = 3_000.0
"""A VM whose entry is known has to send its first heartbeat within this time. The time
is longer in a large fleet, where heartbeats are less frequent."""

SILENCE_TIMEOUT_FACTOR = 2.5
"""Number of heartbeat intervals after which a VM with a long interval counts as
silent."""

ALIVE_WITHOUT_ENTRY_LIMIT: Millis = 5_000.0
"""A VM without an entry counts as alive at most this long after its last heartbeat,
whatever its heartbeat interval. The lease of an entry lasts as long."""

REORDERING_WINDOW: Millis = 1_000.0
"""Within this time, a status with a lower run is a late one of an earlier process.
Afterwards, it means that the VM has restarted and its wall clock was set back."""

N = TypeVar("N")


@dataclass(frozen=True, kw_only=True)
class RoundRobin:
    """Selects the peers that get a heartbeat in each round, all of them in turn.

    Parameters
    ----------
    max_peers : int
        Peers that get a heartbeat in one round. The limit keeps the bytes and the
        processor time of a VM from growing with the fleet.
    interval : Millis
        Time between rounds.
    """

    max_peers: int
    interval: Millis

    def heartbeat_interval(self, peers: int) -> Millis:
        """Return the time between two heartbeats to the same one of `peers` peers."""
        return self.interval * max(-(-peers // self.max_peers), 1)

    def select_peers(self, peers: Sequence[N], round_number: int) -> list[N]:
        """Return the peers that get a heartbeat in this round.

        Every peer is selected before one is selected again.
        """
        count = len(peers)
        if count <= self.max_peers:
            return list(peers)
        start = round_number * self.max_peers % count
        return [peers[(start + k) % count] for k in range(self.max_peers)]


@dataclass(frozen=True, kw_only=True)
class PeerStatus:
    """The status that a VM reports about itself.

    Parameters
    ----------
    run : int
        Number of the run of the VM's process. Later runs have higher numbers unless the
        wall clock was set back.
    knowledge : Knowledge
        What the VM knows of the store.
    standing : Standing
        How the VM learns the content of the store.
    interval : Millis
        Time until the VM's next heartbeat.
    """

    vm: str
    run: int
    is_leaving: bool
    knowledge: Knowledge = Knowledge()
    standing: Standing = Standing.LISTENS
    interval: Millis = 0.0


class PeerTable:
    """The newest status of each VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._status_by_vm: dict[str, PeerStatus] = {}
        self._received_at_by_vm: dict[str, Millis] = {}
        self._deadline_by_vm: dict[str, Millis] = {}

    def update(self, status: PeerStatus) -> None:
        """Store a received status unless it is a late one of an earlier run."""
        previous = self._status_by_vm.get(status.vm)
        is_older = previous is not None and status.run < previous.run
        if is_older and self._age(status.vm) < REORDERING_WINDOW:
            return
        self._status_by_vm[status.vm] = status
        self._received_at_by_vm[status.vm] = self._clock.now()

    def expect_heartbeats(
        self, vm: str, within: Millis = FIRST_HEARTBEAT_TIMEOUT
    ) -> None:
        """Set the deadline for the first heartbeat of a VM unless it is set already."""
        self._deadline_by_vm.setdefault(vm, self._clock.now() + within)

    def is_silent(self, vm: str) -> bool:
        """Return whether the heartbeats of a VM have stopped or never started."""
        if vm in self._received_at_by_vm:
            return self._age(vm) >= self._silence_timeout(vm)
        deadline = self._deadline_by_vm.get(vm)
        return deadline is not None and self._clock.now() >= deadline

    def is_alive(self, vm: str) -> bool:
        """Return whether a VM sent a recent heartbeat and is not leaving."""
        status = self._status_by_vm.get(vm)
        return (
            status is not None
            and not status.is_leaving
            and self._age(vm)
            < min(self._silence_timeout(vm), ALIVE_WITHOUT_ENTRY_LIMIT)
        )

    def is_leaving(self, vm: str, run: int) -> bool:
        """Return whether this run of a VM has reported that it leaves."""
        status = self._status_by_vm.get(vm)
        return status is not None and status.is_leaving and status.run >= run

    def standing_by_vm(self) -> dict[str, Standing]:
        """Return how each VM that is alive learns the content of the store."""
        return {
            vm: status.standing
            for vm, status in self._status_by_vm.items()
            if self.is_alive(vm)
        }

    def ahead_of(self, knowledge: Knowledge) -> list[str]:
        """Return the VMs that know later store changes or a later configuration."""
        return [
            vm
            for vm, status in self._status_by_vm.items()
            if knowledge.lacks(status.knowledge) and self._is_current(vm)
        ]

    def _age(self, vm: str) -> Millis:
        return self._clock.now() - self._received_at_by_vm[vm]

    def _is_current(self, vm: str) -> bool:
        interval = self._status_by_vm[vm].interval
        return self._age(vm) < max(STATUS_MAX_AGE, SILENCE_TIMEOUT_FACTOR * interval)

    def _silence_timeout(self, vm: str) -> Millis:
        return max(
            SILENCE_TIMEOUT, SILENCE_TIMEOUT_FACTOR * self._status_by_vm[vm].interval
        )
