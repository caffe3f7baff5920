"""What this VM has read of the store, itself or through other VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.versions import Patch, VersionHistory
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.operator_keys import CONFIGURATION_KEY
from lagoonlatch.platform.store import Entry

KEPT: Millis = 20_000.0
"""Changes are kept for VMs that missed them; as long as the store keeps them."""


EARLY_MOST = 64
"""Batches that are kept until those before them have come; they come within a round
trip or are asked for."""


@dataclass(frozen=True, kw_only=True)
class Batch:
    """All changes of the store in a span.

    What another VM passes on leaves out the configuration, which may be large and
    must not hold up the rest; it is named by its revision and sent as a `Patch`.

    Parameters
    ----------
    since, until : int
        Revisions of the store; changes of `since` itself are not included.
    configuration : int
        Revision of the newest configuration; 0 if none is known.
    lapse_left : Millis
        For how long upstreams whose entries are gone may come back, after an outage.
    """

    since: int
    until: int
    changes: tuple[Change, ...]
    configuration: int = 0
    lapse_left: Millis = 0.0


class StoreReplica:
    """The facts, and the revision up to which they are complete.

    Parameters
    ----------
    may_have_lapsed : callable
        Returns whether entries may have lapsed lately, as far as this VM knows.

    Attributes
    ----------
    revision : int
        Of the store, up to which all changes but the configuration's are known; 0
        before the first reading.
    versions : VersionHistory
        The configurations that were in force here.
    """

    def __init__(
        self,
        facts: Facts,
        clock: Clock,
        may_have_lapsed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.revision = 0
        self.versions = VersionHistory()
        self._wanted_configuration = 0
        self._early: list[Batch] = []
        self._facts = facts
        self._may_have_lapsed = may_have_lapsed
        self._clock = clock
        self._batches: deque[tuple[Millis, Batch]] = deque()

    @property
    def configuration(self) -> int:
        """Revision of the configuration in force; 0 before the first."""
        return self.versions.newest

    @property
    def newest_configuration(self) -> int:
        """Revision of the newest configuration that is known to exist."""
        return max(self.configuration, self._wanted_configuration)

    def note_latest_revisions(self, revision: int, configuration: int) -> None:
        """Take in what the store, or a VM that watches it, knows at this moment."""
        if revision <= self.revision and configuration <= self.configuration:
            self._facts.note_current()

    def entries(self) -> list[Entry]:
        """Return all entries as the store holds them."""
        return self._facts.entries()

    def lapse_left(self) -> Millis:
        """Return for how long upstreams whose entries are gone may come back."""
        return self._facts.lapse_left()

    def apply_snapshot(
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
        self._facts.apply_snapshot(entries)
        for entry in entries:
            if entry.key == CONFIGURATION_KEY:
                self.versions.note(entry.revision, entry.value)
        self.revision = revision
        self._batches.clear()

    def apply_batch(self, batch: Batch) -> bool:
        """Apply changes; return False if some before them are missing.

        Those that come too early are kept until the others have come.
        """
        if not self.revision:
            return False
        if batch.since > self.revision:
            if len(self._early) < EARLY_MOST:
                self._early.append(batch)
            return False
        self._take_in_order(batch)
        while ready := [b for b in self._early if b.since <= self.revision]:
            self._early = [b for b in self._early if b.since > self.revision]
            for early in ready:
                self._take_in_order(early)
        return True

    def apply_patch(self, patch: Patch) -> bool:
        """Put a configuration in force; return False if it can't be made here."""
        if not self.revision:
            return False
        if patch.revision <= self.configuration:
            return True
        text = self.versions.apply(patch)
        if text is None:
            self._want(patch.revision)
            return False
        self._put_in_force(Change(CONFIGURATION_KEY, text, patch.revision))
        return True

    def batch_since(self, revision: int) -> Batch | None:
        """Return all changes after `revision`; None if they are not all known."""
        if revision == self.revision:
            chain = []
        else:
            chain = [batch for _, batch in self._batches if batch.until > revision]
            if not chain or chain[0].since > revision:
                return None
        return Batch(
            since=revision,
            until=self.revision,
            changes=tuple(c for batch in chain for c in batch.changes),
            configuration=self.newest_configuration,
            lapse_left=self.lapse_left(),
        )

    def _take_in_order(self, batch: Batch) -> None:
        self._want(batch.configuration)
        if batch.until <= self.revision:
            return
        new = tuple(c for c in batch.changes if c.revision > self.revision)
        others = tuple(c for c in new if c.key != CONFIGURATION_KEY)
        self._hold(batch.lapse_left)
        self._facts.apply_changes(others)
        for change in new:
            if change.key == CONFIGURATION_KEY:
                self._put_in_force(change)
        kept = Batch(since=self.revision, until=batch.until, changes=others)
        self.revision = batch.until
        self._keep(kept)

    def _put_in_force(self, change: Change) -> None:
        if change.value is not None and change.revision > self.configuration:
            self._facts.apply_changes([change])
            self.versions.note(change.revision, change.value)

    def _want(self, configuration: int) -> None:
        self._wanted_configuration = max(self._wanted_configuration, configuration)

    def _hold(self, lapse_left: Millis) -> None:
        # A VM that was cut off takes that for an outage.
        if lapse_left > 0.0 and self._may_have_lapsed():
            self._facts.hold_missing_upstreams(lapse_left)

    def _keep(self, batch: Batch) -> None:
        now = self._clock.now()
        self._batches.append((now, batch))
        while now - self._batches[0][0] > KEPT:
            self._batches.popleft()
