"""The kinds of faults; each begins, lasts and ends, and notes whom it disturbs."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform.registrations import UPSTREAM_PREFIX
from lagoonlatch.standins.faults import ANY_GROUP, Fault, Rule, Swallow
from tests.soak.world import (
    DATA_CENTRES,
    LeavingCaller,
    SlowCaller,
    Span,
    World,
    now,
)

STOP_GRACE: Millis = 6_000.0
"""A VM is killed so long after SIGTERM, as its settings say."""

START: Millis = 2_500.0
"""A VM that starts is not yet in touch; others of the machine start beside it."""

SLOW_CALLERS = 3
PIPELINED = 12
"""Requests that a slow caller sends ahead; more than the kernel's buffers take in."""

MAX_STALL: Millis = 2_000.0
"""Longest time for which a slow caller reads nothing."""

COLD_TIME: Millis = 3_000.0
"""How long an upstream is cold that comes back in an outage."""

LOST_WRITES = 40
"""Number of entries that upstreams write before the store is restored, so that its
revision stays below the known one for a while."""

RECENT: Millis = 1_000.0
"""Requests that arrived within this time show where the next ones go."""

LONG_WORK: Millis = 2_000.0
"""Work of an upstream that is about to crash, so that it runs several requests."""

EQUAL_RUNNING = 6
"""Equal requests that an upstream runs when it crashes, if they come in time."""

TURNED_AWAY, SENT_AHEAD, SAFE = "turned-away", "ahead", "safe"
"""Labels of the requests whose callers leave."""

LEAVING_WORK: Millis = 1_500.0
"""Time that their requests take, so that some of them wait for slots."""

REFUSAL_DELAY: Millis = 1_000.0
"""How long after its arrival a request labelled `TURNED_AWAY` is turned away."""

COUNT_AHEAD = 24
"""Requests that a caller sends ahead; a VM handles 16 of a connection."""

Play = Callable[[World, random.Random, Millis], None]
MakeFault = Callable[[random.Random], Fault]

KINDS_BY_NAME: dict[str, Play] = {}


def kind(play: Play) -> Play:
    """Register a kind of fault under its function's name."""
    KINDS_BY_NAME[play.__name__] = play
    return play


class _Disturbed:
    """Notes a span for its subjects when it ends, and for ever until then."""

    def __init__(self, world: World, name: str, *subjects: str) -> None:
        self._world = world
        self._open = [Span(s, name, now(), float("inf")) for s in subjects]

    def __enter__(self) -> None:
        self._world.history.spans += self._open

    def __exit__(self, *_exception: object) -> None:
        for span in self._open:
            self._world.history.spans.remove(span)
            self._world.history.spans.append(
                Span(span.subject, span.kind, span.start, now())
            )


def _sleep(duration: Millis) -> None:
    gevent.sleep(duration / MILLIS_PER_SECOND)


def _any_vm(world: World, rng: random.Random) -> str:
    return rng.choice(sorted(world.vms_by_id))


def _any_instance(world: World, rng: random.Random) -> str:
    return rng.choice(sorted(world.instances_by_id))


def _is_busy(world: World, subject: str) -> bool:
    return any(s.subject == subject and s.end > now() for s in world.history.spans)


@kind
def vm_kill(world: World, rng: random.Random, duration: Millis) -> None:
    """Kill a VM without notice and start it again."""
    vm = _any_vm(world, rng)
    if _is_busy(world, vm):
        return
    with _Disturbed(world, "vm_kill", vm):
        world.signal(vm, signal.SIGKILL)
        world.vms_by_id[vm].process.wait()
        _sleep(duration)
        world.restart(vm)
        _sleep(START)


@kind
def vm_stop(world: World, rng: random.Random, _duration: Millis) -> None:
    """Stop a VM as planned work does and start it again."""
    vm = _any_vm(world, rng)
    if _is_busy(world, vm):
        return
    with _Disturbed(world, "vm_stop", vm):
        status = world.stop_in_order(vm, STOP_GRACE)
        if status != 0:
            world.history.problems.append(f"{vm} ended with {status} after SIGTERM")
            world.signal(vm, signal.SIGKILL)
            world.vms_by_id[vm].process.wait()
        world.restart(vm)
        _sleep(START)


@kind
def vm_pause(world: World, rng: random.Random, duration: Millis) -> None:
    """Suspend a VM."""
    vm = _any_vm(world, rng)
    if _is_busy(world, vm):
        return
    with _Disturbed(world, "vm_pause", vm):
        world.signal(vm, signal.SIGSTOP)
        _sleep(duration)
        world.signal(vm, signal.SIGCONT)


@kind
def slow_callers(world: World, rng: random.Random, duration: Millis) -> None:
    """Let callers read large answers late; that disturbs nothing."""
    callers = [
        SlowCaller(world, _any_vm(world, rng), rng.randrange(2**32), rng)
        for _ in range(SLOW_CALLERS)
    ]
    stall = min(duration, MAX_STALL)
    gevent.joinall(
        [gevent.spawn(caller.run, PIPELINED, stall) for caller in callers],
        raise_error=True,
    )


