"""Entry VMs as real processes on loopback, before stand-ins of the platform."""

from __future__ import annotations

import contextlib
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import gevent
import msgspec
from gevent import socket
from gevent.pywsgi import WSGIServer

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform.operator_keys import CONFIGURATION_KEY
from lagoonlatch.platform.registrations import UPSTREAM_PREFIX
from lagoonlatch.platform.settings_file import PATH_VARIABLE
from lagoonlatch.standins.instance import HEALTH_PATH, InstanceStandin
from lagoonlatch.standins.kv_store import KvStoreStandin

REGION_BY_DATA_CENTRE = {"n-a": "north", "n-b": "north", "s-a": "south"}
HOST = "shop.example"
KEY = "key-of-dojo"
START_TIMEOUT: Millis = 20_000.0
POLL: Millis = 50.0

PORT_BLOCKS = range(10_000, 32_000, 200)
"""First ports of the blocks, below the usual ports of outgoing connections; a block
has room for 49 VMs."""

PORTS_BY_VM = 4
"""Callers, readiness, directory, peers."""


@dataclass(frozen=True, kw_only=True)
class EntryVm:
    """One running VM and where it listens."""

    id: str
    data_centre: str
    process: subprocess.Popen
    caller_port: int
    readiness_port: int
    directory_port: int
    peer_port: int
    settings_path: Path


