"""Whom a VM asks for tokens of an organisation's allowance.

The load answered here: callers of an organisation come to VMs that hold no part of its
allowance, or more of them than the part there allows, while other holders have tokens
left. Holders tell what they have left with each loan; what was told is believed for a
moment, and those of which nothing is known are asked, nearby ones first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.holders import Holders

LEFT_AGE: Millis = 400.0
"""How long a holder is taken to have what it told; its part fills again meanwhile."""


class Lenders:
    """The holders of all allowances as lenders.

    Parameters
    ----------
    is_present : callable
        Returns whether a VM can be asked.
    """

    def __init__(
        self, holders: Holders, is_present: Callable[[str], bool], clock: Clock
    ) -> None:
        self._holders = holders
        self._is_present = is_present
        self._clock = clock
        self._left_by_part: dict[tuple[str, str], tuple[int, Millis]] = {}

    def note_lendable(self, vm: str, organisation: str, tokens: int) -> None:
        """Take in what a holder has left to lend."""
        self._left_by_part[vm, organisation] = (tokens, self._clock.now())

    def note_asked(self, vm: str, organisation: str, tokens: int) -> None:
        """Count tokens that a holder was asked for since it told what it has."""
        left = self._left(vm, organisation)
        if left is not None:
            self.note_lendable(vm, organisation, max(left - tokens, 0))

    def choose(
        self, organisation: str, wanted: int, tried: Collection[str] = ()
    ) -> str | None:
        """Return the VM to ask; None if nobody is likely to lend.

        Parameters
        ----------
        wanted : int
            Tokens that are asked for.
        tried : collection of str
            Ids of VMs that were asked for the same request.
        """
        near = set(self._holders.near(organisation))
        best, best_rank = None, None
        for vm in self._holders.others(organisation):
            left = self._left(vm, organisation)
            if vm in tried or left == 0 or not self._is_present(vm):
                continue
            has_enough = left is not None and left >= wanted
            rank = (vm not in near, not has_enough, left is not None, random.random())
            if best_rank is None or rank < best_rank:
                best, best_rank = vm, rank
        return best

    def _left(self, vm: str, organisation: str) -> int | None:
        """Return what a holder has left; None if that isn't known."""
        known = self._left_by_part.get((vm, organisation))
        if known is None or self._clock.now() - known[1] >= LEFT_AGE:
            return None
        return known[0]
