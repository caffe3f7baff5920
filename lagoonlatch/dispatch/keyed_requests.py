"""Runs requests at most once, on the VM that holds their idempotency key."""

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
    """Forwards requests to the VMs that hold their keys."""

    def relay(self, holder: KeyHolder, request: CallerRequest) -> Outcome:
        """Have `holder` run the request, or return the outcome of its earlier run."""


class KeyedRequestRunner:
    """Runs each idempotency key's request on the one VM that holds the key.

    Parameters
    ----------
    this_vm : KeyHolder
        The current run of this VM.
    run : callable
        Runs a request and ignores its key.
    """

    def __init__(
        self,
        this_vm: KeyHolder,
        claims: ClaimStore,
        outcomes: OutcomeTable,
        relay: Relay,
        run: Callable[[CallerRequest], Outcome],
        clock: Clock,
    ) -> None:
        self._this_vm = this_vm
        self._claims = claims
        self._outcomes = outcomes
        self._relay = relay
        self._run = run
        self._clock = clock

    def run(self, request: CallerRequest) -> Outcome:
        """Run a request on its key's holder, or return its earlier outcome."""
        issued_key = IssuedKey.from_text(request.idempotency_key)
        if issued_key is not None:
            holder = KeyHolder(issued_key.vm, issued_key.incarnation)
        else:
            claim_outcome = self._claims.claim(
                request.organisation, request.idempotency_key
            )
            if isinstance(claim_outcome, Failure):
                return claim_outcome
            holder = claim_outcome.unwrap()
        if holder.vm == self._this_vm.vm:
            return self.run_locally(request, holder.incarnation)
        return self._relay.relay(holder, request)

    def run_locally(self, request: CallerRequest, incarnation: int) -> Outcome:
        """Run a request whose key this VM holds, or return its earlier outcome."""
        if incarnation != self._this_vm.incarnation:
            return Failure(holder_ended_refusal())
        issued_key = IssuedKey.from_text(request.idempotency_key)
        if issued_key is not None and issued_key.is_expired(self._clock.now()):
            detail = "the key has expired; not run again"
            return Failure(Refusal("idempotency-outcome-unknown", detail))
        key = f"{request.organisation}\0{request.idempotency_key}"
        return self._outcomes.run_once(
            key, request.fingerprint(), request.deadline, lambda: self._run(request)
        )


def holder_ended_refusal() -> Refusal:
    """Return the refusal of a request whose key's holder has ended."""
    detail = "the VM that held the key is gone; not run again"
    return Refusal("idempotency-outcome-unknown", detail)


def holder_unreachable_refusal() -> Refusal:
    """Return the refusal of a request whose key's holder does not answer."""
    detail = "the VM that holds the key does not answer; resend with the same key"
    return Refusal("idempotency-outcome-unknown", detail, HOLDER_RETRY_AFTER)
