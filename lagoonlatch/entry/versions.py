"""Versions of the configuration, passed on as what changed between them.

A version differs from the one before it in few bytes, so a change of hundreds of
organisations fits into a datagram. A receiver checks the whole result by its digest.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import zstandard

KEPT_MOST = 8
"""Versions that are remembered, for VMs that missed some."""

KEPT_BYTES = 8 * 1024 * 1024
"""Of all remembered versions; a part of the smallest VM's memory."""

LARGEST_VERSION = 32 * 1024 * 1024
"""A patch that would make more is not unpacked; the store holds values of 1 MB."""

LEVEL = 3
"""Compression level; the library's own default."""

_DIGEST_BYTES = 16


@dataclass(frozen=True, kw_only=True)
class Patch:
    """How one version is made of another.

    Parameters
    ----------
    revision, base : int
        Revisions of the store at which the version and the one before it were
        written; a `base` of 0 says that `data` holds the whole version.
    data : bytes
        Compressed, with the base as dictionary.
    digest : bytes
        Of the version.
    """

    revision: int
    base: int
    data: bytes
    digest: bytes


class VersionHistory:
    """The newest versions, by the revision at which each was written.

    Attributes
    ----------
    newest : int
        Revision of the newest version; 0 before the first.
    """

    def __init__(self) -> None:
        self.newest = 0
        self._text_by_revision: OrderedDict[int, bytes] = OrderedDict()
        self._patch_by_base: dict[int, Patch] = {}

    @property
    def previous(self) -> int:
        """Revision of the version before the newest one; 0 if it isn't known."""
        revisions = list(self._text_by_revision)
        return revisions[-2] if len(revisions) > 1 else 0

    def note(self, revision: int, text: bytes) -> None:
        """Remember a version, unless a later one is known."""
        if revision <= self.newest:
            return
        self.newest = revision
        self._patch_by_base.clear()
        texts = self._text_by_revision
        texts[revision] = text
        while len(texts) > 1 and (
            len(texts) > KEPT_MOST or sum(map(len, texts.values())) > KEPT_BYTES
        ):
            texts.popitem(last=False)

    def patch_from(self, base: int) -> Patch | None:
        """Return how the newest version is made; of a whole one if `base` is unknown.

        None if there is no version.
        """
        if not self.newest:
            return None
        text = self._text_by_revision.get(base)
        base = base if text is not None else 0
        if base not in self._patch_by_base:
            self._patch_by_base[base] = _make_patch(
                self.newest, self._text_by_revision[self.newest], base, text or b""
            )
        return self._patch_by_base[base]

    def apply(self, patch: Patch) -> bytes | None:
        """Return the version that `patch` makes; None if it can't be made here."""
        base = self._text_by_revision.get(patch.base) if patch.base else b""
        if base is None:
            return None
        unpacker = zstandard.ZstdDecompressor(
            dict_data=_dictionary(base), max_window_size=LARGEST_VERSION
        )
        try:
            # Room is made for what the data say, so that is looked at first.
            if zstandard.frame_content_size(patch.data) > LARGEST_VERSION:
                return None
            text = unpacker.decompress(patch.data, max_output_size=LARGEST_VERSION)
        except zstandard.ZstdError:
            return None
        return text if _digest(text) == patch.digest else None


def _make_patch(revision: int, text: bytes, base: int, before: bytes) -> Patch:
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL, source_size=len(text), dict_size=len(before)
    )
    packer = zstandard.ZstdCompressor(
        dict_data=_dictionary(before), compression_params=parameters
    )
    return Patch(
        revision=revision, base=base, data=packer.compress(text), digest=_digest(text)
    )


def _dictionary(text: bytes) -> zstandard.ZstdCompressionDict | None:
    if not text:
        return None
    return zstandard.ZstdCompressionDict(text, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


def _digest(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
