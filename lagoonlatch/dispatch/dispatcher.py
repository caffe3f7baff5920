"""Dispatches requests to the VMs that own instances of a service."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.clock import Clock, Millis
from lagoonlatch.dispatch.moves import MovePlanner
from lagoonlatch.dispatch.request import Answer, CallerRequest
from lagoonlatch.dispatch.retries import RetryBudget
from lagoonlatch.routing.selection import LoadOf, Place, Selection
from lagoonlatch.upstreams.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UpstreamOutcome,
    UpstreamRequest,
)

MAX_ATTEMPTS = 4
DEFAULT_RETRY_AFTER: Millis = 1_000.0

_REFUSAL_BY_REASON = {
    NotRunReason.NO_CAPACITY: "no-capacity",
    NotRunReason.DEADLINE: "deadline-exceeded",
    NotRunReason.QUARANTINED: "quarantined",
    NotRunReason.CANCELLED: "deadline-exceeded",
    NotRunReason.MALFORMED: "malformed-request",
}
_FINAL_REASONS = frozenset(
    {NotRunReason.QUARANTINED, NotRunReason.CANCELLED, NotRunReason.MALFORMED}
)


class Fleet(Protocol):
    """The places among which a dispatcher chooses, and the calls to their VMs."""

    def places(self, service: str) -> Sequence[Place]:
        """Return the places that may serve `service` now."""

    def load_of(self, service: str) -> LoadOf:
        """Return the known load of each place."""

    def execute(self, place: Place, request: UpstreamRequest) -> UpstreamOutcome:
        """Have the VM of `place` run the request on one of its instances."""

    def remaining_quarantine(self, fingerprint: str) -> Millis:
        """Return how much longer a request is quarantined, 0 if it isn't."""


class Dispatcher:
    """Finds a place for each request, with bounded retries.

    A request that was not run may be sent to another place, even if it is not
    idempotent. A request that may have run is sent again at most once, and only if it
    is idempotent and the retry budget allows it.

    Parameters
    ----------
    region : str
        The region of this VM.
    """

    def __init__(
        self,
        region: str,
        fleet: Fleet,
        selection: Selection,
        moves: MovePlanner,
        clock: Clock,
        budget: RetryBudget | None = None,
    ) -> None:
        self._dependencies = _Dependencies(
            region, fleet, selection, moves, clock, budget or RetryBudget()
        )

    def dispatch(self, request: CallerRequest) -> Result[Answer, Refusal]:
        """Return the upstream's complete answer, or the final refusal."""
        self._dependencies.budget.record_request()
        return _Attempts(self._dependencies, request).run()


@dataclass(frozen=True)
class _Dependencies:
    """The objects that the attempts at all requests share."""

    region: str
    fleet: Fleet
    selection: Selection
    moves: MovePlanner
    clock: Clock
    budget: RetryBudget


