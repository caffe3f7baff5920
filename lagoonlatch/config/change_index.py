"""Since which version each section and part has been as it is."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonlatch.config.head import Head


class ChangeIndex:
    """Tells what changed since a version, as far as this VM followed the versions.

    A VM that skipped versions takes what they changed for changed by the later one,
    so it may send too much, never too little.

    Attributes
    ----------
    first_version : int
        The first version followed; differences from older ones are unknown.
    """

    def __init__(self) -> None:
        self.first_version = 0
        self._version_by_section: dict[str, int] = {}
        self._version_by_digest: dict[bytes, int] = {}

    def note(self, former: Head, head: Head) -> None:
        """Take note that `head` follows `former`."""
        if self.first_version == 0:
            self.first_version = head.version
        for name in {*former.parts_by_section, *head.parts_by_section}:
            parts = head.parts_by_section.get(name)
            if parts != former.parts_by_section.get(name):
                self._version_by_section[name] = head.version
        self._version_by_digest = {
            part.digest: self._version_by_digest.get(part.digest, head.version)
            for part in head.parts()
        }

    def sections_changed_since(self, version: int) -> Iterator[str]:
        """Iterate over the names of sections changed, added or removed since."""
        for name, changed in self._version_by_section.items():
            if changed > version:
                yield name

    def part_changed_since(self, digest: bytes, version: int) -> bool:
        """Return whether a part of the latest version came after `version`."""
        return self._version_by_digest[digest] > version
