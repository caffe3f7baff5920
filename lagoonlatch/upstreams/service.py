"""One service at this VM: its owned instances and the queue before them.

All owned instances of a service share one queue, so that a request waits only while
none of them has a free slot.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from returns.result import Failure

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.upstreams.durations import INITIAL_DURATION, Average
from lagoonlatch.upstreams.instance import Instance, InstanceKey
from lagoonlatch.upstreams.outcomes import NotRun, NotRunReason, UnknownReason
from lagoonlatch.upstreams.pending import PendingRequest
from lagoonlatch.upstreams.queue import Queue

DEFAULT_LONGEST_WAIT: Millis = 2_000.0
SHORTEST_RETRY_AFTER: Millis = 100.0
NO_INSTANCE_RETRY_AFTER: Millis = 1_000.0
LARGEST_RUNNING_SHARE = 0.5
"""Part of its whole time that is kept for running a request."""

LONGEST_LINE = 1_000
"""Requests of one organisation that wait for one service."""


class OwnedService:
    """The owned instances of one service and the requests that wait for them.

    Parameters
    ----------
    start : callable
        Called with the service, a request and the instance whose slot it has taken.
    longest_wait : Millis
        A request that would wait longer is refused at once.
    """

    def __init__(
        self,
        queue: Queue,
        clock: Clock,
        start: Callable[[OwnedService, PendingRequest, Instance], None],
        longest_wait: Millis = DEFAULT_LONGEST_WAIT,
    ) -> None:
        self.queue = queue
        self.instances_by_key: dict[InstanceKey, Instance] = {}
        self.latency = Average(INITIAL_DURATION)
        self._clock = clock
        self._start = start
        self._longest_wait = longest_wait

    def submit(self, pending: PendingRequest) -> NotRun | None:
        """Queue a request and start what can start; return a refusal instead."""
        refusal = self._refusal_of(pending)
        if refusal is None:
            self.queue.push(pending)
            self.dispatch()
        return refusal

    def resubmit(self, pending: PendingRequest) -> bool:
        """Queue a request again that its instance did not run, at the front.

        Returns
        -------
        bool
            Whether another instance may take it; otherwise it is not queued.
        """
        self.queue.push_back(pending)
        if self._instances_for(pending):
            return True
        self.queue.remove(pending)
        return False

    def abandon(self, pending: PendingRequest, reason: UnknownReason) -> NotRun:
        """Take out a waiting request and return its outcome."""
        self.queue.remove(pending)
        if reason is UnknownReason.CANCELLED:
            return NotRun(NotRunReason.CANCELLED, 0.0)
        return NotRun(NotRunReason.DEADLINE, self.expected_wait(pending.organisation))

    def look_over(self) -> None:
        """Refuse what comes too late and start what can start."""
        self.refuse_unservable()
        self.dispatch()

    def dispatch(self) -> None:
        """Start waiting requests while instances have free slots."""
        while len(self.queue):
            ready = [i for i in self._instances() if i.can_start()]
            pending = self._pop(ready)
            if pending is None:
                return
            instance = min(
                (instance for instance in ready if _fits(instance, pending)),
                key=Instance.preference,
            )
            instance.slots.take()
            pending.started = self._clock.now()
            self._start(self, pending, instance)

    def refuse_unservable(self) -> None:
        """Refuse the waiting requests that no instance will run in time."""
        too_late = self.queue.unservable(self.capacity(), self.latest_start)
        no_instance = [p for p in self.queue.waiting() if not self._instances_for(p)]
        for pending in dict.fromkeys([*too_late, *no_instance]):
            self.queue.remove(pending)
            wait = self.expected_wait(pending.organisation)
            pending.finish(Failure(NotRun(NotRunReason.NO_CAPACITY, wait)))

    def latest_start(self, pending: PendingRequest) -> Millis:
        """Return until when a waiting request can start and end by its deadline."""
        allowed = pending.until - pending.arrived
        duration = self.queue.expected_duration(pending.organisation)
        return pending.until - min(duration, allowed * LARGEST_RUNNING_SHARE)

    def expected_wait(self, organisation: str) -> Millis:
        """Return how long a request that came now would wait, not below a minimum."""
        if not self.working():
            return NO_INSTANCE_RETRY_AFTER
        wait = self.queue.expected_wait(organisation, self.capacity())
        return max(wait, SHORTEST_RETRY_AFTER)

    def capacity(self) -> int:
        """Return the slots of the instances that take work."""
        return sum(i.slots.limit for i in self._instances() if i.takes_work)

    def running(self) -> int:
        """Return the requests in flight."""
        return sum(instance.slots.running for instance in self._instances())

    def working(self) -> int:
        """Return how many instances take work."""
        return sum(instance.takes_work for instance in self._instances())

    def _refusal_of(self, pending: PendingRequest) -> NotRun | None:
        if not self._instances_for(pending):
            return NotRun(NotRunReason.NO_CAPACITY, NO_INSTANCE_RETRY_AFTER)
        slots = self.capacity()
        wait = self.queue.expected_wait(pending.organisation, slots)
        allowed = min(pending.until - self._clock.now(), self._longest_wait)
        waiting = self.queue.waiting_of(pending.organisation)
        if wait <= allowed and waiting < LONGEST_LINE:
            return None
        return NotRun(NotRunReason.NO_CAPACITY, max(wait, SHORTEST_RETRY_AFTER))

    def _instances(self) -> Iterator[Instance]:
        return iter(self.instances_by_key.values())

    def _instances_for(self, pending: PendingRequest) -> list[Instance]:
        return [
            instance
            for instance in self._instances()
            if instance.takes_work and _fits(instance, pending)
        ]

    def _pop(self, ready: list[Instance]) -> PendingRequest | None:
        if not ready:
            return None
        free = sum(instance.slots.free() for instance in ready)
        now = self._clock.now()
        return self.queue.pop(
            self._usable_slots(),
            free,
            lambda pending: (
                self.latest_start(pending) >= now
                and any(_fits(instance, pending) for instance in ready)
            ),
        )

    def _usable_slots(self) -> int:
        """Return the slots in use already while instances are still growing."""
        return sum(i.slots.usable() for i in self._instances() if i.takes_work)


def _fits(instance: Instance, pending: PendingRequest) -> bool:
    wanted = pending.request.upstream
    upstream_id = instance.key.upstream_id
    return upstream_id not in pending.tried and wanted in ("", upstream_id)
