"""Sends a request to the owner of an instance and settles what came of it."""

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
    """The other side of the dispatcher: places and the way to them."""

    def places(self, service: str) -> Sequence[Place]:
        """Return the places that may serve `service` now."""

    def load_of(self, service: str) -> LoadOf:
        """Return the load of each place as known here."""

    def execute(self, place: Place, request: UpstreamRequest) -> UpstreamOutcome:
        """Have the owner at `place` run the request."""

    def remaining_quarantine(self, fingerprint: str) -> Millis:
        """Return how much longer a request is quarantined, 0 if it isn't."""


class Dispatcher:
    """Finds a place for each request, with bounded retries.

    A request that was not run may go to another place, whatever its kind. One that
    may have run goes elsewhere only if it is idempotent, once, within the budget.

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
        self._parts = _Parts(
            region, fleet, selection, moves, clock, budget or RetryBudget()
        )

    def dispatch(self, request: CallerRequest) -> Result[Answer, Refusal]:
        """Return the upstream's whole answer, or the final refusal."""
        self._parts.budget.earn()
        return _Attempts(self._parts, request).run()


@dataclass(frozen=True)
class _Parts:
    """What the attempts at every request use."""

    region: str
    fleet: Fleet
    selection: Selection
    moves: MovePlanner
    clock: Clock
    budget: RetryBudget


class _Attempts:
    """The attempts at one request, one after the other."""

    def __init__(self, parts: _Parts, request: CallerRequest) -> None:
        self._parts = parts
        self._request = request
        self._fingerprint = request.fingerprint()
        self._tried: set[str] = set()
        self._may_have_run = False
        self._refusal: Refusal | None = None

    def run(self) -> Result[Answer, Refusal]:
        for move in self._moves_to_try():
            held_for = self._parts.fleet.remaining_quarantine(self._fingerprint)
            if held_for > 0.0:
                return Failure(self._settled(_quarantine_refusal(held_for)))
            chosen = self._choose(move)
            if isinstance(chosen, Failure):
                self._refusal = self._refusal or chosen.failure()
                if move:
                    continue
                break
            outcome = self._attempt(chosen.unwrap(), move)
            if isinstance(outcome, Success):
                return outcome
            if not self._goes_on(outcome.failure()):
                break
        return Failure(self._settled(self._refusal))

    def _moves_to_try(self):
        # Only a first attempt is moved; what the destination refuses stays here.
        request = self._request
        move = self._parts.moves.draw(request.service, self._parts.region)
        if move:
            yield move
        for _ in range(MAX_ATTEMPTS):
            yield ""

    def _choose(self, move: str) -> Result[Place, Refusal]:
        service = self._request.service
        fleet = self._parts.fleet
        places = [item for item in fleet.places(service) if item.vm not in self._tried]
        if move:
            destination = self._parts.moves.destination(move)
            places = [item for item in places if item.region == destination]
        if not places:
            detail = f"service {service!r} has no reachable upstream left to try"
            return Failure(Refusal("no-upstream", detail, DEFAULT_RETRY_AFTER))
        return Success(self._parts.selection.choose(places, fleet.load_of(service)))

    def _attempt(self, place: Place, move: str) -> Result[Answer, NotRun | Unknown]:
        if not move:
            self._tried.add(place.vm)
        remaining = self._request.deadline - self._parts.clock.now()
        if remaining <= 0.0:
            return Failure(NotRun(NotRunReason.CANCELLED, DEFAULT_RETRY_AFTER))
        outcome = self._parts.fleet.execute(
            place, self._upstream_request(remaining, move)
        )
        if move:
            self._note_move(move, outcome)
        if isinstance(outcome, Success):
            return Success(_answer(outcome.unwrap()))
        return Failure(outcome.failure())

    def _note_move(self, move: str, outcome: UpstreamOutcome) -> None:
        moves = self._parts.moves
        if isinstance(outcome, Success):
            moves.succeeded(move)
            return
        failure = outcome.failure()
        if isinstance(failure, NotRun) and failure.reason is NotRunReason.MOVE_CAP:
            moves.refused(move, failure.retry_after)
        else:
            moves.failed(move)

    def _goes_on(self, failure: NotRun | Unknown) -> bool:
        if isinstance(failure, NotRun):
            self._refusal = _refusal_of(failure)
            return failure.reason not in _FINAL_REASONS
        retried = self._may_have_run
        self._may_have_run = True
        if retried or not self._request.idempotent:
            return False
        return self._parts.budget.spend()

    def _settled(self, refusal: Refusal | None) -> Refusal:
        if self._may_have_run:
            # Coming back is safe only for a request that may run twice.
            again = DEFAULT_RETRY_AFTER if self._request.idempotent else None
            return Refusal("outcome-unknown", "an upstream's answer was lost", again)
        assert refusal is not None, "a request without answer has a refusal"
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


def _quarantine_refusal(held_for: Millis) -> Refusal:
    detail = "earlier runs of the same request made upstreams die"
    return Refusal("quarantined", detail, held_for)


def _refusal_of(failure: NotRun) -> Refusal:
    kind = _REFUSAL_BY_REASON.get(failure.reason, "no-upstream")
    return Refusal(kind, failure.reason.value, failure.retry_after)
