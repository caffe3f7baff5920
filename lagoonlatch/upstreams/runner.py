"""Runs a request that has a slot, and what is learnt from its outcome."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from returns.result import Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.upstreams.http import Exchange
from lagoonlatch.upstreams.outcomes import (
    NotRun,
    NotRunReason,
    Unknown,
    UpstreamOutcome,
)
from lagoonlatch.upstreams.pending import PendingRequest
from lagoonlatch.upstreams.quarantine import Quarantine, SuspectReport
from lagoonlatch.upstreams.service import OwnedService
from lagoonlatch.upstreams.watch import InstanceWatch

MOST_TRIES = 3
"""Instances that a request is given to while each refuses it before running it."""

_TRY_ELSEWHERE = frozenset({NotRunReason.UNREACHABLE, NotRunReason.REFUSED_BY_UPSTREAM})
_UNFINISHED_STATUSES = frozenset({503, 504})


class RequestRunner:
    """Runs requests on instances, each in a greenlet of its own.

    Parameters
    ----------
    report_suspect : callable
        Tells the other VMs of a death; called before the outcome is set.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        report_suspect: Callable[[SuspectReport], None],
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._report_suspect = report_suspect
        self._clock = clock

    def start(
        self, service: OwnedService, pending: PendingRequest, watch: InstanceWatch
    ) -> None:
        """Start a request on an instance whose slot it has taken."""
        pool = watch.instance.pool
        exchange = Exchange(pending.request, pool, self._clock, pending.until)
        pending.exchange = exchange
        watch.exchanges[exchange] = None
        gevent.spawn(self._run, service, pending, watch, exchange)

    def _run(
        self,
        service: OwnedService,
        pending: PendingRequest,
        watch: InstanceWatch,
        exchange: Exchange,
    ) -> None:
        instance = watch.instance
        took_work = instance.takes_work
        outcome = watch.with_death(exchange, exchange.perform())
        self._learn(service, pending, watch, outcome)
        elsewhere = _may_go_elsewhere(pending, outcome)
        if not elsewhere:
            pending.finish(outcome)
        settled = exchange.settle()
        del watch.exchanges[exchange]
        instance.slots.give_back(settled, pending.until)
        if elsewhere:
            self._go_elsewhere(service, pending, watch, outcome)
        else:
            held = self._held_for(pending)
            service.queue.finished(pending, held, _is_whole(outcome))
        service.dispatch()
        if took_work and not instance.takes_work:
            service.refuse_unservable()

    def _learn(
        self,
        service: OwnedService,
        pending: PendingRequest,
        watch: InstanceWatch,
        outcome: UpstreamOutcome,
    ) -> None:
        duration = self._held_for(pending)
        only_one = service.working() <= 1
        watch.instance.learn_outcome(outcome, duration, only_one)
        if isinstance(outcome, Success):
            service.latency.add(duration)
            self._quarantine.clear(pending.fingerprint)
        elif _is_death(outcome.failure()):
            report = self._quarantine.count_death(pending.fingerprint, pending.started)
            if report is not None:
                self._report_suspect(report)

    def _go_elsewhere(
        self,
        service: OwnedService,
        pending: PendingRequest,
        watch: InstanceWatch,
        outcome: UpstreamOutcome,
    ) -> None:
        pending.tried.add(watch.instance.key.upstream_id)
        pending.exchange = None
        if not service.resubmit(pending):
            pending.finish(outcome)

    def _held_for(self, pending: PendingRequest) -> Millis:
        return self._clock.now() - pending.started


def _may_go_elsewhere(pending: PendingRequest, outcome: UpstreamOutcome) -> bool:
    """Return whether the request was not run and may go to another instance."""
    if pending.outcome.ready() or isinstance(outcome, Success):
        return False
    failure = outcome.failure()
    refused = isinstance(failure, NotRun) and failure.reason in _TRY_ELSEWHERE
    return refused and len(pending.tried) + 1 < MOST_TRIES


def _is_whole(outcome: UpstreamOutcome) -> bool:
    """Return whether the upstream ran the request to its end."""
    if not isinstance(outcome, Success):
        return False
    return outcome.unwrap().status not in _UNFINISHED_STATUSES


def _is_death(failure: NotRun | Unknown) -> bool:
    return isinstance(failure, Unknown) and failure.upstream_died
