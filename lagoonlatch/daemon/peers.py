"""What this VM answers to the others."""

from __future__ import annotations

from lagoonlatch.clock import Clock, HybridClock
from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.daemon.fleet import Fleet
from lagoonlatch.daemon.scopes import Scopes
from lagoonlatch.dispatch.keyed_requests import KeyedRequestRunner
from lagoonlatch.events import EventLog
from lagoonlatch.limits import Limiter
from lagoonlatch.membership import Membership
from lagoonlatch.upstreams.quarantine import Quarantine
from lagoonlatch.vms.convert import (
    event_to_thrift,
    heartbeat_from_thrift,
    heartbeat_to_thrift,
    stamp_from_thrift,
)
from lagoonlatch.vms.convert_grants import (
    grant_reply_to_thrift,
    grant_request_from_thrift,
)
from lagoonlatch.vms.convert_requests import (
    execute_from_thrift,
    outcome_to_thrift,
    relay_from_thrift,
    result_to_thrift,
)
from lagoonlatch.vms.generated import ttypes


class PeerHandler:
    """Implements the `Peer` protocol; one call runs in one greenlet."""

    def __init__(
        self,
        membership: Membership,
        scopes: Scopes,
        holder: ConfigurationHolder,
        limiter: Limiter,
        fleet: Fleet,
        keyed: KeyedRequestRunner,
        quarantine: Quarantine,
        event_log: EventLog,
        hybrid_clock: HybridClock,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._scopes = scopes
        self._holder = holder
        self._limiter = limiter
        self._fleet = fleet
        self._keyed = keyed
        self._quarantine = quarantine
        self._event_log = event_log
        self._hybrid_clock = hybrid_clock
        self._clock = clock

    def exchange(self, heartbeat: ttypes.Heartbeat) -> ttypes.Heartbeat:
        """Take in a heartbeat and return the own one."""
        answer = self._membership.answer(heartbeat_from_thrift(heartbeat))
        return heartbeat_to_thrift(answer)

    def grant(self, request: ttypes.GrantRequest) -> ttypes.GrantReply:
        """Grant tokens of a bucket's shard that this VM owns."""
        reply = self._limiter.serve_grant(grant_request_from_thrift(request))
        return grant_reply_to_thrift(reply)

    def fetch_configuration(self, known_version: int) -> ttypes.ConfigurationReply:
        """Return the configuration in force."""
        return ttypes.ConfigurationReply(
            version=self._holder.head().version,
            document=self._holder.document(known_version),
        )

    def fetch_ownership(self, scope: str, known_revision: int) -> ttypes.OwnershipReply:
        """Return the newest ownership table of a scope."""
        keeper = self._scopes.keeper_by_scope.get(scope)
        if keeper is None or keeper.revision() <= known_revision:
            return ttypes.OwnershipReply(revision=0, document=b"")
        return ttypes.OwnershipReply(
            revision=keeper.revision(), document=keeper.document()
        )

    def execute(self, request: ttypes.ExecuteRequest) -> ttypes.ExecuteReply:
        """Run a request on an instance of this VM."""
        outcome = self._fleet.execute_here(execute_from_thrift(request))
        reply = outcome_to_thrift(request.request_id, outcome)
        reply.load = self._fleet.load_here(request.service_id)
        return reply

    def relay(self, request: ttypes.RelayRequest) -> ttypes.ExecuteReply:
        """Run a request whose idempotency key this VM holds."""
        result = self._keyed.run_locally(
            relay_from_thrift(request, self._clock.now()), request.incarnation
        )
        return result_to_thrift(request.request_id, result)

    def report_suspect(self, report: ttypes.SuspectReport) -> None:
        """Take in that a request ended an upstream's process."""
        self._quarantine.report(report.fingerprint, report.deaths, report.duration)

    def fetch_events(self, since: ttypes.Stamp) -> list[ttypes.EventRecord]:
        """Return this VM's events later than a stamp."""
        events = self._event_log.since(stamp_from_thrift(since))
        return [event_to_thrift(event) for event in events]
