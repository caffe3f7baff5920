"""Heartbeats over the thrift protocol."""

from __future__ import annotations

from lagoonlatch.clock import Millis
from lagoonlatch.membership.heartbeat import ExchangeResult, Heartbeat
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert import heartbeat_from_thrift, heartbeat_to_thrift


class ThriftHeartbeats:
    """Sends heartbeats by `PeerClients`; a `HeartbeatTransport`."""

    def __init__(self, clients: PeerClients) -> None:
        self._clients = clients

    def exchange(
        self,
        endpoint: tuple[str, int],
        heartbeat: Heartbeat,
        deadline: Millis,
        fresh: bool,
    ) -> ExchangeResult:
        """Send a heartbeat and return the answer."""
        answer = self._clients.call(
            *endpoint,
            "exchange",
            heartbeat_to_thrift(heartbeat),
            deadline=deadline,
            fresh=fresh,
        )
        return answer.map(heartbeat_from_thrift)
