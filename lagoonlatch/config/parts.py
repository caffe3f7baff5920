"""The head and the parts in the store: reading and writing them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gevent.pool import Pool
from returns.result import Failure, Result, Success

from lagoonlatch.config.head import EMPTY_HEAD, Head, Part, decode_head
from lagoonlatch.config.pointer import HEAD_KEY, Pointer, decode_pointer
from lagoonlatch.platform.store import (
    ABSENT_REVISION,
    Store,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)

READERS = 4
READ_ATTEMPTS = 3
WRITE_ATTEMPTS = 3


@dataclass(frozen=True)
class StoredHead:
    """The accepted head and where it was found.

    Parameters
    ----------
    head : Head
        The accepted head.
    pointer : Pointer
        The value of `HEAD_KEY` that leads to it.
    revision : int
        The revision of `HEAD_KEY`, 0 if absent.
    """

    head: Head
    pointer: Pointer
    revision: int


@dataclass(frozen=True)
class PartMissing:
    """The store doesn't hold the part, or not with its content."""

    part: Part


def read_head(store: Store, known: Head = EMPTY_HEAD) -> Result[StoredHead, StoreError]:
    """Return the accepted head; the empty head at revision 0 if there is none.

    Parameters
    ----------
    known : Head
        Returned itself if it is still the accepted one, which saves a call.
    """
    outcome = _read_head_once(store, known)
    for _ in range(READ_ATTEMPTS - 1):
        if not _is_missing(outcome):
            break
        # A sweep removes a head as soon as a newer one is accepted: read that one.
        outcome = _read_head_once(store, known)
    return outcome.alt(_as_store_error)


def _read_head_once(
    store: Store, known: Head
) -> Result[StoredHead, StoreError | PartMissing]:
    found = store.read(HEAD_KEY)
    if isinstance(found, Failure):
        return found
    entry = found.unwrap()
    if entry is None:
        return Success(StoredHead(EMPTY_HEAD, Pointer(), ABSENT_REVISION))
    decoded = decode_pointer(entry.value)
    if isinstance(decoded, Failure):
        return decoded.alt(StoreUnavailable)
    pointer = decoded.unwrap()
    head = _follow(store, pointer, known)
    return head.map(lambda followed: StoredHead(followed, pointer, entry.revision))


def _follow(
    store: Store, pointer: Pointer, known: Head
) -> Result[Head, StoreError | PartMissing]:
    if pointer.change == known.change:
        return Success(known)
    if pointer.head is None:
        return Success(EMPTY_HEAD)
    content = _read_part(store, pointer.head)
    return content.bind(lambda value: _decode_for(pointer, value))


def _decode_for(pointer: Pointer, value: bytes) -> Result[Head, StoreError]:
    head = decode_head(value).alt(StoreUnavailable)
    if isinstance(head, Success) and head.unwrap().change != pointer.change:
        found = head.unwrap().version
        reason = f"version {pointer.change.version} points to the head of {found}"
        return Failure(StoreUnavailable(reason))
    return head


def _is_missing(outcome: Result) -> bool:
    return isinstance(outcome, Failure) and isinstance(outcome.failure(), PartMissing)


def _as_store_error(error: StoreError | PartMissing) -> StoreError:
    if isinstance(error, PartMissing):
        return StoreUnavailable(f"the store lacks {error.part.key}")
    return error


def read_parts(
    store: Store, parts: Iterable[Part]
) -> Result[dict[bytes, bytes], StoreError | PartMissing]:
    """Return the contents of `parts` by digest, each checked against it."""
    content_by_digest: dict[bytes, bytes] = {}
    readers = Pool(READERS)
    for part, content in readers.imap_unordered(
        lambda part: (part, _read_part(store, part)), parts
    ):
        if isinstance(content, Failure):
            readers.kill()
            return content
        content_by_digest[part.digest] = content.unwrap()
    return Success(content_by_digest)


def write_parts(
    store: Store, content_by_part: Mapping[Part, bytes]
) -> Result[None, StoreError]:
    """Write each part, also those that the store holds already.

    A part that exists is written again: its new revision keeps a sweep that listed
    the old one from removing it.
    """
    for part, content in content_by_part.items():
        written = _write_part(store, part, content)
        if isinstance(written, Failure):
            return written
    return Success(None)


def _read_part(store: Store, part: Part) -> Result[bytes, StoreError | PartMissing]:
    found = store.read(part.key)
    if isinstance(found, Failure):
        return found
    entry = found.unwrap()
    if entry is None or Part.from_content(entry.value) != part:
        return Failure(PartMissing(part))
    return Success(entry.value)


def _write_part(store: Store, part: Part, content: bytes) -> Result[None, StoreError]:
    revision = ABSENT_REVISION
    for _ in range(WRITE_ATTEMPTS):
        written = store.put_if(part.key, content, revision)
        if isinstance(written, Success):
            return Success(None)
        error = written.failure()
        if not isinstance(error, StoreConflict):
            return Failure(error)
        revision = error.current.revision if error.current else ABSENT_REVISION
    return Failure(StoreUnavailable(f"part {part.key} changes too often"))
