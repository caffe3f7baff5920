"""The copy of the store's content that this VM keeps.

Its changes come from this VM's own calls to the store or from other VMs. They are
ordered by era and revision: the store may be restored from a copy, which begins a new
era and gives out revisions again. What the copy lacks or brings back is settled by
`Facts`. The configuration is ordered by its version alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.events import StoreRestored
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.versions import Patch, VersionHistory
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.operator_keys import CONFIGURATION_KEY
from lagoonlatch.platform.store import Entry
from lagoonlatch.steering.knowledge import Knowledge

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
    not delay the other changes. The batch holds the version of the configuration
    instead, and the configuration itself is sent as a `Patch`.

    Parameters
    ----------
    since, until : int
        Revisions of the store. The batch includes changes of `until` but not those of
        `since`.
    era : int
        Era to which both revisions belong.
    configuration_version : int
        Version of the newest configuration; 0 if none is known.
    configuration_revision : int
        Its revision, for VMs of earlier builds.
    hold_left : Millis
        How long upstreams whose entries are gone are still held after an outage.
    """

    since: int
    until: int
    changes: tuple[Change, ...]
    era: int = 0
    configuration_version: int = 0
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
    era, revision : int
        Era, and revision of the store in it up to which all changes are known, except
        those of the configuration; 0 before the first snapshot.
    versions : VersionHistory
        The recent configurations of this VM.
    """

    def __init__(
        self,
        facts: Facts,
        clock: Clock,
        is_outage_possible: Callable[[], bool] = lambda: True,
    ) -> None:
        self.era = 0
        self.revision = 0
        self.versions = VersionHistory()
        self._known_version = 0
        self._early_batches: list[Batch] = []
        self._facts = facts
        self._is_outage_possible = is_outage_possible
        self._clock = clock
        self._batches: deque[tuple[Millis, Batch]] = deque()

    @property
    def knowledge(self) -> Knowledge:
        """What this VM knows of the store."""
        return Knowledge(
            era=self.era, revision=self.revision, version=self.configuration_version
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.versions.newest

    @property
    def configuration_revision(self) -> int:
        """Revision at which the configuration in force was written; 0 if unknown."""
        return self.versions.revision_of(self.versions.newest)

    @property
    def newest_configuration_version(self) -> int:
        """Version of the newest configuration that is known to exist."""
        return max(self.configuration_version, self._known_version)

    @property
    def lacks_configuration(self) -> bool:
        """Whether a later configuration than the one in force exists or may exist."""
        return (
            self._known_version > self.configuration_version
            or self._facts.is_configuration_uncertain
        )

    def note_latest(self, knowledge: Knowledge) -> None:
        """Mark the facts as current if this VM lacks nothing of `knowledge`.

        The store, or a VM that watches it, reported it as the newest.
        """
        if not self.knowledge.lacks(knowledge):
            self._facts.note_current()

    def entries(self) -> list[Entry]:
        """Return all entries as the store holds them."""
        return self._facts.entries()

    def hold_left(self) -> Millis:
        """Return how long upstreams whose entries are gone are still held."""
        return self._facts.hold_left()

    def settle(self) -> None:
        """Remove or apply what was held after an outage or a restore, once it is due.

        This method is called at intervals.
        """
        self._facts.remove_missing_upstreams()
        self._facts.settle_restored_entries()
        self._note_configuration_in_force()

    def apply_snapshot(
        self,
        entries: Sequence[Entry],
        revision: int,
        era: int = 0,
        hold_left: Millis = 0.0,
        told_by: str = "store",
    ) -> bool:
        """Replace all facts by a snapshot; return False if a later one is known.

        Parameters
        ----------
        era : int
            Era to which `revision` belongs.
        hold_left : Millis
            As in `Batch`, if another VM sent the snapshot.
        told_by : str
            Who sent the snapshot, for the log.
        """
        self._hold_missing_upstreams(hold_left)
        if (era, revision) < (self.era, self.revision):
            # The store answered slowly and other VMs have sent later changes since. The
            # snapshot would bring back entries that those changes removed.
            return False
        if self.revision and era > self.era:
            emit(
                StoreRestored(
                    told_by=told_by,
                    known_era=self.era,
                    known_revision=self.revision,
                    era=era,
                    revision=revision,
                )
            )
            self._facts.apply_restored_snapshot(entries, era)
        else:
            self._facts.apply_snapshot(entries, era)
        if era > self.era:
            self._early_batches.clear()
        self._note_configuration_in_force()
        self.era, self.revision = era, revision
        self._batches.clear()
        return True

    def apply_batch(self, batch: Batch) -> bool:
        """Apply changes; return False if earlier changes are missing.

        A batch that arrives too early is kept until the earlier ones have arrived.
        Batches of an earlier era arrive late and are ignored; before a batch of a later
        era, a snapshot of that era is missing.
        """
        if not self.revision or batch.era > self.era:
            return False
        if batch.era < self.era:
            return True
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
        if patch.version <= self.configuration_version:
            return True
        text = self.versions.apply(patch)
        if text is None:
            self._note_version(patch.version)
            return False
        self._facts.put_configuration_in_force(text, patch.revision)
        self._note_configuration_in_force()
        return True

    def batch_since(self, revision: int, era: int = 0) -> Batch | None:
        """Return all changes after `revision`; None if some are not known."""
        if era != self.era:
            return None
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
            era=self.era,
            configuration_version=self.newest_configuration_version,
            configuration_revision=self.configuration_revision,
            hold_left=self.hold_left(),
        )

    def _apply_in_order(self, batch: Batch) -> None:
        self._note_version(batch.configuration_version)
        if batch.until <= self.revision:
            return
        new_changes = tuple(c for c in batch.changes if c.revision > self.revision)
        other_changes = tuple(c for c in new_changes if c.key != CONFIGURATION_KEY)
        self._hold_missing_upstreams(batch.hold_left)
        self._facts.apply_changes(new_changes)
        self._note_configuration_in_force()
        applied_batch = Batch(
            since=self.revision, until=batch.until, changes=other_changes, era=self.era
        )
        self.revision = batch.until
        self._retain(applied_batch)

    def _note_configuration_in_force(self) -> None:
        in_force = self._facts.configuration
        if in_force is not None and self._facts.rules is not None:
            version = self._facts.rules.version
            self.versions.note(version, in_force.value, in_force.revision)

    def _note_version(self, version: int) -> None:
        self._known_version = max(self._known_version, version)

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
