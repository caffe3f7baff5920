"""Reading the accepted configuration from the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lagoonlatch.config.head import Head
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.parts import PartMissing, read_head, read_parts
from lagoonlatch.config.sections import decode_sections
from lagoonlatch.platform.store import Store, StoreError

READ_ATTEMPTS = 3


@dataclass(frozen=True)
class Unreadable:
    """The accepted configuration could not be read."""

    reason: str


def read_accepted(store: Store) -> Result[Configuration, Unreadable]:
    """Return the accepted configuration; version 0 if there is none."""
    missing: PartMissing | None = None
    for _ in range(READ_ATTEMPTS):
        found = read_head(store)
        if isinstance(found, Failure):
            return Failure(Unreadable(_reason(found.failure())))
        head = found.unwrap().head
        contents = read_parts(store, head.parts())
        if isinstance(contents, Success):
            return _assemble(head, contents.unwrap())
        error = contents.failure()
        if not isinstance(error, PartMissing):
            return Failure(Unreadable(_reason(error)))
        # Parts go when a newer head no longer names them: read that one.
        missing = error
    return Failure(Unreadable(f"the store lacks {missing.part.key}"))


def _assemble(
    head: Head, content_by_digest: dict[bytes, bytes]
) -> Result[Configuration, Unreadable]:
    if head.version == 0:
        return Success(Configuration())
    content_by_section = {
        name: b"".join(content_by_digest[part.digest] for part in parts)
        for name, parts in head.parts_by_section.items()
    }
    change = head.change
    decoded = decode_sections(content_by_section, change.version, change.change_id)
    return decoded.alt(Unreadable)


def _reason(error: StoreError) -> str:
    return getattr(error, "reason", str(error))
