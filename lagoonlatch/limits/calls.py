"""Calls that request tokens from the owners of shards."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping

import gevent
from returns.result import Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.limits.grants import GrantReply, GrantRequest, Transport
from lagoonlatch.limits.leases import HeldLease, HeldLeases
from lagoonlatch.limits.limiter import Ownership
from lagoonlatch.limits.tokens import floor_tokens
from lagoonlatch.ownership.table import Owner

NOT_OWNER = "not-owner"
PROBE_INTERVAL: Millis = 1_000.0
"""Interval of background probes to a VM that did not reply."""


class GrantCalls:
    """Requests tokens from the owners of shards and records the granted leases.

    Parameters
    ----------
    serve : callable
        Answers requests for shards that this VM owns.
    """

    def __init__(
        self,
        this_vm: Owner,
        ownership_by_scope: Mapping[str, Ownership],
        transport: Transport,
        serve: Callable[[GrantRequest], GrantReply],
        clock: Clock,
    ) -> None:
        self._this_vm = this_vm
        self._ownership_by_scope = ownership_by_scope
        self._transport = transport
        self._serve = serve
        self._clock = clock
        self._request_ids = itertools.count(1)
        self._probed_at_by_unresponsive_vm: dict[str, Millis] = {}

    def owner_of(self, scope: str, bucket: str) -> str | None:
        """Return the VM to ask for `bucket` in `scope`, or None.

        Also returns None for an owner that did not reply to its last call. No request
        waits for such a VM until it has replied to a probe in the background.
        """
        ownership = self._ownership_by_scope.get(scope)
        owner = ownership and ownership.owner_of(ownership.slot_of(bucket))
        if owner is None or owner == self._this_vm:
            return owner and owner.vm
        if owner.vm == self._this_vm.vm:
            return None
        if owner.vm in self._probed_at_by_unresponsive_vm:
            self._probe(owner.vm, scope, bucket)
            return None
        return owner.vm

    def call(
        self,
        held_leases: HeldLeases,
        bucket: str,
        scope: str,
        deadline: Millis,
        wanted: float = 0.0,
        ahead: float = 0.0,
        between_regions: bool = False,
    ) -> GrantReply | None:
        """Request tokens from the owner of `scope`'s shard, and report to it.

        Returns
        -------
        GrantReply or None
            None if no owner is known or the owner doesn't reply.
        """
        lender = self.owner_of(scope, bucket)
        if lender is None:
            return None
        request = GrantRequest(
            bucket,
            scope,
            floor_tokens(max(wanted, 0.0)),
            self._this_vm.vm,
            self._this_vm.incarnation,
            next(self._request_ids),
            floor_tokens(max(ahead, 0.0)),
            between_regions,
            held_leases.settlements_for(lender, scope, self._clock.now()),
        )
        sent_at = self._clock.now()
        reply = self._send(lender, request, deadline)
        if not isinstance(reply, Success):
            self._probed_at_by_unresponsive_vm[lender] = self._clock.now()
            return None
        return self._accept_reply(held_leases, lender, request, reply.unwrap(), sent_at)

    def call_all(
        self,
        held_leases: HeldLeases,
        bucket: str,
        scopes: tuple[str, ...],
        deadline: Millis,
        wanted: float = 0.0,
        ahead: float = 0.0,
    ) -> dict[str, GrantReply]:
        """Ask the shards of several other regions at once.

        Returns
        -------
        dict of str to GrantReply
            The replies by scope, without the scopes that didn't reply.
        """
        greenlet_by_scope = {
            scope: gevent.spawn(
                self.call, held_leases, bucket, scope, deadline, wanted, ahead, True
            )
            for scope in scopes
            if self.owner_of(scope, bucket) is not None
        }
        gevent.joinall(list(greenlet_by_scope.values()))
        reply_by_scope = {
            scope: greenlet.value for scope, greenlet in greenlet_by_scope.items()
        }
        return {scope: reply for scope, reply in reply_by_scope.items() if reply}

    def _send(
        self, lender: str, request: GrantRequest, deadline: Millis
    ) -> Result[GrantReply, str]:
        if lender == self._this_vm.vm:
            return Success(self._serve(request))
        return self._transport.grant(lender, request, deadline)

    def _probe(self, vm: str, scope: str, bucket: str) -> None:
        """Send an empty request to an unresponsive VM to learn whether it replies."""
        now = self._clock.now()
        if now - self._probed_at_by_unresponsive_vm[vm] < PROBE_INTERVAL:
            return
        self._probed_at_by_unresponsive_vm[vm] = now
        request = GrantRequest(
            bucket,
            scope,
            wanted=0.0,
            vm=self._this_vm.vm,
            incarnation=self._this_vm.incarnation,
            request_id=next(self._request_ids),
            between_regions=True,
        )
        gevent.spawn(self._send_probe, vm, request)

    def _send_probe(self, vm: str, request: GrantRequest) -> None:
        reply = self._transport.grant(vm, request, PROBE_INTERVAL)
        if isinstance(reply, Success):
            self._probed_at_by_unresponsive_vm.pop(vm, None)

    def _accept_reply(
        self,
        held_leases: HeldLeases,
        lender: str,
        request: GrantRequest,
        reply: GrantReply,
        sent_at: Millis,
    ) -> GrantReply | None:
        if reply.refusal == NOT_OWNER:
            return None
        held_leases.acknowledge(request.settlements)
        if reply.granted > 0.0 and reply.request_id == request.request_id:
            held_leases.add(
                HeldLease(
                    lender,
                    request.scope,
                    request.request_id,
                    reply.granted,
                    ends_at=sent_at + reply.duration,
                    used_at=self._clock.now(),
                )
            )
        return reply

    def report(self, held_leases: HeldLeases, bucket: str, deadline: Millis) -> None:
        """Send all unreported settlements to the lenders."""
        for lender, scope in held_leases.unreported():
            if lender == self.owner_of(scope, bucket):
                self.call(held_leases, bucket, scope, deadline)
