"""What VMs pass on of the store, cut into datagrams that each stand alone."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import replace
from itertools import groupby

from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.replica import Batch
from lagoonlatch.entry.versions import LARGEST_VERSION, Patch
from lagoonlatch.platform.kv import Change

PIECE_BYTES = 7_000
"""Of one piece; with all else it stays below the largest datagram."""

CHANGE_BYTES = 24
"""Of a change beside its key and value, at most."""

ASSEMBLED_MOST = 8
"""Patches of which some pieces are still missing."""

MOST_PIECES = LARGEST_VERSION // PIECE_BYTES
"""Of a patch; more would make a version that is too large."""


def split_batch(batch: Batch) -> list[Batch] | None:
    """Cut a batch at revisions; None if one revision is too large for a datagram."""
    pieces: list[Batch] = []
    held: list[Change] = []
    since, size = batch.since, 0
    changes = sorted(batch.changes, key=_revision_of)
    for _revision, group in groupby(changes, key=_revision_of):
        together = list(group)
        needed = sum(map(_size_of, together))
        if needed > PIECE_BYTES:
            return None
        if held and size + needed > PIECE_BYTES:
            until = held[-1].revision
            pieces.append(replace(batch, since=since, until=until, changes=tuple(held)))
            since, size, held = until, 0, []
        held += together
        size += needed
    pieces.append(replace(batch, since=since, changes=tuple(held)))
    return pieces


def encode_batch(batch: Batch) -> wire.Batch:
    """Encode changes for another VM."""
    return wire.Batch(
        since=batch.since,
        until=batch.until,
        changes=[wire.Change(c.key, c.value, c.revision) for c in batch.changes],
        lapse_left=round(batch.lapse_left),
        configuration=batch.configuration,
    )


def decode_batch(batch: wire.Batch) -> Batch:
    """Decode changes that another VM passes on."""
    return Batch(
        since=batch.since,
        until=batch.until,
        changes=tuple(Change(c.key, c.value, c.revision) for c in batch.changes),
        configuration=batch.configuration or 0,
        lapse_left=float(batch.lapse_left),
    )


def encode_patch(patch: Patch) -> Iterator[wire.Patch]:
    """Encode a patch for another VM, in pieces that fit into datagrams each."""
    count = max(-(-len(patch.data) // PIECE_BYTES), 1)
    for index in range(count):
        yield wire.Patch(
            revision=patch.revision,
            base=patch.base,
            data=patch.data[index * PIECE_BYTES : (index + 1) * PIECE_BYTES],
            digest=patch.digest,
            piece=index,
            pieces=count,
        )


def encode_whole_patch(patch: Patch) -> wire.Patch:
    """Encode a patch for another VM, in one piece."""
    return wire.Patch(patch.revision, patch.base, patch.data, patch.digest, 0, 1)


def decode_patch(patch: wire.Patch) -> Patch:
    """Decode a patch that came in one piece."""
    return Patch(
        revision=patch.revision, base=patch.base, data=patch.data, digest=patch.digest
    )


class PatchAssembler:
    """Puts the pieces of patches together, in whatever order they come."""

    def __init__(self) -> None:
        self._pieces_by_patch: OrderedDict[tuple, dict[int, bytes]] = OrderedDict()

    def add(self, piece: wire.Patch) -> Patch | None:
        """Take in a piece; return the patch once it is whole."""
        if not 0 <= piece.piece < piece.pieces <= MOST_PIECES:
            raise ValueError(f"piece {piece.piece} of {piece.pieces}")
        name = (piece.revision, piece.base, piece.digest, piece.pieces)
        pieces = self._pieces_by_patch.setdefault(name, {})
        pieces[piece.piece] = piece.data
        if len(pieces) < piece.pieces:
            if len(self._pieces_by_patch) > ASSEMBLED_MOST:
                self._pieces_by_patch.popitem(last=False)
            return None
        del self._pieces_by_patch[name]
        return Patch(
            revision=piece.revision,
            base=piece.base,
            data=b"".join(pieces[index] for index in range(piece.pieces)),
            digest=piece.digest,
        )


def _revision_of(change: Change) -> int:
    return change.revision


def _size_of(change: Change) -> int:
    return len(change.key) + len(change.value or b"") + CHANGE_BYTES
