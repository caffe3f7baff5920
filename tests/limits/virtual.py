"""Virtual time for gevent: greenlets sleep until the driver advances the time."""

from __future__ import annotations

import heapq
import itertools

import gevent
from gevent.event import Event

from lagoonlatch.clock import Clock


class VirtualTime:
    """Virtual time shared by many clocks; its runs are deterministic."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._counter = itertools.count()

    def at(self, when, action):
        """Call `action` at `when` milliseconds."""
        entry = (max(when, self.now), next(self._counter), action)
        heapq.heappush(self._events, entry)

    def run_until(self, end):
        run_ready_greenlets()
        while self._events and self._events[0][0] <= end:
            self.now, _order, action = heapq.heappop(self._events)
            action()
            run_ready_greenlets()
        self.now = end


def run_ready_greenlets():
    """Run all greenlets until each waits for virtual time or for another greenlet.

    The first exception that ends a greenlet is raised here.
    """
    hub = gevent.get_hub()
    errors = []
    hub.handle_error = lambda _context, _type, value, _trace: errors.append(value)
    try:
        while len(hub.loop._callbacks):
            gevent.sleep(0)
    finally:
        del hub.handle_error
    if errors:
        raise errors[0]


class VirtualClock(Clock):
    """A clock of any speed on virtual time.

    Parameters
    ----------
    at : callable, optional
        Schedules the end of a sleep, so that a paused VM can postpone it.
    """

    def __init__(self, time, speed=1.0, offset=0.0, at=None):
        self._time = time
        self._speed = speed
        self._offset = offset
        self._at = at or time.at

    def now(self):
        return self._offset + self._time.now * self._speed

    def wall(self):
        return self.now()

    def sleep(self, duration):
        woken = Event()
        self._at(self._time.now + duration / self._speed, woken.set)
        woken.wait()
