"""One version with the contents of all its sections."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lagoonlatch.config.head import EMPTY_HEAD, Head, Part
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.offers import PartsLacking
from lagoonlatch.config.sections import decode_sections


@dataclass(frozen=True)
class WholeVersion:
    """A head and the contents that it names.

    Parameters
    ----------
    head : Head
        The version.
    content_by_section : mapping of str to bytes
        The content of each section.
    """

    head: Head = EMPTY_HEAD
    content_by_section: Mapping[str, bytes] = field(default_factory=dict)

    def assemble(
        self, head: Head, content_by_digest: Mapping[bytes, bytes | memoryview]
    ) -> Result[WholeVersion, PartsLacking]:
        """Return the version `head`, made of this one and the contents given.

        Sections that don't differ are taken over without a copy.
        """
        lacking = tuple(
            part for part in self.lacking(head) if part.digest not in content_by_digest
        )
        if lacking:
            return Failure(PartsLacking(lacking))
        held = {**content_by_digest, **dict(self.contents())}
        content_by_section = {}
        for name, parts in head.parts_by_section.items():
            if parts == self.head.parts_by_section.get(name):
                content_by_section[name] = self.content_by_section[name]
            else:
                content_by_section[name] = b"".join(held[p.digest] for p in parts)
        return Success(WholeVersion(head, content_by_section))

    def decode(self) -> Result[Configuration, str]:
        """Return the configuration, or why the sections hold none."""
        change = self.head.change
        return decode_sections(
            self.content_by_section, change.version, change.change_id
        )

    def lacking(self, head: Head) -> tuple[Part, ...]:
        """Return the parts of `head` that this version doesn't contain."""
        held = set(self.head.parts())
        return tuple(part for part in head.parts() if part not in held)

    def contents(self) -> Iterator[tuple[bytes, memoryview]]:
        """Iterate over the digest and content of each part."""
        for name, parts in self.head.parts_by_section.items():
            section = memoryview(self.content_by_section[name])
            start = 0
            for part in parts:
                yield part.digest, section[start : start + part.size]
                start += part.size

    def content_by_part(self) -> dict[Part, bytes]:
        """Return a copy of the content of each part."""
        contents = dict(self.contents())
        return {part: bytes(contents[part.digest]) for part in self.head.parts()}
