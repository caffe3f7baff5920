"""Which changes led to the version in force."""

from __future__ import annotations

from enum import Enum

from lagoonlatch.config.head import FIRST_CHANGE, Change, Head

LINEAGE_LENGTH = 8_192


class Relation(Enum):
    """How an offered head stands to the version in force."""

    SAME = "same"
    DESCENDANT = "descendant"
    ANCESTOR = "ancestor"
    UNRELATED = "unrelated"
    UNKNOWN = "unknown"


class Lineage:
    """The newest changes that led to the version in force, oldest first.

    It outlasts the history within one head, so that a VM recognises a state of the
    store that was restored from far back.
    """

    def __init__(self) -> None:
        self._changes: dict[Change, None] = {}
        self._latest = FIRST_CHANGE

    def latest(self) -> Change:
        """Return the change in force."""
        return self._latest

    def __contains__(self, change: Change) -> bool:
        return change in self._changes

    def relation(self, head: Head) -> Relation:
        """Return how `head` stands to the version in force.

        UNKNOWN: it is newer, but its history doesn't reach back to the version in
        force.
        """
        offered = head.change
        if offered == self._latest:
            return Relation.SAME
        if self._latest == FIRST_CHANGE or self._latest in head.history:
            return Relation.DESCENDANT
        if offered == FIRST_CHANGE or offered in self:
            return Relation.ANCESTOR
        oldest = head.history[-1].version if head.history else 0
        if oldest > self._latest.version:
            return Relation.UNKNOWN
        return Relation.UNRELATED

    def adopt(self, head: Head) -> None:
        """Take `head` as the version in force."""
        self._changes.update(dict.fromkeys(reversed(head.history)))
        self._latest = head.change
        for change in tuple(self._changes)[:-LINEAGE_LENGTH]:
            del self._changes[change]
