"""The one mutable key of the configuration: which head is the accepted one.

It is read often and by many, so it is small; the head itself is an immutable part.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.config.head import FIRST_CHANGE, Change, Head, Part, encode_head
from lagoonlatch.decoding import DECODE_ERRORS

HEAD_KEY = "config/head"


@dataclass(frozen=True)
class Pointer:
    """The accepted change and the part that holds its head.

    Parameters
    ----------
    change : Change
        The latest change.
    head : Part or None
        The part with the encoded head; None before the first change.
    sweep : int
        Counts removals of unused parts; see `lagoonlatch.config.sweep`.
    """

    change: Change = FIRST_CHANGE
    head: Part | None = None
    sweep: int = 0

    @classmethod
    def from_head(cls, head: Head, sweep: int) -> Pointer:
        """Return the pointer to `head`."""
        return cls(head.change, Part.from_content(encode_head(head)), sweep)


def encode_pointer(pointer: Pointer) -> bytes:
    """Return the value of `HEAD_KEY`."""
    return msgspec.json.encode(pointer, order="sorted")


def decode_pointer(value: bytes) -> Result[Pointer, str]:
    """Return the pointer, or why the value is none."""
    try:
        return Success(msgspec.json.decode(value, type=Pointer))
    except DECODE_ERRORS as error:
        return Failure(f"the configuration's head key is malformed: {error}")
