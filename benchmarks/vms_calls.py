"""Processor time of calls between VMs over real connections.

Run: python -m benchmarks.vms_calls [calls]

A server process and this one, on loopback; the time of both processes is read from
the kernel. Heartbeats, and requests of 1 KB with and without an incarnation, which
lets a lost call be settled, are measured in one run.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time

import gevent
from returns.result import Success

from lagoonlatch.clock import Clock, Stamp
from lagoonlatch.membership.heartbeat import Heartbeat, Member
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.convert import heartbeat_from_thrift, heartbeat_to_thrift
from lagoonlatch.vms.generated import ttypes
from lagoonlatch.vms.server import PeerServer

ADDRESS = "127.0.0.1"
INCARNATION = 1
DEADLINE = 10_000.0
BODY = b"x" * 1_000
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
HEARTBEAT = Heartbeat(
    member=Member(
        vm="vm-0001",
        incarnation=1_790_000_000_000,
        address="10.0.0.1",
        data_centre="norte-1",
        region="norte",
    ),
    stamp=Stamp(1_790_000_000_000, 1),
    ownership_digest=1 << 60,
)


class _Handler:
    def exchange(self, heartbeat):
        heartbeat_from_thrift(heartbeat)
        return heartbeat_to_thrift(HEARTBEAT)

    def execute(self, request):
        return ttypes.ExecuteReply(request_id=request.request_id, body=request.body)


def serve():
    server = PeerServer.from_address(ADDRESS, 0, _Handler(), incarnation=INCARNATION)
    server.start()
    print(server.port, flush=True)
    gevent.sleep(600)


def seconds_of(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def measure(name, server_pid, calls, call):
    for _ in range(200):
        call()
    before = time.process_time(), seconds_of(server_pid), time.perf_counter()
    for _ in range(calls):
        assert isinstance(call(), Success)
    after = time.process_time(), seconds_of(server_pid), time.perf_counter()
    client, server, elapsed = (
        (b - a) / calls * 1e6 for a, b in zip(before, after, strict=True)
    )
    print(
        f"{name:28} client {client:5.0f} us, server {server:5.0f} us processor time, "
        f"{elapsed:5.0f} us elapsed"
    )


def main():
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else 10_000
    command = [sys.executable, "-m", "benchmarks.vms_calls", "serve"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        port = int(process.stdout.readline())
        clients = PeerClients(Clock())

        def heartbeat():
            answer = clients.call(
                ADDRESS,
                port,
                "exchange",
                heartbeat_to_thrift(HEARTBEAT),
                deadline=DEADLINE,
            )
            return answer.map(heartbeat_from_thrift)

        def execute(incarnation=0):
            request = ttypes.ExecuteRequest(request_id="r", body=BODY)
            return clients.call(
                ADDRESS,
                port,
                "execute",
                request,
                deadline=DEADLINE,
                incarnation=incarnation,
            )

        pid = process.pid
        measure("heartbeat", pid, calls, heartbeat)
        measure("execute, 1 KB", pid, calls, execute)
        measure("execute, 1 KB, settled", pid, calls, lambda: execute(INCARNATION))
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    serve() if sys.argv[1:] == ["serve"] else main()
