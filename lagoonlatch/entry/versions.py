"""Recent versions of the configuration, and binary patches between them.

A version differs from its predecessor in few bytes, so a change of hundreds of
organisations fits into a datagram. A receiver verifies the patched version by its
digest. Versions are identified by the numbers that the operators give them, since a
restored store gives out its revisions again.
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
    version, base : int
        Numbers of the new version and its base. If `base` is 0, `data` holds the whole
        version.
    data : bytes
        The new version, compressed with the base as dictionary.
    digest : bytes
        Digest of the new version.
    revision, base_revision : int
        Revisions of the store at which both were written, for VMs of earlier builds.
    """

    version: int
    base: int
    data: bytes
    digest: bytes
    revision: int = 0
    base_revision: int = 0


class VersionHistory:
    """The newest versions, by number.

    Attributes
    ----------
    newest : int
        Number of the newest version; 0 before the first.
    """

    def __init__(self) -> None:
        self.newest = 0
        self._text_by_version: OrderedDict[int, bytes] = OrderedDict()
        self._revision_by_version: dict[int, int] = {}
        self._patch_by_base: dict[int, Patch] = {}

    @property
    def previous(self) -> int:
        """Number of the version before the newest one; 0 if it isn't known."""
        versions = list(self._text_by_version)
        return versions[-2] if len(versions) > 1 else 0

    def revision_of(self, version: int) -> int:
        """Return the revision at which a version was written; 0 if it isn't known."""
        return self._revision_by_version.get(version, 0)

    def find(self, revision: int) -> int:
        """Return the number of the version written at a revision; 0 if unknown."""
        for version, known_revision in self._revision_by_version.items():
            if known_revision == revision:
                return version
        return 0

    def note(self, version: int, text: bytes, revision: int = 0) -> None:
        """Keep a version, unless a later one is known."""
        if version <= self.newest:
            return
        self.newest = version
        self._patch_by_base.clear()
        texts = self._text_by_version
        texts[version] = text
        self._revision_by_version[version] = revision
        while len(texts) > 1 and (
            len(texts) > MAX_VERSIONS
            or sum(map(len, texts.values())) > MAX_HISTORY_BYTES
        ):
            dropped, _ = texts.popitem(last=False)
            del self._revision_by_version[dropped]

    def patch_from(self, base: int) -> Patch | None:
        """Return a patch from `base` to the newest version.

        The patch holds the whole version if `base` is unknown. The result is None if
        there is no version.
        """
        if not self.newest:
            return None
        base_text = self._text_by_version.get(base)
        base = base if base_text is not None else 0
        if base not in self._patch_by_base:
            self._patch_by_base[base] = self._make_patch(base, base_text or b"")
        return self._patch_by_base[base]

    def apply(self, patch: Patch) -> bytes | None:
        """Return the patched version; None if the patch can't be applied."""
        base_text = self._text_by_version.get(patch.base) if patch.base else b""
        if base_text is None:
            return None
        decompressor = zstandard.ZstdDecompressor(
            dict_data=_dictionary(base_text), max_window_size=MAX_VERSION_BYTES
        )
        try:
            # The decompressor allocates the size that the frame header states, so the
            # header is checked first.
            if zstandard.frame_content_size(patch.data) > MAX_VERSION_BYTES:
                return None
            text = decompressor.decompress(
                patch.data, max_output_size=MAX_VERSION_BYTES
            )
        except zstandard.ZstdError:
            return None
        return text if _digest(text) == patch.digest else None

    def _make_patch(self, base: int, base_text: bytes) -> Patch:
        text = self._text_by_version[self.newest]
        parameters = zstandard.ZstdCompressionParameters.from_level(
            COMPRESSION_LEVEL, source_size=len(text), dict_size=len(base_text)
        )
        compressor = zstandard.ZstdCompressor(
            dict_data=_dictionary(base_text), compression_params=parameters
        )
        return Patch(
            version=self.newest,
            base=base,
            data=compressor.compress(text),
            digest=_digest(text),
            revision=self.revision_of(self.newest),
            base_revision=self.revision_of(base),
        )


def _dictionary(base_text: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base_text:
        return None
    return zstandard.ZstdCompressionDict(
        base_text, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _digest(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
