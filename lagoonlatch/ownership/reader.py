"""Reads all scopes' tables from the store, on the few VMs that are to poll it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from returns.result import Result

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.ownership.keeper import OWNERSHIP_PREFIX, OwnershipKeeper
from lagoonlatch.ownership.table import decode_table
from lagoonlatch.platform.store import Store, StoreError

READ_INTERVAL: Millis = 2_000.0
INTERVAL_PER_SCOPE: Millis = 200.0
"""Keeps the answers of some kilobytes for each scope from filling the link."""


class OwnershipReader:
    """Polls the tables with one call a round; peers learn them by heartbeat.

    Parameters
    ----------
    keeper_by_scope : Mapping of str to OwnershipKeeper
        The keepers that learn what is read.
    is_reader : callable
        Returns whether this VM is to poll now; two VMs of a data centre suffice.
    """

    def __init__(
        self,
        store: Store,
        keeper_by_scope: Mapping[str, OwnershipKeeper],
        is_reader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._keeper_by_scope = keeper_by_scope
        self._is_reader = is_reader
        self._clock = clock

    def run(self) -> None:
        """Do rounds until the greenlet is killed."""
        while True:
            self.step()
            self._clock.sleep(self.interval())

    def interval(self) -> Millis:
        """Return the time between two reads, longer the more there is to read."""
        return max(READ_INTERVAL, INTERVAL_PER_SCOPE * len(self._keeper_by_scope))

    def step(self) -> None:
        """Do one round, if this VM is to poll."""
        if self._is_reader():
            self.refresh()

    def refresh(self) -> Result[None, StoreError]:
        """Read every table and let the keepers learn it."""
        return self._store.read_prefix(OWNERSHIP_PREFIX).map(self._learn)

    def _learn(self, entries) -> None:
        for entry in entries:
            scope = entry.key.removeprefix(OWNERSHIP_PREFIX)
            keeper = self._keeper_by_scope.get(scope)
            if keeper is not None:
                generation = decode_table(entry.value).map(
                    lambda table: table.generation
                )
                keeper.apply_table(generation.value_or(0), entry.value)
