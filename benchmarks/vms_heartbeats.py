"""Messages, bytes and processor time of heartbeats at three sizes of the fleet.

Run: python -m benchmarks.vms_heartbeats [vms ...]

All VMs of a fleet run in one process on a clock set by hand; each heartbeat is encoded
and decoded by thrift for real, without sockets. `vms_calls` measures what a call over
a real connection adds. Only some rounds of one VM of each role are timed.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, field

import gevent
from returns.result import Failure, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from lagoonlatch.clock import HybridClock
from lagoonlatch.events import EventLog
from lagoonlatch.membership import (
    LoadSummary,
    LocalState,
    Member,
    Membership,
    MembershipSettings,
)
from lagoonlatch.platform.store import ListedVm, VmState
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.vms.convert import heartbeat_from_thrift, heartbeat_to_thrift
from lagoonlatch.vms.errors import PeerUnreachable
from lagoonlatch.vms.generated import Peer

INTERVAL = 1_000.0
ROUNDS = 40
SETTLING_ROUNDS = 30
MESSAGE_AND_FRAME_BYTES = 4 + 4 + 4 + len("exchange") + 4
TCP_IP_BYTES = 52
"""Of each segment; the answer carries the acknowledgement of the request."""

SCOPES = ("buckets-region", "instances-region")

# Regions, data centres and services of each size.
SHAPES = {
    10: (3, 6, 2),
    100: (6, 12, 5),
    1_000: (17, 46, 5),
    1_700: (17, 46, 5),
}


@dataclass
class Cost:
    """What one VM spent."""

    sent: int = 0
    answered: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    seconds: float = 0.0


@dataclass
class Fleet:
    """The VMs and what the watched ones spent."""

    clock: ManualClock = field(default_factory=ManualClock)
    membership_by_address: dict = field(default_factory=dict)
    listed: list = field(default_factory=list)
    cost_by_vm: dict = field(default_factory=dict)
    dead: set = field(default_factory=set)

    def read_vms(self):
        """Return the platform's list."""
        return Success(tuple(self.listed))


def encoded(struct):
    buffer = TMemoryBuffer()
    struct.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decoded(kind, data):
    struct = kind()
    struct.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    return struct


class Transport:
    """Passes encoded heartbeats on and accounts for both ends."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.cost = fleet.cost_by_vm[vm]

    def exchange(self, endpoint, heartbeat, deadline, fresh):
        """Pass a heartbeat on and return the answer."""
        target = self.fleet.membership_by_address.get(endpoint[0])
        if target is None or endpoint[0] in self.fleet.dead:
            return Failure(PeerUnreachable("dead"))
        cost = self.cost
        other = self.fleet.cost_by_vm[target.me.id]
        request = encoded(Peer.exchange_args(heartbeat_to_thrift(heartbeat)))
        asked = time.perf_counter()
        struct = decoded(Peer.exchange_args, request).heartbeat
        answer = target.answer(heartbeat_from_thrift(struct))
        reply = encoded(Peer.exchange_result(heartbeat_to_thrift(answer)))
        answered = time.perf_counter()
        struct = decoded(Peer.exchange_result, reply).success
        result = heartbeat_from_thrift(struct)
        request_bytes = len(request) + MESSAGE_AND_FRAME_BYTES + TCP_IP_BYTES
        reply_bytes = len(reply) + MESSAGE_AND_FRAME_BYTES + TCP_IP_BYTES
        cost.sent += 1
        cost.sent_bytes += request_bytes
        cost.received_bytes += reply_bytes
        other.answered += 1
        other.sent_bytes += reply_bytes
        other.received_bytes += request_bytes
        other.seconds += answered - asked
        cost.seconds -= answered - asked  # within the time of the sender's round
        return Success(result)


def start_fleet(count):
    regions, data_centres, services = SHAPES[count]
    fleet = Fleet()
    for n in range(count):
        centre = n % data_centres
        region = f"region-{centre % regions:02d}"
        data_centre = f"{region}-{centre // regions}"
        vm = f"vm-{n:04d}"
        address = f"10.{centre}.{n // 250}.{n % 250}"
        member = Member(
            vm=vm,
            incarnation=1_790_000_000_000 + n,
            address=address,
            data_centre=data_centre,
            region=region,
        )
        fleet.cost_by_vm[vm] = Cost()
        fleet.listed.append(ListedVm(vm, address, data_centre, VmState.LIVE))
        hybrid = HybridClock(fleet.clock)
        loads = tuple(
            LoadSummary(
                service_id=f"service-{s}",
                data_centre=data_centre,
                slots=9,
                in_flight=3,
                queued=0,
                latency=20.0,
            )
            for s in range(services if n < data_centres * 2 else 1)
        )
        revisions = {f"{kind}-{r:02d}": 4711 for kind in SCOPES for r in range(regions)}
        fleet.membership_by_address[address] = Membership(
            member,
            MembershipSettings(port=8081, interval=INTERVAL),
            Transport(fleet, vm),
            fleet,
            fleet.clock,
            hybrid,
            EventLog(vm, hybrid),
            LocalState(
                config_version=lambda: 17_000,
                ownership_revisions=lambda revisions=revisions: revisions,
                loads=lambda loads=loads: loads,
            ),
        )
    for membership in fleet.membership_by_address.values():
        membership.read_list()
    return fleet


def run_rounds(fleet, rounds):
    for _ in range(rounds):
        fleet.clock.advance(INTERVAL)
        for membership in tuple(fleet.membership_by_address.values()):
            began = time.perf_counter()
            gevent.joinall(membership.round(), raise_error=True)
            cost = fleet.cost_by_vm[membership.me.id]
            cost.seconds += time.perf_counter() - began


def report(name, costs, rounds):
    count = len(costs) * rounds
    messages = sum(cost.sent + cost.answered for cost in costs) / count
    sent = sum(cost.sent_bytes for cost in costs) / count
    received = sum(cost.received_bytes for cost in costs) / count
    seconds = sum(cost.seconds for cost in costs) / count
    exchanges = max(messages, 1e-9)
    print(
        f"  {name:8} {len(costs):4}: {messages:6.2f} exchanges/s, "
        f"{sent / 1e3:6.2f} KB/s out, {received / 1e3:6.2f} KB/s in, "
        f"{seconds * 100:5.3f} % of a core, {seconds / exchanges * 1e6:5.0f} us each"
    )


def measure(count):
    began = time.perf_counter()
    fleet = start_fleet(count)
    run_rounds(fleet, SETTLING_ROUNDS)
    for cost in fleet.cost_by_vm.values():
        cost.__init__()
    rounds = ROUNDS if count <= 100 else 12
    run_rounds(fleet, rounds)
    memberships = fleet.membership_by_address.values()
    watchers = [m.me.id for m in memberships if m.is_watcher()]
    others = [m.me.id for m in memberships if not m.is_watcher()]
    known = min(len(m.alive()) for m in memberships)
    print(f"{count} VMs, each sees at least {known} alive:")
    for name, vms in (("watcher", watchers), ("other", others)):
        if vms:
            report(name, [fleet.cost_by_vm[vm] for vm in vms], rounds)
    print(f"  ({time.perf_counter() - began:.0f} s)", flush=True)


def main():
    for count in [int(size) for size in sys.argv[1:]] or (10, 100, 1_000):
        measure(count)


if __name__ == "__main__":
    main()
