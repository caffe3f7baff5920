"""A fleet of VMs on virtual time, with one upstream that names a rate limit.

The decisions are those of the package; the network, the store, the callers and the
upstream are simulated. Each VM has callers that together send far more than the limit.

``python -m tests.steering.limited_fleet`` prints margins and shares by fleet size.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import sys
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.entry.slots import CLAIM_TIMEOUT, CLAIM_TRIES, UNANSWERED_CLAIM_WAIT
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.rate_authority import RateAuthority
from lagoonlatch.steering.rate_limits import NamedLimit, UpstreamRateLimiter
from lagoonlatch.steering.slots import Claim, ClaimAnswer, SlotAllocator
from lagoonlatch.steering.upstreams import REPORTED_LOAD_LIFETIME
from tests.steering.samples import (
    REGION_BY_DATA_CENTRE,
    make_record,
    make_upstream_table,
)

UPSTREAM = "u1"
SLOTS = 30
"""Enough for the highest limit that is played."""

LEASE: Millis = 5_000.0
RENEWAL: Millis = 2_000.0
PROPAGATION = (50.0, 400.0)
"""Range of the time until a VM knows a change of the store."""

HEARTBEAT: Millis = 250.0
CONTACT: Millis = 3_000.0
"""After the first naming, the rule holds from here on."""

SILENCE: Millis = 2_500.0
"""Time after which a VM counts as silent."""

WINDOW: Millis = 4_000.0
TOLD: Millis = 500.0
"""Time after its first such answer from which the rule counts a VM's requests."""

MAX_WAIT: Millis = 300.0
"""How long a request waits for a slot."""

OVERLOAD = 5.0
"""Demand of all callers as a multiple of the limit."""


@dataclass
class _Request:
    vm: str
    ticket: int
    created: Millis
    is_claiming: bool = False


@dataclass
class _Vm:
    """The state of one VM; `ends` lists the times between which it doesn't run."""

    record: VmRecord
    fleet: LimitedFleet
    is_alive: bool = True
    is_frozen: bool = False
    group: int = 0
    disturbed_at: Millis | None = None
    known_vms: dict[str, VmRecord] = field(default_factory=dict)
    current_at: Millis = 0.0
    renewed_at: Millis = 0.0
    waiting: dict[int, _Request] = field(default_factory=dict)
    held_back: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        clock = self.fleet.clock
        self.table = make_upstream_table(clock)
        self.table.put(make_record(UPSTREAM, slots=SLOTS), was_running=True)
        self.homes = SlotHomes(self._list_homes, REGION_BY_DATA_CENTRE, clock)
        self.authority = RateAuthority(
            self.record,
            lambda: self.known_vms,
            frozenset,
            REGION_BY_DATA_CENTRE,
            lambda: clock.now() - self.current_at,
            lambda: False,
            clock,
        )
        self.limiter = UpstreamRateLimiter(self._fraction, clock)
        self.allocator = SlotAllocator(self.table.slots_of, self.limiter, clock)
        self.has_timed_offer = False

    @property
    def state(self):
        return self.table.find(UPSTREAM)

    def _list_homes(self) -> list[VmRecord]:
        known = {**self.known_vms, self.record.id: self.record}
        return [known[vm] for vm in sorted(known) if not self.fleet.is_silent(self, vm)]

    def _fraction(self, upstream: str) -> float:
        return self.authority.fraction(upstream, "n-a")


