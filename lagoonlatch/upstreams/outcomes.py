"""Requests to upstreams and what came of them.

An outcome is a ``returns`` result: `Answered` when the upstream's whole answer is
there, otherwise `NotRun` or `Unknown`. `NotRun` is a promise that no upstream has run
or will run the request; whatever can't be promised is `Unknown`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import xxhash
from returns.result import Result

from lagoonlatch.clock import Millis

Headers: TypeAlias = tuple[tuple[str, str], ...]
"""Header names and values in the order in which they were received."""


class NotRunReason(Enum):
    """Why no upstream ran a request."""

    NO_CAPACITY = "no-capacity"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    NOT_OWNED = "not-owned"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    REFUSED_BY_UPSTREAM = "refused-by-upstream"
    CANCELLED = "cancelled"
    MALFORMED = "malformed"
    MOVE_CAP = "move-cap"


class UnknownReason(Enum):
    """Why it is not known whether an upstream ran a request."""

    TIMED_OUT = "timed-out"
    CLOSED = "closed"
    NOT_WHOLE = "not-whole"
    MALFORMED_ANSWER = "malformed-answer"
    CROSSED = "crossed"
    TOO_LARGE = "too-large"
    SILENT = "silent"
    CANCELLED = "cancelled"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """One request for an upstream; it carries no key.

    Parameters
    ----------
    request_id : str
        Unique for ever; travels to the upstream, whose answer is checked for it.
    upstream : str
        Id of the instance that has to run it, or empty for any owned instance.
    target : str
        Path and query.
    deadline : Millis
        Time left for the whole answer, counted from the call.
    idempotent : bool
        Whether an upstream may run it more than once.
    move : str
        Id of the planned move by which it came here, or empty.
    fingerprint : str
        `fingerprint_of` the request, or empty to have it computed.
    """

    request_id: str
    organisation: str
    service_id: str
    method: str
    target: str
    deadline: Millis
    upstream: str = ""
    headers: Headers = ()
    body: bytes = b""
    idempotent: bool = False
    move: str = ""
    fingerprint: str = ""


@dataclass(frozen=True)
class Answered:
    """The upstream's whole answer to this request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class NotRun:
    """No upstream has run or will run the request.

    Parameters
    ----------
    reason : NotRunReason
        Why it was refused.
    retry_after : Millis
        When a new try is worth while.
    """

    reason: NotRunReason
    retry_after: Millis


@dataclass(frozen=True)
class Unknown:
    """An upstream may have run the request.

    Parameters
    ----------
    reason : UnknownReason
        What was seen.
    upstream_died : bool
        Whether the upstream's process ended while it had the request.
    """

    reason: UnknownReason
    upstream_died: bool = False


UpstreamOutcome: TypeAlias = Result[Answered, NotRun | Unknown]


def fingerprint_of(request: UpstreamRequest) -> str:
    """Return a digest of what makes a request crash an upstream again.

    Covers organisation, method, target and body, and leaves out the request id.
    """
    digest = xxhash.xxh3_128()
    for part in (request.organisation, request.method, request.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
