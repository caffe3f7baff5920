"""Handle one request: check it, acquire a slot, run attempts and answer the caller."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import xxhash
from gevent.event import AsyncResult, Event

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.attempts import AttemptRunner
from lagoonlatch.entry.cancellation import CallerLeftError
from lagoonlatch.entry.events import RequestEnded
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.messages import (
    CALLER_LEFT_STATUS,
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
from lagoonlatch.steering.admission import (
    Admission,
    retry_delay_after_limit,
    retry_delay_after_rest,
)
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.crashes import CRASH_LIMIT, CrashQuarantine
from lagoonlatch.steering.demand import DemandMeter
from lagoonlatch.steering.model import Organisation, Route, RouteKind
from lagoonlatch.steering.placement import Candidates, Placement, PlacementRequest
from lagoonlatch.steering.queueing import RequestPriority, WaitingQueue
from lagoonlatch.steering.retries import RetryBudget
from lagoonlatch.steering.splits import Splitter
from lagoonlatch.steering.upstreams import UpstreamState

UNREADY_RETRY_DELAY: Millis = 1_000.0
"""Delay after which a caller retries at a VM that has no configuration yet."""

SHUTDOWN_RETRY_DELAY: Millis = 10.0
"""Delay for callers of a VM that shuts down; another VM can serve them at once."""

NO_UPSTREAM_RETRY_DELAY: Millis = 500.0
"""Delay after which a caller retries if no upstream may get the request."""

ANSWER_MEMORY_RETRY_DELAY: Millis = 500.0
"""Delay after which a caller retries a download for whose answer this VM has no memory;
its next connection probably leads to another VM."""

_RETRIED_STATUSES = frozenset({500, 502, 503, 504})

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""


@dataclass
class _RequestContext:
    """The state of one request while it is handled.

    Parameters
    ----------
    regions : frozenset of str
        Regions whose upstreams may get the request; empty if all may.
    tried : set of str
        Ids of the upstreams that have been tried.
    attempts : int
        Attempts that reached an upstream.
    may_have_run : bool
        Whether an attempt may have run the request.
    failed_answer : UpstreamAnswer or None
        The latest error answer, which the caller gets if no retry succeeds.
    last_upstream : str
        Id of the upstream that was tried last.
    upstream_status : int
        Status of the latest answer of an upstream; 0 without one.
    waited : Millis
        Time spent waiting for slots.
    fingerprint : str
        Identifies the request; the same if the caller sends the request again.
    limited_by : str
        Id of the first upstream whose rate limit kept the request away.
    """

    request: CallerRequest
    route: Route
    organisation: Organisation | None
    service: str
    regions: frozenset[str]
    deadline: Millis
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False
    failed_answer: UpstreamAnswer | None = None
    last_upstream: str = ""
    upstream_status: int = 0
    waited: Millis = 0.0
    fingerprint: str = ""
    limited_by: str = ""

    def object_name(self) -> str:
        """Return the name of the request's object; empty if it has no affinity."""
        affinity = self.request.fields.affinity
        return f"{self.route.id}/{affinity}" if affinity else ""

    def request_priority(self) -> RequestPriority:
        organisation = self.organisation
        return RequestPriority(
            organisation=organisation.priority if organisation is not None else 0,
            route=self.route.priority,
        )


class SlotWaiter:
    """Blocks a request until a slot of an upstream is offered to it."""

    def __init__(self) -> None:
        self._offered: AsyncResult = AsyncResult()

    def cancel_wait(self) -> None:
        """End the wait with `WaitCancelledError`; no awaited upstream may be used."""
        self._offered.set(None)

    def offer(self, upstream: UpstreamState) -> None:
        """Hand a slot of `upstream` to the request."""
        # Count the slot at once, so that it isn't offered to the next request too.
        upstream.in_flight += 1
        self._offered.set(upstream)

    def await_offer(self, timeout: Millis) -> UpstreamState | None:
        """Return the upstream of the offered slot, or None after `timeout` without one.

        Raises
        ------
        WaitCancelledError
            If none of the awaited upstreams may be used any more.
        """
        try:
            self._offered.wait(timeout=timeout / MILLIS_PER_SECOND)
        finally:
            # This also frees the slot if the caller left and the wait was interrupted.
            if self._offered.value is not None:
                self._offered.value.in_flight -= 1
        if self._offered.ready() and self._offered.value is None:
            raise WaitCancelledError
        return self._offered.value


class WaitCancelledError(Exception):
    """None of the upstreams that a request waits for may be used any more."""


