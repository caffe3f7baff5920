"""Requests of callers, answers to them, and outcomes at upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lagoonlatch.clock import Millis
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
"""Fields that concern one connection, and the framing, which is set anew."""


@dataclass(kw_only=True)
class CallerRequest:
    """One whole request.

    Parameters
    ----------
    target : bytes
        Path and query as sent.
    headers : list of (bytes, bytes)
        Names as sent.
    received : Millis
        When its header was complete.
    may_cancel : bool
        Whether its work may be dropped when the caller leaves.
    """

    method: bytes
    target: bytes
    host: str
    headers: HeaderList
    body: bytes
    has_body: bool
    fields: RequestFields
    received: Millis
    may_cancel: bool = True

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, kw_only=True)
class CallerAnswer:
    """A final answer to a caller, without framing."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """A request as sent to an upstream."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    has_body: bool
    request_id: bytes


@dataclass(frozen=True, kw_only=True)
class UpstreamAnswer:
    """A whole answer of an upstream."""

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
    """The request has not run there and never will.

    Parameters
    ----------
    reached : bool
        Whether it arrived at the upstream, which turned it away.
    misdirected : bool
        Whether another upstream has the address now.
    """

    reason: str
    reached: bool
    misdirected: bool = False
    answer: UpstreamAnswer | None = None


class FailureKind(Enum):
    """How an exchange failed."""

    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "spoilt"
    OUT_OF_TIME = "out-of-time"


@dataclass(frozen=True)
class Unknown:
    """The request may have run; no answer can be used."""

    how: FailureKind
    reason: str


Outcome = Answered | NotRun | Unknown


def describe_outcome(outcome: Outcome) -> tuple[str, str]:
    """Return an outcome's name and its reason, for logs and metrics."""
    match outcome:
        case Answered(answer):
            return "answered", str(answer.status)
        case NotRun(reason=reason, reached=reached):
            return "turned-away" if reached else "not-sent", reason
        case Unknown(how=how, reason=reason):
            return how.value, reason
