"""Where a JSON document departs from the data classes it should hold.

msgspec says that a document does not fit, but neither under which key of a mapping
nor that a field of a data class is unknown; operators need both.
"""

from __future__ import annotations

import dataclasses
import json
import typing
from collections.abc import Iterator, Mapping
from functools import cache
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.decoding import DECODE_ERRORS

_ENCODER = msgspec.json.Encoder(order="sorted")
_LONGEST_QUOTE = 60

T = TypeVar("T")


class _RepeatedFieldError(ValueError):
    """A JSON object holds a field twice."""


def decode_strictly(document: bytes, kind: type[T]) -> Result[T, str]:
    """Return the value in `document`, or a message naming the bad place.

    Unknown fields and fields given twice are errors.

    Parameters
    ----------
    document : bytes
        JSON.
    kind : type
        A data class.
    """
    try:
        value = msgspec.json.decode(document, type=kind, strict=True)
    except DECODE_ERRORS as error:
        return Failure(find_type_problem(document, kind) or str(error))
    if encode_canonically(value) == document:
        # Only known fields, each given once, encode to the same document.
        return Success(value)
    problem = find_unknown_field(document, kind)
    return Success(value) if problem is None else Failure(problem)


def encode_canonically(value: object) -> bytes:
    """Return JSON with sorted keys and no white space."""
    return _ENCODER.encode(value)


def find_unknown_field(document: bytes, kind: type) -> str | None:
    """Return a message about the first unknown or repeated field, or None.

    Parameters
    ----------
    document : bytes
        JSON that msgspec has decoded as `kind`.
    kind : type
        A data class.
    """
    try:
        value = json.loads(document, object_pairs_hook=_unique_fields)
    except _RepeatedFieldError as error:
        return str(error)
    return next(_unknown_fields(value, kind, "$"), None)


def find_type_problem(document: bytes, kind: type) -> str | None:
    """Return a message about the first value of a wrong type, or None.

    None also if `document` is no JSON at all.
    """
    try:
        value = json.loads(document, object_pairs_hook=_unique_fields)
    except _RepeatedFieldError as error:
        return str(error)
    except (ValueError, RecursionError):
        return None
    return _type_problem(value, kind, "$")


def quote(value: object) -> str:
    """Return a value as JSON, cut short if long."""
    text = json.dumps(value, default=str)
    if len(text) <= _LONGEST_QUOTE:
        return text
    return text[:_LONGEST_QUOTE] + "..."


def _unique_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise _RepeatedFieldError(f"field {twice!r} is given twice in one object")
    return fields


def _unknown_fields(value: object, kind: object, place: str) -> Iterator[str]:
    if dataclasses.is_dataclass(kind):
        valid = _field_types(kind)
        for name in value:
            if name not in valid:
                names = ", ".join(sorted(valid))
                yield f"{place}: unknown field {name!r}; valid: {names}"
    for part, part_kind, part_place in _parts(value, kind, place):
        yield from _unknown_fields(part, part_kind, part_place)


def _type_problem(value: object, kind: object, place: str) -> str | None:
    """Return the problem of the innermost part that does not convert."""
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        for part, part_kind, part_place in _parts(value, kind, place):
            problem = _type_problem(part, part_kind, part_place)
            if problem is not None:
                return problem
        reason = str(error).partition(" - at ")[0]
        return f"{place}: {quote(value)}: {reason}"
    return None


def _parts(
    value: object, kind: object, place: str
) -> Iterator[tuple[object, object, str]]:
    """Yield the parts of `value` that have a type of their own."""
    if isinstance(value, dict) and dataclasses.is_dataclass(kind):
        for name, part_kind in _field_types(kind).items():
            if name in value:
                yield value[name], part_kind, f"{place}.{name}"
    elif isinstance(value, dict) and typing.get_origin(kind) is Mapping:
        part_kind = typing.get_args(kind)[1]
        for name, part in value.items():
            yield part, part_kind, f"{place}.{name}"
    elif isinstance(value, list) and typing.get_origin(kind) is tuple:
        part_kind = typing.get_args(kind)[0]
        for index, part in enumerate(value):
            yield part, part_kind, f"{place}[{index}]"


@cache
def _field_types(kind: type) -> dict[str, object]:
    return typing.get_type_hints(kind)
