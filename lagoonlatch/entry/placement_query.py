"""Query of the endpoint that explains where a request would be sent."""

from __future__ import annotations

from urllib.parse import parse_qsl

from lagoonlatch.platform.headers import read_request_fields
from lagoonlatch.steering.explanation import PlacementQuestion

WHERE_PATH = "/where"

MAX_LENGTH_BY_PARAMETER = {"host": 253, "path": 2_048, "object": 256}
"""Parameters of the query and their longest values in characters."""

MAX_QUERY_LENGTH = 8_192
MAX_KEY_LENGTH = 1_024
MAX_SHOWN_LENGTH = 40
"""Characters of an invalid value that an error quotes."""


class InvalidQueryError(Exception):
    """The query can't be answered; the message says why."""


def read_placement_query(query: str, authorization: str) -> PlacementQuestion:
    """Decode the query part of the URL and the Authorization field.

    Raises
    ------
    InvalidQueryError
        If a parameter is missing, unknown or out of range. The message never has the
        key.
    """
    if len(query) > MAX_QUERY_LENGTH:
        raise InvalidQueryError(
            f"the query has {len(query)} characters; valid: up to {MAX_QUERY_LENGTH}"
        )
    if len(authorization) > MAX_KEY_LENGTH:
        raise InvalidQueryError(
            f"the key has over {MAX_KEY_LENGTH} characters; "
            f"valid: up to {MAX_KEY_LENGTH}"
        )
    value_by_name: dict[str, str] = {}
    valid_names = ", ".join(MAX_LENGTH_BY_PARAMETER)
    for name, value in parse_qsl(query, keep_blank_values=True):
        if name not in MAX_LENGTH_BY_PARAMETER:
            raise InvalidQueryError(
                f"unknown parameter {name[:MAX_SHOWN_LENGTH]!r}; valid: {valid_names}"
            )
        if name in value_by_name:
            raise InvalidQueryError(f"{name!r} is given twice; valid: once")
        _check_value(name, value)
        value_by_name[name] = value
    host, path = value_by_name.get("host", ""), value_by_name.get("path", "")
    if not host:
        raise InvalidQueryError("'host' is missing; for example host=shop.example")
    if not path.startswith("/"):
        raise InvalidQueryError(
            f"path {path[:MAX_SHOWN_LENGTH]!r} is not valid; valid: begins with /"
        )
    fields = [(b"authorization", authorization.encode("latin-1", "replace"))]
    return PlacementQuestion(
        host=host.lower().partition(":")[0],
        path=path.partition("?")[0],
        object_name=value_by_name.get("object", ""),
        key=read_request_fields(fields if authorization else []).key,
    )


def _check_value(name: str, value: str) -> None:
    if not value.isascii():
        shown = ascii(value[:MAX_SHOWN_LENGTH])
        raise InvalidQueryError(f"{name} {shown} is not valid; valid: ASCII characters")
    longest = MAX_LENGTH_BY_PARAMETER[name]
    if len(value) > longest:
        shown = value[:MAX_SHOWN_LENGTH] + "..."
        raise InvalidQueryError(
            f"{name} {shown!r} has {len(value)} characters; valid: up to {longest}"
        )
