"""The way of one request: checks, a place, attempts, the final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import xxhash
from gevent.event import AsyncResult, Event

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.attempts import AttemptRunner
from lagoonlatch.entry.events import RequestEnded
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import (
    CONNECTION_FIELDS,
    Answered,
    CallerAnswer,
    CallerRequest,
    FailureKind,
    NotRun,
    Unknown,
    UpstreamAnswer,
    UpstreamRequest,
)
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.slots import SlotClient
from lagoonlatch.platform.headers import (
    for_callers,
    is_own_request_field,
    own_request_fields,
    retry_after,
)
from lagoonlatch.steering.admission import Admission, retry_delay_after_rest
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.model import Organisation, Route
from lagoonlatch.steering.placement import Candidates, Placement, PlacementRequest
from lagoonlatch.steering.queueing import RequestPriority, WaitingQueue
from lagoonlatch.steering.retries import RetryBudget
from lagoonlatch.steering.splits import Splitter
from lagoonlatch.steering.upstreams import UpstreamState
from lagoonlatch.upstreams.quarantine import Quarantine

UNREADY_RETRY: Millis = 1_000.0
"""When to come back to a VM that knows no configuration yet."""

LEAVING_RETRY: Millis = 10.0
"""Another VM can take the request at once."""

NO_UPSTREAM_RETRY: Millis = 500.0
"""When to come back if no upstream may take the request."""

_RETRIED_STATUSES = frozenset({500, 502, 503, 504})


@dataclass
class _Journey:
    """What is known of one request on its way."""

    request: CallerRequest
    route: Route
    organisation: Organisation | None
    service: str
    regions: frozenset[str]
    deadline: Millis
    tried: set[str] = field(default_factory=set)
    reached: int = 0
    may_have_run: bool = False
    failed_answer: UpstreamAnswer | None = None
    last: str = ""
    waited: Millis = 0.0
    fingerprint: str = ""

    def object_name(self) -> str:
        """Return what the request is about; empty if it doesn't matter."""
        affinity = self.request.fields.affinity
        return f"{self.route.id}/{affinity}" if affinity else ""

    def request_priority(self) -> RequestPriority:
        organisation = self.organisation
        return RequestPriority(
            organisation=organisation.priority if organisation is not None else 0,
            route=self.route.priority,
        )


class SlotWaiter:
    """Waits for an upstream with a free slot."""

    def __init__(self) -> None:
        self._offered: AsyncResult = AsyncResult()

    def cancel_wait(self) -> None:
        """Tell that none of the upstreams that it waits for may be used any more."""
        self._offered.set(None)

    def offer(self, upstream: UpstreamState) -> None:
        """Hand over a place."""
        # It counts as taken at once, so that the next in line sees it.
        upstream.in_flight += 1
        self._offered.set(upstream)

    def await_offer(self, wait: Millis) -> UpstreamState | None:
        """Return the place, None if there is none within `wait`.

        Raises
        ------
        DisplacedError
            If the request must be placed again.
        """
        try:
            self._offered.wait(timeout=wait / MILLIS_PER_SECOND)
        finally:
            # Also when the caller has left meanwhile and this task is ended.
            if self._offered.value is not None:
                self._offered.value.in_flight -= 1
        if self._offered.ready() and self._offered.value is None:
            raise DisplacedError
        return self._offered.value


class DisplacedError(Exception):
    """A request waits for upstreams of which none may be used any more."""


