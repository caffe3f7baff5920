"""The checked settings of one daemon."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Millis
from lagoonlatch.logs import LOG_FORMATS, LOG_LEVELS

DEFAULT_CALLERS_PORT = 8080
DEFAULT_VMS_PORT = 8081
DEFAULT_OPERATORS_PORT = 8082
DEFAULT_HEARTBEAT_INTERVAL: Millis = 1_000.0
DEFAULT_DRAIN_DEADLINE: Millis = 30_000.0
DEFAULT_KEY_GRACE: Millis = 300_000.0

_HIGHEST_PORT = 65_535


@dataclass(frozen=True, kw_only=True)
class DaemonSettings:
    """What a daemon is told when it starts.

    Parameters
    ----------
    vm : str
        The VM's id in the platform's list.
    address : str
        The VM's IP address; the three servers listen on it.
    data_centre, region : str
        Where the VM stands.
    platform : str
        ``IP:port`` of the platform's service.
    seeds : tuple of str
        ``IP:port`` of other daemons, asked when the platform can't be reached.
    callers_port, vms_port, operators_port : int
        Ports of the servers for callers, other VMs and operators.
    peers_port : int
        Port on which the other VMs are reached; 0 for the same as `vms_port`.
    heartbeat_interval : Millis
        Time between heartbeats to a VM of the same region.
    drain_deadline : Millis
        How long a planned stop waits for requests in flight.
    key_grace : Millis
        How long keys are honoured on a VM that is cut off from the store and from
        most other VMs, and so can't learn that a key was withdrawn.
    log_format : {"json", "console"}
        Format of the logs.
    log_level : {"debug", "info", "warning", "error"}
        Log lines below it are left out; requests are logged at "debug".
    selection, limiter, queue : str
        Names of registered policies.
    """

    vm: str
    address: str
    data_centre: str
    region: str
    platform: str
    seeds: tuple[str, ...] = ()
    callers_port: int = DEFAULT_CALLERS_PORT
    vms_port: int = DEFAULT_VMS_PORT
    operators_port: int = DEFAULT_OPERATORS_PORT
    peers_port: int = 0
    heartbeat_interval: Millis = DEFAULT_HEARTBEAT_INTERVAL
    drain_deadline: Millis = DEFAULT_DRAIN_DEADLINE
    key_grace: Millis = DEFAULT_KEY_GRACE
    log_format: str = "json"
    log_level: str = "info"
    selection: str = "power-of-two"
    limiter: str = "leased-shards"
    queue: str = "deficit-round-robin"

    def check(self) -> Result[DaemonSettings, str]:
        """Return the settings, or a message quoting the first bad value."""
        for problem in self._problems():
            return Failure(problem)
        return Success(self)

    def _problems(self):
        for name in ("vm", "data_centre", "region"):
            if not getattr(self, name):
                yield f"{name} '' is empty; give the name the platform uses"
        yield from _address_problems("address", self.address)
        yield from _endpoint_problems("platform", self.platform)
        for seed in self.seeds:
            yield from _endpoint_problems("seeds", seed)
        if not 0 <= self.peers_port <= _HIGHEST_PORT:
            yield f"peers_port {self.peers_port} is no port; valid: 0 to 65535"
        for name in ("callers_port", "vms_port", "operators_port"):
            port = getattr(self, name)
            if not 1 <= port <= _HIGHEST_PORT:
                yield f"{name} {port} is no port; valid: 1 to {_HIGHEST_PORT}"
        for name in ("heartbeat_interval", "drain_deadline", "key_grace"):
            duration = getattr(self, name)
            if duration <= 0:
                yield f"{name} {duration} is no duration; valid: above 0 ms"
        if self.log_format not in LOG_FORMATS:
            valid = ", ".join(LOG_FORMATS)
            yield f"log_format {self.log_format!r} is unknown; valid: {valid}"
        if self.log_level not in LOG_LEVELS:
            valid = ", ".join(LOG_LEVELS)
            yield f"log_level {self.log_level!r} is unknown; valid: {valid}"


def _address_problems(name, value):
    try:
        ipaddress.ip_address(value)
    except ValueError:
        yield f"{name} {value!r} is no IP address; for example 127.0.0.1"


def _endpoint_problems(name, value):
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 1 <= int(port) <= _HIGHEST_PORT
    except ValueError:
        valid = False
    if not valid:
        yield f"{name} {value!r} is no IP:port; for example 127.0.0.1:2379"
