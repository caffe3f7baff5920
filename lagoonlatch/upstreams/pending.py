"""A request between its arrival at the owner and its final outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from lagoonlatch.clock import Millis
from lagoonlatch.upstreams.http import Exchange
from lagoonlatch.upstreams.outcomes import UpstreamOutcome, UpstreamRequest

if TYPE_CHECKING:
    from lagoonlatch.upstreams.service import OwnedService


class PendingRequest:
    """One request, waiting or running.

    Parameters
    ----------
    arrived, until : Millis
        When it came, and by when its answer has to be there.

    Attributes
    ----------
    cost : Millis
        Slot time with which its organisation was charged when it started.
    service : OwnedService or None
        The service whose instances may run it, once it is accepted.
    started : Millis
        When it took its slot.
    tried : set of str
        Instances that refused it before running it.
    exchange : Exchange or None
        The exchange that runs it; None while it waits.
    """

    __slots__ = (
        "arrived",
        "cost",
        "exchange",
        "fingerprint",
        "outcome",
        "request",
        "service",
        "started",
        "tried",
        "until",
    )

    def __init__(
        self,
        request: UpstreamRequest,
        arrived: Millis,
        until: Millis,
        fingerprint: str = "",
    ) -> None:
        self.request = request
        self.arrived = arrived
        self.until = until
        self.fingerprint = fingerprint
        self.cost: Millis = 0.0
        self.started: Millis = 0.0
        self.tried: set[str] = set()
        self.exchange: Exchange | None = None
        self.service: OwnedService | None = None
        self.outcome = AsyncResult()

    @property
    def organisation(self) -> str:
        """The organisation for which it runs."""
        return self.request.organisation

    def finish(self, outcome: UpstreamOutcome) -> None:
        """Set the final outcome; only the first one counts."""
        if not self.outcome.ready():
            self.outcome.set(outcome)
