"""Borrows tokens of allowances from other VMs."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.generated.ttypes import Ask
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.lenders import Lenders

LOAN_TIMEOUT: Millis = 200.0
"""A loan from the farthest region takes a round trip and some scheduling."""

LOAN_PAUSE: Millis = 100.0
"""Between rounds of borrowing ahead of demand."""

IDLE_PAUSE: Millis = 400.0
"""The same while no caller has asked for anything lately."""


class Borrower:
    """Asks other VMs, for one organisation one at a time.

    Parameters
    ----------
    me : str
        This VM.
    send_loan_request : callable
        Sends an ask to a VM.
    """

    def __init__(
        self,
        me: str,
        allowances: Allowances,
        holders: Holders,
        lenders: Lenders,
        send_loan_request: Callable[[str, Ask], None],
        clock: Clock,
    ) -> None:
        self._me = me
        self._allowances = allowances
        self._holders = holders
        self._lenders = lenders
        self._send_ask = send_loan_request
        self._clock = clock
        self._pending_by_organisation: dict[str, AsyncResult] = {}
        self._asked_by_number: dict[int, tuple[str, str]] = {}
        self._waiting_by_organisation: Counter[str] = Counter()

    def borrow_ahead(self) -> None:
        """Borrow for organisations that run short, for ever."""
        while True:
            pause = IDLE_PAUSE if self._allowances.is_idle() else LOAN_PAUSE
            gevent.sleep(pause / MILLIS_PER_SECOND)
            for organisation in self._allowances.shortfall_by_organisation():
                self._ask(organisation)

    def borrow(self, organisation: str) -> bool:
        """Wait for loans; return whether there is a token to take now.

        Requests that wait together share each loan; those that it leaves without a
        token ask on. A VM that holds no part of the allowance asks one holder after the
        other, those of its region first.
        """
        self._waiting_by_organisation[organisation] += 1
        try:
            end = self._clock.now() + LOAN_TIMEOUT
            tried: set[str] = set()
            while self._clock.now() < end:
                pending = self._ask(organisation, tried)
                if pending is None:
                    return False
                left = (end - self._clock.now()) / MILLIS_PER_SECOND
                pending.wait(timeout=max(left, 0.0))
                if self._allowances.has_token(organisation):
                    return True
            return False
        finally:
            self._waiting_by_organisation[organisation] -= 1

    def handle_loan(self, number: int, tokens: int, left: int = 0) -> None:
        """Take in the answer to the ask called `number`; 0 tokens if none came.

        Parameters
        ----------
        left : int
            What the lender has left to lend.
        """
        asked = self._asked_by_number.pop(number, None)
        if asked is None:
            return
        lender, organisation = asked
        self._lenders.note_lendable(lender, organisation, left)
        self._allowances.receive_loan(organisation, tokens)
        pending = self._pending_by_organisation.pop(organisation, None)
        if pending is not None:
            pending.set(tokens)

    def _ask(
        self, organisation: str, tried: set[str] | None = None
    ) -> AsyncResult | None:
        pending = self._pending_by_organisation.get(organisation)
        if pending is not None:
            return pending
        waiting = self._waiting_by_organisation[organisation]
        shortfall = self._allowances.shortfall(organisation, waiting)
        if not shortfall:
            return None
        lender = self._lenders.choose(organisation, shortfall, tried or ())
        if lender is None:
            return None
        if tried is not None:
            tried.add(lender)
        self._lenders.note_asked(lender, organisation, shortfall)
        number = random.getrandbits(62)
        pending = AsyncResult()
        self._pending_by_organisation[organisation] = pending
        self._asked_by_number[number] = (lender, organisation)
        is_holder = self._holders.share(organisation).is_holder
        ask = Ask(self._me, number, organisation, shortfall, not is_holder)
        self._send_ask(lender, ask)
        gevent.spawn_later(
            LOAN_TIMEOUT / MILLIS_PER_SECOND, self.handle_loan, number, 0
        )
        return pending
