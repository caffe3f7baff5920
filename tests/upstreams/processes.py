import json
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field

import gevent

from lagoonlatch.clock import Clock, HybridClock, Stamp
from lagoonlatch.config.model import Service, Upstream
from lagoonlatch.events import EventLog
from lagoonlatch.standins.entry_fleet import PortBlock
from lagoonlatch.upstreams import (
    InstanceKey,
    OwnerSettings,
    UpstreamOwner,
    UpstreamRequest,
)

CLOCK = Clock()
STARTUP_LIMIT_SECONDS = 20.0


@dataclass
class Instance:
    """A stand-in upstream that runs as a process of its own."""

    address: str
    log: str
    arguments: tuple[str, ...]
    process: subprocess.Popen = field(default=None)

    def start(self):
        command = [sys.executable, "-m", "lagoonlatch.standins.upstream"]
        command += ["--listen", self.address, "--log", self.log, *self.arguments]
        self.process = subprocess.Popen(command)
        deadline = time.monotonic() + STARTUP_LIMIT_SECONDS
        while time.monotonic() < deadline:
            try:
                self.get("/health")
            except OSError:
                time.sleep(0.02)
            else:
                return
        raise AssertionError(f"{self.address} did not start")

    def get(self, path):
        url = f"http://{self.address}{path}"
        with urllib.request.urlopen(url, timeout=10.0) as answer:
            return json.load(answer)

    def switch(self, **changes):
        url = f"http://{self.address}/standin/switches"
        body = json.dumps(changes).encode()
        request = urllib.request.Request(url, body, method="PUT")
        urllib.request.urlopen(request, timeout=10.0).close()

    def executions(self):
        """Return the executions in the log, which outlives the process."""
        with open(self.log) as lines:
            entries = [json.loads(line) for line in lines]
        return [entry for entry in entries if entry["end"] is None]

    def kill(self):
        self.process.kill()
        self.process.wait()


_PORT_BLOCKS = [PortBlock()]


def free_address():
    """Return an address with a port that no outgoing connection gets."""
    if not (ports := _PORT_BLOCKS[-1].take(1)):
        _PORT_BLOCKS.append(PortBlock())
        ports = _PORT_BLOCKS[-1].take(1)
    return f"127.0.0.1:{ports[0]}"


def make_service(instances, slots=3, connections=390):
    upstreams_by_id = {
        f"u{number}": Upstream(
            data_centre="norte-1",
            address=instance.address,
            slots=slots,
            connections=connections,
        )
        for number, instance in enumerate(instances)
    }
    return Service(routes=(), upstreams_by_id=upstreams_by_id)


def keys_of(service):
    return [InstanceKey("ledger", id) for id in service.upstreams_by_id]


def build_owner(
    instances,
    slots=3,
    connections_limit=390,
    report_suspect=lambda report: None,
    **settings,
):
    event_log = EventLog("vm-1", HybridClock(CLOCK))
    settings = OwnerSettings(data_centre="norte-1", **settings)
    owner = UpstreamOwner(settings, CLOCK, event_log, report_suspect)
    owner.event_log = event_log
    service = make_service(instances, slots, connections_limit)
    owner.configure({"ledger": service}, {})
    owner.set_owned(keys_of(service))
    return owner


def make_request(request_id, target="/ledger/x", **fields):
    defaults = {
        "organisation": "small",
        "method": "POST",
        "deadline": 5_000.0,
        "service_id": "ledger",
    }
    return UpstreamRequest(request_id=request_id, target=target, **defaults | fields)


def run_all(owner, requests):
    greenlets = [gevent.spawn(owner.execute, request) for request in requests]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def wait_until(condition):
    with gevent.Timeout(15.0):
        while not condition():
            gevent.sleep(0.02)


def kinds(owner):
    return [event.kind for event in owner.event_log.since(Stamp(0, 0))]


@dataclass(frozen=True)
class Proxied:
    """A stand-in upstream behind the fault proxy."""

    address: str
    instance: Instance
