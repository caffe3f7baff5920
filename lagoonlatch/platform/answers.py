"""What an HTTP answer of the platform, or its absence, says of a call's effect."""

from __future__ import annotations

from typing import TypeVar

from returns.result import Failure, Result

from lagoonlatch.platform import gateway
from lagoonlatch.platform.connections import Answer, CallFailed
from lagoonlatch.platform.store import (
    StoreError,
    StoreLeaseEnded,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

M = TypeVar("M")

_OK = 200
_NOT_FOUND = 404
_FIRST_SERVER_ERROR = 500


def read_answer(
    outcome: Result[Answer, CallFailed], kind: type[M]
) -> Result[M, StoreError]:
    """Return the message; every failure of a read is one without effect."""
    if isinstance(outcome, Failure):
        return Failure(StoreUnavailable(outcome.failure().reason))
    answer = outcome.unwrap()
    if answer.status != _OK:
        return Failure(StoreUnavailable(_refusal(answer)))
    return gateway.decode_message(answer.body, kind).alt(StoreUnavailable)


def write_answer(
    outcome: Result[Answer, CallFailed], kind: type[M], lease: int
) -> Result[M, StoreError]:
    """Return the message, or whether the write may have taken effect."""
    if isinstance(outcome, Failure):
        failed = outcome.failure()
        error = StoreOutcomeUnknown if failed.sent else StoreUnavailable
        return Failure(error(failed.reason))
    answer = outcome.unwrap()
    if answer.status == _OK:
        return gateway.decode_message(answer.body, kind).alt(StoreOutcomeUnknown)
    return Failure(_write_refusal(answer, lease))


def _write_refusal(answer: Answer, lease: int) -> StoreError:
    reason = _refusal(answer)
    if lease and answer.status == _NOT_FOUND and gateway.LEASE_NOT_FOUND in reason:
        return StoreLeaseEnded(lease)
    if answer.status < _FIRST_SERVER_ERROR or gateway.NO_LEADER in reason:
        return StoreUnavailable(reason)
    return StoreOutcomeUnknown(reason)


def _refusal(answer: Answer) -> str:
    error = gateway.decode_message(answer.body, gateway.GatewayError)
    message = error.map(lambda decoded: decoded.message).value_or("")
    return f"HTTP {answer.status}: {message}"
