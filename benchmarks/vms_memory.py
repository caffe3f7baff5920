"""Resident memory of one VM's view of the fleet, at three sizes.

Run: python -m benchmarks.vms_memory [vms]

One process for each size: a VM that hears of all others from the two watchers of its
data centre, each message decoded from thrift, as a VM that joins does.
"""

from __future__ import annotations

import gc
import os
import subprocess
import sys
import time

from returns.result import Failure, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from lagoonlatch.clock import HybridClock, Stamp
from lagoonlatch.events import EventLog
from lagoonlatch.membership import Heartbeat, Member, Membership, MembershipSettings
from lagoonlatch.platform.store import ListedVm, VmState
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.vms.convert import heartbeat_from_thrift, heartbeat_to_thrift
from lagoonlatch.vms.errors import PeerUnreachable
from lagoonlatch.vms.generated import ttypes

SIZES = (10, 100, 1_000, 1_700)
REGIONS = 17
DATA_CENTRES = 46
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class _Listed:
    def __init__(self, members):
        self.members = members

    def read_vms(self):
        """Return the platform's list, as freshly decoded."""
        return Success(
            tuple(
                ListedVm("" + m.vm, m.address, m.data_centre, VmState.LIVE)
                for m in self.members
            )
        )


class _NoTransport:
    def exchange(self, endpoint, heartbeat, deadline, fresh):
        """Answer nothing."""
        return Failure(PeerUnreachable("none"))


def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def member(n):
    centre = n % DATA_CENTRES
    region = f"region-{centre % REGIONS:02d}"
    return Member(
        vm=f"vm-{n:04d}",
        incarnation=1_790_000_000_000 + n,
        address=f"10.{centre}.{n // 250}.{n % 250}",
        data_centre=f"{region}-{centre // REGIONS}",
        region=region,
    )


def received(heartbeat):
    buffer = TMemoryBuffer()
    heartbeat_to_thrift(heartbeat).write(TBinaryProtocolAccelerated(buffer))
    struct = ttypes.Heartbeat()
    struct.read(TBinaryProtocolAccelerated(TMemoryBuffer(buffer.getvalue())))
    return heartbeat_from_thrift(struct)


def measure(count):
    clock = ManualClock()
    hybrid = HybridClock(clock)
    gc.collect()
    before = resident_bytes()
    membership = Membership(
        member(0),
        MembershipSettings(port=8081),
        _NoTransport(),
        _Listed([member(n) for n in range(count)]),
        clock,
        hybrid,
        EventLog("vm-0000", hybrid),
    )
    membership.read_list()
    for watcher in (DATA_CENTRES, 2 * DATA_CENTRES):
        heartbeat = Heartbeat(
            member=member(watcher),
            stamp=Stamp(int(clock.wall()), 0),
            members=tuple(member(n) for n in range(count)),
            members_version=count,
        )
        membership.answer(received(heartbeat))
    rounds = 20
    began = time.process_time()
    for _ in range(rounds):
        # The time without greenlets, which the heartbeats' figures hold.
        membership._view.refresh(clock.now())
        membership._loads.refresh(clock.now(), membership._is_near)
    each = (time.process_time() - began) / rounds
    gc.collect()
    used = resident_bytes() - before
    alive = len(membership.alive())
    print(
        f"{count:5} VMs: {used / 1e6:5.2f} MB, {used / count:5.0f} bytes a VM, "
        f"{each * 1e3:5.2f} ms a round; {alive} alive",
        flush=True,
    )


def main():
    if len(sys.argv) > 1:
        measure(int(sys.argv[1]))
        return
    for size in SIZES:
        command = [sys.executable, "-m", "benchmarks.vms_memory", str(size)]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
