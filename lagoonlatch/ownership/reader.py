"""Polls the tables of all scopes in the store, on a few VMs of each data centre."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from returns.result import Result

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.ownership.keeper import OWNERSHIP_PREFIX, OwnershipKeeper
from lagoonlatch.ownership.table import decode_table
from lagoonlatch.platform.store import Store, StoreError

READ_INTERVAL: Millis = 2_000.0
INTERVAL_PER_SCOPE: Millis = 200.0
"""Minimum interval per scope; limits the bandwidth of reads of a few kilobytes each."""


class OwnershipReader:
    """Reads all tables from the store with one call per round.

    VMs that do not poll receive the tables from other VMs after heartbeats.

    Parameters
    ----------
    keeper_by_scope : Mapping of str to OwnershipKeeper
        The keepers to which the tables are passed.
    should_poll : callable
        Returns whether this VM should poll now. Two VMs per data centre suffice,
        as the others receive the tables from other VMs.
    """

    def __init__(
        self,
        store: Store,
        keeper_by_scope: Mapping[str, OwnershipKeeper],
        should_poll: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._keeper_by_scope = keeper_by_scope
        self._should_poll = should_poll
        self._clock = clock

    def run(self) -> None:
        """Run a round every `interval` until the greenlet is killed."""
        while True:
            self.step()
            self._clock.sleep(self.interval())

    def interval(self) -> Millis:
        """Return the time between two reads, which grows with the number of scopes."""
        return max(READ_INTERVAL, INTERVAL_PER_SCOPE * len(self._keeper_by_scope))

    def step(self) -> None:
        """Run one round if this VM should poll."""
        if self._should_poll():
            self.refresh()

    def refresh(self) -> Result[None, StoreError]:
        """Read all tables and pass them to the keepers."""
        return self._store.read_prefix(OWNERSHIP_PREFIX).map(self._apply_entries)

    def _apply_entries(self, entries) -> None:
        for entry in entries:
            scope = entry.key.removeprefix(OWNERSHIP_PREFIX)
            keeper = self._keeper_by_scope.get(scope)
            if keeper is not None:
                generation = decode_table(entry.value).map(
                    lambda table: table.generation
                )
                keeper.apply_table(generation.value_or(0), entry.value)
