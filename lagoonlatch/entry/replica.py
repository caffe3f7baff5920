"""The copy of the store's content that this VM keeps.

Its changes come from this VM's own calls to the store or from other VMs.
"""

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

RETENTION: Millis = 20_000.0
"""How long changes are kept for VMs that missed them; the store keeps its history as
long."""


MAX_EARLY_BATCHES = 64
"""Batches that may wait for the batches before them. Missing batches arrive within a
round trip; otherwise this VM queries others for them."""


@dataclass(frozen=True, kw_only=True)
class Batch:
    """All changes of the store between two revisions.

    A batch from another VM leaves out the configuration, which may be large and must
    not delay the other changes. The batch holds the revision of the configuration
    instead, and the configuration itself is sent as a `Patch`.

    Parameters
    ----------
    since, until : int
        Revisions of the store. The batch includes changes of `until` but not those of
        `since`.
    configuration : int
        Revision of the newest configuration; 0 if none is known.
    lapse_left : Millis
        How long upstreams whose entries are gone are still held, after an outage.
    """

    since: int
    until: int
    changes: tuple[Change, ...]
    configuration: int = 0
    lapse_left: Millis = 0.0


class StoreReplica:
    """Apply changes of the store to the facts, up to a known revision.

    Parameters
    ----------
    may_have_lapsed : callable
        Returns whether entries may have lapsed recently, as far as this VM knows.

    Attributes
    ----------
    revision : int
        Revision of the store up to which all changes are known, except those of the
        configuration; 0 before the first snapshot.
    versions : VersionHistory
        The recent configurations of this VM.
    """

    def __init__(
        self,
        facts: Facts,
        clock: Clock,
        may_have_lapsed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.revision = 0
        self.versions = VersionHistory()
        self._known_configuration = 0
        self._early_batches: list[Batch] = []
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
        return max(self.configuration, self._known_configuration)

    def note_latest_revisions(self, revision: int, configuration: int) -> None:
        """Mark the facts as current if the given revisions are known here.

        The store, or a VM that watches it, reported them as the newest ones.
        """
        if revision <= self.revision and configuration <= self.configuration:
            self._facts.note_current()

    def entries(self) -> list[Entry]:
        """Return all entries as the store holds them."""
        return self._facts.entries()

    def lapse_left(self) -> Millis:
        """Return how long upstreams whose entries are gone are still held."""
        return self._facts.lapse_left()

    def apply_snapshot(
        self, entries: Sequence[Entry], revision: int, lapse_left: Millis = 0.0
    ) -> None:
        """Replace all facts by a snapshot, unless a later revision is known.

        Parameters
        ----------
        lapse_left : Millis
            As in `Batch`, if another VM sent the snapshot.
        """
        self._hold_missing(lapse_left)
        if revision < self.revision:
            # The store answered slowly and other VMs have sent later changes since. The
            # snapshot would bring back entries that those changes removed.
            return
        self._facts.apply_snapshot(entries)
        for entry in entries:
            if entry.key == CONFIGURATION_KEY:
                self.versions.note(entry.revision, entry.value)
        self.revision = revision
        self._batches.clear()

    def apply_batch(self, batch: Batch) -> bool:
        """Apply changes; return False if earlier changes are missing.

        A batch that arrives too early is kept until the earlier ones have arrived.
        """
        if not self.revision:
            return False
        if batch.since > self.revision:
            if len(self._early_batches) < MAX_EARLY_BATCHES:
                self._early_batches.append(batch)
            return False
        self._apply_in_order(batch)
        while ready := [b for b in self._early_batches if b.since <= self.revision]:
            self._early_batches = [
                b for b in self._early_batches if b.since > self.revision
            ]
            for early in ready:
                self._apply_in_order(early)
        return True

    def apply_patch(self, patch: Patch) -> bool:
        """Put a configuration in force; return False if the patch can't be applied."""
        if not self.revision:
            return False
        if patch.revision <= self.configuration:
            return True
        text = self.versions.apply(patch)
        if text is None:
            self._note_configuration(patch.revision)
            return False
        self._put_in_force(Change(CONFIGURATION_KEY, text, patch.revision))
        return True

    def batch_since(self, revision: int) -> Batch | None:
        """Return all changes after `revision`; None if some are not known."""
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

    def _apply_in_order(self, batch: Batch) -> None:
        self._note_configuration(batch.configuration)
        if batch.until <= self.revision:
            return
        new = tuple(c for c in batch.changes if c.revision > self.revision)
        others = tuple(c for c in new if c.key != CONFIGURATION_KEY)
        self._hold_missing(batch.lapse_left)
        self._facts.apply_changes(others)
        for change in new:
            if change.key == CONFIGURATION_KEY:
                self._put_in_force(change)
        kept = Batch(since=self.revision, until=batch.until, changes=others)
        self.revision = batch.until
        self._retain(kept)

    def _put_in_force(self, change: Change) -> None:
        if change.value is not None and change.revision > self.configuration:
            self._facts.apply_changes([change])
            self.versions.note(change.revision, change.value)

    def _note_configuration(self, configuration: int) -> None:
        self._known_configuration = max(self._known_configuration, configuration)

    def _hold_missing(self, lapse_left: Millis) -> None:
        # A VM that was cut off from the store mistakes that for an outage of the store,
        # so its hold counts only if an outage is possible.
        if lapse_left > 0.0 and self._may_have_lapsed():
            self._facts.hold_missing_upstreams(lapse_left)

    def _retain(self, batch: Batch) -> None:
        now = self._clock.now()
        self._batches.append((now, batch))
        while now - self._batches[0][0] > RETENTION:
            self._batches.popleft()
