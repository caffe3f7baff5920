"""What the other VMs have told lately.

It is advice only: a number that is late or lost makes a choice worse, never wrong.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.watchers import Standing

FRESH: Millis = 1_000.0
"""What was told longer ago is not used; several tells fit."""

SILENT: Millis = 1_500.0
"""A VM that was heard and is silent for so long is taken to be gone or cut off."""

NEVER_HEARD: Millis = 3_000.0
"""So long a VM whose entry is known may not have told anything yet."""

NEARER = 1_000_000
"""Ranks a lender nearby before all others; more than any VM has to spare."""

MISSED = 2.5
"""Tells that may be missed before a VM that tells rarely counts as silent."""

MOST_TOLD = 8
"""VMs of one kind that are told in one round; with more, rounds take turns, so that
neither bytes nor processor time of a VM grow with the fleet."""

N = TypeVar("N")


def count_turns(listeners: int) -> int:
    """Return the rounds after which a listener's turn comes again."""
    return max(-(-listeners // MOST_TOLD), 1)


def take_turn(listeners: Sequence[N], turn: int) -> list[N]:
    """Return those whose turn it is; all come up before one comes up again."""
    if len(listeners) <= MOST_TOLD:
        return list(listeners)
    start = turn * MOST_TOLD % len(listeners)
    return [listeners[(start + offset) % len(listeners)] for offset in range(MOST_TOLD)]


@dataclass(frozen=True, kw_only=True)
class Telling:
    """What one VM tells of itself.

    Parameters
    ----------
    run : int
        Names the run of its process.
    in_flight_by_upstream : mapping of str to int
        Its requests at each upstream.
    spare_by_organisation : mapping of str to int
        Tokens that it could lend, for some organisations; the others stay as told.
    revision : int
        Of the store, up to which it knows all changes.
    interval : Millis
        Until it tells again.
    """

    vm: str
    run: int
    is_leaving: bool
    in_flight_by_upstream: Mapping[str, int]
    spare_by_organisation: Mapping[str, int]
    revision: int = 0
    standing: Standing = Standing.LISTENS
    interval: Millis = 0.0


class PeerTable:
    """The newest telling of each VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._telling_by_vm: dict[str, Telling] = {}
        self._spare_by_vm: dict[str, dict[str, int]] = defaultdict(dict)
        self._heard_by_vm: dict[str, Millis] = {}
        self._expected_by_vm: dict[str, Millis] = {}
        self._promised: dict[tuple[str, str], int] = {}

    def hear(self, telling: Telling) -> None:
        """Take in a telling."""
        known = self._telling_by_vm.get(telling.vm)
        if known is not None and telling.run < known.run:
            return
        if known is not None and telling.run > known.run:
            self._spare_by_vm.pop(telling.vm, None)
        self._telling_by_vm[telling.vm] = telling
        self._spare_by_vm[telling.vm].update(telling.spare_by_organisation)
        self._heard_by_vm[telling.vm] = self._clock.now()
        for organisation in telling.spare_by_organisation:
            self._promised.pop((telling.vm, organisation), None)

    def requests_at(self, upstream: str) -> int | None:
        """Return the requests that other VMs have there; None if none is heard."""
        fresh = [
            telling.in_flight_by_upstream.get(upstream, 0)
            for vm, telling in self._telling_by_vm.items()
            if self._is_fresh(vm)
        ]
        return sum(fresh) if fresh else None

    def best_lender(
        self, organisation: str, wanted: int = 1, near: Collection[str] = ()
    ) -> str | None:
        """Return the VM with most tokens to spare; None if none has any.

        One of `near` comes first if it has as many as are wanted.
        """
        best, most = None, 0
        for vm, spare_by_organisation in self._spare_by_vm.items():
            spare = spare_by_organisation.get(organisation, 0)
            spare -= self._promised.get((vm, organisation), 0)
            rank = spare + NEARER if spare >= wanted and vm in near else spare
            if spare > 0 and rank > most and self._is_fresh(vm):
                best, most = vm, rank
        return best

    def note_asked(self, vm: str, organisation: str, tokens: int) -> None:
        """Count tokens that `vm` was asked for since it told what it has."""
        key = (vm, organisation)
        self._promised[key] = self._promised.get(key, 0) + tokens

    def expect(self, vm: str) -> None:
        """Note that a VM is known, so that it is to be heard from now on."""
        self._expected_by_vm.setdefault(vm, self._clock.now())

    def is_silent(self, vm: str) -> bool:
        """Return whether a VM that was heard or expected is not heard any more."""
        if vm in self._heard_by_vm:
            return self._age(vm) >= self._patience(vm)
        expected = self._expected_by_vm.get(vm)
        return expected is not None and self._clock.now() - expected >= NEVER_HEARD

    def is_heard(self, vm: str) -> bool:
        """Return whether a VM was heard lately and stays."""
        telling = self._telling_by_vm.get(vm)
        return (
            telling is not None
            and not telling.is_leaving
            and self._age(vm) < self._patience(vm)
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
            if self.is_heard(vm)
        }

    def ahead_of(self, revision: int) -> list[str]:
        """Return the VMs that know later changes of the store."""
        return [
            vm
            for vm, telling in self._telling_by_vm.items()
            if telling.revision > revision and self._is_fresh(vm)
        ]

    def _age(self, vm: str) -> Millis:
        return self._clock.now() - self._heard_by_vm[vm]

    def _is_fresh(self, vm: str) -> bool:
        interval = self._telling_by_vm[vm].interval
        return self._age(vm) < max(FRESH, MISSED * interval)

    def _patience(self, vm: str) -> Millis:
        return max(SILENT, MISSED * self._telling_by_vm[vm].interval)
