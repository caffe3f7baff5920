"""A queue of greenlets that wait for tokens of one bucket and share rounds of calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import gevent
from gevent.event import AsyncResult

from lagoonlatch.clock import Clock, Millis

MAX_TOKEN_WAIT: Millis = 250.0
"""How long a request waits for tokens that will be available in that time."""

MIN_WAIT: Millis = 1.0
"""The shortest pause between two rounds of calls."""

T = TypeVar("T")


@dataclass(eq=False)
class _Waiter(Generic[T]):
    tokens: float
    attempt: Callable[[], T | None]
    attempt_partial: Callable[[], T | None]
    refuse: Callable[[float], T]
    wait_until: Millis
    outcome: AsyncResult = field(default_factory=AsyncResult)


class TokenWaitQueue(Generic[T]):
    """Serves waiters in order of arrival, with one round of calls at a time.

    The rounds run in a separate greenlet, so that killing a waiter doesn't affect the
    other waiters.

    Parameters
    ----------
    fetch : callable
        Makes one round of calls for the tokens that all waiters together need.
    expected_wait : callable
        Returns the time in milliseconds until that many tokens are available; 0 if it
        is not known and a round of calls may bring them.
    """

    def __init__(
        self,
        fetch: Callable[[float], None],
        expected_wait: Callable[[float], Millis],
        clock: Clock,
    ) -> None:
        self._fetch = fetch
        self._expected_wait = expected_wait
        self._clock = clock
        self._waiters: list[_Waiter[T]] = []
        self._running = False

    def is_running(self) -> bool:
        """Return whether waiters are being served."""
        return self._running

    def wait_for_tokens(
        self,
        tokens: float,
        attempt: Callable[[], T | None],
        refuse: Callable[[float], T],
        attempt_partial: Callable[[], T | None] | None = None,
        timeout: Millis = MAX_TOKEN_WAIT,
    ) -> T:
        """Wait for a round of calls, and then for tokens that will come in time.

        A waiter that can't be served within `timeout` is refused at once.

        Parameters
        ----------
        tokens : float
            Tokens that the waiter needs.
        attempt : callable
            Returns the outcome, or None if there are too few tokens.
        refuse : callable
            Returns the outcome of a waiter that is not served, given the number of
            tokens that the remaining waiters will get first.
        attempt_partial : callable
            Called instead of `attempt` after a round, for a waiter that can also use
            fewer tokens.
        """
        queued_tokens = sum(waiter.tokens for waiter in self._waiters)
        if self._expected_wait(queued_tokens + tokens) > timeout:
            return refuse(queued_tokens)
        wait_until = self._clock.now() + timeout
        waiter = _Waiter(
            tokens, attempt, attempt_partial or attempt, refuse, wait_until
        )
        self._waiters.append(waiter)
        if not self._running:
            self._running = True
            gevent.spawn(self._run)
        try:
            return waiter.outcome.get()
        finally:
            self._remove(waiter)

    def _remove(self, waiter: _Waiter[T]) -> None:
        """Remove a waiter that was killed or timed out, so that it gets no tokens."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _run(self) -> None:
        try:
            self._serve_all()
        except Exception as error:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                waiter.outcome.set_exception(error)
            raise
        finally:
            self._running = False

    def _serve_all(self) -> None:
        self._serve()
        while self._waiters:
            self._fetch(sum(waiter.tokens for waiter in self._waiters))
            self._serve()
            self._serve_partially()
            self._refuse_late()
            if self._waiters:
                wait = self._expected_wait(self._waiters[0].tokens)
                self._clock.sleep(max(wait, MIN_WAIT))
                self._serve()

    def _serve(self) -> None:
        """Serve waiters in order until one can't be served."""
        while self._waiters:
            outcome = self._waiters[0].attempt()
            if outcome is None:
                return
            self._waiters.pop(0).outcome.set(outcome)

    def _serve_partially(self) -> None:
        """Give the first remaining waiter the tokens that are available."""
        outcome = self._waiters[0].attempt_partial() if self._waiters else None
        if outcome is not None:
            self._waiters.pop(0).outcome.set(outcome)

    def _refuse_late(self) -> None:
        """Refuse all waiters whose tokens won't be available in time."""
        waiters, self._waiters = self._waiters, []
        now = self._clock.now()
        needed = 0.0
        for waiter in waiters:
            ready_at = now + self._expected_wait(needed + waiter.tokens)
            if ready_at > waiter.wait_until:
                waiter.outcome.set(waiter.refuse(needed))
            else:
                needed += waiter.tokens
                self._waiters.append(waiter)