@kind
def callers_leave(world: World, rng: random.Random, _duration: Millis) -> None:
    """Let callers leave while their requests wait, run, or are turned away late."""
    for instance in world.instances_by_id.values():
        instance.find_work = _find_work_of_leaving
        instance.find_refusal_delay = _find_refusal_delay
    callers = [
        (LeavingCaller(world, _any_vm(world, rng), label, is_unsafe, rng), count)
        for label, is_unsafe, callers_count, count in (
            (TURNED_AWAY, True, 16, 1),
            (SAFE, False, 6, 1),
            # These occupy the remaining slots, and wait for more.
            (SENT_AHEAD, True, 6, COUNT_AHEAD),
        )
        for _ in range(callers_count)
    ]
    leaving = [
        gevent.spawn(caller.run, count, rng.uniform(200.0, 500.0), rng.random() < 0.5)
        for caller, count in callers
    ]
    gevent.joinall(leaving, raise_error=True)
    _sleep(LEAVING_WORK)


def _find_work_of_leaving(request: str) -> Millis | None:
    is_leaving = any(f".{label}." in request for label in (SENT_AHEAD, SAFE))
    return LEAVING_WORK if is_leaving else None


def _find_refusal_delay(request: str) -> Millis | None:
    return REFUSAL_DELAY if f".{TURNED_AWAY}." in request else None


@kind
def vm_reload(world: World, rng: random.Random, _duration: Millis) -> None:
    """Tell a VM that its settings have changed; that disturbs nothing."""
    vm = _any_vm(world, rng)
    if not _is_busy(world, vm):
        world.signal(vm, signal.SIGHUP)


def _break(world: World, group: str, fault: Fault, duration: Millis) -> None:
    name = f"{group}-{now()}"
    world.proxy.set_rule(name, Rule(source=ANY_GROUP, target=group, fault=fault))
    _sleep(duration)
    world.proxy.end_rule(name)


def store_fault(make: MakeFault) -> MakeFault:
    """Register a fault between the store and one VM or all."""

    def play(world: World, rng: random.Random, duration: Millis) -> None:
        fault = make(rng)
        vms = sorted(world.vms_by_id)
        hit = vms if rng.random() < 0.4 else [rng.choice(vms)]
        # Others may be told by those that are hit, so none is in touch meanwhile.
        with _Disturbed(world, make.__name__, *vms):
            breaking = [
                gevent.spawn(_break, world, f"store-{vm}", fault, duration)
                for vm in hit
            ]
            gevent.joinall(breaking, raise_error=True)

    KINDS_BY_NAME[make.__name__] = play
    return make


def upstream_fault(make: MakeFault) -> MakeFault:
    """Register a fault between one upstream and all VMs."""

    def play(world: World, rng: random.Random, duration: Millis) -> None:
        fault = make(rng)
        instance = _any_instance(world, rng)
        with _Disturbed(world, make.__name__, instance):
            _break(world, instance, fault, duration)

    KINDS_BY_NAME[make.__name__] = play
    return make


@store_fault
def store_cut(_rng: random.Random) -> Fault:
    """Reset connections and refuse new ones."""
    return Fault(cut=True)


@store_fault
def store_silent(_rng: random.Random) -> Fault:
    """Lose all bytes."""
    return Fault(swallow=Swallow.ALL)


@store_fault
def store_slow(rng: random.Random) -> Fault:
    """Delay the store's answers."""
    return Fault(delay=rng.uniform(50.0, 400.0))


@kind
def store_busy(world: World, _rng: random.Random, duration: Millis) -> None:
    """Let the store refuse all calls."""
    with _Disturbed(world, "store_busy", *world.vms_by_id):
        world.store.refuse_with = 503
        _sleep(duration)
        world.store.refuse_with = None


@kind
def store_forgets(world: World, _rng: random.Random, _duration: Millis) -> None:
    """Let the store drop its history."""
    with _Disturbed(world, "store_forgets", *world.vms_by_id):
        world.store.forget_history()


@kind
def store_lapses(world: World, rng: random.Random, _duration: Millis) -> None:
    """Let all leases end in an outage; an upstream comes back cold at its end."""
    name = _any_instance(world, rng)
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    with _Disturbed(world, "store_lapses", name, *world.vms_by_id):
        world.store.refuse_with = 503
        _sleep(1_500.0)
        instance.crash()
        _sleep(1_000.0)
        instance.start_again(COLD_TIME)
        _sleep(1_000.0)
        world.store.end_all_leases()
        world.store.refuse_with = None
        world.register(instance, world.data_centre_by_instance[name])
        _sleep(COLD_TIME)


@kind
def store_restored(world: World, rng: random.Random, duration: Millis) -> None:
    """Let the store go away and come back from a copy; then all is written again."""
    stored = world.store.take_copy()
    for _ in range(LOST_WRITES):
        name = _any_instance(world, rng)
        if not _is_busy(world, name):
            instance = world.instances_by_id[name]
            world.register(instance, world.data_centre_by_instance[name])
    _sleep(duration)
    with _Disturbed(world, "store_restored", *world.vms_by_id):
        world.store.refuse_with = 503
        _sleep(rng.uniform(0.0, 1_500.0))
        world.store.restore(stored)
        world.store.refuse_with = None
    world.write_lost_entries_again(rng)


