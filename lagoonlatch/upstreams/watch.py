"""The greenlet that watches one owned instance."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from returns.result import Failure

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.upstreams.connections import ConnectionSettings
from lagoonlatch.upstreams.health import LoadPoller
from lagoonlatch.upstreams.http import Exchange
from lagoonlatch.upstreams.instance import Instance, InstanceState
from lagoonlatch.upstreams.outcomes import Unknown, UnknownReason, UpstreamOutcome

POLL_INTERVAL: Millis = 500.0

_ABRUPT_ENDS = frozenset({UnknownReason.CLOSED, UnknownReason.NOT_WHOLE})


class InstanceWatch:
    """Polls an instance, probes it while it is ejected and notices lost connections.

    Parameters
    ----------
    looked : callable
        Called after each poll or probe.

    Attributes
    ----------
    exchanges : dict of Exchange to None
        The requests in flight, oldest first.
    """

    def __init__(
        self,
        instance: Instance,
        clock: Clock,
        settings: ConnectionSettings,
        looked: Callable[[], None],
    ) -> None:
        self.instance = instance
        self.exchanges: dict[Exchange, None] = {}
        self._clock = clock
        self._looked = looked
        self._silent_before: Millis | None = None
        self._poller = LoadPoller(instance.upstream.address, clock, settings)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Give the instance no more work and stop watching it."""
        self.instance.retire()
        self._greenlet.kill(block=False)
        self._poller.close()

    def with_death(
        self, exchange: Exchange, outcome: UpstreamOutcome
    ) -> UpstreamOutcome:
        """Return the outcome, saying whether the process ended during the exchange."""
        if not isinstance(outcome, Failure):
            return outcome
        failure = outcome.failure()
        if not isinstance(failure, Unknown) or failure.reason not in _ABRUPT_ENDS:
            return outcome
        died_at = self.instance.died_at
        known = died_at is not None and died_at >= exchange.started
        if known or self._poller.process_gone():
            return Failure(Unknown(failure.reason, upstream_died=True))
        return outcome

    def _run(self) -> None:
        while True:
            if self.instance.state is InstanceState.EJECTED:
                self._probe()
            else:
                self._poll()
            self._looked()
            gevent.sleep(self._pause() / MILLIS_PER_SECOND)

    def _pause(self) -> Millis:
        if self.instance.state is not InstanceState.EJECTED:
            return POLL_INTERVAL
        left = self.instance.probe_at - self._clock.now()
        return min(max(left, 0.0), POLL_INTERVAL)

    def _probe(self) -> None:
        if self._clock.now() < self.instance.probe_at:
            return
        outcome = self._poller.poll()
        gone = isinstance(outcome, Failure) and outcome.failure().gone
        self.instance.probed(reachable=not gone)

    def _poll(self) -> None:
        outcome = self._poller.poll()
        if isinstance(outcome, Failure):
            self.instance.poll_failed(outcome.failure())
        else:
            polled = outcome.unwrap()
            self.instance.learn_load(polled)
            if polled.old_connection_silent:
                self._silent_before = polled.asked
                self.instance.pool.discard_opened_before(polled.asked)
            self._drop_lost_exchanges(polled.report.in_flight)

    def _drop_lost_exchanges(self, reported: int | None) -> None:
        """Give up requests sent before the silence that the instance has no more.

        It may run them on for long after the silence was noticed, so each later
        report is judged too; the oldest are given up first.
        """
        if self._silent_before is None or reported is None:
            return
        begun = [e for e in self.exchanges if e.started < self._silent_before]
        for exchange in begun[: max(len(begun) - reported, 0)]:
            exchange.abandon(UnknownReason.SILENT)
        if not begun:
            self._silent_before = None
