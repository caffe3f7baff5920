"""Explanation of where a request would be sent now, and why.

Nothing is sent and no state changes: no token, slot or request to a cold upstream is
counted. Three things that decide about a real request aren't covered: its fingerprint,
which the crash quarantine checks; its body; and the answer of an upstream's home VM to
the claim of a slot, which may know of more requests than this VM.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus

from lagoonlatch.clock import Millis
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.cold_start import ColdStartLimiter
from lagoonlatch.steering.model import (
    Organisation,
    Route,
    TrafficRules,
    allowed_regions,
)
from lagoonlatch.steering.placement import Candidates, Placement, PlacementRequest
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable

MAX_LISTED_NAMES = 20
"""Valid hosts or path prefixes that are listed if none matches."""

MAX_LISTED_UPSTREAMS = 200
"""Upstreams outside the candidates that are listed for one service."""


@dataclass(frozen=True, kw_only=True)
class PlacementQuestion:
    """The request whose placement is explained.

    Parameters
    ----------
    path : str
        Path without a query.
    object_name : str
        Object that the request is about; empty for none.
    key : str or None
        Key of the organisation; None without one.
    """

    host: str
    path: str
    object_name: str = ""
    key: str | None = field(default=None, repr=False)


@dataclass(frozen=True, kw_only=True)
class Decision:
    """What would happen to the request now.

    Parameters
    ----------
    action : str
        ``send``, ``wait`` or ``refuse``.
    upstream : str
        Id of the upstream that it is sent to or waits for; empty if it is refused.
    max_wait_ms : int
        Longest time for which it waits.
    fallback : str
        Id of the upstream with room that it may use after `fallback_after_ms`; empty
        for none.
    status : int
        Status of the refusal; 0 without one.
    retry_after_ms : int or None
        Delay that the refusal states; None if it states none.
    """

    action: str
    reason: str = ""
    upstream: str = ""
    max_wait_ms: int = 0
    fallback: str = ""
    fallback_after_ms: int = 0
    status: int = 0
    retry_after_ms: int | None = None


@dataclass(frozen=True, kw_only=True)
class UpstreamExplanation:
    """State of one upstream as far as it concerns the request.

    Parameters
    ----------
    load : int
        Requests at the upstream, as far as the VM knows.
    states : tuple of str
        What speaks for or against it.
    expected_wait_ms : int
        How long a request probably waits for a slot.
    """

    id: str
    region: str
    data_centre: str
    load: int
    slots: int
    states: tuple[str, ...]
    expected_wait_ms: int


@dataclass(frozen=True, kw_only=True)
class ServiceExplanation:
    """Placement at one of the route's services.

    Parameters
    ----------
    share : float
        Share of the route's requests that the service gets, 0 to 1.
    candidates : tuple of UpstreamExplanation
        The upstreams that the request may use, best first.
    skipped : tuple of UpstreamExplanation
        The service's other upstreams, by id.
    skipped_count : int
        Number of the other upstreams, including those that aren't listed.
    """

    service: str
    share: float
    candidates: tuple[UpstreamExplanation, ...]
    skipped: tuple[UpstreamExplanation, ...]
    skipped_count: int
    decision: Decision


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """Where one VM would send a request now, and why.

    Parameters
    ----------
    configuration : int
        Version of the configuration in force; 0 for none.
    route : str
        Id of the route; empty if none matches.
    organisation : str
        Id of the organisation; empty if the route is open or the key isn't valid.
    allowance : str
        Whether the organisation's allowance permits the request.
    refusal : Decision or None
        The refusal that comes before the choice of an upstream; None without one.
    services : tuple of ServiceExplanation
        One for each service that may get the request.
    """

    vm: str
    host: str
    path: str
    object_name: str
    configuration: int = 0
    route: str = ""
    organisation: str = ""
    allowance: str = ""
    refusal: Decision | None = None
    services: tuple[ServiceExplanation, ...] = ()


class PlacementExplainer:
    """Explains the placement of requests on one VM.

    Parameters
    ----------
    read_rules : callable
        Returns the configuration in force, or None.
    unready_retry_delay : Millis
        Delay that refusals state while there is no configuration.
    """

    def __init__(
        self,
        vm: str,
        read_rules: Callable[[], TrafficRules | None],
        upstream_table: UpstreamTable,
        placement: Placement,
        admission: Admission,
        allowances: Allowances,
        cold_start_limiter: ColdStartLimiter,
        unready_retry_delay: Millis,
    ) -> None:
        self._vm = vm
        self._read_rules = read_rules
        self._upstream_table = upstream_table
        self._placement = placement
        self._admission = admission
        self._allowances = allowances
        self._cold_start_limiter = cold_start_limiter
        self._unready_retry_delay = unready_retry_delay

    def explain(self, question: PlacementQuestion) -> Explanation:
        """Return where a request would be sent now."""
        rules = self._read_rules()
        facts = {
            "vm": self._vm,
            "host": question.host,
            "path": question.path,
            "object_name": question.object_name,
        }
        if rules is None:
            refusal = _refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no configuration known",
                self._unready_retry_delay,
            )
            return Explanation(**facts, refusal=refusal)
        facts["configuration"] = rules.version
        route = rules.find_route(question.host, question.path)
        if route is None:
            reason = _describe_missing_route(rules, question)
            return Explanation(**facts, refusal=_refuse(HTTPStatus.NOT_FOUND, reason))
        facts["route"] = route.id
        organisation: Organisation | None = None
        if not route.is_open:
            organisation = rules.organisation_by_key.get(question.key or "")
            if organisation is None:
                reason = "the key isn't valid" if question.key else "no key given"
                refusal = _refuse(HTTPStatus.UNAUTHORIZED, reason)
                return Explanation(**facts, refusal=refusal)
            facts["organisation"] = organisation.id
        allowance, refusal = self._check_allowance(organisation)
        return Explanation(
            **facts,
            allowance=allowance,
            refusal=refusal,
            services=tuple(self._services(route, organisation, question)),
        )

    def _check_allowance(
        self, organisation: Organisation | None
    ) -> tuple[str, Decision | None]:
        if organisation is None:
            return "not needed", None
        if organisation.rate <= 0.0:
            return "no limit", None
        retry_delay = self._allowances.preview_consume(organisation.id)
        if retry_delay is None:
            return "has a token", None
        reason = "over allowance, unless another VM lends a token"
        refusal = _refuse(HTTPStatus.TOO_MANY_REQUESTS, reason, retry_delay)
        return "no token on this VM", refusal

    def _services(
        self,
        route: Route,
        organisation: Organisation | None,
        question: PlacementQuestion,
    ) -> Iterator[ServiceExplanation]:
        name = f"{route.id}/{question.object_name}" if question.object_name else ""
        total_weight = sum(part.weight for part in route.parts)
        for part in route.parts:
            if part.weight <= 0.0 and len(route.parts) > 1:
                continue
            request = PlacementRequest(
                service=part.service,
                object_name=name,
                regions=allowed_regions(route, organisation),
            )
            share = part.weight / total_weight if total_weight > 0.0 else 1.0
            yield self._explain_service(route, request, share)

    def _explain_service(
        self, route: Route, request: PlacementRequest, share: float
    ) -> ServiceExplanation:
        candidates = self._placement.candidates(
            request, self._admission.affinity_wait(route)
        )
        others = sorted(
            set(self._upstream_table.of_service(request.service))
            - set(candidates.upstreams),
            key=lambda upstream: upstream.record.id,
        )
        return ServiceExplanation(
            service=request.service,
            share=share,
            candidates=tuple(
                self._explain_upstream(
                    route, upstream, self._candidate_states(upstream, candidates)
                )
                for upstream in candidates.upstreams
            ),
            skipped=tuple(
                self._explain_upstream(
                    route, upstream, self._obstacles(upstream, request)
                )
                for upstream in others[:MAX_LISTED_UPSTREAMS]
            ),
            skipped_count=len(others),
            decision=self._decide(route, request, candidates),
        )

    def _decide(
        self, route: Route, request: PlacementRequest, candidates: Candidates
    ) -> Decision:
        max_wait = self._admission.longest_wait(route, route.timeout)
        if not candidates.upstreams or max_wait <= 0.0:
            return self._refuse_slot(route, request)
        preview = self._placement.preview(
            lambda upstream: self._cold_start_limiter.wait(upstream) == 0.0
        )
        chosen = preview.pick(candidates, 0.0)
        if chosen is not None:
            return Decision(
                action="send", reason="has a free slot", upstream=chosen.record.id
            )
        if self._admission.expected_wait_for(route, candidates) > max_wait:
            return self._refuse_slot(route, request)
        fallback = preview.pick(candidates, candidates.affinity_wait)
        return Decision(
            action="wait",
            reason="no preferred upstream has a free slot",
            upstream=candidates.first_to_wait_for().record.id,
            max_wait_ms=round(max_wait),
            fallback=fallback.record.id if fallback is not None else "",
            fallback_after_ms=(
                round(candidates.affinity_wait) if fallback is not None else 0
            ),
        )

    def _refuse_slot(self, route: Route, request: PlacementRequest) -> Decision:
        refusal = self._admission.refuse(route, request, self._placement)
        return _refuse(
            HTTPStatus.SERVICE_UNAVAILABLE, refusal.reason, refusal.retry_delay
        )

    def _explain_upstream(
        self, route: Route, upstream: UpstreamState, states: Iterable[str]
    ) -> UpstreamExplanation:
        return UpstreamExplanation(
            id=upstream.record.id,
            region=upstream.region,
            data_centre=upstream.record.data_centre,
            load=upstream.load(),
            slots=upstream.record.slots,
            states=tuple(states),
            expected_wait_ms=round(self._admission.expected_wait_at(route, upstream)),
        )

    def _candidate_states(
        self, upstream: UpstreamState, candidates: Candidates
    ) -> Iterator[str]:
        # Neither cold upstreams nor those with a spent limit count as the first choice.
        first = next(
            (
                candidate
                for candidate in candidates.upstreams
                if not (candidate.is_cold() or candidate.is_limit_spent())
            ),
            None,
        )
        if upstream is first:
            yield "first choice"
        if upstream.remembers(candidates.object_name):
            yield "remembers the object"
        if upstream.load() >= upstream.record.slots:
            yield f"full: {upstream.load()} of {upstream.record.slots} slots"
        elif not (self._placement.has_room(upstream) or upstream.is_limit_spent()):
            yield "no room"
        if upstream.is_cold():
            yield f"cold for {upstream.cold_left():.0f} ms: {self._cold_pace(upstream)}"
        yield from _common_states(upstream)

    def _cold_pace(self, upstream: UpstreamState) -> str:
        wait = self._cold_start_limiter.wait(upstream)
        if wait is None:
            return "other VMs send to it"
        return f"next request in {wait:.0f} ms" if wait else "may get a request now"

    def _obstacles(
        self, upstream: UpstreamState, request: PlacementRequest
    ) -> Iterator[str]:
        """Return why an upstream is no candidate."""
        is_usable = self._upstream_table.is_usable(upstream)
        if upstream.record.is_draining:
            yield "draining"
        if upstream.is_leaving:
            yield "leaving"
        if upstream.is_suspect:
            yield "suspect until it answers a health check"
        if upstream.rest_left() > 0.0:
            yield f"resting for {upstream.rest_left():.0f} ms"
        if self._upstream_table.is_evacuated(upstream):
            yield f"data centre {upstream.record.data_centre!r} is evacuated"
        if request.regions and upstream.region not in request.regions:
            regions = ", ".join(sorted(filter(None, request.regions))) or "none"
            yield f"region {upstream.region!r} isn't allowed; allowed: {regions}"
        elif is_usable:
            yield "other upstreams of its region come first for the object"
        if upstream.is_cold():
            yield f"cold for {upstream.cold_left():.0f} ms"
        yield from _common_states(upstream)


def _common_states(upstream: UpstreamState) -> Iterator[str]:
    failed_percent = round(upstream.failure_share * 100.0)
    if failed_percent:
        yield f"failed {failed_percent}% of its latest attempts"
    if upstream.rate_limit is None:
        return
    if upstream.is_limit_spent():
        wait = f"spent for {upstream.limit_wait():.0f} ms"
    else:
        wait = "not spent"
    yield f"limited to {upstream.rate_limit:g} requests a second, {wait}"


def _refuse(
    status: HTTPStatus, reason: str, retry_delay: Millis | None = None
) -> Decision:
    return Decision(
        action="refuse",
        reason=reason,
        status=int(status),
        retry_after_ms=None if retry_delay is None else round(retry_delay),
    )


def _describe_missing_route(rules: TrafficRules, question: PlacementQuestion) -> str:
    routes = rules.routes_by_host.get(question.host)
    if not routes:
        return (
            f"no route of host {question.host!r}; "
            f"valid: {_list_names(rules.routes_by_host)}"
        )
    prefixes = _list_names(route.path_prefix for route in routes)
    return f"no route of path {question.path!r}; valid prefixes: {prefixes}"


def _list_names(names: Iterable[str]) -> str:
    listed = sorted(set(names))
    more = ", ..." if len(listed) > MAX_LISTED_NAMES else ""
    return (", ".join(listed[:MAX_LISTED_NAMES]) or "none") + more