class EntryFleet:
    """A store, upstream instances and entry VMs; a context manager.

    Parameters
    ----------
    vms : int
        Entry VMs, over the data centres in turn.
    instances : int
        Upstream instances, over the data centres in turn.
    output : int or file
        Where the VMs write their log lines.
    memory_mb : float
        Memory that the settings allow a VM, in 2**20 bytes.
    limits : mapping of str to float, optional
        What the configuration allows callers, as in its resource ``limits``.

    Attributes
    ----------
    cold_start : Millis
        How long an upstream is cold, as the configuration says.
    cold_rate : float
        Requests a second that a cold upstream takes from all VMs together.
    store_servers_by_vm : dict of str to WSGIServer
        The store's listener for each VM.
    """

    def __init__(
        self,
        vms: int = 3,
        instances: int = 6,
        output: int | IO[bytes] = subprocess.DEVNULL,
        memory_mb: float = 200.0,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self.store = KvStoreStandin()
        self.instances_by_id: dict[str, InstanceStandin] = {}
        self.vms_by_id: dict[str, EntryVm] = {}
        self.store_servers_by_vm: dict[str, WSGIServer] = {}
        self.cold_start: Millis = 200.0
        self.cold_rate = 50.0
        self._memory_mb = memory_mb
        self._limits = limits
        self._output = output
        self._vm_count = vms
        self._instance_count = instances
        self._folder = tempfile.TemporaryDirectory(prefix="entry-fleet-")
        self.command: list[str] = [sys.executable, "-m", "lagoonlatch", "entry"]
        self._version = 0
        self._ports = PortBlock()

    def __enter__(self) -> EntryFleet:
        """Start everything and wait until all VMs are ready."""
        try:
            self._start()
        except BaseException:
            # Without this the VMs that did start would go on without a store.
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        centres = list(REGION_BY_DATA_CENTRE)
        for number in range(self._instance_count):
            self.add_instance(f"i-{number}", centres[number % len(centres)])
        self.configure()
        for number in range(self._vm_count):
            self.start_vm(f"vm-{number}", centres[number % len(centres)])
        self.await_ready()

    def __exit__(self, *_exception: object) -> None:
        """End what was started."""
        for vm in self.vms_by_id.values():
            with contextlib.suppress(ProcessLookupError):
                vm.process.kill()
            vm.process.wait()
        for instance in self.instances_by_id.values():
            instance.stop()
        for server in self.store_servers_by_vm.values():
            server.stop(timeout=1.0)
        self._ports.release()
        self._folder.cleanup()

    def add_instance(self, instance_id: str, data_centre: str) -> InstanceStandin:
        """Start and register an upstream."""
        instance = InstanceStandin(instance_id)
        instance.start()
        self.instances_by_id[instance_id] = instance
        self.register(instance, data_centre)
        return instance

    def register(
        self, instance: InstanceStandin, data_centre: str, state: str = "ready"
    ) -> None:
        """Write an upstream's entry, as it would itself."""
        entry = instance.entry("ledger", data_centre, state)
        entry["addr"] = self.upstream_address(instance)
        self.store.put(f"{UPSTREAM_PREFIX}{instance.id}", entry)

    def upstream_address(self, instance: InstanceStandin) -> str:
        """Return where VMs connect to an upstream."""
        return instance.address

    def store_address(self, vm: str) -> str:
        """Return the address of the store's listener for a VM."""
        if vm not in self.store_servers_by_vm:
            self.store_servers_by_vm[vm] = self.store.serve()
        return f"127.0.0.1:{self.store_servers_by_vm[vm].server_port}"

    def configure(
        self, keys: tuple[str, ...] = (KEY,), rate: float = 0.0, timeout_s: float = 3.0
    ) -> int:
        """Write the next configuration and return its version."""
        self._version += 1
        document = _document(
            self._version, keys, rate, timeout_s, self.cold_start, self.cold_rate
        )
        if self._limits is not None:
            document["resources"].append(
                {
                    "resource_kind": "limits",
                    "metadata": {"name": "callers"},
                    "spec": dict(self._limits),
                }
            )
        self.store.put(CONFIGURATION_KEY, document)
        return self._version

    def start_vm(self, vm: str, data_centre: str, first: bool = True) -> EntryVm:
        """Start a VM, again if it has run before."""
        known = self.vms_by_id.get(vm)
        ports = (
            (
                known.caller_port,
                known.readiness_port,
                known.directory_port,
                known.peer_port,
            )
            if known
            else self._ports.take(PORTS_BY_VM)
        )
        path = Path(self._folder.name) / f"{vm}.toml"
        path.write_text(self._settings(vm, data_centre, ports, first))
        process = subprocess.Popen(
            self.command,
            env={**os.environ, PATH_VARIABLE: str(path)},
            stdout=self._output,
        )
        self.vms_by_id[vm] = EntryVm(
            id=vm,
            data_centre=data_centre,
            process=process,
            caller_port=ports[0],
            readiness_port=ports[1],
            directory_port=ports[2],
            peer_port=ports[3],
            settings_path=path,
        )
        return self.vms_by_id[vm]

    def await_ready(self) -> None:
        """Wait until every VM says that it is ready.

        Raises
        ------
        TimeoutError
            If one isn't in time.
        """
        with gevent.Timeout(START_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
            for vm in self.vms_by_id.values():
                while not is_ready(vm):
                    gevent.sleep(POLL / MILLIS_PER_SECOND)

    def signal(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to a VM's process."""
        self.vms_by_id[vm].process.send_signal(number)

    def runs(self, request: str) -> int:
        """Return how often a request has run at all upstreams."""
        return sum(
            instance.runs_by_request[request]
            for instance in self.instances_by_id.values()
        )

    def _settings(
        self, vm: str, data_centre: str, ports: tuple[int, ...], first: bool
    ) -> str:
        zones = "\n".join(f'{z} = "{r}"' for z, r in REGION_BY_DATA_CENTRE.items())
        return f"""
node = "{vm}"
ip = "127.0.0.1"
zone = "{data_centre}"
port_range = [{ports[3]}, {ports[3]}]
bootstrap = {"true" if first else "false"}
bounds = ["contact_s=2", "grace_s=6", "retry_ratio=0.2", "retry_slack=60"]
[zones]
{zones}
[listen]
front = "127.0.0.1:{ports[0]}"
ready = "127.0.0.1:{ports[1]}"
directory = "127.0.0.1:{ports[2]}"
[limits]
memory_mb = {self._memory_mb}
[platform]
addr = "{self.store_address(vm)}"
"""


class PortBlock:
    """Ports that no other fleet on this machine hands out.

    They lie below those that the system gives to outgoing connections: a port that
    was merely free a moment ago may be taken before its VM listens there. Holding the
    block's first port keeps the block.
    """

    def __init__(self) -> None:
        for first in random.sample(PORT_BLOCKS, len(PORT_BLOCKS)):
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            self._guard = guard
            self._ports = iter(range(first + 1, first + PORT_BLOCKS.step))
            return
        raise OSError("no free block of ports")

    def take(self, count: int) -> tuple[int, ...]:
        """Return ports that were not handed out before."""
        return tuple(itertools.islice(self._ports, count))

    def release(self) -> None:
        """Let others have the block."""
        self._guard.close()


def exchange(port: int, data: bytes, timeout: Millis = 5_000.0) -> bytes:
    """Send bytes on a new connection and return all that comes back.

    Raises
    ------
    OSError
        If there is no connection or no end in time.
    """
    with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
        sock.settimeout(timeout / MILLIS_PER_SECOND)
        sock.sendall(data)
        answer = b""
        while chunk := sock.recv(65_536):
            answer += chunk
        return answer


def ask(
    vm: EntryVm, request_id: str, method: str = "GET", path: str = "/look/1", **headers
) -> int:
    """Send one request of the organisation; return the status, 0 without an answer."""
    fields: Mapping[str, str] = {
        "Host": HOST,
        "Request-Id": request_id,
        "Authorization": f"Token {KEY}",
        "Cookie": f"Affinity-Key={request_id[-1]}",
        "Connection": "close",
        **headers,
    }
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        answer = exchange(vm.caller_port, f"{head}\r\n".encode())
    except OSError:
        return 0
    return int(answer[9:12]) if answer.startswith(b"HTTP/1.1 ") else 0


def is_ready(vm: EntryVm) -> bool:
    """Return whether a VM answers the readiness check with 200."""
    try:
        answer = exchange(
            vm.readiness_port,
            b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
    except OSError:
        return False
    return b" 200 " in answer[:15]


def look_up(vm: EntryVm, data_centre: str) -> list[str]:
    """Return the addresses that a VM names to callers of a data centre."""
    region = REGION_BY_DATA_CENTRE[data_centre]
    query = f"/resolve?name={HOST}&region={region}&zone={data_centre}"
    answer = exchange(
        vm.directory_port,
        f"GET {query} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode(),
    )
    if b" 200 " not in answer[:15]:
        return []
    return msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])["addrs"]


def _document(
    version: int,
    keys: tuple[str, ...],
    rate: float,
    timeout_s: float,
    cold_start: Millis,
    cold_rate: float,
) -> dict:
    def route(name: str, kind: str, max_attempts: int = 2, goal_s: float = 0.5) -> dict:
        return {
            "resource_kind": "routes",
            "metadata": {"name": name},
            "spec": {
                "host": HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_s": timeout_s,
                "goal_s": goal_s,
                "priority": 1,
                "service": "ledger",
                "max_attempts": max_attempts,
                "public": False,
                "sticky": True,
                "home_regions": [],
            },
        }

    service = {
        "resource_kind": "services",
        "metadata": {"name": "ledger"},
        "spec": {
            "health_path": HEALTH_PATH,
            "max_conns": 100,
            "cold_start_s": cold_start / MILLIS_PER_SECOND,
            "cold_per_s": cold_rate,
        },
    }
    organisation = {
        "resource_kind": "tenants",
        "metadata": {"name": "dojo"},
        "spec": {"api_keys": list(keys), "rate_per_s": rate, "burst": rate},
    }
    resources = [
        route("look", "safe"),
        route("once", "safe", max_attempts=1),
        route("book", "unsafe"),
        # Its requests wait long for a slot.
        route("reserve", "unsafe", goal_s=timeout_s),
        route("fetch", "download"),
        service,
        organisation,
    ]
    return {"version": f"r{version}", "resources": resources}
