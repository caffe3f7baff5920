"""Choice of the VM from which to borrow tokens of an organisation's allowance.

An organisation's callers may use VMs that hold no share of its allowance, or send one
VM more requests than its share permits, while other holders have unused tokens. With
each loan a holder reports how many tokens it can still lend. A report is used for a
short time. Holders without a recent report are asked too, and holders of the same
region are asked first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.holders import Holders

LENDABLE_MAX_AGE: Millis = 400.0
"""Age up to which a report of lendable tokens is used; the share refills meanwhile."""


class Lenders:
    """Chooses lenders among the holders of all allowances.

    Parameters
    ----------
    is_present : callable
        Returns whether a VM is present and ready, so that it can be asked.
    """

    def __init__(
        self, holders: Holders, is_present: Callable[[str], bool], clock: Clock
    ) -> None:
        self._holders = holders
        self._is_present = is_present
        self._clock = clock
        self._lendable_by_holder: dict[tuple[str, str], tuple[int, Millis]] = {}

    def note_lendable(self, vm: str, organisation: str, tokens: int) -> None:
        """Record how many tokens a holder can lend."""
        self._lendable_by_holder[vm, organisation] = (tokens, self._clock.now())

    def note_asked(self, vm: str, organisation: str, tokens: int) -> None:
        """Subtract requested tokens from what the holder last reported."""
        lendable = self._lendable(vm, organisation)
        if lendable is not None:
            self.note_lendable(vm, organisation, max(lendable - tokens, 0))

    def choose(
        self, organisation: str, requested: int, tried: Collection[str] = ()
    ) -> str | None:
        """Return the VM to ask; None if no holder is likely to lend.

        Parameters
        ----------
        requested : int
            Number of tokens to borrow.
        tried : collection of str
            Ids of VMs that were already asked for the same request.
        """
        near = set(self._holders.other_holders_in_region(organisation))
        best, best_rank = None, None
        for vm in self._holders.other_holders(organisation):
            lendable = self._lendable(vm, organisation)
            if vm in tried or lendable == 0 or not self._is_present(vm):
                continue
            has_enough = lendable is not None and lendable >= requested
            # The same region first. Then holders known to have enough tokens, then
            # unknown ones, then those known to have fewer.
            rank = (
                vm not in near,
                not has_enough,
                lendable is not None,
                random.random(),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = vm, rank
        return best

    def _lendable(self, vm: str, organisation: str) -> int | None:
        """Return the tokens that a holder can lend; None if that is not known."""
        report = self._lendable_by_holder.get((vm, organisation))
        if report is None or self._clock.now() - report[1] >= LENDABLE_MAX_AGE:
            return None
        return report[0]
