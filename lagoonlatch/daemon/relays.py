"""The way to the VM that holds an idempotency key."""

from __future__ import annotations

from returns.result import Failure, Result

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.clock import Clock
from lagoonlatch.daemon.fleet import ANSWER_GRACE
from lagoonlatch.dispatch.keyed_requests import (
    holder_ended_refusal,
    holder_unreachable_refusal,
)
from lagoonlatch.dispatch.request import Answer, CallerRequest
from lagoonlatch.idempotency.claims import KeyHolder
from lagoonlatch.membership import Membership
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert_requests import relay_to_thrift, result_from_thrift


class PeerRelay:
    """Passes keyed requests to the VMs that hold their keys."""

    def __init__(
        self,
        membership: Membership,
        clients: PeerClients,
        peers_port: int,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._clients = clients
        self._peers_port = peers_port
        self._clock = clock

    def relay(
        self, holder: KeyHolder, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Have `holder` run the request, or return what it did before."""
        record = self._membership.record(holder.vm)
        if record is None or record.incarnation > holder.incarnation:
            return Failure(holder_ended_refusal())
        remaining = max(request.deadline - self._clock.now(), 0.0)
        reply = self._clients.call(
            record.address,
            self._peers_port,
            "relay",
            relay_to_thrift(request, holder.incarnation, remaining),
            deadline=remaining + ANSWER_GRACE,
            incarnation=holder.incarnation,
        )
        if isinstance(reply, Failure):
            return Failure(holder_unreachable_refusal())
        return result_from_thrift(reply.unwrap())
