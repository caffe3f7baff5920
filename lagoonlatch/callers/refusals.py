"""Kinds of refusal and their problem details (RFC 9457)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

PROBLEM_CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:lagoonlatch:problem:"


class RequestOutcome(Enum):
    """What is known about the run of a refused request."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RefusalKind:
    """A kind of refusal.

    Parameters
    ----------
    name : str
        Stable name, the end of the problem's type.
    status : int
        HTTP status.
    title : str
        Short text, the same for each refusal of the kind.
    outcome : RequestOutcome
        Whether the request is known not to have run.
    """

    name: str
    status: int
    title: str
    outcome: RequestOutcome = RequestOutcome.NOT_RUN


_NOT_RUN_KINDS = (
    ("no-such-path", 404, "The VM serves nothing at this path"),
    ("unknown-service", 404, "No such service"),
    ("unknown-route", 404, "The service has no route for this request"),
    ("malformed-request", 400, "The request is malformed"),
    ("body-too-large", 413, "The request's body is too large"),
    ("missing-key", 401, "The route needs a key"),
    ("unknown-key", 401, "The key is not valid"),
    ("key-exposed", 400, "The key stands outside its header"),
    ("rate-exceeded", 429, "The organisation's rate and burst are used up"),
    ("no-capacity", 503, "No upstream has room before the deadline"),
    ("limit-unavailable", 503, "The rate can't be counted now"),
    ("no-upstream", 503, "No upstream of the service can be reached"),
    ("quarantined", 503, "The same request made upstreams die"),
    ("no-configuration", 503, "The VM has no configuration yet"),
    ("leaving", 503, "The VM is leaving"),
    ("isolated", 503, "The VM can't confirm keys"),
    ("deadline-exceeded", 504, "The deadline passed before the request was sent"),
    ("idempotency-store-unavailable", 503, "The idempotency key can't be claimed"),
    ("idempotency-key-reused", 422, "The idempotency key names another request"),
    ("in-progress", 409, "The first request with this idempotency key still runs"),
    ("idempotency-key-void", 409, "The VM that issued the key is gone"),
)
_UNKNOWN_KINDS = (
    ("outcome-unknown", 502, "The request may have run"),
    ("idempotency-outcome-unknown", 409, "An earlier request may have run"),
)

REFUSAL_KIND_BY_NAME = {
    name: RefusalKind(name, status, title) for name, status, title in _NOT_RUN_KINDS
} | {
    name: RefusalKind(name, status, title, RequestOutcome.UNKNOWN)
    for name, status, title in _UNKNOWN_KINDS
}


@dataclass(frozen=True)
class Refusal:
    """The final answer to a request that was given up.

    Parameters
    ----------
    kind : str
        A name in `REFUSAL_KIND_BY_NAME`.
    detail : str
        What was found, with the value that was refused; never a key.
    retry_after : Millis or None
        When the caller may come back; None if coming back won't help.
    """

    kind: str
    detail: str = ""
    retry_after: Millis | None = None

    def __post_init__(self) -> None:
        assert self.kind in REFUSAL_KIND_BY_NAME, f"no refusal kind {self.kind!r}"

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return REFUSAL_KIND_BY_NAME[self.kind].status

    @property
    def outcome(self) -> RequestOutcome:
        """Whether the request is known not to have run."""
        return REFUSAL_KIND_BY_NAME[self.kind].outcome

    def headers(self) -> list[tuple[str, str]]:
        """Return the HTTP headers of the refusal."""
        headers = [("Content-Type", PROBLEM_CONTENT_TYPE)]
        if self.retry_after is not None:
            seconds = math.ceil(max(self.retry_after, 1.0) / MILLIS_PER_SECOND)
            headers.append(("Retry-After", str(seconds)))
        if self.status == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        return headers

    def body(self, request_id: str) -> bytes:
        """Return the problem details as JSON."""
        kind = REFUSAL_KIND_BY_NAME[self.kind]
        problem = {
            "type": TYPE_PREFIX + kind.name,
            "title": kind.title,
            "status": kind.status,
            "detail": self.detail,
            "outcome": kind.outcome.value,
            "request_id": request_id,
        }
        if self.retry_after is not None:
            problem["retry_after_ms"] = round(self.retry_after)
        return msgspec.json.encode(problem)
