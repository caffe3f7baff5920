"""What this VM has read of the store, itself or through other VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.facts import Facts
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry

KEPT: Millis = 20_000.0
"""Changes are kept for VMs that missed them; as long as the store keeps them."""


@dataclass(frozen=True, kw_only=True)
class Batch:
    """All changes of the store in a span.

    Parameters
    ----------
    since, until : int
        Revisions of the store; changes of `since` itself are not included.
    lapse_left : Millis
        For how long upstreams whose entries are gone may come back, after an outage.
    """

    since: int
    until: int
    changes: tuple[Change, ...]
    lapse_left: Millis = 0.0


class StoreReading:
    """The facts, and the revision up to which they are complete.

    Attributes
    ----------
    revision : int
        Of the store; 0 before the first reading.
    """

    def __init__(self, facts: Facts, clock: Clock) -> None:
        self.revision = 0
        self._facts = facts
        self._clock = clock
        self._batches: deque[tuple[Millis, Batch]] = deque()

    def entries(self) -> list[Entry]:
        """Return all entries as the store holds them."""
        return self._facts.entries()

    def lapse_left(self) -> Millis:
        """Return for how long upstreams whose entries are gone may come back."""
        return self._facts.lapse_left()

    def take_snapshot(
        self, entries: Sequence[Entry], revision: int, lapse_left: Millis = 0.0
    ) -> None:
        """Replace all facts by a reading up to `revision`, unless later ones are known.

        Parameters
        ----------
        lapse_left : Millis
            As in `Batch`, from the VM that passes the reading on.
        """
        self._hold(lapse_left)
        if revision < self.revision:
            # A slow answer: other VMs have passed on later changes meanwhile, and
            # what was removed by them would be in use again.
            return
        self._facts.take_snapshot(entries)
        self.revision = revision
        self._batches.clear()

    def take_batch(self, batch: Batch) -> bool:
        """Apply changes; return False if some before them are missing."""
        if not self.revision or batch.since > self.revision:
            return False
        if batch.until <= self.revision:
            return True
        new = tuple(c for c in batch.changes if c.revision > self.revision)
        self._hold(batch.lapse_left)
        self._facts.take_changes(new)
        kept = Batch(since=self.revision, until=batch.until, changes=new)
        self.revision = batch.until
        self._keep(kept)
        return True

    def batch_since(self, revision: int) -> Batch | None:
        """Return all changes after `revision`; None if they are not all known."""
        chain = [batch for _, batch in self._batches if batch.until > revision]
        if not chain or chain[0].since > revision:
            return None
        return Batch(
            since=revision,
            until=self.revision,
            changes=tuple(c for batch in chain for c in batch.changes),
            lapse_left=self.lapse_left(),
        )

    def _hold(self, lapse_left: Millis) -> None:
        if lapse_left > 0.0:
            self._facts.hold_lapsed(lapse_left)

    def _keep(self, batch: Batch) -> None:
        now = self._clock.now()
        self._batches.append((now, batch))
        while now - self._batches[0][0] > KEPT:
            self._batches.popleft()
