"""Removal of parts that the head names no more.

A publisher writes parts before it lets the head's key point to them, and may pause
between the two for any time. So a sweep lists the parts first, then writes the head's
key again with its counter raised, which makes every publisher that read the key before
start over; starting over, it writes its parts again and so changes their revisions.
Only parts that still have the revision listed are removed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from string import hexdigits

from returns.result import Failure, Result, Success

from lagoonlatch.config.head import PART_PREFIX
from lagoonlatch.config.parts import read_head
from lagoonlatch.config.pointer import HEAD_KEY, encode_pointer
from lagoonlatch.platform.store import Store, StoreError


@dataclass(frozen=True)
class Swept:
    """How many parts a sweep removed and how many the head names."""

    removed: int
    kept: int


def sweep_parts(store: Store) -> Result[Swept, StoreError]:
    """Remove the parts that the current head doesn't name.

    A conflict means that a change was accepted meanwhile; nothing was removed.
    """
    listed = _list_parts(store)
    if isinstance(listed, Failure):
        return listed
    found = read_head(store)
    if isinstance(found, Failure):
        return found
    stored = found.unwrap()
    raised = replace(stored.pointer, sweep=stored.pointer.sweep + 1)
    fenced = store.put_if(HEAD_KEY, encode_pointer(raised), stored.revision)
    if isinstance(fenced, Failure):
        return fenced
    named = {part.key for part in stored.head.parts()}
    if raised.head is not None:
        named.add(raised.head.key)
    removed = 0
    for key, revision in listed.unwrap().items():
        if key not in named:
            removed += isinstance(store.delete_if(key, revision), Success)
    return Success(Swept(removed, len(named)))


def _list_parts(store: Store) -> Result[dict[str, int], StoreError]:
    """Return the revision of each part by key, read in bounded answers."""
    revision_by_key: dict[str, int] = {}
    for digit in hexdigits[:16]:
        entries = store.read_prefix(PART_PREFIX + digit)
        if isinstance(entries, Failure):
            return entries
        for entry in entries.unwrap():
            revision_by_key[entry.key] = entry.revision
    return Success(revision_by_key)
