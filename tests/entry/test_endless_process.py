"""Entry VMs as processes before several upstreams that send without end."""

import itertools
import time
from collections import Counter
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from lagoonlatch.platform.registrations import UPSTREAM_PREFIX
from lagoonlatch.platform.settings_file import DEFAULT_MEMORY_BYTES
from lagoonlatch.standins.entry_fleet import HOST, KEY, EntryFleet
from lagoonlatch.standins.instance import LARGE_PREFIX
from tests.entry.test_endless import ENDLESS_ANSWERS

MAX_MEMORY_BYTES = DEFAULT_MEMORY_BYTES
"""What the settings of a test fleet allow a VM."""

FAULTY_UPSTREAMS = 4
CALLERS_BY_VM = 10
SLOW_CALLERS_BY_VM = 5
SECONDS = 8.0
DEADLINE_SECONDS = 2.0
ANSWER_MARGIN_SECONDS = 1.0


class EndlessUpstream:
    """Answers each request and health check without end, in one form."""

    def __init__(self, first, rest):
        self._first, self._rest = first, rest
        self.arrivals = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop()

    def entry(self):
        return {
            "service": "ledger",
            "addr": self.address,
            "zone": "n-a",
            "version": "v1",
            "slots": 9,
            "state": "ready",
            "cold_left_s": 0,
            "seq": 1,
            "born": 1,
        }

    def _serve(self, sock, _address):
        try:
            head = sock.recv(65_536)
            self.arrivals += 1
            request_id = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
            sock.sendall(self._first.replace(b"r1", request_id or b"r1"))
            for _ in itertools.count():
                sock.sendall(self._rest)
        except OSError:
            # The VM has closed the connection.
            sock.close()


def make_request(request_id, path, affinity):
    return (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Authorization: Token {KEY}\r\nCookie: Affinity-Key={affinity}\r\n"
        f"Deadline-Ms: {int(DEADLINE_SECONDS * 1_000)}\r\nConnection: close\r\n\r\n"
    ).encode()


def call(vm, number, until, statuses):
    """Send one request after the other; status 0 if there is no whole answer."""
    for count in itertools.count():
        if time.monotonic() >= until:
            return
        request_id = f"{vm.id}-{number}-{count}"
        status = 0
        with socket.create_connection(("127.0.0.1", vm.caller_port)) as sock:
            sock.settimeout(DEADLINE_SECONDS + ANSWER_MARGIN_SECONDS)
            try:
                sock.sendall(make_request(request_id, "/look/1", count % 40))
                answer = b""
                while chunk := sock.recv(65_536):
                    answer += chunk
                status = int(answer[9:12]) if b"\r\n\r\n" in answer else 0
            except OSError:
                status = 0
        statuses[status] += 1
        gevent.sleep(0.02)


def stall(vm, number, until):
    """Ask for large answers and read them at a few hundred kilobytes a second."""
    for count in itertools.count():
        if time.monotonic() >= until:
            return
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            sock.connect(("127.0.0.1", vm.caller_port))
            request_id = f"{vm.id}-slow-{number}-{count}"
            path = f"{LARGE_PREFIX}{request_id}"
            sock.sendall(make_request(request_id, path, number))
            while time.monotonic() < until and sock.recv(16_384):
                gevent.sleep(0.05)


def peak_bytes(vm):
    """Return the peak of the resident memory of a VM's process."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


@pytest.mark.parametrize("kind", ["a head", "a body", "all"])
def test_several_endless_upstreams_end_no_vm_and_no_request_of_others(kind):
    """A VM must neither run out of memory nor leave other callers unanswered."""
    names = [
        name
        for name in ENDLESS_ANSWERS
        if kind == "all" or (("body" in name or "chunk" in name) == (kind == "a body"))
    ]
    statuses = Counter()
    forms = itertools.islice(itertools.cycle(names), FAULTY_UPSTREAMS)
    if kind == "all":
        forms = names
    faulty = [EndlessUpstream(*ENDLESS_ANSWERS[name]) for name in forms]
    try:
        with EntryFleet(vms=2, instances=6) as fleet:
            for number, upstream in enumerate(faulty):
                fleet.store.put(f"{UPSTREAM_PREFIX}bad-{number}", upstream.entry())
            until = time.monotonic() + SECONDS
            vms = list(fleet.vms_by_id.values())
            tasks = [
                gevent.spawn(call, vm, number, until, statuses)
                for vm in vms
                for number in range(CALLERS_BY_VM)
            ]
            tasks += [
                gevent.spawn(stall, vm, number, until)
                for vm in vms
                for number in range(SLOW_CALLERS_BY_VM)
            ]
            gevent.joinall(tasks, raise_error=True)
            assert all(vm.process.poll() is None for vm in vms)
            assert max(map(peak_bytes, vms)) < MAX_MEMORY_BYTES
    finally:
        for upstream in faulty:
            upstream.stop()
    assert all(upstream.arrivals for upstream in faulty)
    assert statuses[0] == 0, statuses
    # Most objects have a sound upstream, and the others are retried once.
    assert statuses[200] >= 0.5 * statuses.total(), statuses
