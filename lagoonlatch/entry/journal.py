"""Writes log lines without ever waiting for their reader.

Lines go to a bounded queue; one task writes them as the output takes them. Each kind
has a bound per second. What is left out is counted and told in a line of its own.
"""

from __future__ import annotations

import fcntl
import os
import sys
from collections import Counter, defaultdict, deque

import gevent
import structlog
from gevent.event import Event
from gevent.os import nb_write

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import LinesLeftOut, LogEvent

QUEUE_LINES = 4_000
"""Lines that wait for the output; about a megabyte."""

LINES_PER_SECOND = 200
"""Lines of one kind in a second; several times an entry VM's usual requests."""

FLUSH_INTERVAL: Millis = 100.0
"""Between writes while there are lines; one write carries those of this time."""

_OUTPUT_FULL = "output"


class LineQueue:
    """The file-like end of the log: takes lines, never blocks.

    Parameters
    ----------
    descriptor : int
        Where lines are written.
    """

    def __init__(self, descriptor: int, capacity: int = QUEUE_LINES) -> None:
        self._descriptor = descriptor
        self._capacity = capacity
        self._lines: deque[str] = deque()
        self._rest = b""
        self._has_lines = Event()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Queue a line; drop it if the queue is full."""
        if len(self._lines) >= self._capacity:
            self.dropped += 1
            return
        self._lines.append(text)
        self._has_lines.set()

    def flush(self) -> None:
        """Do nothing; `drain` writes."""

    def await_lines(self) -> None:
        """Return when there is something to write."""
        if not self._rest and not self._lines:
            self._has_lines.clear()
        self._has_lines.wait()

    def drain(self) -> None:
        """Write what the output takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = "".join(self._lines).encode()
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]

    def finish(self, patience: Millis) -> None:
        """Write the rest, waiting for the reader up to `patience`."""
        with gevent.Timeout(patience / MILLIS_PER_SECOND, False):
            while self._rest or self._lines:
                data = self._rest + "".join(self._lines).encode()
                self._lines.clear()
                self._rest = data[nb_write(self._descriptor, data) :]


class Journal:
    """Bounds the lines of each kind and hands them to structlog."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = structlog.get_logger("lagoonlatch.entry")
        self._second = 0
        self._count_by_name: defaultdict[str, int] = defaultdict(int)
        self._left_out: Counter[str] = Counter()

    def write(self, event: LogEvent) -> None:
        """Write a line unless its kind has had its share of this second."""
        second = int(self._clock.now() / MILLIS_PER_SECOND)
        if second != self._second:
            self._second = second
            self._count_by_name.clear()
            self._tell_left_out()
        self._count_by_name[event.name] += 1
        if self._count_by_name[event.name] > LINES_PER_SECOND:
            self._left_out[event.name] += 1
            return
        self._log.log(event.level, event.name, **vars(event))

    def note_left_out(self, kind: str, count: int) -> None:
        """Count lines that were left out elsewhere."""
        if count:
            self._left_out[kind] += count

    def _tell_left_out(self) -> None:
        left_out, self._left_out = self._left_out, Counter()
        for kind, count in left_out.items():
            line = LinesLeftOut(kind=kind, count=count)
            self._log.log(line.level, line.name, **vars(line))


_JOURNAL = Journal(Clock())


def emit(event: LogEvent) -> None:
    """Write a line to the process's journal."""
    _JOURNAL.write(event)


def start_output(descriptor: int | None = None) -> LineQueue:
    """Return the queue before standard output, which is made non-blocking."""
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
    fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
    return LineQueue(descriptor)


def write_for_ever(queue: LineQueue) -> None:
    """Write queued lines as the output takes them."""
    while True:
        queue.await_lines()
        gevent.sleep(FLUSH_INTERVAL / MILLIS_PER_SECOND)
        queue.drain()
        dropped, queue.dropped = queue.dropped, 0
        _JOURNAL.note_left_out(_OUTPUT_FULL, dropped)
