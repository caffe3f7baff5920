"""Memory of the answers that a VM has read and not yet written."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator

import gevent
from gevent.event import Event

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis

SMALL_ANSWER_BYTES = 64 * 1024
"""Bytes of an answer that are read even if answers use all memory that they may."""

RELIEF_FRACTION = 0.75
"""Fraction of the limit below which the memory is no longer used up. Reading resumes at
the limit, so that the use stays near it while large answers wait."""

CONGESTION_TIME: Millis = 1_000.0
"""Time for which the memory has to be used up before further large answers are
declined; callers with fast connections accept theirs sooner."""


class AnswerMemoryLimit:
    """Limits the memory of all answers that this VM holds, until they are written.

    An answer is incomplete while it is read from its upstream, then complete until its
    caller has accepted it. At the limit, reading stops until callers have accepted
    answers. Each answer may have `SMALL_ANSWER_BYTES` at any time, so that small ones
    don't wait for large ones. Incomplete answers could wait for each other without end,
    so the oldest of them may go on.

    If the memory stays used up, answers wait for callers that accept theirs slowly. A
    request for another large answer would occupy a slot of its upstream meanwhile and
    probably miss its deadline, while other VMs have memory.

    Parameters
    ----------
    limit : int
        Bytes that all answers may use together, and that one answer may have.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        self.limit = limit
        self._clock = clock
        self._used_up_since: Millis = math.inf
        self._complete_bytes = 0
        self._incomplete_bytes = 0
        # In the order of their first bytes beyond those that are not limited.
        self._large_incomplete: dict[object, None] = {}
        self._released = Event()

    @property
    def used_bytes(self) -> int:
        """Bytes that all answers use."""
        return self._incomplete_bytes + self._complete_bytes

    @property
    def is_congested(self) -> bool:
        """Whether further large answers should be declined."""
        return self._clock.now() - self._used_up_since >= CONGESTION_TIME

    def add_incomplete(self, answer: object, size: int, total: int) -> None:
        """Count `size` more bytes of an incomplete answer that now has `total`."""
        self._incomplete_bytes += size
        self._note_use()
        if total > SMALL_ANSWER_BYTES:
            self._large_incomplete[answer] = None

    def release_incomplete(self, answer: object, total: int) -> None:
        """Subtract the bytes of an answer that is complete or given up."""
        self._incomplete_bytes -= total
        self._note_use()
        self._large_incomplete.pop(answer, None)
        self._wake_readers()

    @contextlib.contextmanager
    def hold_complete(self, size: int) -> Iterator[None]:
        """Count `size` bytes of a complete answer until its write has ended."""
        self._complete_bytes += size
        self._note_use()
        try:
            yield
        finally:
            self._complete_bytes -= size
            self._note_use()
            self._wake_readers()

    def wait_for_memory(self, answer: object, timeout: Millis) -> None:
        """Wait until more bytes of an incomplete answer may be read.

        Raises
        ------
        TimeoutError
            If there is no memory within `timeout`.
        """
        if self._may_grow(answer):
            return
        with gevent.Timeout(max(timeout, 1.0) / MILLIS_PER_SECOND, TimeoutError):
            while not self._may_grow(answer):
                self._released.wait()

    def _may_grow(self, answer: object) -> bool:
        if answer not in self._large_incomplete or self.used_bytes <= self.limit:
            return True
        is_oldest = answer is next(iter(self._large_incomplete))
        return is_oldest and self._complete_bytes <= self.limit

    def _note_use(self) -> None:
        if self.used_bytes <= self.limit * RELIEF_FRACTION:
            self._used_up_since = math.inf
        elif self.used_bytes > self.limit:
            self._used_up_since = min(self._used_up_since, self._clock.now())

    def _wake_readers(self) -> None:
        if not self._large_incomplete:
            return
        released, self._released = self._released, Event()
        released.set()
