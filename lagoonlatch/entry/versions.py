"""Recent versions of the configuration, and binary patches between them.

A version differs from its predecessor in few bytes, so a change of hundreds of
organisations fits into a datagram. A receiver verifies the patched version by its
digest.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import zstandard

MAX_VERSIONS = 8
"""Number of versions kept as bases of patches for VMs that missed some."""

MAX_HISTORY_BYTES = 8 * 1024 * 1024
"""Limit of the total size of the kept versions; a small part of the memory of the
smallest VM."""

MAX_VERSION_BYTES = 32 * 1024 * 1024
"""Limit of the size of a decompressed version, which bounds memory use. It is well
above the 1 MB that the store permits for a value."""

COMPRESSION_LEVEL = 3
"""The default level of the library."""

_DIGEST_BYTES = 16


@dataclass(frozen=True, kw_only=True)
class Patch:
    """The difference between two versions.

    Parameters
    ----------
    revision, base : int
        Revisions of the store at which the new version and its base were written. If
        `base` is 0, `data` holds the whole version.
    data : bytes
        The new version, compressed with the base as dictionary.
    digest : bytes
        Digest of the new version.
    """

    revision: int
    base: int
    data: bytes
    digest: bytes


class VersionHistory:
    """The newest versions, by the store revision at which each was written.

    Attributes
    ----------
    newest : int
        Revision of the newest version; 0 before the first.
    """

    def __init__(self) -> None:
        self.newest = 0
        self._version_by_revision: OrderedDict[int, bytes] = OrderedDict()
        self._patch_by_base: dict[int, Patch] = {}

    @property
    def previous(self) -> int:
        """Revision of the version before the newest one; 0 if it isn't known."""
        revisions = list(self._version_by_revision)
        return revisions[-2] if len(revisions) > 1 else 0

    def note(self, revision: int, version: bytes) -> None:
        """Keep a version, unless a later one is known."""
        if revision <= self.newest:
            return
        self.newest = revision
        self._patch_by_base.clear()
        versions = self._version_by_revision
        versions[revision] = version
        while len(versions) > 1 and (
            len(versions) > MAX_VERSIONS
            or sum(map(len, versions.values())) > MAX_HISTORY_BYTES
        ):
            versions.popitem(last=False)

    def patch_from(self, base: int) -> Patch | None:
        """Return a patch from `base` to the newest version.

        The patch holds the whole version if `base` is unknown. The result is None if
        there is no version.
        """
        if not self.newest:
            return None
        base_version = self._version_by_revision.get(base)
        base = base if base_version is not None else 0
        if base not in self._patch_by_base:
            self._patch_by_base[base] = _make_patch(
                self.newest,
                self._version_by_revision[self.newest],
                base,
                base_version or b"",
            )
        return self._patch_by_base[base]

    def apply(self, patch: Patch) -> bytes | None:
        """Return the patched version; None if the patch can't be applied."""
        base_version = self._version_by_revision.get(patch.base) if patch.base else b""
        if base_version is None:
            return None
        decompressor = zstandard.ZstdDecompressor(
            dict_data=_dictionary(base_version), max_window_size=MAX_VERSION_BYTES
        )
        try:
            # The decompressor allocates the size that the frame header states, so the
            # header is checked first.
            if zstandard.frame_content_size(patch.data) > MAX_VERSION_BYTES:
                return None
            version = decompressor.decompress(
                patch.data, max_output_size=MAX_VERSION_BYTES
            )
        except zstandard.ZstdError:
            return None
        return version if _digest(version) == patch.digest else None


def _make_patch(revision: int, version: bytes, base: int, base_version: bytes) -> Patch:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, source_size=len(version), dict_size=len(base_version)
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base_version), compression_params=parameters
    )
    return Patch(
        revision=revision,
        base=base,
        data=compressor.compress(version),
        digest=_digest(version),
    )


def _dictionary(base_version: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base_version:
        return None
    return zstandard.ZstdCompressionDict(
        base_version, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _digest(version: bytes) -> bytes:
    return hashlib.blake2b(version, digest_size=_DIGEST_BYTES).digest()
