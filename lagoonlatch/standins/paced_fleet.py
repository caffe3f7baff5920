"""VMs and one upstream that has just started, on virtual time and without a network.

The VMs run the decisions of the package: placement, cold rate, slots and paces.
Messages between them arrive at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.cold_start import ColdStartLimiter
from lagoonlatch.steering.model import Service, UpstreamRecord
from lagoonlatch.steering.pacing import (
    HomePacing,
    WarmDurations,
    note_failed,
    note_served,
)
from lagoonlatch.steering.placement import Placement, PlacementRequest
from lagoonlatch.steering.rate_limits import UpstreamRateLimiter
from lagoonlatch.steering.slots import Claim, SlotAllocator
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable

STEP: Millis = 10.0
WORK: Millis = 100.0
"""Duration of a request on a warm upstream."""

GOAL: Millis = 600.0
DEADLINE: Millis = 3_000.0
"""Time after which a request without an answer has failed."""

ARRIVAL_INTERVAL: Millis = 1_000.0
"""Each VM gets a request in each interval."""

MAX_PENDING = 3
"""Requests that wait at one VM; further ones are refused."""

SLOTS = 3
QUEUE = 2
"""Requests that a warm upstream queues; a slow one queues none."""

COLD_DURATION: Millis = 3_000.0
COLD_RATE = 8.0
ROUTE = "lookup"

_UPSTREAM = "u1"
_SERVICE = Service(
    id="ledger",
    health_path="/",
    max_connections=100,
    cold_duration=COLD_DURATION,
    cold_rate=COLD_RATE,
)
_RECORD = UpstreamRecord(
    id=_UPSTREAM,
    service=_SERVICE.id,
    address="10.0.0.1:80",
    data_centre="n-a",
    slots=SLOTS,
    is_draining=False,
    cold_left=0.0,
    born=1.0,
)
_REQUEST = PlacementRequest(service=_SERVICE.id, object_name="")


@dataclass(frozen=True)
class SentRequest:
    """A request that a VM has sent to the upstream."""

    vm: PacedVm
    sent_at: Millis


class SlowUpstream:
    """Is `slowness` times slower and has no queue until `warm_at`."""

    def __init__(self, clock: Clock, warm_at: Millis, slowness: float = 5.0) -> None:
        self._clock = clock
        self._warm_at = warm_at
        self._slowness = slowness
        self._running: list[tuple[Millis, SentRequest]] = []
        self._waiting: list[SentRequest] = []

    def load(self) -> int:
        """Return the number of requests that it holds."""
        return len(self._running) + len(self._waiting)

    def accept(self, request: SentRequest) -> bool:
        """Take a request; return False if it is rejected."""
        queue = QUEUE if self._clock.now() >= self._warm_at else 0
        if self.load() >= SLOTS + queue:
            return False
        self._waiting.append(request)
        return True

    def take_finished(self) -> list[SentRequest]:
        """Return the requests that have ended, and start those that wait."""
        now = self._clock.now()
        finished = [request for end, request in self._running if end <= now]
        self._running = [item for item in self._running if item[0] > now]
        while self._waiting and len(self._running) < SLOTS:
            work = WORK * (self._slowness if now < self._warm_at else 1.0)
            self._running.append((now + work, self._waiting.pop(0)))
        return finished

    def crash(self) -> list[SentRequest]:
        """Lose all requests, and return them."""
        lost = [request for _, request in self._running] + self._waiting
        self._running, self._waiting = [], []
        return lost


class PacedVm:
    """The decisions of one VM."""

    def __init__(self, number: int, vm_ids: list[str], clock: Clock) -> None:
        self.number = number
        self.id = vm_ids[number]
        self.pending = 0
        self._vm_ids = vm_ids
        self._clock = clock
        self.start(upstream_was_running=False)

    def start(self, upstream_was_running: bool) -> None:
        """Start without state, before or after the upstream."""
        clock = self._clock
        self.durations = WarmDurations()
        for _ in range(10):
            self.durations.note(_SERVICE.id, ROUTE, WORK)
        self.table = UpstreamTable({"n-a": "north"}, clock)
        self.table.configure({_SERVICE.id: _SERVICE})
        self.table.put(_RECORD, was_running=upstream_was_running)
        limiter = ColdStartLimiter(
            self.id, lambda: self._vm_ids, list, lambda: False, clock
        )
        limiter.configure({_SERVICE.id: _SERVICE})
        self.placement = Placement(self.table, "north", ["north"], limiter.consume)
        self.allocator = SlotAllocator(
            self.table.slots_of,
            UpstreamRateLimiter(lambda _: 1.0, clock),
            clock,
            HomePacing(self.table.find, self.durations),
        )

    @property
    def state(self) -> UpstreamState:
        """The upstream as this VM knows it."""
        return self.table.find(_UPSTREAM)


class PacedFleet:
    """VMs whose first one is the home VM of the upstream.

    Parameters
    ----------
    warm_up : Millis
        How long the upstream is slow, which may be longer than its cold time.
    scopes : iterable of str
        The paces that apply: "vm", "home" or both.
    has_home : bool
        Whether the home VM answers.

    Attributes
    ----------
    loses_answers : bool
        Whether answers that the upstream sends now are lost.
    """

    def __init__(
        self,
        vm_count: int,
        warm_up: Millis = 2.0 * COLD_DURATION,
        scopes: Iterable[str] = ("vm", "home"),
        has_home: bool = True,
    ) -> None:
        self.clock = ManualClock()
        self.loses_answers = False
        self._started_at = self.clock.now()
        self.upstream = SlowUpstream(self.clock, self._started_at + warm_up)
        vm_ids = [f"vm-{number}" for number in range(vm_count)]
        self.vms = [PacedVm(n, vm_ids, self.clock) for n in range(vm_count)]
        self._has_home = has_home
        self._unanswered: list[SentRequest] = []
        self._results: list[tuple[Millis, str]] = []
        for vm in self.vms:
            if "vm" not in scopes:
                vm.state.pace = None
            if "home" not in scopes:
                vm.state.home_pace = None

    def elapsed(self) -> Millis:
        """Return the time since the start of the upstream."""
        return self.clock.now() - self._started_at

    def count(self, result: str, begin: Millis, end: Millis) -> int:
        """Return how many requests ended as served, late, rejected or failed."""
        return sum(known == result and begin <= at < end for at, known in self._results)

    def run(self, duration: Millis) -> None:
        """Let the fleet run for `duration`."""
        for _ in range(round(duration / STEP)):
            self.clock.advance(STEP)
            self._finish(self.upstream.take_finished())
            self._expire()
            for vm in self.vms:
                vm.table.take_ended_paces()
                # Arrivals at the VMs are spread over the interval.
                if (self.elapsed() + vm.number * 7 * STEP) % ARRIVAL_INTERVAL < STEP:
                    vm.pending = min(vm.pending + 1, MAX_PENDING)
                    vm.table.note_traffic(vm.state.record.service)
                while vm.pending and self._send(vm):
                    vm.pending -= 1

    def fail(self, requests: Iterable[SentRequest]) -> None:
        """End requests without an answer."""
        for request in requests:
            note_failed(request.vm.state, request.sent_at)
            self._end(request, "failed")

    def _finish(self, requests: Iterable[SentRequest]) -> None:
        for request in requests:
            if self.loses_answers:
                self._unanswered.append(request)
                continue
            vm, sent_at = request.vm, request.sent_at
            duration = self.clock.now() - sent_at
            note_served(vm.state, vm.durations, ROUTE, sent_at, duration)
            self._note_load(vm)
            self._end(request, "late" if duration > GOAL else "served")

    def _expire(self) -> None:
        expired_at = self.clock.now() - DEADLINE
        self.fail(r for r in self._unanswered if r.sent_at <= expired_at)
        self._unanswered = [r for r in self._unanswered if r.sent_at > expired_at]

    def _send(self, vm: PacedVm) -> bool:
        """Send a request to the upstream; return False if it must wait."""
        candidates = vm.placement.candidates(_REQUEST, 0.0)
        if vm.placement.pick(candidates, 0.0) is None or not self._claim(vm):
            return False
        vm.state.note_sent()
        request = SentRequest(vm, self.clock.now())
        if not self.upstream.accept(request):
            note_failed(vm.state, request.sent_at)
            self._note_load(vm)
            self._end(request, "rejected")
        return True

    def _claim(self, vm: PacedVm) -> bool:
        state = vm.state
        state.in_flight += 1
        if not self._has_home:
            return True
        claim = Claim(
            vm=vm.id,
            upstream=_UPSTREAM,
            held=state.in_flight,
            ticket=vm.number,
            priority=(1, 1),
        )
        answer = self.vms[0].allocator.claim(claim)
        state.set_load_of_others(answer.others)
        state.in_flight -= not answer.granted
        return answer.granted

    def _note_load(self, vm: PacedVm) -> None:
        """Apply the load that a response reports."""
        vm.state.set_load_of_others(self.upstream.load() + 1 - vm.state.in_flight)

    def _end(self, request: SentRequest, result: str) -> None:
        self._results.append((self.elapsed(), result))
        vm, home = request.vm, self.vms[0].allocator
        # A VM that has restarted since doesn't count its earlier requests.
        vm.state.in_flight = max(vm.state.in_flight - 1, 0)
        home.set_count(vm.id, _UPSTREAM, vm.state.in_flight)
        for _, number in home.offer_free_slots(_UPSTREAM):
            state = self.vms[number].state
            state.set_load_of_others(SLOTS - 1 - state.in_flight)