class _Attempts:
    """The successive attempts at one request."""

    def __init__(self, dependencies: _Dependencies, request: CallerRequest) -> None:
        self._dependencies = dependencies
        self._request = request
        self._fingerprint = request.fingerprint()
        self._tried: set[str] = set()
        self._may_have_run = False
        self._refusal: Refusal | None = None

    def run(self) -> Result[Answer, Refusal]:
        for move in self._move_of_each_attempt():
            quarantine_time = self._dependencies.fleet.remaining_quarantine(
                self._fingerprint
            )
            if quarantine_time > 0.0:
                return Failure(
                    self._final_refusal(_quarantine_refusal(quarantine_time))
                )
            chosen = self._choose_place(move)
            if isinstance(chosen, Failure):
                self._refusal = self._refusal or chosen.failure()
                if move:
                    # The destination of the move has no place; try without the move.
                    continue
                break
            outcome = self._attempt(chosen.unwrap(), move)
            if isinstance(outcome, Success):
                return outcome
            if not self._should_try_again(outcome.failure()):
                break
        return Failure(self._final_refusal(self._refusal))

    def _move_of_each_attempt(self):
        """Yield the id of each attempt's move, empty for an attempt without a move."""
        # Only the first attempt can be moved. If it fails, the next attempts are made
        # without a move.
        request = self._request
        move = self._dependencies.moves.select_move(
            request.service, self._dependencies.region
        )
        if move:
            yield move
        for _ in range(MAX_ATTEMPTS):
            yield ""

    def _choose_place(self, move: str) -> Result[Place, Refusal]:
        service = self._request.service
        fleet = self._dependencies.fleet
        places = [
            candidate
            for candidate in fleet.places(service)
            if candidate.vm not in self._tried
        ]
        if move:
            destination = self._dependencies.moves.destination(move)
            places = [
                candidate for candidate in places if candidate.region == destination
            ]
        if not places:
            detail = f"service {service!r} has no reachable upstream left to try"
            return Failure(Refusal("no-upstream", detail, DEFAULT_RETRY_AFTER))
        return Success(
            self._dependencies.selection.choose(places, fleet.load_of(service))
        )

    def _attempt(self, place: Place, move: str) -> Result[Answer, NotRun | Unknown]:
        if not move:
            self._tried.add(place.vm)
        remaining = self._request.deadline - self._dependencies.clock.now()
        if remaining <= 0.0:
            return Failure(NotRun(NotRunReason.CANCELLED, DEFAULT_RETRY_AFTER))
        outcome = self._dependencies.fleet.execute(
            place, self._upstream_request(remaining, move)
        )
        if move:
            self._record_move_outcome(move, outcome)
        if isinstance(outcome, Success):
            return Success(_answer(outcome.unwrap()))
        return Failure(outcome.failure())

    def _record_move_outcome(self, move: str, outcome: UpstreamOutcome) -> None:
        moves = self._dependencies.moves
        if isinstance(outcome, Success):
            moves.record_success(move)
            return
        failure = outcome.failure()
        if isinstance(failure, NotRun) and failure.reason is NotRunReason.MOVE_CAP:
            moves.record_cap_refusal(move, failure.retry_after)
        else:
            moves.record_failure(move)

    def _should_try_again(self, failure: NotRun | Unknown) -> bool:
        if isinstance(failure, NotRun):
            self._refusal = _refusal_of(failure)
            return failure.reason not in _FINAL_REASONS
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        if may_have_run_before or not self._request.idempotent:
            return False
        return self._dependencies.budget.consume()

    def _final_refusal(self, refusal: Refusal | None) -> Refusal:
        if self._may_have_run:
            # Only an idempotent request can safely be sent again by the caller.
            caller_retry_after = (
                DEFAULT_RETRY_AFTER if self._request.idempotent else None
            )
            return Refusal(
                "outcome-unknown", "an upstream's answer was lost", caller_retry_after
            )
        assert refusal is not None, "a request without an answer must have a refusal"
        return refusal

    def _upstream_request(self, remaining: Millis, move: str) -> UpstreamRequest:
        request = self._request
        return UpstreamRequest(
            request_id=request.request_id,
            organisation=request.organisation,
            service_id=request.service,
            method=request.method,
            target=request.target,
            deadline=remaining,
            headers=request.headers,
            body=request.body,
            idempotent=request.idempotent,
            move=move,
            fingerprint=self._fingerprint,
        )


def _answer(answered: Answered) -> Answer:
    return Answer(answered.status, answered.headers, answered.body)


def _quarantine_refusal(quarantine_time: Millis) -> Refusal:
    detail = "earlier runs of the same request made upstreams die"
    return Refusal("quarantined", detail, quarantine_time)


def _refusal_of(failure: NotRun) -> Refusal:
    kind = _REFUSAL_BY_REASON.get(failure.reason, "no-upstream")
    return Refusal(kind, failure.reason.value, failure.retry_after)
