"""Conversion of forwarded requests between thrift structs and data classes."""

from __future__ import annotations

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal, RequestOutcome
from lagoonlatch.clock import Millis
from lagoonlatch.dispatch.request import Answer, CallerRequest
from lagoonlatch.upstreams.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    UpstreamOutcome,
    UpstreamRequest,
)
from lagoonlatch.vms.generated import ttypes


def execute_to_thrift(request: UpstreamRequest) -> ttypes.ExecuteRequest:
    """Return the struct of a request for another VM's instances."""
    return ttypes.ExecuteRequest(
        request_id=request.request_id,
        organisation=request.organisation,
        service_id=request.service_id,
        upstream=request.upstream,
        method=request.method,
        target=request.target,
        headers=_headers_to_thrift(request.headers),
        body=request.body,
        deadline=request.deadline,
        idempotent=request.idempotent,
        move=request.move,
        fingerprint=request.fingerprint,
    )


def execute_from_thrift(struct: ttypes.ExecuteRequest) -> UpstreamRequest:
    """Return the request of a struct."""
    return UpstreamRequest(
        request_id=struct.request_id,
        organisation=struct.organisation,
        service_id=struct.service_id,
        upstream=struct.upstream or "",
        method=struct.method,
        target=struct.target,
        headers=_headers_from_thrift(struct.headers),
        body=struct.body or b"",
        deadline=struct.deadline,
        idempotent=bool(struct.idempotent),
        move=struct.move or "",
        fingerprint=struct.fingerprint or "",
    )


def outcome_to_thrift(request_id: str, outcome: UpstreamOutcome) -> ttypes.ExecuteReply:
    """Return the struct of what came of a request."""
    match outcome:
        case Success(Answered() as answered):
            return _answered_to_thrift(request_id, answered)
        case Failure(NotRun() as not_run):
            return ttypes.ExecuteReply(
                request_id=request_id,
                outcome=ttypes.Outcome.NOT_RUN,
                reason=not_run.reason.value,
                retry_after=not_run.retry_after,
            )
        case Failure(Unknown() as unknown):
            return ttypes.ExecuteReply(
                request_id=request_id,
                outcome=ttypes.Outcome.UNKNOWN,
                reason=unknown.reason.value,
                upstream_died=unknown.upstream_died,
            )
    raise AssertionError(f"no such outcome: {outcome!r}")


def outcome_from_thrift(
    request_id: str, struct: ttypes.ExecuteReply
) -> UpstreamOutcome:
    """Return the outcome of a struct; unknown if it is for another request."""
    if struct.request_id != request_id:
        return Failure(Unknown(UnknownReason.CROSSED))
    if struct.outcome == ttypes.Outcome.ANSWERED:
        return Success(_answered_from_thrift(struct))
    if struct.outcome == ttypes.Outcome.NOT_RUN:
        reason = NotRunReason(struct.reason)
        return Failure(NotRun(reason, struct.retry_after or 0.0))
    reason = UnknownReason(struct.reason)
    return Failure(Unknown(reason, bool(struct.upstream_died)))


def relay_to_thrift(
    request: CallerRequest, incarnation: int, remaining: Millis
) -> ttypes.RelayRequest:
    """Return the struct of a request for the VM that holds its idempotency key.

    Parameters
    ----------
    incarnation : int
        The run of the VM that holds the key.
    remaining : Millis
        Time left until the request's deadline.
    """
    return ttypes.RelayRequest(
        request_id=request.request_id,
        organisation=request.organisation,
        service_id=request.service,
        method=request.method,
        target=request.target,
        headers=_headers_to_thrift(request.headers),
        body=request.body,
        deadline=remaining,
        idempotency_key=request.idempotency_key,
        incarnation=incarnation,
    )


def relay_from_thrift(struct: ttypes.RelayRequest, now: Millis) -> CallerRequest:
    """Return the request of a struct that arrived at `now`."""
    return CallerRequest(
        request_id=struct.request_id,
        organisation=struct.organisation,
        service=struct.service_id,
        method=struct.method,
        target=struct.target,
        headers=_headers_from_thrift(struct.headers),
        body=struct.body or b"",
        deadline=now + struct.deadline,
        idempotent=False,
        idempotency_key=struct.idempotency_key,
    )


def result_to_thrift(
    request_id: str, result: Result[Answer, Refusal]
) -> ttypes.ExecuteReply:
    """Return the struct of the final result of a relayed request."""
    if isinstance(result, Success):
        answer = result.unwrap()
        answered = Answered(answer.status, answer.headers, answer.body)
        return _answered_to_thrift(request_id, answered)
    refusal = result.failure()
    not_run = refusal.outcome is RequestOutcome.NOT_RUN
    return ttypes.ExecuteReply(
        request_id=request_id,
        outcome=ttypes.Outcome.NOT_RUN if not_run else ttypes.Outcome.UNKNOWN,
        reason=refusal.kind,
        body=refusal.detail.encode(),
        retry_after=refusal.retry_after,
    )


def result_from_thrift(struct: ttypes.ExecuteReply) -> Result[Answer, Refusal]:
    """Return the final result of a struct."""
    if struct.outcome == ttypes.Outcome.ANSWERED:
        answered = _answered_from_thrift(struct)
        return Success(Answer(answered.status, answered.headers, answered.body))
    detail = (struct.body or b"").decode()
    return Failure(Refusal(struct.reason, detail, struct.retry_after))


def _answered_to_thrift(request_id: str, answered: Answered) -> ttypes.ExecuteReply:
    return ttypes.ExecuteReply(
        request_id=request_id,
        outcome=ttypes.Outcome.ANSWERED,
        status=answered.status,
        headers=_headers_to_thrift(answered.headers),
        body=answered.body,
    )


def _answered_from_thrift(struct: ttypes.ExecuteReply) -> Answered:
    headers = _headers_from_thrift(struct.headers)
    return Answered(struct.status, headers, struct.body or b"")


def _headers_to_thrift(headers: Iterable[tuple[str, str]]) -> list[ttypes.Header]:
    return [ttypes.Header(name, value) for name, value in headers]


def _headers_from_thrift(
    structs: Iterable[ttypes.Header] | None,
) -> tuple[tuple[str, str], ...]:
    return tuple((item.name, item.value) for item in structs or ())
