"""A small fleet of real processes on loopback, for the demo, tests and benchmarks.

Each VM, each upstream instance and the platform is a process of its own. Every VM
has a loopback address of its own, so all use the same ports.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.config.model import Configuration, Upstream
from lagoonlatch.standins.execution_log import read_executions
from lagoonlatch.standins.fault_control import FaultControl
from lagoonlatch.standins.fleet_plan import (
    PLATFORM_PORT,
    VmPlan,
    free_network,
    on_loopback,
    plan_vms,
)
from lagoonlatch.standins.waiting import call_json, wait_for_port

CALLERS_PORT = 8080
VMS_PORT = 8081
OPERATORS_PORT = 8082
FAULTS_PORT = 9900
STOP_TIMEOUT: Millis = 15_000.0
BACKING_OFFSET = 10_000
"""Behind the fault proxy a process listens on its port plus this."""


@dataclass
class _Process:
    popen: subprocess.Popen
    log: Path


@dataclass
class LocalFleet:
    """The processes of one fleet, by name; use as a context manager.

    Parameters
    ----------
    configuration : Configuration
        With upstream addresses on loopback, as `from_configuration` makes them.
    vms_by_id : mapping of str to VmPlan
        The VMs.
    network : int
        Second number of the fleet's loopback addresses.
    command : sequence of str
        Starts lagoonlatch: the interpreter and module, or the binary.
    flags : sequence of str
        Flags added to every daemon.
    upstream_flags : mapping of str to sequence of str
        Flags for the instances of a service.
    platform_switches : mapping of str to Any
        Faults of the platform that are on from the start.
    faulty : bool
        Whether VMs, upstreams and the platform are reached through the fault proxy
        `faults`. Its groups are the data centres and "platform".
    """

    configuration: Configuration
    vms_by_id: dict[str, VmPlan]
    network: int
    command: Sequence[str] = (sys.executable, "-m", "lagoonlatch")
    flags: Sequence[str] = ()
    upstream_flags: Mapping[str, Sequence[str]] = field(default_factory=dict)
    platform_switches: Mapping[str, Any] = field(default_factory=dict)
    faulty: bool = False
    processes_by_name: dict[str, _Process] = field(default_factory=dict)

    @classmethod
    def from_configuration(
        cls, configuration: Configuration, vms: int, **options: Any
    ) -> LocalFleet:
        """Return a fleet for a configuration, not yet started.

        Parameters
        ----------
        configuration : Configuration
            The upstream addresses in it are replaced by loopback addresses.
        vms : int
            Number of VMs, dealt to the data centres in turn.
        **options
            Further fields of the class.
        """
        network = free_network()
        configuration = on_loopback(configuration, network)
        return cls(
            configuration=configuration,
            vms_by_id=plan_vms(configuration, vms, network),
            network=network,
            **options,
        )

    def __enter__(self) -> LocalFleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exception: object) -> None:
        self.stop()

    @property
    def platform(self) -> str:
        """``IP:port`` of the platform's stand-in."""
        return f"127.{self.network}.0.1:{PLATFORM_PORT}"

    def start(self) -> None:
        """Start the platform, the upstreams and the VMs and wait until they listen."""
        self._logs = Path(tempfile.mkdtemp(prefix="lagoonlatch-"))
        if self.faulty:
            self._start_faults()
        self._start_platform()
        self.start_upstreams()
        for vm in self.vms_by_id:
            self.start_vm(vm)
        for vm, plan in self.vms_by_id.items():
            try:
                wait_for_port(plan.address, CALLERS_PORT)
            except TimeoutError as error:
                raise TimeoutError(f"{error}:\n{self.log_of(vm)}") from error

    def start_upstreams(self) -> None:
        """Start every instance and wait until it listens."""
        for service_id, service in self.configuration.services_by_id.items():
            for upstream_id, upstream in service.upstreams_by_id.items():
                self.start_upstream(service_id, upstream_id, upstream)
        for service in self.configuration.services_by_id.values():
            for upstream in service.upstreams_by_id.values():
                self._wait_for(upstream.address)

    def start_upstream(
        self, service_id: str, upstream_id: str, upstream: Upstream
    ) -> None:
        """Start one instance."""
        command = [sys.executable, "-m", "lagoonlatch.standins.upstream"]
        command += ["--listen", self._backing(upstream.address)]
        command += ["--slots", str(upstream.slots)]
        command += ["--connections", str(upstream.connections)]
        command += ["--log", str(self._execution_log(upstream_id))]
        command += self.upstream_flags.get(service_id, ())
        self.spawn(upstream_id, command)

    def start_vm(self, vm: str) -> None:
        """Start one VM's daemon."""
        plan = self.vms_by_id[vm]
        settings = {
            "--vm": plan.id,
            "--address": plan.address,
            "--data-centre": plan.data_centre,
            "--region": plan.region,
            "--platform": self.platform,
        }
        if self.faulty:
            settings["--vms-port"] = str(VMS_PORT + BACKING_OFFSET)
            settings["--peers-port"] = str(VMS_PORT)
        command = [*self.command, "serve"]
        for flag, value in settings.items():
            command += [flag, value]
        self.spawn(vm, [*command, *self.flags])

    def spawn(self, name: str, command: Sequence[str]) -> None:
        """Start a process whose output goes to a log file."""
        log = self._logs / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(command, stdout=output, stderr=output)
        self.processes_by_name[name] = _Process(popen, log)

    def pid(self, name: str) -> int:
        """Return the process id of a VM, an upstream or the platform."""
        return self.processes_by_name[name].popen.pid

    def log_of(self, name: str) -> str:
        """Return what a process has printed."""
        return self.processes_by_name[name].log.read_text(errors="replace")

    def kill(self, name: str) -> None:
        """Kill a process at once and wait until it is gone."""
        popen = self.processes_by_name[name].popen
        popen.kill()
        popen.wait()

    def terminate(self, name: str) -> None:
        """Ask a process to stop, and don't wait."""
        self.processes_by_name[name].popen.terminate()

    def wait(self, name: str, timeout: Millis = STOP_TIMEOUT) -> int:
        """Wait for a process to end and return its exit code."""
        popen = self.processes_by_name[name].popen
        return popen.wait(timeout / MILLIS_PER_SECOND)

    def pause(self, name: str) -> None:
        """Freeze a process."""
        os.kill(self.pid(name), signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        os.kill(self.pid(name), signal.SIGCONT)

    def list_vms(self, vms: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Set which VMs the platform lists."""
        leaving = set(leaving)
        records = [
            {
                "id": vm,
                "address": self.vms_by_id[vm].address,
                "data_centre": self.vms_by_id[vm].data_centre,
                "state": "leaving" if vm in leaving else "live",
            }
            for vm in vms
        ]
        self.control("PUT", "vms", records)

    def switch(self, **switches: Any) -> None:
        """Set the platform's faults; see `lagoonlatch.standins.platform.Switches`."""
        self.control("PUT", "switches", {**self.platform_switches, **switches})

    def control(self, method: str, path: str, body: Any = None) -> Any:
        """Call the platform stand-in's own interface."""
        return call_json(
            method, f"http://{self._backing(self.platform)}/standin/{path}", body
        )

    def status(self, vm: str) -> dict[str, Any]:
        """Return a daemon's status."""
        address = self.vms_by_id[vm].address
        return call_json("GET", f"http://{address}:{OPERATORS_PORT}/v1/status")

    def upstream(self, upstream_id: str, path: str) -> Any:
        """Read an instance's own interface, for example ``executions``."""
        address = self._backing(self.upstreams_by_id()[upstream_id].address)
        return call_json("GET", f"http://{address}/standin/{path}")

    def upstreams_by_id(self) -> dict[str, Upstream]:
        """Return the instances of all services."""
        return {
            upstream_id: upstream
            for service in self.configuration.services_by_id.values()
            for upstream_id, upstream in service.upstreams_by_id.items()
        }

    def executions(self) -> list[dict[str, Any]]:
        """Return the executions that the living instances have logged."""
        found = []
        for upstream_id in self.upstreams_by_id():
            with contextlib.suppress(OSError):
                found += self.upstream(upstream_id, "executions")
        return found

    def logged_executions(self) -> list[dict[str, Any]]:
        """Return all executions, also of instances that have ended since.

        One that its instance did not end has the result ``running``.
        """
        found = []
        for upstream_id in self.upstreams_by_id():
            found += read_executions(self._execution_log(upstream_id), upstream_id)
        return found

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes_by_name.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes_by_name.values():
            process.popen.wait()

    def _execution_log(self, upstream_id: str) -> Path:
        return self._logs / f"{upstream_id}.executions"

    def _start_platform(self) -> None:
        module = "lagoonlatch.standins.platform"
        listen = self._backing(self.platform)
        self.spawn("platform", [sys.executable, "-m", module, "--listen", listen])
        self._wait_for(self.platform)
        self.switch()
        self.list_vms(self.vms_by_id)

    def _start_faults(self) -> None:
        control = f"127.{self.network}.0.2:{FAULTS_PORT}"
        module = "lagoonlatch.standins.faults"
        self.spawn("faults", [sys.executable, "-m", module, "--control", control])
        host, _, port = control.rpartition(":")
        wait_for_port(host, int(port))
        self.faults = FaultControl(control)
        plans = self.vms_by_id.values()
        self.faults.set_sources({plan.address: plan.data_centre for plan in plans})
        self._forward("platform", self.platform, "platform")
        for plan in plans:
            self._forward(plan.id, f"{plan.address}:{VMS_PORT}", plan.data_centre)
        for upstream_id, upstream in self.upstreams_by_id().items():
            self._forward(upstream_id, upstream.address, upstream.data_centre)

    def _forward(self, name: str, listen: str, group: str) -> None:
        self.faults.forward(name, listen, self._backing(listen), group)

    def _wait_for(self, address: str) -> None:
        host, _, port = self._backing(address).rpartition(":")
        wait_for_port(host, int(port))

    def _backing(self, address: str) -> str:
        """Return where a process listens that is reached at `address`."""
        if not self.faulty:
            return address
        host, _, port = address.rpartition(":")
        return f"{host}:{int(port) + BACKING_OFFSET}"
