"""Calls to other VMs by id, for the limiter and for reports of deaths."""

from __future__ import annotations

import gevent
from returns.result import Failure, Result

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.limits.grants import GrantReply, GrantRequest
from lagoonlatch.membership import Membership
from lagoonlatch.upstreams.quarantine import SuspectReport
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert_grants import (
    grant_reply_from_thrift,
    grant_request_to_thrift,
)
from lagoonlatch.vms.generated import ttypes

REPORT_DEADLINE: Millis = 500.0
FETCH_DEADLINE: Millis = 5_000.0


class PeerTransport:
    """Finds a VM's address by its id and calls it."""

    def __init__(
        self, membership: Membership, clients: PeerClients, peers_port: int
    ) -> None:
        self._membership = membership
        self._clients = clients
        self._peers_port = peers_port

    def grant(
        self, vm_id: str, request: GrantRequest, deadline: Millis
    ) -> Result[GrantReply, str]:
        """Ask the owner of a bucket's shard for tokens."""
        struct = grant_request_to_thrift(request)
        reply = self._call(vm_id, "grant", struct, deadline=deadline)
        return reply.map(grant_reply_from_thrift)

    def fetch_configuration(self, vm_id: str, known_version: int) -> Result[bytes, str]:
        """Return a VM's configuration, without the parts of `known_version`."""
        reply = self._call(
            vm_id, "fetch_configuration", known_version, deadline=FETCH_DEADLINE
        )
        return reply.map(lambda struct: struct.document)

    def fetch_ownership(
        self, vm_id: str, scope: str, known: int
    ) -> Result[ttypes.OwnershipReply, str]:
        """Return a VM's ownership table of `scope`."""
        return self._call(
            vm_id, "fetch_ownership", scope, known, deadline=FETCH_DEADLINE
        )

    def report_suspect(self, report: SuspectReport) -> None:
        """Tell every VM of an upstream's death; return when all were told.

        The wait is bounded: a VM that can't be reached learns nothing. One that was
        not heard yet, or not lately, may serve callers all the same and is told too.
        """
        struct = ttypes.SuspectReport(
            report.fingerprint, report.deaths, report.duration
        )
        me = self._membership.me.id
        sending = [
            gevent.spawn(
                self._call,
                vm.id,
                "report_suspect",
                struct,
                deadline=REPORT_DEADLINE,
            )
            for vm in self._membership.records()
            if vm.id != me
        ]
        gevent.joinall(sending, timeout=REPORT_DEADLINE / MILLIS_PER_SECOND)

    def _call(
        self, vm_id: str, method: str, *arguments: object, deadline: Millis
    ) -> Result:
        record = self._membership.record(vm_id)
        if record is None:
            return Failure(f"VM {vm_id!r} is not known")
        return self._clients.call(
            record.address, self._peers_port, method, *arguments, deadline=deadline
        ).alt(str)
