import random

import pytest

from lagoonlatch.entry.versions import (
    KEPT_BYTES,
    KEPT_MOST,
    LARGEST_VERSION,
    Patch,
    VersionHistory,
)


def make_text(seed, organisations=80):
    """Return a configuration-like text; those of two seeds differ in one key."""
    common = random.Random(0)
    lines = [f"organisation {common.getrandbits(64):x}" for _ in range(organisations)]
    lines[seed % organisations] = f"organisation {random.Random(seed).getrandbits(64)}"
    return "\n".join(lines).encode()


def make_history(*revisions):
    history = VersionHistory()
    for revision in revisions:
        history.note(revision, make_text(revision))
    return history


def test_a_version_comes_as_what_changed():
    patch = make_history(3, 5).patch_from(3)
    assert len(patch.data) < len(make_text(5)) / 10
    assert make_history(3).apply(patch) == make_text(5)


def test_a_vm_that_knows_no_base_is_given_the_whole():
    patch = make_history(3, 5).patch_from(2)
    assert patch.base == 0
    assert VersionHistory().apply(patch) == make_text(5)


def test_a_patch_of_an_unknown_base_makes_nothing():
    assert make_history(4).apply(make_history(3, 5).patch_from(3)) is None


@pytest.mark.parametrize("seed", range(50))
def test_a_spoilt_patch_makes_nothing_or_the_very_version(seed):
    generator = random.Random(seed)
    patch = make_history(3, 5).patch_from(3)
    data = bytearray(patch.data)
    data[generator.randrange(len(data))] = generator.randrange(256)
    spoilt = Patch(revision=5, base=3, data=bytes(data), digest=patch.digest)
    assert make_history(3).apply(spoilt) in (None, make_text(5))


def test_a_patch_that_would_fill_the_memory_is_not_unpacked():
    import zstandard

    data = zstandard.ZstdCompressor().compress(b"\0" * (LARGEST_VERSION + 1))
    patch = Patch(revision=5, base=0, data=data, digest=b"")
    assert VersionHistory().apply(patch) is None


def test_what_is_remembered_is_bounded():
    history = VersionHistory()
    for revision in range(1, 40):
        history.note(revision, bytes(1_000_000))
    assert len(history._text_by_revision) <= KEPT_MOST
    assert sum(map(len, history._text_by_revision.values())) <= KEPT_BYTES
    history.note(50, bytes(KEPT_BYTES * 2))
    assert history.newest == 50
    assert history.patch_from(49).base == 0


def test_an_older_version_is_not_taken():
    history = make_history(5, 3)
    assert history.newest == 5
    assert history.previous == 0
