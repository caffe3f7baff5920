"""What the callers' application asks of this VM."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.clock import Clock
from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.config.model import Configuration
from lagoonlatch.daemon.buckets import organisation_bucket
from lagoonlatch.dispatch.dispatcher import Dispatcher
from lagoonlatch.dispatch.keyed_requests import KeyedRequestRunner
from lagoonlatch.dispatch.request import Answer, CallerRequest
from lagoonlatch.idempotency.keys import ISSUED_KEY_VALIDITY, IssuedKey
from lagoonlatch.limits import Limiter, RefusalReason
from lagoonlatch.ownership import Owner

LookUp = Callable[[str, str, str], bytes]


class VmSteering:
    """Joins the parts that serve a caller's request."""

    def __init__(
        self,
        me: Owner,
        holder: ConfigurationHolder,
        limiter: Limiter,
        dispatcher: Dispatcher,
        keyed: KeyedRequestRunner,
        look_up: LookUp,
        leaving: Callable[[], bool],
        keys_confirmed: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._me = me
        self._holder = holder
        self._limiter = limiter
        self._dispatcher = dispatcher
        self._keyed = keyed
        self.look_up = look_up
        self.leaving = leaving
        self.keys_confirmed = keys_confirmed
        self._clock = clock

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._holder.current()

    def issue_key(self) -> bytes:
        """Return the JSON with a new idempotency key of this VM."""
        key = IssuedKey.issue(self._me.vm, self._me.incarnation, self._clock.now())
        document = {
            "idempotency_key": key.to_text(),
            "valid_for_ms": ISSUED_KEY_VALIDITY,
        }
        return msgspec.json.encode(document)

    def admit(self, organisation: str) -> Result[None, Refusal]:
        """Take one token of the organisation's bucket."""
        admitted = self._limiter.admit(organisation_bucket(organisation))
        if isinstance(admitted, Success):
            return Success(None)
        refusal = admitted.failure()
        if refusal.reason is RefusalReason.RATE:
            return Failure(Refusal("rate-exceeded", "", refusal.retry_after))
        detail = f"the organisation's rate can't be counted now: {refusal.reason.value}"
        return Failure(Refusal("limit-unavailable", detail, refusal.retry_after))

    def run(self, request: CallerRequest) -> Result[Answer, Refusal]:
        """Have a request run and return its whole answer."""
        if request.idempotency_key and not request.idempotent:
            return self._keyed.run(request)
        return self._dispatcher.dispatch(request)
