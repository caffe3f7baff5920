"""Borrow tokens of allowances from other VMs."""

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
"""Time limit of a loan; allows for the round trip to the farthest region and for
scheduling delays."""

BORROW_INTERVAL: Millis = 100.0
"""Interval at which tokens are borrowed ahead of demand."""

IDLE_BORROW_INTERVAL: Millis = 400.0
"""Interval of borrowing while there have been no recent requests of callers."""


class Borrower:
    """Borrows tokens from other VMs, one VM at a time for each organisation.

    Parameters
    ----------
    me : str
        Id of this VM.
    send_loan_request : callable
        Sends a request for a loan to a VM.
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
        self._send_loan_request = send_loan_request
        self._clock = clock
        self._pending_loan_by_organisation: dict[str, AsyncResult] = {}
        self._lender_and_organisation_by_loan_number: dict[int, tuple[str, str]] = {}
        self._waiting_request_count_by_organisation: Counter[str] = Counter()

    def borrow_ahead(self) -> None:
        """Borrow ahead for organisations that run short of tokens; never returns."""
        while True:
            interval = (
                IDLE_BORROW_INTERVAL if self._allowances.is_idle() else BORROW_INTERVAL
            )
            gevent.sleep(interval / MILLIS_PER_SECOND)
            for organisation in self._allowances.shortfall_by_organisation():
                self._request_loan(organisation)

    def borrow(self, organisation: str) -> bool:
        """Wait for loans and return whether there is a token to consume now.

        Requests that wait at the same time share each loan; those that get no token
        request another loan. A VM without a share of the allowance asks the VMs that
        have one in turn, those of its own region first.
        """
        self._waiting_request_count_by_organisation[organisation] += 1
        try:
            deadline = self._clock.now() + LOAN_TIMEOUT
            tried: set[str] = set()
            while self._clock.now() < deadline:
                pending_loan = self._request_loan(organisation, tried)
                if pending_loan is None:
                    return False
                seconds_left = (deadline - self._clock.now()) / MILLIS_PER_SECOND
                pending_loan.wait(timeout=max(seconds_left, 0.0))
                if self._allowances.has_token(organisation):
                    return True
            return False
        finally:
            self._waiting_request_count_by_organisation[organisation] -= 1

    def handle_loan(self, number: int, tokens: int, lendable: int = 0) -> None:
        """Handle the answer to loan request `number`; 0 tokens if there was no answer.

        Parameters
        ----------
        lendable : int
            Tokens that the lender could still lend.
        """
        lender_and_organisation = self._lender_and_organisation_by_loan_number.pop(
            number, None
        )
        if lender_and_organisation is None:
            return
        lender, organisation = lender_and_organisation
        self._lenders.note_lendable(lender, organisation, lendable)
        self._allowances.receive_loan(organisation, tokens)
        pending_loan = self._pending_loan_by_organisation.pop(organisation, None)
        if pending_loan is not None:
            pending_loan.set(tokens)

    def _request_loan(
        self, organisation: str, tried: set[str] | None = None
    ) -> AsyncResult | None:
        pending_loan = self._pending_loan_by_organisation.get(organisation)
        if pending_loan is not None:
            return pending_loan
        waiting_request_count = self._waiting_request_count_by_organisation[
            organisation
        ]
        shortfall = self._allowances.shortfall(organisation, waiting_request_count)
        if not shortfall:
            return None
        lender = self._lenders.choose(organisation, shortfall, tried or ())
        if lender is None:
            return None
        if tried is not None:
            tried.add(lender)
        self._lenders.note_asked(lender, organisation, shortfall)
        number = random.getrandbits(62)
        pending_loan = AsyncResult()
        self._pending_loan_by_organisation[organisation] = pending_loan
        self._lender_and_organisation_by_loan_number[number] = (lender, organisation)
        has_share = self._holders.share(organisation).is_holder
        loan_request = Ask(self._me, number, organisation, shortfall, not has_share)
        self._send_loan_request(lender, loan_request)
        gevent.spawn_later(
            LOAN_TIMEOUT / MILLIS_PER_SECOND, self.handle_loan, number, 0
        )
        return pending_loan
