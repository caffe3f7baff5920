"""How much a VM knows of the store, and which of two VMs knows more.

The store may be restored from a copy that is some seconds old. Revisions are then given
out again, so they are ordered within an era only. Configurations are ordered by the
version that the operators give them, in every era.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Knowledge:
    """What a VM knows of the store.

    Parameters
    ----------
    era : int
        Number that the store states, which rises with each restore.
    revision : int
        Revision of the store in this era up to which all changes are known, except
        those of the configuration; 0 if nothing is known.
    version : int
        Version of the configuration in force; 0 if there is none.
    """

    era: int = 0
    revision: int = 0
    version: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, by which the store's changes are ordered."""
        return self.era, self.revision

    def lacks(self, other: Knowledge) -> bool:
        """Return whether `other` contains later changes or a later configuration."""
        return other.position > self.position or other.version > self.version
