"""Which headers pass to an upstream and back."""

from __future__ import annotations

import re

from lagoonlatch.upstreams.outcomes import Headers

REQUEST_ID = "Lagoonlatch-Request-Id"
DEADLINE = "Lagoonlatch-Deadline"
ORGANISATION = "Lagoonlatch-Organisation"
NOT_RUN = "Lagoonlatch-Not-Run"

_OWN_PREFIX = "lagoonlatch-"
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_HERE = frozenset({"host", "content-length", "expect"})
_KEYS = frozenset({"authorization", "x-api-key", "api-key"})
_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def forwarded(headers: Headers) -> Headers:
    """Return the caller's headers that an upstream may see.

    Leaves out hop-by-hop headers, those that the HTTP client sets, every header that
    can carry a key, and our own names, which a caller must not be able to forge.
    """
    dropped = _HOP_BY_HOP | _SET_HERE | _KEYS | _named_by_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not name.lower().startswith(_OWN_PREFIX)
    )


def returned(headers: Headers) -> Headers:
    """Return the upstream's headers that the caller may see."""
    dropped = _HOP_BY_HOP | {"content-length"} | _named_by_connection(headers)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def well_formed(headers: Headers) -> bool:
    """Return whether no name or value can smuggle a line into the request."""
    return all(_NAME.fullmatch(n) and _VALUE.fullmatch(v) for n, v in headers)


def _named_by_connection(headers: Headers) -> frozenset[str]:
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    )
