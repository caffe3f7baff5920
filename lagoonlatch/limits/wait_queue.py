"""Rounds of calls that all greenlets in need of the same tokens share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import gevent
from gevent.event import AsyncResult

from lagoonlatch.clock import Clock, Millis

PATIENCE: Millis = 250.0
"""How long a request waits for tokens that are known to come."""

SHORTEST_WAIT: Millis = 1.0

T = TypeVar("T")


@dataclass(eq=False)
class _Waiter(Generic[T]):
    tokens: float
    attempt: Callable[[], T | None]
    attempt_part: Callable[[], T | None]
    settle: Callable[[float], T]
    wait_until: Millis
    outcome: AsyncResult = field(default_factory=AsyncResult)


class Rounds(Generic[T]):
    """Serves waiters first come, first served, with one round of calls at a time.

    Rounds run in a greenlet of their own, so that a waiter that is killed takes
    nothing away from the others.

    Parameters
    ----------
    fetch : callable
        Makes one round of calls for the tokens that the waiters together need.
    wait_for : callable
        Returns how long it takes until that many tokens are there, in milliseconds;
        0 if nothing is known and a round may help.
    """

    def __init__(
        self,
        fetch: Callable[[float], None],
        wait_for: Callable[[float], Millis],
        clock: Clock,
    ) -> None:
        self._fetch = fetch
        self._wait_for = wait_for
        self._clock = clock
        self._waiters: list[_Waiter[T]] = []
        self._running = False

    def is_running(self) -> bool:
        """Return whether there are waiters."""
        return self._running

    def join(
        self,
        tokens: float,
        attempt: Callable[[], T | None],
        settle: Callable[[float], T],
        attempt_part: Callable[[], T | None] | None = None,
        patience: Millis = PATIENCE,
    ) -> T:
        """Wait for a round, and on for tokens that are known to come in time.

        What can't be served within `patience` is settled at once.

        Parameters
        ----------
        tokens : float
            What the waiter needs.
        attempt : callable
            Returns the outcome, or None if tokens are lacking.
        settle : callable
            Returns the outcome for a waiter that is given up, from the tokens that
            are promised to those who wait on.
        attempt_part : callable
            Tried in place of `attempt` after a round, for waiters that a part serves.
        """
        ahead = sum(waiter.tokens for waiter in self._waiters)
        if self._wait_for(ahead + tokens) > patience:
            return settle(ahead)
        wait_until = self._clock.now() + patience
        waiter = _Waiter(tokens, attempt, attempt_part or attempt, settle, wait_until)
        self._waiters.append(waiter)
        if not self._running:
            self._running = True
            gevent.spawn(self._run)
        try:
            return waiter.outcome.get()
        finally:
            self._forget(waiter)

    def _forget(self, waiter: _Waiter[T]) -> None:
        """Drop a waiter that was killed or timed out, so that it takes nothing."""
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
            self._serve_part()
            self._give_up()
            if self._waiters:
                wait = self._wait_for(self._waiters[0].tokens)
                self._clock.sleep(max(wait, SHORTEST_WAIT))
                self._serve()

    def _serve(self) -> None:
        """Serve the waiters from the first up to the first that can't be served."""
        while self._waiters:
            outcome = self._waiters[0].attempt()
            if outcome is None:
                return
            self._waiters.pop(0).outcome.set(outcome)

    def _serve_part(self) -> None:
        """Give the first waiter left what there is."""
        outcome = self._waiters[0].attempt_part() if self._waiters else None
        if outcome is not None:
            self._waiters.pop(0).outcome.set(outcome)

    def _give_up(self) -> None:
        """Settle all whose tokens won't be there in time."""
        waiters, self._waiters = self._waiters, []
        now = self._clock.now()
        needed = 0.0
        for waiter in waiters:
            ready_at = now + self._wait_for(needed + waiter.tokens)
            if ready_at > waiter.wait_until:
                waiter.outcome.set(waiter.settle(needed))
            else:
                needed += waiter.tokens
                self._waiters.append(waiter)
