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
"""Limit of the batches that wait for earlier ones. Missing batches arrive within a
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
    configuration_revision : int
        Revision of the newest configuration; 0 if none is known.
    hold_left : Millis
        How long upstreams whose entries are gone are still held after an outage.
    """

    since: int
    until: int
    changes: tuple[Change, ...]
    configuration_revision: int = 0
    hold_left: Millis = 0.0


class StoreReplica:
    """Apply changes of the store to the facts, up to a known revision.

    Parameters
    ----------
    is_outage_possible : callable
        Returns whether the store may have an outage now or had one recently, in which
        entries lapsed.

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
        is_outage_possible: Callable[[], bool] = lambda: True,
    ) -> None:
        self.revision = 0
        self.versions = VersionHistory()
        self._known_configuration_revision = 0
        self._early_batches: list[Batch] = []
        self._facts = facts
        self._is_outage_possible = is_outage_possible
        self._clock = clock
        self._batches: deque[tuple[Millis, Batch]] = deque()

    @property
    def configuration_revision(self) -> int:
        """Revision of the configuration in force; 0 before the first."""
        return self.versions.newest

    @property
    def newest_configuration_revision(self) -> int:
        """Revision of the newest configuration that is known to exist."""
        return max(self.configuration_revision, self._known_configuration_revision)

    def note_latest_revisions(self, revision: int, configuration_revision: int) -> None:
        """Mark the facts as current if the given revisions are known here.

        The store, or a VM that watches it, reported them as the newest ones.
        """
        if (
            revision <= self.revision
            and configuration_revision <= self.configuration_revision
        ):
            self._facts.note_current()

    def entries(self) -> list[Entry]:
        """Return all entries as the store holds them."""
        return self._facts.entries()

    def hold_left(self) -> Millis:
        """Return how long upstreams whose entries are gone are still held."""
        return self._facts.hold_left()

    def apply_snapshot(
        self, entries: Sequence[Entry], revision: int, hold_left: Millis = 0.0
    ) -> None:
        """Replace all facts by a snapshot, unless a later revision is known.

        Parameters
        ----------
        hold_left : Millis
            As in `Batch`, if another VM sent the snapshot.
        """
        self._hold_missing_upstreams(hold_left)
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
        if patch.revision <= self.configuration_revision:
            return True
        text = self.versions.apply(patch)
        if text is None:
            self._note_configuration_revision(patch.revision)
            return False
        self._put_in_force(Change(CONFIGURATION_KEY, text, patch.revision))
        return True

    def batch_since(self, revision: int) -> Batch | None:
        """Return all changes after `revision`; None if some are not known."""
        if revision == self.revision:
            later_batches = []
        else:
            later_batches = [
                batch for _, batch in self._batches if batch.until > revision
            ]
            if not later_batches or later_batches[0].since > revision:
                return None
        return Batch(
            since=revision,
            until=self.revision,
            changes=tuple(c for batch in later_batches for c in batch.changes),
            configuration_revision=self.newest_configuration_revision,
            hold_left=self.hold_left(),
        )

    def _apply_in_order(self, batch: Batch) -> None:
        self._note_configuration_revision(batch.configuration_revision)
        if batch.until <= self.revision:
            return
        new_changes = tuple(c for c in batch.changes if c.revision > self.revision)
        other_changes = tuple(c for c in new_changes if c.key != CONFIGURATION_KEY)
        self._hold_missing_upstreams(batch.hold_left)
        self._facts.apply_changes(other_changes)
        for change in new_changes:
            if change.key == CONFIGURATION_KEY:
                self._put_in_force(change)
        applied_batch = Batch(
            since=self.revision, until=batch.until, changes=other_changes
        )
        self.revision = batch.until
        self._retain(applied_batch)

    def _put_in_force(self, change: Change) -> None:
        if change.value is not None and change.revision > self.configuration_revision:
            self._facts.apply_changes([change])
            self.versions.note(change.revision, change.value)

    def _note_configuration_revision(self, configuration_revision: int) -> None:
        self._known_configuration_revision = max(
            self._known_configuration_revision, configuration_revision
        )

    def _hold_missing_upstreams(self, hold_left: Millis) -> None:
        # A VM that was cut off from the store mistakes that for an outage of the store,
        # so its hold counts only if an outage is possible.
        if hold_left > 0.0 and self._is_outage_possible():
            self._facts.hold_missing_upstreams(hold_left)

    def _retain(self, batch: Batch) -> None:
        now = self._clock.now()
        self._batches.append((now, batch))
        while now - self._batches[0][0] > RETENTION:
            self._batches.popleft()