class LimitedFleet:
    """VMs, the callers of each, the store's list of VMs and one upstream.

    Parameters
    ----------
    count : int
        VMs, over the data centres in turn.
    rate : float
        The limit that the upstream names from the start.
    loss : float
        Share of the datagrams that are lost.

    Attributes
    ----------
    arrivals : list of tuple
        When requests reached the upstream, and whether from a VM that it had told.
    """

    def __init__(self, count: int, rate: float, seed: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(1_000_000.0)
        self.started = self.clock.now()
        self.rate: float | None = rate
        self._changes: list[tuple[Millis, float | None]] = [(self.started, rate)]
        self.demand = rate * OVERLOAD
        self.arrivals: list[tuple[Millis, bool]] = []
        self._told_at_by_vm: dict[str, Millis] = {}
        self.first_named: Millis | None = None
        self._loss = loss
        self._events: list[tuple[Millis, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tickets = itertools.count(1)
        self._store: dict[str, VmRecord] = {}
        self.vm_by_id: dict[str, _Vm] = {}
        self._data_centres = itertools.cycle(REGION_BY_DATA_CENTRE)
        for number in range(count):
            self.add_vm(f"vm-{number}")
        # The fleet has been running for some time.
        for vm in self.vm_by_id.values():
            vm.known_vms = dict(self._store)
            vm.authority.note_vms_changed()
        self.run(5_000.0)
        self.started = self.clock.now()
        for vm in self.vm_by_id:
            self._next_caller(vm)

    def add_vm(self, name: str, run: int = 1, data_centre: str = "") -> None:
        """Start a VM and register it."""
        record = VmRecord(
            id=name,
            data_centre=data_centre or next(self._data_centres),
            caller_address="",
            peer_address="",
            run=run,
            is_ready=True,
        )
        vm = self.vm_by_id[name] = _Vm(record, self)
        vm.known_vms = dict(self._store)
        vm.current_at = vm.renewed_at = self.clock.now()
        self._write(name, record)
        self.after(self.rng.uniform(0.0, HEARTBEAT), lambda: self._follow_store(vm))

    def home(self) -> str:
        """Return the VM that the store's list makes the home of the upstream."""
        homes = SlotHomes(
            lambda: list(self._store.values()), REGION_BY_DATA_CENTRE, self.clock
        )
        homes.refresh()
        return homes.home_of(UPSTREAM, "n-a", anywhere=True).id

    def is_silent(self, viewer: _Vm, name: str) -> bool:
        """Return whether a VM's heartbeats have stopped for a viewer."""
        vm = self.vm_by_id[name]
        since = max(vm.disturbed_at or 0.0, viewer.disturbed_at or 0.0)
        is_reachable = vm.is_alive and not vm.is_frozen and vm.group == viewer.group
        return not is_reachable and self.clock.now() - since >= SILENCE

    def kill(self, name: str) -> None:
        """End a VM at once."""
        self.vm_by_id[name].is_alive = False
        self.vm_by_id[name].disturbed_at = self.clock.now()

    def restart(self, name: str) -> None:
        """Start a killed VM again under its id."""
        old = self.vm_by_id[name].record
        self.add_vm(name, old.run + 1, old.data_centre)
        self._next_caller(name)

    def freeze(self, name: str, duration: Millis) -> None:
        """Let a VM stand still; what it is sent meanwhile waits."""
        vm = self.vm_by_id[name]
        vm.is_frozen = True
        vm.disturbed_at = self.clock.now()

        def thaw() -> None:
            vm.is_frozen = False
            held_back, vm.held_back = vm.held_back, []
            for action in held_back:
                action()

        self.after(duration, thaw)

    def cut(self, names: list[str], duration: Millis, from_store: bool = True) -> None:
        """Cut VMs off from the others and, with `from_store`, from the store."""
        group = 1 if from_store else 2
        for name in names:
            self.vm_by_id[name].group = group
            self.vm_by_id[name].disturbed_at = self.clock.now()
        self.after(duration, lambda: self._heal(names))

    def _heal(self, names: list[str]) -> None:
        for name in names:
            self.vm_by_id[name].group = 0

    def name_limit(self, rate: float | None) -> None:
        """Let the upstream name another limit from now on, or none."""
        self.rate = rate
        self._changes.append((self.clock.now(), rate))

    def after(self, delay: Millis, action: Callable[[], None]) -> None:
        """Run an action later."""
        item = (self.clock.now() + delay, next(self._order), action)
        heapq.heappush(self._events, item)

    def run(self, duration: Millis) -> None:
        """Play until `duration` from now."""
        end = self.clock.now() + duration
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(at - self.clock.now(), 0.0))
            action()
        self.clock.advance(end - self.clock.now())

    def worst_window(self, only_told: bool = True) -> tuple[int, float]:
        """Return the most arrivals in a window, and how many the rule allows.

        Parameters
        ----------
        only_told : bool
            Whether to count, as the rule does, the VMs that the upstream had told.
        """
        if self.first_named is None:
            return 0, math.inf
        times = [
            at
            for at, is_told in self.arrivals
            if at >= self.first_named + CONTACT and (is_told or not only_told)
        ]
        windows = []
        for index, start in enumerate(times):
            rate = self._highest_limit(start)
            if rate is not None:
                count = bisect_left(times, start + WINDOW) - index
                windows.append((count, 1.5 * rate * WINDOW / MILLIS_PER_SECOND + 5.0))
        return max(
            windows, key=lambda window: window[0] - window[1], default=(0, math.inf)
        )

    def _highest_limit(self, start: Millis) -> float | None:
        """Return the highest limit that counts in a window; None if one has none.

        A limit counts from `CONTACT` after it was named, the earlier one until then.
        """
        ends = [at for at, _ in self._changes[1:]] + [math.inf]
        rates = [
            rate
            for (named, rate), end in zip(self._changes, ends, strict=True)
            if named < start + WINDOW and end + CONTACT > start
        ]
        return None if None in rates else max(rates)

    def served_per_second(self, start: Millis, end: Millis) -> float:
        """Return the arrivals a second between two times of the play."""
        first, last = self.started + start, self.started + end
        count = sum(first <= at < last for at, _ in self.arrivals)
        return count * MILLIS_PER_SECOND / (end - start)

    def used_share(self) -> float:
        """Return the arrivals as a share of the limit that was named last."""
        since = max(self._changes[-1][0], self.started) + CONTACT - self.started
        duration = self.clock.now() - self.started
        return self.served_per_second(since, duration) / self.rate

    # The store.

    def _write(self, name: str, record: VmRecord | None) -> None:
        if record is None:
            self._store.pop(name, None)
        else:
            self._store[name] = record

    def _follow_store(self, vm: _Vm) -> None:
        """Let a VM renew its lease, see its own and the others' entries."""
        if self.vm_by_id.get(vm.record.id) is not vm or not vm.is_alive:
            self._expire(vm)
            return
        self.after(HEARTBEAT, lambda: self._follow_store(vm))
        now = self.clock.now()
        if not vm.is_frozen:
            vm.homes.refresh()
        if vm.is_frozen or vm.group == 1:
            self._expire(vm)
            return
        if now - vm.renewed_at >= RENEWAL:
            vm.renewed_at = now
            self._write(vm.record.id, vm.record)
            self._report_held_slots(vm)
        snapshot = dict(self._store)
        self.after(
            self.rng.uniform(*PROPAGATION), lambda: self._learn(vm, snapshot, now)
        )

    def _expire(self, vm: _Vm) -> None:
        left = vm.renewed_at + LEASE - self.clock.now()
        if left > 0.0:
            self.after(left, lambda: self._expire(vm))
            return
        if self._store.get(vm.record.id) is vm.record:
            self._write(vm.record.id, None)

    def _learn(self, vm: _Vm, snapshot: dict[str, VmRecord], as_of: Millis) -> None:
        if as_of < vm.current_at:
            return

        def apply() -> None:
            vm.current_at = as_of
            if snapshot != vm.known_vms:
                vm.known_vms = snapshot
                vm.authority.note_vms_changed()
                vm.homes.refresh()

        self._deliver(vm, apply)

    # The network.

    def _deliver(self, vm: _Vm, action: Callable[[], None]) -> None:
        if not vm.is_alive:
            return
        if vm.is_frozen:
            vm.held_back.append(action)
        else:
            action()

    def _send(self, sender: _Vm, receiver: str, action: Callable[[_Vm], None]) -> None:
        target = self.vm_by_id.get(receiver)
        if target is None or self.rng.random() < self._loss:
            return
        if target.group != sender.group:
            return
        region_of = REGION_BY_DATA_CENTRE.get
        is_near = region_of(sender.record.data_centre) == region_of(
            target.record.data_centre
        )
        delay = self.rng.uniform(1.0, 8.0) if is_near else self.rng.uniform(15.0, 40.0)
        self.after(delay, lambda: self._deliver(target, lambda: action(target)))

    # The callers.

    def _next_caller(self, name: str) -> None:
        vm = self.vm_by_id[name]
        rate = self.demand / len(self.vm_by_id)
        delay = self.rng.expovariate(rate) * MILLIS_PER_SECOND

        def arrive() -> None:
            if self.vm_by_id.get(name) is not vm or not vm.is_alive:
                return
            self._next_caller(name)
            if not vm.is_frozen:
                self._request(vm)

        self.after(delay, arrive)

    def _request(self, vm: _Vm) -> None:
        request = _Request(vm.record.id, next(self._tickets), self.clock.now())
        vm.waiting[request.ticket] = request
        self.after(
            MAX_WAIT, lambda: self._deliver(vm, lambda: self._leave(vm, request))
        )
        self._claim(vm, request)

    def _leave(self, vm: _Vm, request: _Request) -> None:
        if request.is_claiming or vm.waiting.pop(request.ticket, None) is None:
            return
        home = vm.homes.home_of(UPSTREAM, "n-a", anywhere=True)
        if home is not None:
            self._send(
                vm,
                home.id,
                lambda target: self._decline(target, vm.record.id, request.ticket),
            )

    def _decline(self, target: _Vm, vm: str, ticket: int) -> None:
        target.allocator.decline(vm, UPSTREAM, ticket)
        self._offer(target)

    def _claim(self, vm: _Vm, request: _Request) -> None:
        request.is_claiming = True
        home = vm.homes.home_of(UPSTREAM, "n-a", anywhere=True)
        vm.state.in_flight += 1
        vm.state.unanswered_claims += 1
        limit, age = vm.state.known_limit(), vm.state.limit_age()
        claim = Claim(
            vm=vm.record.id,
            upstream=UPSTREAM,
            held=vm.state.in_flight,
            ticket=request.ticket,
            priority=(1, 1),
            waited=self.clock.now() - request.created,
        )
        asked_at = self.clock.now()
        answered: list[bool] = []

        def answer(target: _Vm) -> None:
            target.homes.mark_reachable(vm.record.id)
            if limit is not None:
                target.limiter.report_known(UPSTREAM, limit, age)
            verdict = target.allocator.claim(claim)
            if not verdict.granted:
                self._offer_when_limit_allows(target)
            self._send(target, vm.record.id, lambda _: settle(verdict))

        def settle(verdict: ClaimAnswer | None) -> None:
            if not answered:
                answered.append(True)
                self._settle(vm, request, verdict, asked_at)

        def attempt(home: VmRecord, tries: list[int]) -> None:
            if answered:
                return
            if not tries[0]:
                vm.homes.mark_unreachable(home.id)
                home, tries = (
                    vm.homes.home_of(UPSTREAM, "n-a", anywhere=True),
                    tries[1:],
                )
            if home is None or not tries:
                settle(None)
                return
            self._send(vm, home.id, answer)
            left = [tries[0] - 1, *tries[1:]]
            self.after(
                CLAIM_TIMEOUT, lambda: self._deliver(vm, lambda: attempt(home, left))
            )

        attempt(home, [CLAIM_TRIES, 1])

    def _settle(
        self,
        vm: _Vm,
        request: _Request,
        verdict: ClaimAnswer | None,
        asked_at: Millis,
    ) -> None:
        state = vm.state
        request.is_claiming = False
        state.unanswered_claims -= 1
        if verdict is None:
            is_granted = state.rate_limit is None
            if not is_granted:
                state.set_limit_wait(UNANSWERED_CLAIM_WAIT)
        else:
            state.set_limit_from_home(verdict.limit, asked_at)
            if verdict.limit is not None:
                state.set_limit_wait(verdict.limit_wait)
            is_granted = verdict.granted
        if not is_granted:
            state.in_flight -= 1
            if self.clock.now() - request.created >= MAX_WAIT:
                self._leave(vm, request)
            else:
                self._claim_again(vm, request)
            return
        del vm.waiting[request.ticket]
        connecting = self.rng.choice([0.0, 0.0, 0.0, self.rng.uniform(0.0, 400.0)])
        delay = self.rng.uniform(1.0, 40.0) + connecting
        self.after(delay, lambda: self._arrive(vm, self.clock.now() - delay))

    def _claim_again(self, vm: _Vm, request: _Request) -> None:
        """Claim again when the limit may allow it; an offer may come before."""
        is_full = not vm.state.is_limit_spent()
        wait = REPORTED_LOAD_LIFETIME if is_full else vm.state.limit_wait()

        def again() -> None:
            is_waiting = request.ticket in vm.waiting and not request.is_claiming
            if is_waiting and not vm.state.is_limit_spent():
                self._claim(vm, request)
            elif is_waiting:
                self._claim_again(vm, request)

        self.after(wait + 1.0, lambda: self._deliver(vm, again))

    def _release(self, vm: _Vm) -> None:
        vm.state.in_flight -= 1
        self._report_held_slots(vm)

    def _report_held_slots(self, vm: _Vm) -> None:
        held = vm.state.held_slots()
        home = vm.homes.home_of(UPSTREAM, "n-a", anywhere=True)
        if home is not None:
            self._send(vm, home.id, lambda target: self._count(target, vm, held))

    def _count(self, target: _Vm, vm: _Vm, held: int) -> None:
        target.allocator.set_count(vm.record.id, UPSTREAM, held)
        self._offer(target)

    # The home VM.

    def _offer(self, home: _Vm) -> None:
        for name, ticket in home.allocator.offer_free_slots(UPSTREAM):
            self._send(home, name, lambda vm, t=ticket: self._take_offer(vm, t))
        self._offer_when_limit_allows(home)

    def _take_offer(self, vm: _Vm, ticket: int) -> None:
        vm.state.set_limit_wait(0.0)
        if ticket not in vm.waiting:
            self._leave_offer(vm, ticket)
            return
        waiting = [one for one in vm.waiting.values() if not one.is_claiming]
        if waiting:
            self._claim(vm, waiting[0])

    def _leave_offer(self, vm: _Vm, ticket: int) -> None:
        home = vm.homes.home_of(UPSTREAM, "n-a", anywhere=True)
        name = vm.record.id
        self._send(vm, home.id, lambda target: self._decline(target, name, ticket))

    def _offer_when_limit_allows(self, home: _Vm) -> None:
        wait = home.allocator.time_to_next_offer(UPSTREAM)
        if home.has_timed_offer or wait is None or wait <= 0.0:
            return
        home.has_timed_offer = True

        def fire() -> None:
            home.has_timed_offer = False
            self._offer(home)

        self.after(max(wait, 5.0), lambda: self._deliver(home, fire))

    # The upstream.

    def _arrive(self, vm: _Vm, sent_at: Millis) -> None:
        told_at = self._told_at_by_vm.get(vm.record.id)
        is_told = told_at is not None and self.clock.now() >= told_at + TOLD
        self.arrivals.append((self.clock.now(), is_told))
        if self.rate is not None and self.first_named is None:
            self.first_named = self.clock.now()
        work = self.rng.uniform(20.0, 300.0)

        def answer() -> None:
            named = self.rate
            delay = self.rng.uniform(1.0, 40.0)
            self.after(
                delay, lambda: self._deliver(vm, lambda: self._read(vm, named, sent_at))
            )

        self.after(work, answer)

    def _read(self, vm: _Vm, named: float | None, sent_at: Millis) -> None:
        state = vm.state
        if named is not None:
            self._told_at_by_vm.setdefault(vm.record.id, self.clock.now())
        epoch = state.epoch_before(sent_at)
        limit = NamedLimit(rate=named or 0.0, born=state.record.born, epoch=epoch)
        if named is not None:
            state.name_limit(named, sent_at)
        elif not state.end_limit(sent_at):
            self._release(vm)
            return

        def report(target: _Vm) -> None:
            if named is not None:
                target.limiter.report_named(UPSTREAM, limit)
            else:
                target.limiter.report_ended(UPSTREAM, limit.born, limit.epoch)

        for home in vm.homes.first_homes(UPSTREAM, "n-a", anywhere=True):
            self._send(vm, home.id, report)
        self._release(vm)


FAULTS: dict[str, Callable[[LimitedFleet], None]] = {}


def fault(play: Callable[[LimitedFleet], None]) -> Callable[[LimitedFleet], None]:
    """Register a fault under its function's name."""
    FAULTS[play.__name__] = play
    return play


@fault
def none(_fleet: LimitedFleet) -> None:
    """Disturb nothing."""


@fault
def home_killed(fleet: LimitedFleet) -> None:
    """End the home VM for good."""
    fleet.kill(fleet.home())


@fault
def home_restarted(fleet: LimitedFleet) -> None:
    """End the home VM and start it again before its lease ends."""
    home = fleet.home()
    fleet.kill(home)
    fleet.after(1_000.0, lambda: fleet.restart(home))


@fault
def home_frozen(fleet: LimitedFleet) -> None:
    """Let the home VM stand still for less or more than its lease."""
    fleet.freeze(fleet.home(), fleet.rng.uniform(500.0, 9_000.0))


@fault
def home_cut_off(fleet: LimitedFleet) -> None:
    """Cut the home VM and some others off from the store and the other VMs."""
    others = fleet.rng.sample(sorted(fleet.vm_by_id), len(fleet.vm_by_id) // 3)
    fleet.cut([fleet.home(), *others], fleet.rng.uniform(2_000.0, 12_000.0))


@fault
def vms_cut_in_two(fleet: LimitedFleet) -> None:
    """Cut half of the VMs off from the others; all reach the store."""
    half = fleet.rng.sample(sorted(fleet.vm_by_id), len(fleet.vm_by_id) // 2)
    fleet.cut(half, 10_000.0, from_store=False)


@fault
def home_replaced(fleet: LimitedFleet) -> None:
    """Start VMs in the upstream's data centre, of which one may become its home."""
    for number in range(6):
        fleet.add_vm(f"new-{number}", data_centre="n-a")
        fleet._next_caller(f"new-{number}")


@fault
def limit_lowered(fleet: LimitedFleet) -> None:
    """Let the upstream take a third of what it took."""
    fleet.name_limit(fleet.rate / 3.0)


@fault
def limit_raised(fleet: LimitedFleet) -> None:
    """Let the upstream take twice as much."""
    fleet.name_limit(fleet.rate * 2.0)


def play(
    count: int, rate: float, seed: int, name: str, loss: float = 0.0
) -> LimitedFleet:
    """Play 40 s with a fault after 8 s."""
    fleet = LimitedFleet(count, rate, seed, loss)
    fleet.run(8_000.0)
    FAULTS[name](fleet)
    fleet.run(32_000.0)
    return fleet


def main() -> None:
    """Print the worst window beside the allowed one, and the share of the limit."""
    counts = [int(text) for text in sys.argv[1:2]] or [10, 77, 195]
    for count in counts:
        for name in sys.argv[2:] or FAULTS:
            results = [
                play(count, rate, seed, name)
                for rate in (0.5, 2.2, 3.7, 20.0)
                for seed in range(5)
            ]
            worst = [
                max(
                    (fleet.worst_window(only_told) for fleet in results),
                    key=lambda window: window[0] - window[1],
                )
                for only_told in (True, False)
            ]
            shares = [fleet.used_share() for fleet in results]
            print(
                f"{count:4} {name:16} worst window {worst[0][0]:4} of "
                f"{worst[0][1]:5.1f}, all VMs {worst[1][0]:4} of {worst[1][1]:5.1f}, "
                f"share of the limit {min(shares):.2f} to {max(shares):.2f}"
            )


if __name__ == "__main__":
    main()
