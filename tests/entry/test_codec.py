"""Splitting batches and patches into pieces that fit into datagrams."""

import random

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from lagoonlatch.entry.codec import (
    MAX_INCOMPLETE_PATCHES,
    MAX_PIECE_BYTES,
    PatchAssembler,
    encode_batch,
    encode_patch,
    split_batch,
)
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.peers import MAX_DATAGRAM_BYTES
from lagoonlatch.entry.replica import Batch
from lagoonlatch.entry.versions import Patch
from lagoonlatch.platform.kv import Change


def make_batch(sizes, revisions=None):
    revisions = revisions or range(11, 11 + len(sizes))
    changes = tuple(
        Change(f"servers/{revision}", bytes(size), revision)
        for size, revision in zip(sizes, revisions, strict=True)
    )
    return Batch(since=10, until=5_000, changes=changes, configuration_version=9)


@pytest.mark.parametrize("seed", range(20))
def test_pieces_are_contiguous_and_fit_into_datagrams(seed):
    generator = random.Random(seed)
    batch = make_batch([generator.randrange(2_000) for _ in range(80)])
    pieces = split_batch(batch)
    ends = [batch.since, *(piece.until for piece in pieces)]
    assert [piece.since for piece in pieces] == ends[:-1]
    assert ends[-1] == batch.until
    assert [c for piece in pieces for c in piece.changes] == list(batch.changes)
    for piece in pieces:
        assert all(piece.since < c.revision <= piece.until for c in piece.changes)
        datagram = wire.Datagram(
            batch=encode_batch(piece), spread=wire.Spread(1, 2, True)
        )
        data = serialize(datagram, TCompactProtocolAcceleratedFactory())
        assert len(data) <= MAX_DATAGRAM_BYTES


def test_changes_of_one_revision_stay_together():
    pieces = split_batch(make_batch([3_000] * 4, [11, 12, 12, 13]))
    assert [len(piece.changes) for piece in pieces] == [1, 2, 1]


def test_a_batch_with_too_large_a_revision_is_not_split():
    assert split_batch(make_batch([10, MAX_PIECE_BYTES])) is None


def test_an_empty_batch_is_one_piece():
    assert split_batch(make_batch([])) == [make_batch([])]


def make_patch(size, version=5):
    data = random.Random(size).randbytes(size)
    return Patch(version=version, base=3, data=data, digest=b"d")


@pytest.mark.parametrize("size", [0, 1, MAX_PIECE_BYTES, MAX_PIECE_BYTES + 1, 50_000])
def test_a_patch_is_assembled_from_pieces_in_any_order(size):
    patch = make_patch(size)
    pieces = list(encode_patch(patch))
    random.Random(size).shuffle(pieces)
    assembler = PatchAssembler()
    found = [assembler.add(piece) for piece in [*pieces[:-1], *pieces[:-1], pieces[-1]]]
    assert found[-1] == patch
    assert not any(found[:-1]) or len(pieces) == 1


def test_the_number_of_incomplete_patches_is_bounded():
    assembler = PatchAssembler()
    for version in range(100):
        assembler.add(next(encode_patch(make_patch(20_000, version))))
    assert len(assembler._pieces_by_patch) <= MAX_INCOMPLETE_PATCHES
