"""Memory of the request bodies that a VM reads, keeps or sends to upstreams."""

from __future__ import annotations

import math
import mmap
from collections.abc import Callable

from gevent.event import Event

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis

PROCESS_BYTES = 40 * 1024 * 1024
"""What the process uses by itself."""

MEMORY_FRACTION = 0.45
"""Fraction of what the process leaves of the VM's memory for request bodies. A body of
64 MiB fits on a VM with 200 MB while no other large one is there."""

MIN_MEMORY_FRACTION = 0.05
"""Fraction of the memory of a VM that is smaller than the process needs."""

SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body may use the memory that large bodies may not."""

CONNECTION_BYTES = 256 * 1024
"""What a connection with a large body uses besides: the receive buffer of the kernel,
the bytes just received and those in the parser."""

SMALL_CONNECTION_BYTES = 2 * 1024
"""What the objects of a request with a small body use."""

LARGE_FRACTION = 0.9
"""Fraction of the limit that large bodies may use together."""

WAITING_FRACTION = 0.04
"""Fraction of the limit for the connections whose bodies wait unread."""

GROWTH_BYTES = 256 * 1024
"""Step in which a large body of unknown length gets memory."""

SMALL_GROWTH_BYTES = 8 * 1024
"""Step in which a small body of unknown length gets memory."""

MAX_WAIT: Millis = 2_000.0
"""How long a body waits for memory before it is refused."""

STALL_TIME: Millis = 1_000.0
"""A body whose caller has sent less than `PROGRESS_BYTES` for so long gives way when
the memory is used up."""

PROGRESS_BYTES = 4 * 1024

CHECK_INTERVAL: Millis = 100.0
"""Interval at which a waiting body looks for stalled bodies and for its caller."""


class BodyMemoryLimit:
    """Limits the memory of all request bodies, until their requests are answered.

    A body of known length gets its memory as a whole, so that bodies that have begun
    don't wait for each other. One of unknown length gets it in steps. A body that
    doesn't fit waits unread. The body that has stalled longest gives way to it.

    Large bodies leave a part of the memory to small ones, up to `SMALL_BODY_BYTES`.

    Parameters
    ----------
    limit : int
        Bytes that all bodies may use together, with what their connections use.

    Attributes
    ----------
    limit, large_limit : int
        Bytes for all bodies of which something is kept, and for the large ones.
    max_waiting : int
        Connections whose bodies wait unread.
    used_bytes, large_bytes : int
        What is used of the limits.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        self.limit = int(limit * (1 - WAITING_FRACTION))
        self.large_limit = int(limit * LARGE_FRACTION)
        self.max_waiting = int(limit * WAITING_FRACTION) // CONNECTION_BYTES
        self.used_bytes = 0
        self.large_bytes = 0
        self.clock = clock
        # In the order of their first bytes.
        self._bodies: dict[RequestBody, None] = {}
        self._waiting: set[RequestBody] = set()
        self._released = Event()

    @classmethod
    def from_vm_memory(cls, memory_bytes: int, clock: Clock) -> BodyMemoryLimit:
        """Return the limit of a VM whose process may use `memory_bytes`."""
        limit = max(
            (memory_bytes - PROCESS_BYTES) * MEMORY_FRACTION,
            memory_bytes * MIN_MEMORY_FRACTION,
        )
        return cls(round(limit), clock)

    def open(self, length: int | None) -> RequestBody:
        """Return an empty body of `length` bytes; None if the length is unknown."""
        return RequestBody(self, length)

    def acquire(
        self,
        body: RequestBody,
        size: int,
        max_wait: Millis,
        has_left: Callable[[], bool],
    ) -> bool:
        """Wait until `body` has `size` bytes of memory; return whether it has.

        Parameters
        ----------
        has_left : callable
            Returns whether the caller has left, which ends the wait.
        """
        if body.reserved_bytes >= size or self._try_acquire(body, size):
            return True
        if size > (self.large_limit if _is_large(size) else self.limit):
            return False
        if not body.reserved_bytes and self._count_unread() >= self.max_waiting:
            return False
        self._waiting.add(body)
        try:
            return self._wait(body, size, min(max_wait, MAX_WAIT), has_left)
        finally:
            self._waiting.discard(body)
            self._wake()

    def release(self, body: RequestBody) -> None:
        """Take the memory of a body back."""
        self._count(body, 0)
        self._bodies.pop(body, None)
        self._wake()

    def _wait(
        self,
        body: RequestBody,
        size: int,
        max_wait: Millis,
        has_left: Callable[[], bool],
    ) -> bool:
        deadline = self.clock.now() + max_wait
        while not self._try_acquire(body, size):
            if self._evict_stalled(_is_large(size)):
                continue
            if self.clock.now() >= deadline or has_left() or self._is_stuck(body):
                return False
            self._released.wait(timeout=CHECK_INTERVAL / MILLIS_PER_SECOND)
        return True

    def _try_acquire(self, body: RequestBody, size: int) -> bool:
        if self.used_bytes + size - body.reserved_bytes > self.limit:
            return False
        large_bytes = self.large_bytes + size
        if body.is_large:
            large_bytes -= body.reserved_bytes
        if _is_large(size) and large_bytes > self.large_limit:
            return False
        self._count(body, size)
        self._bodies[body] = None
        return True

    def _count_unread(self) -> int:
        """Return how many bodies wait of which nothing is kept yet."""
        return sum(not body.reserved_bytes for body in self._waiting)

    def _is_stuck(self, body: RequestBody) -> bool:
        """Return whether bodies wait for each other and `body` is the newest one."""
        return (
            body.reserved_bytes > 0
            and all(other in self._waiting for other in self._bodies)
            and body is next(reversed(self._bodies))
        )

    def _evict_stalled(self, only_large: bool) -> bool:
        """Take the memory of the body that has stalled longest, if one has."""
        latest = self.clock.now() - STALL_TIME
        stalled = [
            body
            for body in self._bodies
            if body.stalled_since <= latest and (body.is_large or not only_large)
        ]
        if not stalled:
            return False
        min(stalled, key=lambda body: body.stalled_since).evict()
        return True

    def _count(self, body: RequestBody, size: int) -> None:
        if body.is_large:
            self.large_bytes -= body.reserved_bytes
        self.used_bytes += size - body.reserved_bytes
        body.reserved_bytes = size
        if body.is_large:
            self.large_bytes += size

    def _wake(self) -> None:
        if not self._waiting:
            return
        released, self._released = self._released, Event()
        released.set()


