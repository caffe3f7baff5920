"""The owner of instances: admits, queues and runs the requests for them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from gevent.event import Event
from returns.result import Failure

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.model import Service
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.membership.heartbeat import LoadSummary
from lagoonlatch.upstreams.instance import InstanceKey
from lagoonlatch.upstreams.outcomes import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    UpstreamOutcome,
    UpstreamRequest,
    fingerprint_of,
)
from lagoonlatch.upstreams.owned import OwnedInstances, OwnerSettings
from lagoonlatch.upstreams.pending import PendingRequest
from lagoonlatch.upstreams.quarantine import DEATH_LIMIT, Quarantine, SuspectReport
from lagoonlatch.upstreams.runner import RequestRunner
from lagoonlatch.upstreams.service import OwnedService
from lagoonlatch.upstreams.suspects import SuspectTurns

LEAVING_RETRY_AFTER: Millis = 100.0
NOT_OWNED_RETRY_AFTER: Millis = 100.0
DEADLINE_RETRY_AFTER: Millis = 1_000.0

_OUTCOME_GRACE: Millis = 150.0
_DRAIN_POLL: Millis = 20.0


class UpstreamOwner:
    """Runs requests on the instances that this VM owns.

    Parameters
    ----------
    report_suspect : callable
        Tells the other VMs of a death; called before the outcome is returned.

    See Also
    --------
    lagoonlatch.upstreams.quarantine.Quarantine : refuses what ends upstreams.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        clock: Clock,
        event_log: EventLog,
        report_suspect: Callable[[SuspectReport], None] = lambda report: None,
    ) -> None:
        self.quarantine = Quarantine(clock)
        self._clock = clock
        self._turns = SuspectTurns(self.quarantine, clock)
        self._event_log = event_log
        self._report_suspect = report_suspect
        runner = RequestRunner(self.quarantine, self._note_death, clock)
        self._instances = OwnedInstances(settings, clock, event_log, runner.start)
        self._pending_by_request_id: dict[str, PendingRequest] = {}
        self._leaving = False
        self._stopped = Event()

    def configure(
        self,
        services_by_id: Mapping[str, Service],
        weight_by_organisation: Mapping[str, float],
    ) -> None:
        """Put the configured upstreams and weights in force."""
        self._instances.configure(services_by_id, weight_by_organisation)

    def set_owned(self, keys: Iterable[InstanceKey]) -> None:
        """Own exactly these instances from now on.

        A lost instance gets no new request; those in flight run to their end, see
        `busy`. A gained one starts from the load that it reports.
        """
        self._instances.set_owned(keys)

    def busy(self, keys: Iterable[InstanceKey]) -> bool:
        """Return whether requests of this VM still run on any of the instances."""
        return self._instances.busy(keys)

    def execute(self, request: UpstreamRequest) -> UpstreamOutcome:
        """Run a request on an owned instance and return its outcome.

        Blocks the calling greenlet until the outcome is final, at most until the
        request's deadline. If that greenlet is killed, the request is cancelled.
        """
        now = self._clock.now()
        fingerprint = request.fingerprint or fingerprint_of(request)
        pending = PendingRequest(request, now, now + request.deadline, fingerprint)
        with self._turns.turn(fingerprint, pending.until) as in_time:
            if not in_time:
                return Failure(NotRun(NotRunReason.DEADLINE, DEADLINE_RETRY_AFTER))
            if request.request_id in self._pending_by_request_id:
                return Failure(Unknown(UnknownReason.DUPLICATE))
            return self._execute(pending)

    def cancel(self, request_id: str) -> None:
        """Give a request up because its caller has gone."""
        pending = self._pending_by_request_id.get(request_id)
        if pending is not None:
            self._give_up(pending, UnknownReason.CANCELLED)

    def loads(self) -> tuple[LoadSummary, ...]:
        """Return the load of each service with an owned instance."""
        return self._instances.loads()

    def load(self, service_id: str) -> int:
        """Return the requests of a service that run or wait here."""
        return self._instances.load(service_id)

    def drain(self) -> None:
        """Refuse new requests and return when all accepted ones have ended."""
        self._leaving = True
        while self._pending_by_request_id:
            self._clock.sleep(_DRAIN_POLL)

    def run(self) -> None:
        """Return after `stop`; the instances are watched from `set_owned` on."""
        self._stopped.wait()

    def stop(self) -> None:
        """Stop watching the instances and close all idle connections."""
        self._instances.stop()
        self._stopped.set()

    def _execute(self, pending: PendingRequest) -> UpstreamOutcome:
        if self._leaving:
            return Failure(NotRun(NotRunReason.LEAVING, LEAVING_RETRY_AFTER))
        service = self._instances.service(pending.request.service_id)
        if service is None:
            return Failure(NotRun(NotRunReason.NOT_OWNED, NOT_OWNED_RETRY_AFTER))
        refused_for = self.quarantine.refused_for(pending.fingerprint)
        if refused_for > 0.0:
            return Failure(NotRun(NotRunReason.QUARANTINED, refused_for))
        pending.service = service
        return self._submit(service, pending)

    def _submit(
        self, service: OwnedService, pending: PendingRequest
    ) -> UpstreamOutcome:
        request_id = pending.request.request_id
        self._pending_by_request_id[request_id] = pending
        try:
            refusal = service.submit(pending)
            if refusal is not None:
                return Failure(refusal)
            return self._wait_for_outcome(service, pending)
        finally:
            self._give_up(pending, UnknownReason.CANCELLED)
            del self._pending_by_request_id[request_id]

    def _wait_for_outcome(
        self, service: OwnedService, pending: PendingRequest
    ) -> UpstreamOutcome:
        self._wait_until(pending, service.latest_start(pending))
        if pending.exchange is not None:
            self._wait_until(pending, pending.until + _OUTCOME_GRACE)
        self._give_up(pending, UnknownReason.TIMED_OUT)
        return pending.outcome.get()

    def _wait_until(self, pending: PendingRequest, instant: Millis) -> None:
        left = max(instant - self._clock.now(), 0.0)
        pending.outcome.wait(left / MILLIS_PER_SECOND)

    def _give_up(self, pending: PendingRequest, reason: UnknownReason) -> None:
        """Give the request its final outcome at once if it has none."""
        if pending.outcome.ready():
            return
        if pending.exchange is not None:
            outcome = pending.exchange.abandon(reason)
        else:
            outcome = pending.service.abandon(pending, reason)
        pending.finish(Failure(outcome))

    def _note_death(self, report: SuspectReport) -> None:
        if report.deaths >= DEATH_LIMIT:
            self._event_log.record(
                EventKind.REQUEST_QUARANTINED,
                report.fingerprint,
                deaths=str(report.deaths),
            )
        self._report_suspect(report)
