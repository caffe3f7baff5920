"""Cancellation of requests whose callers have closed their connections."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import gevent


class CallerLeftError(Exception):
    """The caller has closed its connection, so that nobody waits for the answer."""


class CancellationToken:
    """Tells the handling of a request whether its caller has left.

    The handling asks before each step that it can't take back, and waits inside of
    `interruptible`. Outside of it nothing is interrupted, so that the answer to a
    request that may run only once is still read.
    """

    def __init__(self) -> None:
        self._is_cancelled = False
        self._waiting_greenlet: gevent.Greenlet | None = None
        self._interruption = None

    @property
    def is_cancelled(self) -> bool:
        """Whether the caller has left."""
        return self._is_cancelled

    def cancel(self) -> None:
        """Record that the caller has left, and interrupt a wait of the request."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        if self._waiting_greenlet is not None:
            self._interruption = gevent.get_hub().loop.run_callback(
                self._waiting_greenlet.throw, CallerLeftError()
            )

    def check(self) -> None:
        """Raise an exception if the caller has left.

        Raises
        ------
        CallerLeftError
            If the caller has left.
        """
        if self._is_cancelled:
            raise CallerLeftError

    @contextlib.contextmanager
    def interruptible(self) -> Iterator[None]:
        """Let `cancel` interrupt what the current greenlet waits for inside.

        If the wait ends at the same time as the caller leaves, nothing is raised, and
        the next check finds out.

        Raises
        ------
        CallerLeftError
            If the caller has left before or leaves during a wait.
        """
        self.check()
        self._waiting_greenlet = gevent.getcurrent()
        try:
            yield
        finally:
            self._waiting_greenlet = None
            if self._interruption is not None:
                # The exception must not reach a later wait, which may not end early.
                self._interruption.stop()
                self._interruption = None
