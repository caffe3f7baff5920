"""Membership without the daemon: four nodes that notice when one of them ends.

Run: python examples/embed_membership.py

Each node is a `Membership` with its own thrift server; all four run in this process,
on loopback addresses of their own.
"""

from __future__ import annotations

import socket
import time

import gevent
from returns.result import Result, Success

from lagoonlatch.clock import Clock, HybridClock
from lagoonlatch.events import EventLog
from lagoonlatch.membership import Member, Membership, MembershipSettings
from lagoonlatch.platform.store import ListedVm, StoreError, VmState
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert import heartbeat_from_thrift, heartbeat_to_thrift
from lagoonlatch.vms.heartbeats import ThriftHeartbeats
from lagoonlatch.vms.server import PeerServer

INTERVAL = 100.0
PATIENCE_SECONDS = 10.0
PLACES = (
    ("north-1-a", "127.60.1.1", "north-1", "north"),
    ("north-1-b", "127.60.1.2", "north-1", "north"),
    ("south-1-a", "127.60.2.1", "south-1", "south"),
    ("south-1-b", "127.60.2.2", "south-1", "south"),
)


class StaticVmList:
    """A list that never changes, in place of the platform's."""

    def read_vms(self) -> Result[tuple[ListedVm, ...], StoreError]:
        """Return the four nodes."""
        listed = (
            ListedVm(vm, address, data_centre, VmState.LIVE)
            for vm, address, data_centre, _ in PLACES
        )
        return Success(tuple(listed))


class Node:
    """One node: its membership, its server and the greenlet that sends heartbeats."""

    def __init__(
        self, vm: str, address: str, data_centre: str, region: str, port: int
    ) -> None:
        clock = Clock()
        hybrid_clock = HybridClock(clock)
        me = Member(
            vm=vm,
            incarnation=time.time_ns() // 1_000_000,
            address=address,
            data_centre=data_centre,
            region=region,
        )
        self.membership = Membership(
            me,
            MembershipSettings(port=port, interval=INTERVAL),
            ThriftHeartbeats(PeerClients(clock, source_address=address)),
            StaticVmList(),
            clock,
            hybrid_clock,
            EventLog(vm, hybrid_clock),
        )
        self._server = PeerServer.from_address(address, port, self)
        self._server.start()
        self._heartbeats = gevent.spawn(self.membership.run)

    def exchange(self, heartbeat):
        """Answer another node's heartbeat; called by the server."""
        answer = self.membership.answer(heartbeat_from_thrift(heartbeat))
        return heartbeat_to_thrift(answer)

    def sees(self) -> list[str]:
        """Return the ids of the nodes that seem alive."""
        return [record.id for record in self.membership.alive()]

    def stop(self) -> None:
        """End the node without telling anyone."""
        self._heartbeats.kill()
        self._server.stop()


def wait_until_all_see(nodes: list[Node], expected: list[str]) -> float:
    """Return the seconds until every node sees exactly `expected`.

    Raises
    ------
    gevent.Timeout
        If that takes too long.
    """
    began = time.monotonic()
    with gevent.Timeout(PATIENCE_SECONDS):
        while any(node.sees() != expected for node in nodes):
            gevent.sleep(0.02)
    return time.monotonic() - began


def free_port() -> int:
    """Return a port that is free on the first node's address."""
    with socket.socket() as sock:
        sock.bind((PLACES[0][1], 0))
        return sock.getsockname()[1]


def main() -> None:
    """Start four nodes, end one, and print what the others see."""
    port = free_port()
    nodes = [Node(*place, port) for place in PLACES]
    everyone = [vm for vm, *_ in PLACES]
    seconds = wait_until_all_see(nodes, everyone)
    print(f"all four see {', '.join(everyone)} after {seconds:.1f} s")
    nodes.pop().stop()
    seconds = wait_until_all_see(nodes, everyone[:-1])
    print(f"{everyone[-1]} ended; the other three noticed after {seconds:.1f} s")
    for node in nodes:
        node.stop()


if __name__ == "__main__":
    main()
