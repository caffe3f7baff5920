"""Patches between versions, and the limits of the version history."""

import random

import pytest

from lagoonlatch.entry.versions import (
    MAX_HISTORY_BYTES,
    MAX_VERSION_BYTES,
    MAX_VERSIONS,
    Patch,
    VersionHistory,
)


def make_version(seed, organisations=80):
    """Return text like a configuration; two versions differ in few lines."""
    common = random.Random(0)
    lines = [f"organisation {common.getrandbits(64):x}" for _ in range(organisations)]
    lines[seed % organisations] = f"organisation {random.Random(seed).getrandbits(64)}"
    return "\n".join(lines).encode()


def make_history(*versions):
    history = VersionHistory()
    for version in versions:
        history.note(version, make_version(version))
    return history


def test_a_patch_holds_only_the_difference():
    patch = make_history(3, 5).patch_from(3)
    assert len(patch.data) < len(make_version(5)) / 10
    assert make_history(3).apply(patch) == make_version(5)


def test_the_patch_for_an_unknown_base_holds_the_whole_version():
    patch = make_history(3, 5).patch_from(2)
    assert patch.base == 0
    assert VersionHistory().apply(patch) == make_version(5)


def test_a_patch_with_an_unknown_base_is_not_applied():
    assert make_history(4).apply(make_history(3, 5).patch_from(3)) is None


@pytest.mark.parametrize("seed", range(50))
def test_a_damaged_patch_yields_nothing_or_the_right_version(seed):
    generator = random.Random(seed)
    patch = make_history(3, 5).patch_from(3)
    data = bytearray(patch.data)
    data[generator.randrange(len(data))] = generator.randrange(256)
    damaged = Patch(version=5, base=3, data=bytes(data), digest=patch.digest)
    assert make_history(3).apply(damaged) in (None, make_version(5))


def test_a_patch_with_too_large_a_result_is_not_decompressed():
    import zstandard

    data = zstandard.ZstdCompressor().compress(b"\0" * (MAX_VERSION_BYTES + 1))
    patch = Patch(version=5, base=0, data=data, digest=b"")
    assert VersionHistory().apply(patch) is None


def test_the_history_is_bounded():
    history = VersionHistory()
    for version in range(1, 40):
        history.note(version, bytes(1_000_000))
    assert len(history._text_by_version) <= MAX_VERSIONS
    assert sum(map(len, history._text_by_version.values())) <= MAX_HISTORY_BYTES
    history.note(50, bytes(MAX_HISTORY_BYTES * 2))
    assert history.newest == 50
    assert history.patch_from(49).base == 0


def test_an_older_version_is_not_kept():
    history = make_history(5, 3)
    assert history.newest == 5
    assert history.previous == 0
