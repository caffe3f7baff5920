"""The head of a configuration: its history and the parts of its sections.

A head names immutable parts by digest, so that whoever holds it can tell a whole
configuration from an incomplete or altered one.

See Also
--------
lagoonlatch.config.pointer : Which head is the accepted one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.decoding import DECODE_ERRORS

PART_PREFIX = "config/parts/"

HISTORY_LENGTH = 64


class Part(msgspec.Struct, frozen=True, array_like=True):
    """An immutable piece of a section, addressed by its SHA-256.

    Parameters
    ----------
    digest : bytes
        SHA-256 of the content.
    size : int
        Length of the content in bytes.
    """

    digest: bytes
    size: int

    @classmethod
    def from_content(cls, content: bytes) -> Part:
        """Return the part that holds `content`."""
        return cls(hashlib.sha256(content).digest(), len(content))

    @property
    def key(self) -> str:
        """The part's key in the store."""
        return PART_PREFIX + self.digest.hex()


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change.

    Parameters
    ----------
    version : int
        The version that the change made.
    change_id : str
        The operator's name of the change.
    digest : bytes
        SHA-256 over the names and parts of all sections of that version.
    """

    version: int
    change_id: str
    digest: bytes


@dataclass(frozen=True)
class Head:
    """What one version consists of and which changes led to it.

    Parameters
    ----------
    history : tuple of Change
        The latest change first, then those before it, at most `HISTORY_LENGTH`.
    parts_by_section : mapping of str to tuple of Part
        The parts of each section, in order.
    """

    history: tuple[Change, ...] = ()
    parts_by_section: Mapping[str, tuple[Part, ...]] = field(default_factory=dict)

    @property
    def change(self) -> Change:
        """The latest change."""
        return self.history[0] if self.history else FIRST_CHANGE

    @property
    def version(self) -> int:
        """The version, 0 before the first change."""
        return self.change.version

    def parts(self) -> Iterator[Part]:
        """Iterate over the parts of all sections."""
        for parts in self.parts_by_section.values():
            yield from parts

    def find_change(self, change_id: str) -> Change | None:
        """Return the change called `change_id` if the history reaches it."""
        return next((c for c in self.history if c.change_id == change_id), None)

    def extend(
        self, change_id: str, parts_by_section: Mapping[str, tuple[Part, ...]]
    ) -> Head:
        """Return the head after one more change."""
        version = self.version + 1
        change = Change(version, change_id, digest_sections(parts_by_section))
        history = (change, *self.history)[:HISTORY_LENGTH]
        return Head(history, parts_by_section)

    def join(self, other: Head) -> Head:
        """Return this head with the history of both; the next change follows both.

        An operator joins two histories after the store lost accepted changes and
        others were accepted in their place.
        """
        kept = HISTORY_LENGTH // 2
        changes = {*self.history[:kept], *other.history[:kept]}
        newest_first = sorted(
            changes, key=lambda c: (c.version, c.change_id), reverse=True
        )
        history = tuple(newest_first)
        return Head(history, self.parts_by_section)


FIRST_CHANGE = Change(0, "", b"")
"""The change of the empty configuration."""

EMPTY_HEAD = Head()
"""The head before the first change."""


def digest_sections(parts_by_section: Mapping[str, tuple[Part, ...]]) -> bytes:
    """Return the digest that names the content of a version."""
    encoded = msgspec.json.encode(parts_by_section, order="sorted")
    return hashlib.sha256(encoded).digest()


def encode_head(head: Head) -> bytes:
    """Return the head as the content of a part of its own."""
    return msgspec.json.encode(head, order="sorted")


def decode_head(value: bytes) -> Result[Head, str]:
    """Return the head, or why the value is none."""
    try:
        head = msgspec.json.decode(value, type=Head)
    except DECODE_ERRORS as error:
        return Failure(f"the configuration's head is malformed: {error}")
    return check_head(head)


def check_head(head: Head) -> Result[Head, str]:
    """Return the head, or why its parts do not fit its latest change."""
    versions = [change.version for change in head.history]
    if versions != sorted(versions, reverse=True):
        return Failure(f"the configuration's history {versions} rises")
    if head.history and digest_sections(head.parts_by_section) != head.change.digest:
        return Failure(f"the parts of version {head.version} do not fit its digest")
    return Success(head)
