"""One owned instance: its slots, its capacity and whether it takes new work.

Slots are counted here exactly, since an instance has one owner. What the instance says
of itself only lowers what it is given.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from returns.result import Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.config.model import Upstream
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.upstreams.connections import ConnectionPool, ConnectionSettings
from lagoonlatch.upstreams.durations import INITIAL_DURATION, Average
from lagoonlatch.upstreams.health import LoadReport, Polled, PollFailed
from lagoonlatch.upstreams.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    UnknownReason,
    UpstreamOutcome,
)
from lagoonlatch.upstreams.slots import SlotCount

EJECT_AFTER_FAILURES = 3
FIRST_EJECTION: Millis = 200.0
LONGEST_EJECTION: Millis = 5_000.0
LONGEST_SHED_PAUSE: Millis = 250.0

_SPARE_CONNECTIONS = 2
_SERVER_ERROR_STATUSES = frozenset({500, 502, 504})


class InstanceState(Enum):
    """Whether an instance takes new work."""

    STARTING = "starting"
    SERVING = "serving"
    EJECTED = "ejected"
    DRAINING = "draining"
    RETIRED = "retired"


@dataclass(frozen=True)
class InstanceKey:
    """Names an instance in the fleet."""

    service_id: str
    upstream_id: str

    def __str__(self) -> str:
        return f"{self.service_id}/{self.upstream_id}"


class Instance:
    """One owned instance.

    Parameters
    ----------
    upstream : Upstream
        Its address, slots and connections.

    See Also
    --------
    lagoonlatch.upstreams.slots.SlotCount : counts its slots.
    """

    def __init__(
        self,
        key: InstanceKey,
        upstream: Upstream,
        clock: Clock,
        event_log: EventLog,
        settings: ConnectionSettings,
    ) -> None:
        self.key = key
        self.upstream = upstream
        budget = _connection_budget(upstream)
        self.slots = SlotCount(min(upstream.slots, budget), clock)
        self.pool = ConnectionPool(upstream.address, budget, clock, settings)
        self.latency = Average(INITIAL_DURATION)
        self.state = InstanceState.STARTING
        self.died_at: Millis | None = None
        self.probe_at: Millis = 0.0
        self._clock = clock
        self._event_log = event_log
        self._failures = 0
        self._ejection = FIRST_EJECTION
        self._paused_until: Millis = 0.0

    @property
    def takes_work(self) -> bool:
        """Whether it is worth waiting for a slot of it."""
        return self.state in (InstanceState.SERVING, InstanceState.STARTING)

    def can_start(self) -> bool:
        """Return whether it can take a request now."""
        serving = self.state is InstanceState.SERVING
        paused = self._clock.now() < self._paused_until
        return serving and not paused and self.slots.free() > 0

    def preference(self) -> float:
        """Return a figure that is lower for an instance that answers sooner."""
        load = (self.slots.held + 1) / max(self.slots.capacity, 1)
        return load * self.latency.value

    def learn_outcome(
        self, outcome: UpstreamOutcome, duration: Millis, only_one: bool
    ) -> None:
        """Learn what came of a request.

        Parameters
        ----------
        only_one : bool
            Whether no other instance of the service takes work; then errors and
            timeouts do not eject it, an end of its process still does.
        """
        if isinstance(outcome, Success):
            self._learn_answer(outcome.unwrap(), duration, only_one)
            return
        failure = outcome.failure()
        if isinstance(failure, NotRun):
            self._learn_refusal(failure)
        elif failure.upstream_died:
            self.died_at = self._clock.now()
            self._event_log.record(EventKind.UPSTREAM_DIED, str(self.key))
            self.eject("died")
        elif failure.reason is not UnknownReason.CANCELLED:
            self._count_failure(failure.reason.value, only_one)

    def learn_load(self, polled: Polled) -> None:
        """Take in what the instance reports of itself."""
        if self.state is InstanceState.STARTING:
            self.slots.start_from(polled.report.in_flight or 0)
            self.state = InstanceState.SERVING
        self.slots.learn_report(polled)
        self._learn_draining(polled.report)

    def poll_failed(self, failure: PollFailed) -> None:
        """Eject an instance that is gone; start one that is only mute."""
        if failure.gone:
            self.eject("unreachable")
        elif self.state is InstanceState.STARTING:
            self.slots.start_from(self.upstream.slots - 1)
            self.state = InstanceState.SERVING

    def eject(self, reason: str) -> None:
        """Give it no work until a probe succeeds."""
        if self.state in (InstanceState.EJECTED, InstanceState.RETIRED):
            return
        self.state = InstanceState.EJECTED
        self.probe_at = self._clock.now() + self._ejection
        self._ejection = min(self._ejection * 2.0, LONGEST_EJECTION)
        self._event_log.record(EventKind.UPSTREAM_EJECTED, str(self.key), reason=reason)
        self.pool.close_idle()

    def probed(self, reachable: bool) -> None:
        """Take it back, with one slot at first, or put the next probe off."""
        if not reachable:
            self.probe_at = self._clock.now() + self._ejection
            self._ejection = min(self._ejection * 2.0, LONGEST_EJECTION)
            return
        self.state = InstanceState.SERVING
        self.slots.restart()
        self._failures = EJECT_AFTER_FAILURES - 1
        self._event_log.record(EventKind.UPSTREAM_RESTORED, str(self.key))

    def retire(self) -> None:
        """Give it no more work: it has another owner or has left."""
        self.state = InstanceState.RETIRED
        self.pool.close()

    def _learn_answer(self, answer: Answered, duration: Millis, only_one: bool) -> None:
        if answer.status in _SERVER_ERROR_STATUSES:
            self._count_failure(f"status {answer.status}", only_one)
            return
        self._failures = 0
        self._ejection = FIRST_EJECTION
        self.latency.add(duration)
        self.slots.grow()

    def _learn_refusal(self, refusal: NotRun) -> None:
        if refusal.reason is NotRunReason.UNREACHABLE:
            self.eject("unreachable")
        elif refusal.reason is NotRunReason.REFUSED_BY_UPSTREAM:
            pause = min(refusal.retry_after, LONGEST_SHED_PAUSE)
            self._paused_until = self._clock.now() + pause
            self.slots.shrink()

    def _count_failure(self, reason: str, only_one: bool) -> None:
        self._failures += 1
        if self._failures >= EJECT_AFTER_FAILURES and not only_one:
            self.eject(reason)

    def _learn_draining(self, report: LoadReport) -> None:
        if report.draining and self.state is InstanceState.SERVING:
            self.state = InstanceState.DRAINING
            self._event_log.record(EventKind.UPSTREAM_DRAINING, str(self.key))
        elif not report.draining and self.state is InstanceState.DRAINING:
            self.state = InstanceState.SERVING
            self.slots.restart()
            self._event_log.record(EventKind.UPSTREAM_RESTORED, str(self.key))


def _connection_budget(upstream: Upstream) -> int:
    """Return the connections that one owner may hold.

    At most half of the instance's limit less the poller's, so that a former and a new
    owner together stay within it.
    """
    half = upstream.connections // 2 - _SPARE_CONNECTIONS
    return max(min(upstream.slots + _SPARE_CONNECTIONS, half), 1)