class RequestHandler:
    """Answers the requests of callers.

    Parameters
    ----------
    borrow : callable
        Borrows tokens for an organisation; returns whether a token is available then.
    """

    def __init__(
        self,
        facts: Facts,
        placement: Placement,
        admission: Admission,
        allowances: Allowances,
        retry_budget: RetryBudget,
        attempt_runner: AttemptRunner,
        waiting_queue: WaitingQueue,
        slot_client: SlotClient,
        borrow: Callable[[str], bool],
        quarantine: CrashQuarantine,
        answer_memory_limit: AnswerMemoryLimit,
        demand_meter: DemandMeter,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        self._facts = facts
        self._placement = placement
        self._admission = admission
        self._allowances = allowances
        self._retry_budget = retry_budget
        self._attempt_runner = attempt_runner
        self._waiting_queue = waiting_queue
        self._slot_client = slot_client
        self._borrow = borrow
        self._quarantine = quarantine
        self._answer_memory_limit = answer_memory_limit
        self._demand_meter = demand_meter
        self._metrics = metrics
        self._clock = clock
        self._splitter = Splitter()
        self._is_closed = False
        self._ends_at: Millis = math.inf
        self._has_waiting_requests = Event()

    def set_end(self, at: Millis) -> None:
        """Answer all further requests before `at`, when the VM ends."""
        self._ends_at = at

    def close(self) -> None:
        """Refuse further requests, since the VM is shutting down."""
        self._is_closed = True

    def wait_for_queued_requests(self) -> None:
        """Block until at least one request waits for a slot."""
        if not len(self._waiting_queue):
            self._has_waiting_requests.clear()
        self._has_waiting_requests.wait()

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to a request.

        If the caller has left, the answer has the status `CALLER_LEFT_STATUS`.
        """
        rules = self._facts.rules
        if self._is_closed:
            reason = "the VM is about to end"
            return self._reject(
                request, HTTPStatus.SERVICE_UNAVAILABLE, reason, SHUTDOWN_RETRY_DELAY
            )
        if rules is None:
            reason = "no configuration known"
            return self._reject(
                request, HTTPStatus.SERVICE_UNAVAILABLE, reason, UNREADY_RETRY_DELAY
            )
        route = rules.find_route(request.host, request.path)
        if route is None:
            return self._reject(request, HTTPStatus.NOT_FOUND, "no route")
        organisation: Organisation | None = None
        if not route.is_open:
            organisation = rules.organisation_by_key.get(request.fields.key or "")
            if organisation is None:
                return self._reject(request, HTTPStatus.UNAUTHORIZED, "no valid key")
        return self._serve(request, route, organisation)

    def _reject(
        self,
        request: CallerRequest,
        status: HTTPStatus,
        reason: str,
        retry_delay: Millis | None = None,
    ) -> CallerAnswer:
        """Answer a request that is refused before it is matched to a service."""
        self._log_end(request, status, reason)
        headers = [] if retry_delay is None else [retry_after(retry_delay)]
        return CallerAnswer(status=int(status), headers=headers)

    def _serve(
        self, request: CallerRequest, route: Route, organisation: Organisation | None
    ) -> CallerAnswer:
        time_left = request.fields.time_left
        timeout = route.timeout if time_left is None else min(time_left, route.timeout)
        context = _RequestContext(
            request=request,
            route=route,
            organisation=organisation,
            service=self._splitter.choose(route),
            regions=_allowed_regions(route, organisation),
            deadline=min(request.received + timeout, self._ends_at),
            fingerprint=_fingerprint(request, organisation),
        )
        remaining_quarantine = self._quarantine.admit(context.fingerprint)
        if remaining_quarantine > 0.0:
            return self._give_up(context, "quarantined", remaining_quarantine)
        if route.kind is RouteKind.DOWNLOAD and self._answer_memory_limit.is_congested:
            return self._give_up(context, "no memory", ANSWER_MEMORY_RETRY_DELAY)
        try:
            return self._serve_admitted(context)
        except CallerLeftError:
            self._finish(context, CALLER_LEFT_STATUS, "caller left")
            return CallerAnswer(status=CALLER_LEFT_STATUS)

    def _serve_admitted(self, context: _RequestContext) -> CallerAnswer:
        """Serve a request unless it is over its organisation's allowance.

        Raises
        ------
        CallerLeftError
            If the caller leaves before the request has been sent to an upstream, or
            before the answer to an idempotent one.
        """
        organisation = context.organisation
        if organisation is not None:
            with context.request.cancellation.interruptible():
                retry_delay = self._consume_token(organisation.id)
            if retry_delay is not None:
                self._finish(context, HTTPStatus.TOO_MANY_REQUESTS, "over allowance")
                return CallerAnswer(
                    status=HTTPStatus.TOO_MANY_REQUESTS,
                    headers=[retry_after(retry_delay)],
                )
        self._retry_budget.note_request(context.service)
        self._demand_meter.note_request(context.service)
        try:
            return self._run_attempts(context)
        finally:
            if organisation is not None and not context.attempts:
                self._allowances.refund(organisation.id)

    def _consume_token(self, organisation: str) -> Millis | None:
        """Consume a token; return None, or a retry delay if the allowance is spent."""
        retry_delay = self._allowances.consume(organisation)
        if retry_delay is not None and self._borrow(organisation):
            retry_delay = self._allowances.consume_counted(organisation)
        return retry_delay

    def _run_attempts(self, context: _RequestContext) -> CallerAnswer:
        while True:
            context.request.cancellation.check()
            time_left = context.deadline - self._clock.now()
            if time_left <= 0.0:
                return self._give_up(context, "out of time")
            upstream = self._acquire_upstream(context)
            if upstream is None:
                return self._refuse_without_slot(context)
            try:
                answer = self._run_attempt(context, upstream)
            finally:
                self._slot_client.release(upstream)
                self._waiting_queue.offer_slots()
            if answer is not None:
                return answer

    def _refuse_without_slot(self, context: _RequestContext) -> CallerAnswer:
        rest_times = self._placement.rest_times(self._placement_request(context))
        if rest_times:
            return self._give_up(
                context, "upstreams rest", retry_delay_after_rest(rest_times)
            )
        limit_waits = self._placement.limit_waits(self._placement_request(context))
        if limit_waits:
            return self._give_up(
                context, "upstreams limited", retry_delay_after_limit(limit_waits)
            )
        retry_delay = self._admission.retry_delay(context.route)
        return self._give_up(context, "no room", retry_delay)

    def _placement_request(self, context: _RequestContext) -> PlacementRequest:
        return PlacementRequest(
            service=context.service,
            object_name=context.object_name(),
            regions=context.regions,
            tried=frozenset(context.tried),
        )

    def _run_attempt(
        self, context: _RequestContext, upstream: UpstreamState
    ) -> CallerAnswer | None:
        earlier_attempts = context.attempts
        if earlier_attempts and not self._retry_budget.consume(context.service):
            return self._give_up(context, "no repeats left")
        try:
            return self._try_upstream(
                context, upstream, context.deadline - self._clock.now()
            )
        finally:
            if earlier_attempts and context.attempts == earlier_attempts:
                self._retry_budget.refund(context.service)

    def _acquire_upstream(self, context: _RequestContext) -> UpstreamState | None:
        """Return an upstream with a slot claimed for the request, or None."""
        while True:
            try:
                upstream = self._wait_for_upstream(context)
            except WaitCancelledError:
                continue
            if upstream is None or self._placement.may_use(upstream):
                return upstream
            # The upstream left, or its data centre was evacuated, during the claim.
            self._slot_client.release(upstream)

    def _wait_for_upstream(self, context: _RequestContext) -> UpstreamState | None:
        route = context.route
        candidates = self._placement.candidates(
            self._placement_request(context), self._admission.affinity_wait(route)
        )
        time_left = context.deadline - self._clock.now()
        max_wait = self._admission.longest_wait(route, time_left)
        if not candidates.upstreams or max_wait <= 0.0:
            return None
        started = self._clock.now()
        ticket = self._waiting_queue.next_ticket()
        try:
            return self._claim_slot(context, ticket, candidates, max_wait)
        finally:
            self._slot_client.stop_waiting(ticket)
            waited = self._clock.now() - started
            context.waited += waited
            self._metrics.waited(context.service, waited)

    def _claim_slot(
        self,
        context: _RequestContext,
        ticket: int,
        candidates: Candidates,
        max_wait: Millis,
    ) -> UpstreamState | None:
        """Claim a slot of a candidate, waiting up to `max_wait` for one.

        The home VM of an upstream orders the requests of all VMs. Each request
        therefore claims a slot there before it waits.
        """
        request_priority = context.request_priority()
        has_claimed = False
        started = self._clock.now()
        while True:
            waited = self._clock.now() - started
            first = candidates.first_to_wait_for()
            upstream = self._placement.pick(candidates, waited)
            # Claim one candidate even if its slots seem taken, so that its home VM puts
            # the request into its queue.
            if upstream is None and not has_claimed and self._placement.is_warm(first):
                upstream = first
            has_claimed = True
            self._note_limit(context, candidates, upstream)
            if upstream is None:
                expected = self._expected_wait(context.route, candidates)
                if expected > max_wait - waited or waited >= max_wait:
                    return None
                with context.request.cancellation.interruptible():
                    upstream = self._await_offer(
                        ticket, request_priority, candidates, waited, max_wait
                    )
            if upstream is None:
                return None
            waited = self._clock.now() - started
            with context.request.cancellation.interruptible():
                is_granted = self._slot_client.claim(
                    upstream, request_priority.key(), ticket, waited
                )
            if is_granted:
                return upstream

    def _expected_wait(self, route: Route, candidates: Candidates) -> Millis:
        """Return how long a request of `route` probably waits for a slot.

        The first candidate without a rate limit decides; if all have one, the one
        whose limit allows the request first.
        """

        def expected_wait(upstream: UpstreamState) -> Millis:
            slot_wait = self._admission.expected_wait(
                route, upstream.reported_ahead(), upstream.record.slots
            )
            return max(slot_wait, upstream.expected_limit_wait())

        first = candidates.first_to_wait_for()
        if first.rate_limit is None:
            return expected_wait(first)
        return min(map(expected_wait, candidates.upstreams))

    def _note_limit(
        self,
        context: _RequestContext,
        candidates: Candidates,
        chosen: UpstreamState | None,
    ) -> None:
        """Record which limit keeps a request away from an upstream before `chosen`."""
        if context.limited_by:
            return
        for upstream in candidates.upstreams:
            if upstream is chosen:
                return
            if upstream.is_limit_spent():
                context.limited_by = upstream.record.id
                self._metrics.limited(context.service)
                return

    def _await_offer(
        self,
        ticket: int,
        request_priority: RequestPriority,
        candidates: Candidates,
        waited: Millis,
        max_wait: Millis,
    ) -> UpstreamState | None:
        waiter = SlotWaiter()
        self._waiting_queue.enqueue(
            ticket, request_priority, candidates, waiter, waited
        )
        self._has_waiting_requests.set()
        try:
            return waiter.await_offer(max_wait - waited)
        finally:
            self._waiting_queue.remove(ticket)

    def _try_upstream(
        self, context: _RequestContext, upstream: UpstreamState, time_left: Millis
    ) -> CallerAnswer | None:
        """Try one upstream; return the final answer, or None to try another."""
        context.tried.add(upstream.record.id)
        upstream.note_object(context.object_name())
        started = self._clock.now()
        outcome = self._attempt_runner.run(
            upstream,
            _make_upstream_request(context, upstream.record.id, time_left),
            time_left,
            context.route.id,
            context.fingerprint,
        )
        context.last_upstream = upstream.record.id
        if not isinstance(outcome, NotRun):
            duration = self._clock.now() - started
            self._demand_meter.note_attempt(context.service, duration, upstream.region)
        if not (isinstance(outcome, NotRun) and not outcome.reached):
            context.attempts += 1
        match outcome:
            case Answered(answer):
                return self._handle_answer(context, answer)
            case NotRun():
                context.request.cancellation.check()
                if context.attempts < max(context.route.max_attempts, 1):
                    return None
                return self._give_up(context, "turned away")
            case Unknown(kind=FailureKind.CALLER_LEFT):
                raise CallerLeftError
            case Unknown(kind=kind):
                context.may_have_run = True
                if self._may_retry(context) and kind is not FailureKind.OUT_OF_TIME:
                    return None
                return self._give_up(context, "no answer")

    def _handle_answer(
        self, context: _RequestContext, answer: UpstreamAnswer
    ) -> CallerAnswer | None:
        context.may_have_run = True
        context.upstream_status = answer.status
        if answer.status in _RETRIED_STATUSES and self._may_retry(context):
            context.failed_answer = answer
            return None
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        return self._forward(context, answer, "upstream failed" if failed else "")

    def _forward(
        self, context: _RequestContext, answer: UpstreamAnswer, reason: str
    ) -> CallerAnswer:
        """Return the answer of an upstream that has run the request.

        A caller whose request may run once only sends it again after a status that says
        that it has not run, so it gets 502 instead, which says nothing of the kind.
        """
        is_misleading = answer.status in _NOT_RUN_STATUSES
        if is_misleading and not context.route.is_idempotent:
            self._finish(context, HTTPStatus.BAD_GATEWAY, "upstream status withheld")
            return CallerAnswer(status=HTTPStatus.BAD_GATEWAY)
        self._finish(context, answer.status, reason)
        headers = for_callers(answer.status, answer.headers)
        return CallerAnswer(status=answer.status, headers=headers, body=answer.body)

    def _may_retry(self, context: _RequestContext) -> bool:
        return (
            context.route.is_idempotent
            and context.attempts < context.route.max_attempts
            and self._quarantine.count(context.fingerprint) < CRASH_LIMIT
        )

    def _give_up(
        self,
        context: _RequestContext,
        reason: str,
        retry_delay: Millis = NO_UPSTREAM_RETRY_DELAY,
    ) -> CallerAnswer:
        """Return the answer to a request that gets no further attempt."""
        if context.failed_answer is not None:
            return self._forward(context, context.failed_answer, reason)
        if not context.may_have_run:
            self._finish(context, HTTPStatus.SERVICE_UNAVAILABLE, reason)
            return _make_refusal(retry_delay)
        is_timed_out = self._clock.now() >= context.deadline
        status = HTTPStatus.GATEWAY_TIMEOUT if is_timed_out else HTTPStatus.BAD_GATEWAY
        self._finish(context, status, reason)
        return CallerAnswer(status=status)

    def _finish(self, context: _RequestContext, status: int, reason: str) -> None:
        organisation = context.organisation
        self._log_end(
            context.request,
            status,
            reason,
            route=context.route.id,
            service=context.service,
            organisation=organisation.id if organisation is not None else "",
            upstream=context.last_upstream,
            upstream_status=context.upstream_status,
            limited_by=context.limited_by,
            attempts=context.attempts,
            waited=context.waited,
        )

    def _log_end(
        self,
        request: CallerRequest,
        status: int,
        reason: str,
        *,
        route: str = "",
        service: str = "",
        organisation: str = "",
        upstream: str = "",
        upstream_status: int = 0,
        limited_by: str = "",
        attempts: int = 0,
        waited: Millis = 0.0,
    ) -> None:
        """Record a final answer in metrics and the log; unknown fields stay empty."""
        total = self._clock.now() - request.received
        self._metrics.request_ended(route, int(status), reason, total)
        emit(
            RequestEnded(
                request=request.fields.request_id.decode("latin-1"),
                status=int(status),
                why=reason,
                route=route,
                service=service,
                organisation=organisation,
                upstream=upstream,
                upstream_status=upstream_status,
                limited_by=limited_by,
                attempts=attempts,
                waited_ms=round(waited),
                total_ms=round(total),
                config=self._facts.rules.version if self._facts.rules else 0,
                facts_age_ms=round(self._facts.age()),
            )
        )


def _allowed_regions(route: Route, organisation: Organisation | None) -> frozenset[str]:
    """Return the regions that both the route and the organisation allow.

    An empty set allows all regions. If the two have no region in common, the set holds
    only an empty name, which matches no region.
    """
    home_regions = (
        organisation.home_regions if organisation is not None else frozenset()
    )
    if not route.home_regions or not home_regions:
        return route.home_regions or home_regions
    return (route.home_regions & home_regions) or frozenset({""})


def _fingerprint(request: CallerRequest, organisation: Organisation | None) -> str:
    """Return a digest that is the same if the caller sends the request again."""
    digest = xxhash.xxh3_64()
    name = organisation.id if organisation is not None else ""
    for part in (name.encode(), request.method, request.host.encode(), request.target):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def _make_upstream_request(
    context: _RequestContext, upstream: str, time_left: Millis
) -> UpstreamRequest:
    request = context.request
    organisation = context.organisation
    connection_fields = _connection_field_names(request)
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in CONNECTION_FIELDS
        and name.lower() not in connection_fields
        and not is_own_request_field(name.lower())
    ]
    headers += own_request_fields(
        upstream, time_left, organisation.id if organisation is not None else None
    )
    return UpstreamRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        has_body=request.has_body,
        request_id=request.fields.request_id,
        is_idempotent=context.route.is_idempotent,
        cancellation=request.cancellation,
    )


def _connection_field_names(request: CallerRequest) -> frozenset[bytes]:
    """Return the fields that the Connection header lists as hop-by-hop."""
    return frozenset(
        token.strip().lower()
        for name, value in request.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    )


def _make_refusal(retry_delay: Millis) -> CallerAnswer:
    return CallerAnswer(
        status=HTTPStatus.SERVICE_UNAVAILABLE, headers=[retry_after(retry_delay)]
    )
