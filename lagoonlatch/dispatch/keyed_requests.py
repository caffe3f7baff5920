"""Requests that run at most once: finds the VM that holds their key."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Failure, Result

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.clock import Clock, Millis
from lagoonlatch.dispatch.request import Answer, CallerRequest
from lagoonlatch.idempotency.claims import ClaimStore, KeyHolder
from lagoonlatch.idempotency.keys import IssuedKey
from lagoonlatch.idempotency.outcomes import OutcomeTable

HOLDER_RETRY_AFTER: Millis = 2_000.0

Outcome = Result[Answer, Refusal]


class Relay(Protocol):
    """The way to the VM that holds a key."""

    def relay(self, holder: KeyHolder, request: CallerRequest) -> Outcome:
        """Have `holder` run the request, or return what it did before."""


class KeyedRequestRunner:
    """Runs each idempotency key's request on the one VM that holds the key.

    Parameters
    ----------
    me : Claim
        This run of this VM.
    run : callable
        Runs a request without regard to its key.
    """

    def __init__(
        self,
        me: KeyHolder,
        claims: ClaimStore,
        outcomes: OutcomeTable,
        relay: Relay,
        run: Callable[[CallerRequest], Outcome],
        clock: Clock,
    ) -> None:
        self._me = me
        self._claims = claims
        self._outcomes = outcomes
        self._relay = relay
        self._run = run
        self._clock = clock

    def run(self, request: CallerRequest) -> Outcome:
        """Have a request run at most once for its key, wherever it arrives."""
        issued = IssuedKey.from_text(request.idempotency_key)
        if issued is not None:
            holder = KeyHolder(issued.vm, issued.incarnation)
        else:
            claimed = self._claims.claim(request.organisation, request.idempotency_key)
            if isinstance(claimed, Failure):
                return claimed
            holder = claimed.unwrap()
        if holder.vm == self._me.vm:
            return self.run_locally(request, holder.incarnation)
        return self._relay.relay(holder, request)

    def run_locally(self, request: CallerRequest, incarnation: int) -> Outcome:
        """Run a request whose key this VM holds, or return its earlier outcome."""
        if incarnation != self._me.incarnation:
            return Failure(holder_ended_refusal())
        issued = IssuedKey.from_text(request.idempotency_key)
        if issued is not None and issued.expired(self._clock.now()):
            detail = "the key has expired; not run again"
            return Failure(Refusal("idempotency-outcome-unknown", detail))
        key = f"{request.organisation}\0{request.idempotency_key}"
        return self._outcomes.run_once(
            key, request.fingerprint(), request.deadline, lambda: self._run(request)
        )


def holder_ended_refusal() -> Refusal:
    """Return the refusal of a key whose VM has ended."""
    detail = "the VM that held the key is gone; not run again"
    return Refusal("idempotency-outcome-unknown", detail)


def holder_unreachable_refusal() -> Refusal:
    """Return the refusal of a key whose VM does not answer now."""
    detail = "the VM that holds the key does not answer; resend with the same key"
    return Refusal("idempotency-outcome-unknown", detail, HOLDER_RETRY_AFTER)
