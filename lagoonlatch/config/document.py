"""What VMs send each other: a version, whole or as the difference from another."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.config.head import Change, Head, Part, check_head
from lagoonlatch.decoding import DECODE_ERRORS

WHOLE = 0
"""The base version of a document that needs none."""


@dataclass(frozen=True)
class Document:
    """A version and the contents that the receiver lacks.

    Parameters
    ----------
    base_version : int
        The version from which sections are taken that are not in the document;
        `WHOLE` if all are.
    history : tuple of Change
        The history of the version.
    parts_by_section : mapping of str to tuple of Part
        The parts of the sections that differ from the base, none if one is gone.
    contents : tuple of memoryview
        Contents of parts, in any order; their digests say which they are.
    """

    base_version: int
    history: tuple[Change, ...]
    parts_by_section: Mapping[str, tuple[Part, ...]]
    contents: tuple[memoryview, ...]

    def head_from(self, base: Head) -> Result[Head, str]:
        """Return the head, or why it doesn't result from `base`."""
        kept = {} if self.base_version == WHOLE else base.parts_by_section
        merged = {**kept, **self.parts_by_section}
        sections = {name: parts for name, parts in merged.items() if parts}
        return check_head(Head(self.history, sections))

    def content_by_digest(self) -> Mapping[bytes, memoryview]:
        """Return the contents by the SHA-256 computed from them."""
        return {hashlib.sha256(content).digest(): content for content in self.contents}


def encode_document(document: Document) -> bytes:
    """Return the document as MessagePack."""
    return msgspec.msgpack.encode(document)


def decode_document(encoded: bytes) -> Result[Document, str]:
    """Return the document, or why it is malformed.

    The contents are views into `encoded`, so that millions of blocks are not copied.
    """
    try:
        return Success(msgspec.msgpack.decode(encoded, type=Document))
    except DECODE_ERRORS as error:
        return Failure(f"the configuration document is malformed: {error}")
