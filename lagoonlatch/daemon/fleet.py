"""Has requests executed by the VMs that own the instances."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure

from lagoonlatch.clock import Millis
from lagoonlatch.daemon.places import Places
from lagoonlatch.dispatch.moves import move_bucket_id
from lagoonlatch.limits import Limiter
from lagoonlatch.membership import Membership
from lagoonlatch.routing.selection import LoadOf, Place
from lagoonlatch.upstreams.outcomes import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    UpstreamOutcome,
    UpstreamRequest,
)
from lagoonlatch.upstreams.owner import UpstreamOwner
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert_requests import execute_to_thrift, outcome_from_thrift
from lagoonlatch.vms.errors import PeerError, PeerUnreachable

UNREACHABLE_RETRY_AFTER: Millis = 500.0
ANSWER_GRACE: Millis = 250.0
"""An owner that gives up at the deadline gets this long to say so."""


class Fleet:
    """The instances of this VM, and the way to those of the other VMs."""

    def __init__(
        self,
        me: str,
        places: Places,
        owner: UpstreamOwner,
        limiter: Limiter,
        membership: Membership,
        clients: PeerClients,
        peers_port: int,
    ) -> None:
        self._me = me
        self._places = places
        self._owner = owner
        self._limiter = limiter
        self._membership = membership
        self._clients = clients
        self._peers_port = peers_port

    def places(self, service: str) -> Sequence[Place]:
        """Return the places that may serve `service` now."""
        return self._places.places(service)

    def load_of(self, service: str) -> LoadOf:
        """Return the load of each place as known here."""
        return self._places.load_of(service)

    def remaining_quarantine(self, fingerprint: str) -> Millis:
        """Return how much longer a request is quarantined, 0 if it isn't."""
        return self._owner.quarantine.refused_for(fingerprint)

    def execute(self, place: Place, request: UpstreamRequest) -> UpstreamOutcome:
        """Have the owner at `place` run the request."""
        self._places.began(request.service_id, place.vm)
        try:
            if place.vm == self._me:
                return self.execute_here(request)
            return self._execute_at(place.vm, request)
        finally:
            self._places.ended(request.service_id, place.vm)

    def execute_here(self, request: UpstreamRequest) -> UpstreamOutcome:
        """Run a request on an instance of this VM, within its move's cap."""
        if request.move:
            admitted = self._limiter.admit(move_bucket_id(request.move))
            if isinstance(admitted, Failure):
                retry_after = admitted.failure().retry_after
                return Failure(NotRun(NotRunReason.MOVE_CAP, retry_after))
        return self._owner.execute(request)

    def load_here(self, service: str) -> int:
        """Return the requests of a service that run or wait at this VM."""
        return self._owner.load(service)

    def _execute_at(self, vm: str, request: UpstreamRequest) -> UpstreamOutcome:
        record = self._membership.record(vm)
        if record is None:
            return Failure(NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER))
        reply = self._clients.call(
            record.address,
            self._peers_port,
            "execute",
            execute_to_thrift(request),
            deadline=request.deadline + ANSWER_GRACE,
            incarnation=record.incarnation,
        )
        if isinstance(reply, Failure):
            return Failure(_outcome_of(reply.failure()))
        load = reply.unwrap().load
        if load is not None:
            self._places.heard_load(request.service_id, vm, load)
        return outcome_from_thrift(request.request_id, reply.unwrap())


def _outcome_of(error: PeerError) -> NotRun | Unknown:
    if isinstance(error, PeerUnreachable):
        return NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER)
    return Unknown(UnknownReason.SILENT)