class RequestHandler:
    """Answers the requests of callers."""

    def __init__(
        self,
        facts: Facts,
        placement: Placement,
        admission: Admission,
        allowances: Allowances,
        repeats: RetryBudget,
        attempts: AttemptRunner,
        waiting: WaitingQueue,
        slots: SlotClient,
        borrow: Callable[[str], bool],
        quarantine: Quarantine,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        self._facts = facts
        self._placement = placement
        self._admission = admission
        self._allowances = allowances
        self._repeats = repeats
        self._attempts = attempts
        self._waiting = waiting
        self._slots = slots
        self._borrow = borrow
        self._quarantine = quarantine
        self._metrics = metrics
        self._clock = clock
        self._splitter = Splitter()
        self._is_closed = False
        self._someone_waits = Event()

    def close(self) -> None:
        """Refuse further requests, since the VM is about to end."""
        self._is_closed = True

    def wait_for_queued_requests(self) -> None:
        """Return when requests wait for a slot."""
        if not len(self._waiting):
            self._someone_waits.clear()
        self._someone_waits.wait()

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to a request."""
        rules = self._facts.rules
        if self._is_closed:
            why = "the VM is about to end"
            return self._turn_away(
                request, HTTPStatus.SERVICE_UNAVAILABLE, why, LEAVING_RETRY
            )
        if rules is None:
            why = "no configuration known"
            return self._turn_away(
                request, HTTPStatus.SERVICE_UNAVAILABLE, why, UNREADY_RETRY
            )
        route = rules.find_route(request.host, request.path)
        if route is None:
            return self._turn_away(request, HTTPStatus.NOT_FOUND, "no route")
        organisation: Organisation | None = None
        if not route.is_open:
            organisation = rules.organisation_by_key.get(request.fields.key or "")
            if organisation is None:
                return self._turn_away(request, HTTPStatus.UNAUTHORIZED, "no valid key")
        return self._serve(request, route, organisation)

    def _turn_away(
        self,
        request: CallerRequest,
        status: HTTPStatus,
        why: str,
        wait: Millis | None = None,
    ) -> CallerAnswer:
        """Answer a request that belongs to no route."""
        self._log_end(request, status, why)
        headers = [] if wait is None else [retry_after(wait)]
        return CallerAnswer(status=int(status), headers=headers)

    def _serve(
        self, request: CallerRequest, route: Route, organisation: Organisation | None
    ) -> CallerAnswer:
        time_left = request.fields.time_left
        allowed = route.timeout if time_left is None else min(time_left, route.timeout)
        journey = _Journey(
            request=request,
            route=route,
            organisation=organisation,
            service=self._splitter.choose(route),
            regions=_homes(route, organisation),
            deadline=request.received + allowed,
            fingerprint=_fingerprint(request, organisation),
        )
        banned = self._quarantine.refused_for(journey.fingerprint)
        if banned > 0.0:
            return self._give_up(journey, "quarantined", banned)
        if organisation is not None:
            wait = self._take_token(organisation.id)
            if wait is not None:
                self._end(journey, HTTPStatus.TOO_MANY_REQUESTS, "over allowance")
                return CallerAnswer(
                    status=HTTPStatus.TOO_MANY_REQUESTS, headers=[retry_after(wait)]
                )
        self._repeats.note_request(journey.service)
        answer = self._travel(journey)
        if organisation is not None and not journey.reached:
            self._allowances.refund(organisation.id)
        return answer

    def _take_token(self, organisation: str) -> Millis | None:
        """Return None, or when to come back if the allowance is spent."""
        wait = self._allowances.consume(organisation)
        if wait is not None and self._borrow(organisation):
            wait = self._allowances.consume_counted(organisation)
        return wait

    def _travel(self, journey: _Journey) -> CallerAnswer:
        while True:
            left = journey.deadline - self._clock.now()
            if left <= 0.0:
                return self._give_up(journey, "out of time")
            upstream = self._find_place(journey)
            if upstream is None:
                return self._refuse_place(journey)
            try:
                answer = self._use_place(journey, upstream)
            finally:
                self._slots.release(upstream)
            self._waiting.offer_slots()
            if answer is not None:
                return answer

    def _refuse_place(self, journey: _Journey) -> CallerAnswer:
        rest_times = self._placement.rest_times(self._wish(journey))
        if rest_times:
            return self._give_up(
                journey, "upstreams rest", retry_delay_after_rest(rest_times)
            )
        wait = self._admission.retry_delay(journey.route)
        return self._give_up(journey, "no room", wait)

    def _wish(self, journey: _Journey) -> PlacementRequest:
        return PlacementRequest(
            service=journey.service,
            object_name=journey.object_name(),
            regions=journey.regions,
            tried=frozenset(journey.tried),
        )

    def _use_place(
        self, journey: _Journey, upstream: UpstreamState
    ) -> CallerAnswer | None:
        if journey.reached and not self._repeats.consume(journey.service):
            return self._give_up(journey, "no repeats left")
        return self._attempt(journey, upstream, journey.deadline - self._clock.now())

    def _find_place(self, journey: _Journey) -> UpstreamState | None:
        """Return an upstream of which a slot was taken; None if none is to be had."""
        while True:
            try:
                upstream = self._take_place(journey)
            except DisplacedError:
                continue
            if upstream is None or self._placement.may_use(upstream):
                return upstream
            # It has left, or its data centre was evacuated, during the claim.
            self._slots.release(upstream)

    def _take_place(self, journey: _Journey) -> UpstreamState | None:
        route = journey.route
        candidates = self._placement.candidates(
            self._wish(journey), self._admission.affinity_wait(route)
        )
        left = journey.deadline - self._clock.now()
        longest = self._admission.longest_wait(route, left)
        if not candidates.upstreams or longest <= 0.0:
            return None
        started = self._clock.now()
        number = self._waiting.next_ticket()
        try:
            return self._take_slot(journey, number, candidates, longest)
        finally:
            self._slots.remove(number)
            waited = self._clock.now() - started
            journey.waited += waited
            self._metrics.waited(journey.service, waited)

    def _take_slot(
        self, journey: _Journey, number: int, candidates: Candidates, longest: Millis
    ) -> UpstreamState | None:
        """Take a slot of a candidate, waiting for one up to `longest`.

        The homes of the upstreams order the requests of all VMs, so each request asks
        there before it waits.
        """
        request_priority = journey.request_priority()
        has_asked = False
        started = self._clock.now()
        while True:
            waited = self._clock.now() - started
            first = candidates.upstreams[0]
            upstream = self._placement.pick(candidates, waited)
            if upstream is None and not has_asked and self._placement.is_warm(first):
                upstream = first
            has_asked = True
            if upstream is None:
                expected = self._admission.expected_wait(
                    journey.route, first.reported_ahead(), first.record.slots
                )
                if expected > longest - waited or waited >= longest:
                    return None
                upstream = self._await_offer(
                    number, request_priority, candidates, waited, longest
                )
            if upstream is None:
                return None
            waited = self._clock.now() - started
            if self._slots.claim(upstream, request_priority.key(), number, waited):
                return upstream

    def _await_offer(
        self,
        number: int,
        request_priority: RequestPriority,
        candidates: Candidates,
        waited: Millis,
        longest: Millis,
    ) -> UpstreamState | None:
        recipient = SlotWaiter()
        self._waiting.enqueue(number, request_priority, candidates, recipient, waited)
        self._someone_waits.set()
        try:
            return recipient.await_offer(longest - waited)
        finally:
            self._waiting.remove(number)

    def _attempt(
        self, journey: _Journey, upstream: UpstreamState, left: Millis
    ) -> CallerAnswer | None:
        """Try one upstream; return the final answer unless another may be tried."""
        journey.request.may_cancel = journey.route.is_idempotent
        journey.tried.add(upstream.record.id)
        upstream.note_object(journey.object_name())
        outcome = self._attempts.run(
            upstream,
            _to_upstream(journey, upstream.record.id, left),
            left,
            journey.route.id,
            journey.fingerprint,
        )
        journey.last = upstream.record.id
        if not (isinstance(outcome, NotRun) and not outcome.reached):
            journey.reached += 1
        match outcome:
            case Answered(answer):
                return self._take_answer(journey, answer)
            case NotRun():
                if journey.reached < max(journey.route.max_attempts, 1):
                    return None
                return self._give_up(journey, "turned away")
            case Unknown(how=how):
                journey.may_have_run = True
                if self._may_repeat(journey) and how is not FailureKind.OUT_OF_TIME:
                    return None
                return self._give_up(journey, "no answer")

    def _take_answer(
        self, journey: _Journey, answer: UpstreamAnswer
    ) -> CallerAnswer | None:
        journey.may_have_run = True
        if answer.status in _RETRIED_STATUSES and self._may_repeat(journey):
            journey.failed_answer = answer
            return None
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._end(journey, answer.status, "upstream failed" if failed else "")
        return _pass_on(answer)

    def _may_repeat(self, journey: _Journey) -> bool:
        return journey.route.is_idempotent and (
            journey.reached < journey.route.max_attempts
        )

    def _give_up(
        self, journey: _Journey, reason: str, wait: Millis = NO_UPSTREAM_RETRY
    ) -> CallerAnswer:
        if journey.failed_answer is not None:
            self._end(journey, journey.failed_answer.status, reason)
            return _pass_on(journey.failed_answer)
        if not journey.may_have_run:
            self._end(journey, HTTPStatus.SERVICE_UNAVAILABLE, reason)
            return _refusal(wait)
        is_late = self._clock.now() >= journey.deadline
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
        self._end(journey, status, reason)
        return CallerAnswer(status=status)

    def _end(self, journey: _Journey, status: int, why: str) -> None:
        organisation = journey.organisation
        self._log_end(
            journey.request,
            status,
            why,
            route=journey.route.id,
            service=journey.service,
            organisation=organisation.id if organisation is not None else "",
            upstream=journey.last,
            attempts=journey.reached,
            waited=journey.waited,
        )

    def _log_end(
        self,
        request: CallerRequest,
        status: int,
        why: str,
        *,
        route: str = "",
        service: str = "",
        organisation: str = "",
        upstream: str = "",
        attempts: int = 0,
        waited: Millis = 0.0,
    ) -> None:
        """Count and log a final answer; what isn't known stays empty."""
        total = self._clock.now() - request.received
        self._metrics.request_ended(route, int(status), why, total)
        emit(
            RequestEnded(
                request=request.fields.request_id.decode("latin-1"),
                status=int(status),
                why=why,
                route=route,
                service=service,
                organisation=organisation,
                upstream=upstream,
                attempts=attempts,
                waited_ms=round(waited),
                total_ms=round(total),
                config=self._facts.rules.version if self._facts.rules else 0,
                facts_age_ms=round(self._facts.age()),
            )
        )


def _homes(route: Route, organisation: Organisation | None) -> frozenset[str]:
    """Return the regions allowed by both; a region of neither if they share none."""
    homes = organisation.home_regions if organisation is not None else frozenset()
    if not route.home_regions or not homes:
        return route.home_regions or homes
    return (route.home_regions & homes) or frozenset({""})


def _fingerprint(request: CallerRequest, organisation: Organisation | None) -> str:
    """Name a request so that its repeats by the caller have the same name."""
    digest = xxhash.xxh3_64()
    name = organisation.id if organisation is not None else ""
    for part in (name.encode(), request.method, request.host.encode(), request.target):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def _to_upstream(journey: _Journey, upstream: str, left: Millis) -> UpstreamRequest:
    request = journey.request
    organisation = journey.organisation
    named = _named_by_connection(request)
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in CONNECTION_FIELDS
        and name.lower() not in named
        and not is_own_request_field(name.lower())
    ]
    headers += own_request_fields(
        upstream, left, organisation.id if organisation is not None else None
    )
    return UpstreamRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        has_body=request.has_body,
        request_id=request.fields.request_id,
    )


def _named_by_connection(request: CallerRequest) -> frozenset[bytes]:
    """Return the further fields that concern only the caller's connection."""
    return frozenset(
        token.strip().lower()
        for name, value in request.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    )


def _pass_on(answer: UpstreamAnswer) -> CallerAnswer:
    headers = for_callers(answer.status, answer.headers)
    return CallerAnswer(status=answer.status, headers=headers, body=answer.body)


def _refusal(wait: Millis) -> CallerAnswer:
    return CallerAnswer(
        status=HTTPStatus.SERVICE_UNAVAILABLE, headers=[retry_after(wait)]
    )
