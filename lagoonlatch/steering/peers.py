"""What the other VMs have told lately.

It is advice only: a number that is late or lost makes a choice worse, never wrong.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.watchers import Standing

FRESH: Millis = 1_000.0
"""What was told longer ago is not used; several tells fit."""

SILENT: Millis = 1_500.0
"""A VM that was heard and is silent for so long is taken to be gone or cut off."""

NEVER_HEARD: Millis = 3_000.0
"""So long a VM whose entry is known may not have told anything yet; longer in a fleet
where a VM is told more rarely."""

MISSED = 2.5
"""Tells that may be missed before a VM that tells rarely counts as silent."""

HEARD_MOST: Millis = 5_000.0
"""A VM without an entry is counted on no longer than this after it was heard, however
rarely it tells; so long the lease of an entry lasts."""

RUN_ORDER: Millis = 1_000.0
"""Within this a telling of a lower run is a late one of an earlier process; after it
the VM has started again while its time of day was set back."""

N = TypeVar("N")


@dataclass(frozen=True, kw_only=True)
class RoundRobin:
    """How many VMs are told in one round, so that all are told in turn.

    Parameters
    ----------
    max_peers : int
        Told in one round; neither bytes nor processor time of a VM then grow with
        the fleet.
    interval : Millis
        Between rounds.
    """

    max_peers: int
    interval: Millis

    def heartbeat_interval(self, listeners: int) -> Millis:
        """Return the time after which a listener is told again."""
        return self.interval * max(-(-listeners // self.max_peers), 1)

    def select_peers(self, listeners: Sequence[N], turn: int) -> list[N]:
        """Return those whose turn it is; all come up before one comes up again."""
        count = len(listeners)
        if count <= self.max_peers:
            return list(listeners)
        start = turn * self.max_peers % count
        return [listeners[(start + k) % count] for k in range(self.max_peers)]


@dataclass(frozen=True, kw_only=True)
class PeerStatus:
    """What one VM tells of itself.

    Parameters
    ----------
    run : int
        Names the run of its process.
    revision : int
        Of the store, up to which it knows all changes.
    configuration : int
        Revision at which its configuration was written.
    interval : Millis
        Until it tells again.
    """

    vm: str
    run: int
    is_leaving: bool
    revision: int = 0
    configuration: int = 0
    standing: Standing = Standing.LISTENS
    interval: Millis = 0.0


class PeerTable:
    """The newest telling of each VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._telling_by_vm: dict[str, PeerStatus] = {}
        self._heard_by_vm: dict[str, Millis] = {}
        self._expected_by_vm: dict[str, Millis] = {}

    def update(self, telling: PeerStatus) -> None:
        """Take in a telling."""
        known = self._telling_by_vm.get(telling.vm)
        is_older = known is not None and telling.run < known.run
        if is_older and self._age(telling.vm) < RUN_ORDER:
            return
        self._telling_by_vm[telling.vm] = telling
        self._heard_by_vm[telling.vm] = self._clock.now()

    def expect_heartbeats(self, vm: str, within: Millis = NEVER_HEARD) -> None:
        """Note that a VM is known and is to be heard `within` a time."""
        self._expected_by_vm.setdefault(vm, self._clock.now() + within)

    def is_silent(self, vm: str) -> bool:
        """Return whether a VM that was heard or expected is not heard any more."""
        if vm in self._heard_by_vm:
            return self._age(vm) >= self._patience(vm)
        expected = self._expected_by_vm.get(vm)
        return expected is not None and self._clock.now() >= expected

    def is_alive(self, vm: str) -> bool:
        """Return whether a VM was heard lately and stays."""
        telling = self._telling_by_vm.get(vm)
        return (
            telling is not None
            and not telling.is_leaving
            and self._age(vm) < min(self._patience(vm), HEARD_MOST)
        )

    def is_leaving(self, vm: str, run: int) -> bool:
        """Return whether that run of a VM has told that it leaves."""
        telling = self._telling_by_vm.get(vm)
        return telling is not None and telling.is_leaving and telling.run >= run

    def standing_by_vm(self) -> dict[str, Standing]:
        """Return how the VMs that are heard learn what the store holds."""
        return {
            vm: telling.standing
            for vm, telling in self._telling_by_vm.items()
            if self.is_alive(vm)
        }

    def ahead_of(self, revision: int, configuration: int) -> list[str]:
        """Return the VMs that know later changes of the store or a later version."""
        return [
            vm
            for vm, telling in self._telling_by_vm.items()
            if (telling.revision > revision or telling.configuration > configuration)
            and self._is_fresh(vm)
        ]

    def _age(self, vm: str) -> Millis:
        return self._clock.now() - self._heard_by_vm[vm]

    def _is_fresh(self, vm: str) -> bool:
        interval = self._telling_by_vm[vm].interval
        return self._age(vm) < max(FRESH, MISSED * interval)

    def _patience(self, vm: str) -> Millis:
        return max(SILENT, MISSED * self._telling_by_vm[vm].interval)
