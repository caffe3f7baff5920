"""What the other VMs have told lately.

It is advice only: a number that is late or lost makes a choice worse, never wrong.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from lagoonlatch.clock import Clock, Millis

FRESH: Millis = 1_000.0
"""What was told longer ago is not used; several tells fit."""

SILENT: Millis = 1_500.0
"""A VM that was heard and is silent for so long is taken to be gone or cut off."""


MOST_TOLD = 8
"""VMs of one kind that are told in one round; with more, rounds take turns, so that
neither bytes nor processor time of a VM grow with the fleet."""

N = TypeVar("N")


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
        Tokens that it could lend.
    """

    vm: str
    run: int
    is_leaving: bool
    in_flight_by_upstream: Mapping[str, int]
    spare_by_organisation: Mapping[str, int]


class PeerTable:
    """The newest telling of each VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._telling_by_vm: dict[str, Telling] = {}
        self._heard_by_vm: dict[str, Millis] = {}
        self._promised: dict[tuple[str, str], int] = {}

    def hear(self, telling: Telling) -> None:
        """Take in a telling."""
        known = self._telling_by_vm.get(telling.vm)
        if known is not None and telling.run < known.run:
            return
        self._telling_by_vm[telling.vm] = telling
        self._heard_by_vm[telling.vm] = self._clock.now()
        for organisation in telling.spare_by_organisation:
            self._promised.pop((telling.vm, organisation), None)

    def requests_at(self, upstream: str) -> int | None:
        """Return the requests that other VMs have there; None if none is heard."""
        fresh = [
            telling.in_flight_by_upstream.get(upstream, 0)
            for vm, telling in self._telling_by_vm.items()
            if self._age(vm) < FRESH
        ]
        return sum(fresh) if fresh else None

    def best_lender(self, organisation: str) -> str | None:
        """Return the VM with most tokens to spare; None if none has any."""
        best, most = None, 0
        for vm, telling in self._telling_by_vm.items():
            spare = telling.spare_by_organisation.get(organisation, 0)
            spare -= self._promised.get((vm, organisation), 0)
            if self._age(vm) < FRESH and spare > most:
                best, most = vm, spare
        return best

    def note_asked(self, vm: str, organisation: str, tokens: int) -> None:
        """Count tokens that `vm` was asked for since it told what it has."""
        key = (vm, organisation)
        self._promised[key] = self._promised.get(key, 0) + tokens

    def is_silent(self, vm: str) -> bool:
        """Return whether a VM that was heard is heard no more."""
        return vm in self._heard_by_vm and self._age(vm) >= SILENT

    def is_heard(self, vm: str) -> bool:
        """Return whether a VM was heard lately and stays."""
        telling = self._telling_by_vm.get(vm)
        return telling is not None and not telling.is_leaving and self._age(vm) < SILENT

    def is_leaving(self, vm: str, run: int) -> bool:
        """Return whether that run of a VM has told that it leaves."""
        telling = self._telling_by_vm.get(vm)
        return telling is not None and telling.is_leaving and telling.run >= run

    def _age(self, vm: str) -> Millis:
        return self._clock.now() - self._heard_by_vm[vm]