@upstream_fault
def upstream_cut(_rng: random.Random) -> Fault:
    """Reset connections and refuse new ones."""
    return Fault(cut=True)


@upstream_fault
def upstream_silent(rng: random.Random) -> Fault:
    """Lose all bytes, on open connections or on all."""
    return Fault(swallow=rng.choice([Swallow.EXISTING, Swallow.ALL]))


@upstream_fault
def upstream_slow(rng: random.Random) -> Fault:
    """Delay all bytes."""
    return Fault(delay=rng.uniform(20.0, 600.0))


@upstream_fault
def upstream_cuts_answers(rng: random.Random) -> Fault:
    """Let connections go silent in the midst of their bytes."""
    return Fault(lose_after=rng.randrange(50, 3_000))


@kind
def upstream_leaves(world: World, rng: random.Random, duration: Millis) -> None:
    """Let an upstream say that it leaves, go, and come back later."""
    name = _any_instance(world, rng)
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    data_centre = world.data_centre_by_instance[name]
    with _Disturbed(world, "upstream_leaves", name):
        world.register(instance, data_centre, "draining")
        _sleep(4_000.0)
        world.store.remove(f"{UPSTREAM_PREFIX}{name}")
        _sleep(duration)
        world.register(instance, data_centre)


@kind
def upstream_says_it_leaves(world: World, rng: random.Random, duration: Millis) -> None:
    """Let an upstream say so in its answers, long before the store does, and return."""
    name = _any_instance(world, rng)
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    data_centre = world.data_centre_by_instance[name]
    with _Disturbed(world, "upstream_says_it_leaves", name):
        instance.is_leaving = True
        _sleep(1_000.0)
        # Its entry, still ready, is written once more, as by a heartbeat.
        world.register(instance, data_centre)
        _sleep(duration + 3_000.0)
        if rng.random() < 0.5:
            world.register(instance, data_centre, "draining")
            _sleep(500.0)
        world.store.remove(f"{UPSTREAM_PREFIX}{name}")
        _sleep(500.0)
        instance.is_leaving = False
        instance.born += 1
        world.register(instance, data_centre)


@kind
def upstream_rests(world: World, rng: random.Random, duration: Millis) -> None:
    """Let an upstream turn all requests away and ask for rest."""
    name = _any_instance(world, rng)
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    with _Disturbed(world, "upstream_rests", name):
        instance.rest = rng.uniform(1_000.0, 3_000.0)
        _sleep(duration)
        instance.rest = None


@kind
def upstream_fails(world: World, rng: random.Random, duration: Millis) -> None:
    """Let an upstream fail some requests after it has run them, health checks not."""
    name = _any_instance(world, rng)
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    with _Disturbed(world, "upstream_fails", name):
        instance.failure_status = rng.choice([408, 429, 500, 503])
        _sleep(duration)
        instance.failure_status = None


@kind
def upstream_crashes(world: World, rng: random.Random, duration: Millis) -> None:
    """Let the upstream that runs most equal requests crash while it runs some."""
    since = now() - RECENT
    name = max(
        sorted(world.instances_by_id), key=lambda n: world.equal_arrivals(n, since)
    )
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    with _Disturbed(world, "upstream_crashes", name):
        work, instance.work = instance.work, LONG_WORK
        end = now() + LONG_WORK
        while world.equal_running(instance) < EQUAL_RUNNING and now() < end:
            _sleep(20.0)
        instance.crash()
        instance.work = work
        _sleep(duration)
        instance.start_again()
        world.register(instance, world.data_centre_by_instance[name])


@kind
def upstream_names_limit(world: World, rng: random.Random, duration: Millis) -> None:
    """Let an upstream name a rate limit, change it, and take it back."""
    name = _any_instance(world, rng)
    if _is_busy(world, name):
        return
    instance = world.instances_by_id[name]
    with _Disturbed(world, "upstream_names_limit", name):
        for _ in range(rng.choice([1, 1, 2])):
            world.name_limit(instance, rng.choice([1.5, 4.0, 10.0]))
            _sleep(duration + 4_000.0)
        world.name_limit(instance, None)


@kind
def keys_change(world: World, rng: random.Random, _duration: Millis) -> None:
    """Withdraw the key and give another one, and change the rate."""
    number = len(world.history.keys)
    world.configure((f"key-{number}",), rate=rng.choice([40.0, 120.0, 400.0]))


@kind
def evacuation(world: World, rng: random.Random, duration: Millis) -> None:
    """Evacuate a data centre for a while."""
    data_centre = rng.choice(DATA_CENTRES)
    key = f"op/evacuate/{data_centre}"
    known = world.store.keys()
    if key in known:
        return
    world.store.put(key, {})
    start = now()
    _sleep(duration + 2_000.0)
    world.history.evacuated.append((start, now(), data_centre))
    world.store.remove(key)
