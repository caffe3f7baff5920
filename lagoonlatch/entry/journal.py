"""Write log lines without blocking on a slow reader.

Lines go to a bounded queue, and one task writes them as fast as the output accepts
them. The number of lines per second is limited for each kind of event. Lines that are
left out are counted, and the count is logged.
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
"""Maximum number of lines in the queue, about a megabyte."""

LINES_PER_SECOND = 200
"""Maximum number of lines per kind of event, several times the usual request rate of an
entry VM."""

FLUSH_INTERVAL: Millis = 100.0
"""Pause before queued lines are written, so that one write carries the lines of this
time."""

_OUTPUT_FULL = "output"


class LineQueue:
    """File-like object that queues log lines and never blocks in `write`.

    Parameters
    ----------
    descriptor : int
        File descriptor to which lines are written.
    capacity : int
        Maximum number of queued lines.
    """

    def __init__(self, descriptor: int, capacity: int = QUEUE_LINES) -> None:
        self._descriptor = descriptor
        self._capacity = capacity
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self._has_lines = Event()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= self._capacity:
            self.dropped += 1
            return
        self._lines.append(text)
        self._has_lines.set()

    def flush(self) -> None:
        """Do nothing, since `drain` writes the lines."""

    def wait_for_lines(self) -> None:
        """Wait until there is something to write."""
        if not self._unwritten and not self._lines:
            self._has_lines.clear()
        self._has_lines.wait()

    def drain(self) -> None:
        """Write as much as the output accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = "".join(self._lines).encode()
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]

    def finish(self, timeout: Millis) -> None:
        """Write all remaining lines, waiting for the reader for at most `timeout`."""
        with gevent.Timeout(timeout / MILLIS_PER_SECOND, False):
            while self._unwritten or self._lines:
                data = self._unwritten + "".join(self._lines).encode()
                self._lines.clear()
                self._unwritten = data[nb_write(self._descriptor, data) :]


class Journal:
    """Log events through structlog, with a limit per second for each kind of event."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = structlog.get_logger("lagoonlatch.entry")
        self._second = 0
        self._count_by_name: defaultdict[str, int] = defaultdict(int)
        self._left_out: Counter[str] = Counter()

    def write(self, event: LogEvent) -> None:
        """Log an event unless its kind has reached the limit of this second."""
        second = int(self._clock.now() / MILLIS_PER_SECOND)
        if second != self._second:
            self._second = second
            self._count_by_name.clear()
            self._log_left_out()
        self._count_by_name[event.name] += 1
        if self._count_by_name[event.name] > LINES_PER_SECOND:
            self._left_out[event.name] += 1
            return
        self._log.log(event.level, event.name, **vars(event))

    def note_left_out(self, kind: str, count: int) -> None:
        """Count lines that were left out elsewhere."""
        if count:
            self._left_out[kind] += count

    def _log_left_out(self) -> None:
        left_out, self._left_out = self._left_out, Counter()
        for kind, count in left_out.items():
            event = LinesLeftOut(kind=kind, count=count)
            self._log.log(event.level, event.name, **vars(event))


_JOURNAL = Journal(Clock())


def emit(event: LogEvent) -> None:
    """Log an event through the journal of this process."""
    _JOURNAL.write(event)


def start_output(descriptor: int | None = None) -> LineQueue:
    """Make an output non-blocking and return a queue for its lines.

    Parameters
    ----------
    descriptor : int, optional
        File descriptor of the output, by default standard output.
    """
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
    fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
    return LineQueue(descriptor)


def write_lines_forever(queue: LineQueue) -> None:
    """Write queued lines forever, as fast as the output accepts them."""
    while True:
        queue.wait_for_lines()
        gevent.sleep(FLUSH_INTERVAL / MILLIS_PER_SECOND)
        queue.drain()
        dropped, queue.dropped = queue.dropped, 0
        _JOURNAL.note_left_out(_OUTPUT_FULL, dropped)