def _is_large(size: int) -> bool:
    return size > SMALL_BODY_BYTES + SMALL_CONNECTION_BYTES


class RequestBody:
    """The only copy of one request body.

    Attributes
    ----------
    reserved_bytes : int
        Memory that is counted for it.
    stalled_since : Millis
        When its caller last made progress; infinite while the VM doesn't read it.
    is_evicted : bool
        Whether it has given way to another body.
    """

    def __init__(self, memory: BodyMemoryLimit, length: int | None) -> None:
        self._memory = memory
        self._length = length
        self._size = 0
        self._small = bytearray()
        # Grows without a copy, and goes back to the system at once.
        self._large: mmap.mmap | None = None
        self._progress_at = memory.clock.now()
        self._progress_size = 0
        self.reserved_bytes = 0
        self.stalled_since: Millis = math.inf
        self.is_evicted = False

    def __len__(self) -> int:
        """Return the number of bytes kept."""
        return self._size

    @property
    def is_large(self) -> bool:
        """Whether it uses memory for large bodies."""
        return _is_large(self.reserved_bytes)

    def prepare(
        self, more: int, max_wait: Millis, has_left: Callable[[], bool]
    ) -> bool:
        """Wait for the memory of `more` bytes; return whether there is enough."""
        if self.is_evicted:
            return False
        size = self._size + more if self._length is None else self._length
        is_small = size <= SMALL_BODY_BYTES
        if self._length is None:
            step = SMALL_GROWTH_BYTES if is_small else GROWTH_BYTES
            size = max(math.ceil(size / step), 1) * step
        total = size + (SMALL_CONNECTION_BYTES if is_small else CONNECTION_BYTES)
        if self.reserved_bytes >= total:
            return True
        if not self._memory.acquire(self, total, max_wait, has_left):
            return False
        # The VM kept the caller waiting, not the other way round.
        self._progress_at = self._memory.clock.now()
        if not is_small:
            self._make_room(size)
        return True

    def append(self, data: bytes) -> None:
        """Keep more bytes, for which there must be memory."""
        end = self._size + len(data)
        if self._large is None:
            self._small += data
        else:
            self._large[self._size : end] = data
        self._size = end
        if end - self._progress_size >= PROGRESS_BYTES:
            self._progress_size = end
            self._progress_at = self._memory.clock.now()

    def await_bytes(self) -> None:
        """Record that the caller is to send more."""
        self.stalled_since = self._progress_at

    def end_await(self) -> None:
        """Record that the VM doesn't wait for the caller."""
        self.stalled_since = math.inf

    def content(self) -> bytes | memoryview:
        """Return the bytes; a large body isn't copied."""
        if self._large is None:
            return bytes(self._small)
        return memoryview(self._large)[: self._size]

    def evict(self) -> None:
        """Give the memory to other bodies."""
        self.is_evicted = True
        self.release()

    def release(self) -> None:
        """Forget the bytes, which nobody may use any more."""
        self.end_await()
        self._small = bytearray()
        self._large = None
        self._memory.release(self)

    def _make_room(self, size: int) -> None:
        if self._large is None:
            self._large = mmap.mmap(
                -1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
            )
            self._large[: self._size] = bytes(self._small)
            self._small = bytearray()
        elif len(self._large) < size:
            self._large.resize(size)
