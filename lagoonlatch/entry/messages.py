"""Requests and answers of callers and upstreams, and the outcomes of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lagoonlatch.clock import Millis
from lagoonlatch.entry.cancellation import CancellationToken
from lagoonlatch.platform.headers import AnswerFields, HeaderList, RequestFields

CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Hop-by-hop and framing fields, which are set anew for each connection."""


CALLER_LEFT_STATUS = 499
"""Stands in logs and metrics for the answer to a caller that has left; never sent."""


@dataclass(kw_only=True)
class CallerRequest:
    """A complete request of a caller.

    Parameters
    ----------
    target : bytes
        Path and query as the caller sent them.
    headers : list of (bytes, bytes)
        Fields with their names as the caller sent them.
    received : Millis
        Time at which the header was complete.
    cancellation : CancellationToken
        Is cancelled when the caller closes the connection.
    """

    method: bytes
    target: bytes
    host: str
    headers: HeaderList
    body: bytes | memoryview
    has_body: bool
    fields: RequestFields
    received: Millis
    cancellation: CancellationToken = field(default_factory=CancellationToken)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, kw_only=True)
class CallerAnswer:
    """A final answer to a caller, without framing fields."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """A request as sent to an upstream.

    Parameters
    ----------
    requires_stamp : bool
        Whether a successful answer without the upstream's stamp is invalid. Answers to
        health checks have none.
    is_idempotent : bool
        Whether the request is broken off at the upstream when its caller leaves.
    cancellation : CancellationToken
        Is cancelled when the caller leaves.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes | memoryview
    has_body: bool
    request_id: bytes
    requires_stamp: bool = True
    is_idempotent: bool = False
    cancellation: CancellationToken = field(default_factory=CancellationToken)


@dataclass(frozen=True, kw_only=True)
class UpstreamAnswer:
    """A complete answer of an upstream.

    Parameters
    ----------
    has_stamp : bool
        Whether the upstream's stamp field is present.
    """

    status: int
    headers: HeaderList
    body: bytes
    fields: AnswerFields
    has_stamp: bool


@dataclass(frozen=True)
class Answered:
    """The upstream ran the request and answered it."""

    answer: UpstreamAnswer


@dataclass(frozen=True)
class NotRun:
    """The upstream has not run the request and never will.

    Parameters
    ----------
    reached : bool
        Whether the upstream received the request and turned it away.
    misdirected : bool
        Whether the address now belongs to another upstream.
    """

    reason: str
    reached: bool
    misdirected: bool = False
    answer: UpstreamAnswer | None = None


class FailureKind(Enum):
    """Ways in which an exchange with an upstream fails."""

    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "spoilt"
    OUT_OF_TIME = "out-of-time"
    CALLER_LEFT = "caller-left"


@dataclass(frozen=True)
class Unknown:
    """The request may have run, but there is no usable answer.

    Parameters
    ----------
    heard_at : Millis or None
        When the upstream was last heard on the connection, if it has fallen silent;
        None if it ended the connection or sent something unusable.
    """

    kind: FailureKind
    reason: str
    heard_at: Millis | None = None


Outcome = Answered | NotRun | Unknown


def describe_outcome(outcome: Outcome) -> tuple[str, str]:
    """Return the name and the reason of an outcome for logs and metrics."""
    match outcome:
        case Answered(answer):
            return "answered", str(answer.status)
        case NotRun(reason=reason, reached=reached):
            return "turned-away" if reached else "not-sent", reason
        case Unknown(kind=kind, reason=reason):
            return kind.value, reason
