"""Sends the requests of a plan when they are due."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.pool import Pool

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.load.caller import LoadCaller, Reply
from lagoonlatch.load.plan import LoadPlan, Stream
from lagoonlatch.load.recorder import Recorder, Sample

MOST_OUTSTANDING = 2_000
DEFAULT_TIMEOUT: Millis = 15_000.0

Send = Callable[[Stream, int], Reply]


def run_load(
    plan: LoadPlan,
    vms: tuple[str, ...],
    clock: Clock,
    timeout: Millis = DEFAULT_TIMEOUT,
) -> Recorder:
    """Send a plan's requests to a fleet and return what came of them.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    vms : tuple of str
        Addresses of VMs that the callers know.
    clock : Clock
        Counts the waiting.
    timeout : Millis
        Longest wait for an answer.
    """
    callers = {
        (stream.service, stream.source): LoadCaller(
            vms, stream.service, stream.source, clock, timeout
        )
        for stream in plan.streams
    }
    used_before = time.process_time()
    recorder = send_plan(
        plan,
        lambda stream, number: callers[stream.service, stream.source].request(
            stream, number
        ),
        clock,
    )
    used = (time.process_time() - used_before) * MILLIS_PER_SECOND
    recorder.generator_share = used / plan.duration
    for caller in callers.values():
        caller.close()
    return recorder


def send_plan(
    plan: LoadPlan,
    send: Send,
    clock: Clock,
    most_outstanding: int = MOST_OUTSTANDING,
) -> Recorder:
    """Call `send` for each request when it is due, however long calls take.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    send : callable
        Sends one request and returns the reply.
    clock : Clock
        Counts the waiting.
    most_outstanding : int
        Requests that wait for answers at once; those beyond are counted as skipped,
        and the run is then not an open loop any more.
    """
    recorder = Recorder()
    pool = Pool(most_outstanding)
    began = clock.now()

    def answer(stream: Stream, number: int, due: Millis) -> None:
        reply = send(stream, number)
        latency = clock.now() - began - due
        recorder.add(
            Sample(
                stream.organisation,
                stream.kind,
                due,
                latency,
                reply.problem,
                reply.whole,
            )
        )

    def follow(index: int, stream: Stream) -> None:
        for number, due in enumerate(plan.arrivals(index)):
            wait = due - (clock.now() - began)
            if wait > 0:
                clock.sleep(wait)
            if pool.full():
                recorder.skipped += 1
            else:
                pool.spawn(answer, stream, index * 10_000_000 + number, due)

    gevent.joinall(
        [gevent.spawn(follow, *item) for item in enumerate(plan.streams)],
        raise_error=True,
    )
    pool.join()
    return recorder
