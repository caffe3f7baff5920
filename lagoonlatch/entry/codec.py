"""Encode changes of the store for other VMs.

Large batches and patches are split into pieces, each of which fits into one datagram.
A piece of a batch is itself a batch. The pieces of a patch are put together by
`PatchAssembler`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import replace
from itertools import groupby

from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.replica import Batch, StoreReplica
from lagoonlatch.entry.versions import MAX_VERSION_BYTES, Patch
from lagoonlatch.platform.kv import Change
from lagoonlatch.steering.knowledge import Knowledge

MAX_PIECE_BYTES = 7_000
"""Limit of the content of a piece; with its other fields, the datagram stays below the
size limit of datagrams."""

CHANGE_OVERHEAD_BYTES = 24
"""Upper bound for the encoded size of a change without its key and value."""

MAX_INCOMPLETE_PATCHES = 8
"""Limit of the patches that wait for missing pieces at the same time."""

MAX_PIECES = MAX_VERSION_BYTES // MAX_PIECE_BYTES
"""Limit of the pieces of one patch, from the size of the largest version."""


def split_batch(batch: Batch) -> list[Batch] | None:
    """Split a batch between revisions; None if a revision is too large."""
    pieces: list[Batch] = []
    pending: list[Change] = []
    since, size = batch.since, 0
    changes = sorted(batch.changes, key=_revision_of)
    for _revision, group in groupby(changes, key=_revision_of):
        revision_changes = list(group)
        revision_size = sum(map(_size_of, revision_changes))
        if revision_size > MAX_PIECE_BYTES:
            return None
        if pending and size + revision_size > MAX_PIECE_BYTES:
            until = pending[-1].revision
            pieces.append(
                replace(batch, since=since, until=until, changes=tuple(pending))
            )
            since, size, pending = until, 0, []
        pending += revision_changes
        size += revision_size
    pieces.append(replace(batch, since=since, changes=tuple(pending)))
    return pieces


def encode_batch(batch: Batch) -> wire.Batch:
    """Encode changes for another VM."""
    return wire.Batch(
        since=batch.since,
        until=batch.until,
        changes=[wire.Change(c.key, c.value, c.revision) for c in batch.changes],
        lapse_left=round(batch.hold_left),
        configuration=batch.configuration_revision,
        era=batch.era,
        version=batch.configuration_version,
    )


def decode_batch(batch: wire.Batch) -> Batch:
    """Decode changes from another VM."""
    return Batch(
        since=batch.since,
        until=batch.until,
        changes=tuple(Change(c.key, c.value, c.revision) for c in batch.changes),
        era=batch.era or 0,
        configuration_version=batch.version or 0,
        hold_left=float(batch.lapse_left),
    )


def encode_behind(replica: StoreReplica) -> wire.Behind:
    """Encode what this VM knows of the store, to ask another VM for the rest."""
    return wire.Behind(
        revision=replica.revision,
        configuration=replica.configuration_revision,
        era=replica.era,
        version=replica.configuration_version,
    )


def decode_behind(behind: wire.Behind, replica: StoreReplica) -> Knowledge:
    """Decode what another VM knows of the store.

    A VM of an earlier build states neither the era nor the version. Its revisions are
    taken for those of this VM's era.
    """
    if behind.era is None:
        return Knowledge(
            era=replica.era,
            revision=behind.revision,
            version=replica.versions.find(behind.configuration),
        )
    return Knowledge(
        era=behind.era, revision=behind.revision, version=behind.version or 0
    )


def encode_patch(patch: Patch) -> Iterator[wire.Patch]:
    """Encode a patch for another VM, in pieces that each fit into a datagram."""
    count = max(-(-len(patch.data) // MAX_PIECE_BYTES), 1)
    for index in range(count):
        yield wire.Patch(
            revision=patch.revision,
            base=patch.base_revision,
            data=patch.data[index * MAX_PIECE_BYTES : (index + 1) * MAX_PIECE_BYTES],
            digest=patch.digest,
            piece=index,
            pieces=count,
            version=patch.version,
            base_version=patch.base,
        )


def encode_whole_patch(patch: Patch) -> wire.Patch:
    """Encode a patch for another VM, in one piece."""
    return wire.Patch(
        patch.revision,
        patch.base_revision,
        patch.data,
        patch.digest,
        0,
        1,
        patch.version,
        patch.base,
    )


def decode_patch(patch: wire.Patch) -> Patch:
    """Decode a patch that consists of one piece."""
    return _to_patch(patch, patch.data)


class PatchAssembler:
    """Assemble patches from pieces that arrive in any order."""

    def __init__(self) -> None:
        self._pieces_by_patch: OrderedDict[tuple, dict[int, bytes]] = OrderedDict()

    def add(self, piece: wire.Patch) -> Patch | None:
        """Add a piece; return the patch once all its pieces are there."""
        if not 0 <= piece.piece < piece.pieces <= MAX_PIECES:
            raise ValueError(
                f"invalid piece number {piece.piece} of {piece.pieces} in a patch"
            )
        patch_key = (piece.version, piece.base_version, piece.digest, piece.pieces)
        pieces = self._pieces_by_patch.setdefault(patch_key, {})
        pieces[piece.piece] = piece.data
        if len(pieces) < piece.pieces:
            if len(self._pieces_by_patch) > MAX_INCOMPLETE_PATCHES:
                self._pieces_by_patch.popitem(last=False)
            return None
        del self._pieces_by_patch[patch_key]
        data = b"".join(pieces[index] for index in range(piece.pieces))
        return _to_patch(piece, data)


def _to_patch(patch: wire.Patch, data: bytes) -> Patch:
    return Patch(
        version=patch.version,
        base=patch.base_version or 0,
        data=data,
        digest=patch.digest,
        revision=patch.revision,
        base_revision=patch.base,
    )


def _revision_of(change: Change) -> int:
    return change.revision


def _size_of(change: Change) -> int:
    return len(change.key) + len(change.value or b"") + CHANGE_OVERHEAD_BYTES
