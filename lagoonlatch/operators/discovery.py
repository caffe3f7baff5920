"""Which daemons an operator's command talks to."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Millis
from lagoonlatch.operators.admin_client import (
    DEFAULT_TIMEOUT,
    AdminClient,
)
from lagoonlatch.platform.store import StoreError
from lagoonlatch.platform.vm_list import HttpVmList

HIGHEST_PORT = 65_535


@dataclass(frozen=True, kw_only=True)
class Daemon:
    """A daemon to ask.

    Parameters
    ----------
    vm : str
        The VM's id, or the endpoint when it was named by endpoint.
    client : AdminClient
        Its operators API.
    """

    vm: str
    client: AdminClient


@dataclass(frozen=True)
class BadFlag:
    """A flag is missing or its value is not valid."""

    message: str


@dataclass(frozen=True)
class ListUnreadable:
    """The platform's list of VMs could not be read."""

    message: str


DiscoveryError = BadFlag | ListUnreadable


def find_daemons(
    platform: str,
    endpoints: Sequence[str],
    operators_port: int,
    timeout: Millis = DEFAULT_TIMEOUT,
) -> Result[tuple[Daemon, ...], DiscoveryError]:
    """Return the daemons at `endpoints`, else those the platform lists.

    Parameters
    ----------
    platform : str
        ``IP:port`` of the platform's service; may be empty if endpoints are given.
    endpoints : sequence of str
        ``IP:port`` of daemons' operators ports.
    operators_port : int
        The operators port of listed VMs.
    timeout : Millis
        How long a call to a daemon may take.
    """
    given = [("--vm", endpoint) for endpoint in endpoints]
    if not endpoints:
        given = [("--platform", platform)]
    for flag, value in given:
        if not is_endpoint(value):
            return Failure(_bad_endpoint(flag, value))
    if endpoints:
        return Success(tuple(_named(endpoint, timeout) for endpoint in endpoints))
    return (
        HttpVmList.from_address(platform)
        .read_vms()
        .alt(_unreachable)
        .map(
            lambda listed: tuple(
                Daemon(
                    vm=vm.id, client=AdminClient(vm.address, operators_port, timeout)
                )
                for vm in sorted(listed, key=lambda vm: (vm.data_centre, vm.id))
            )
        )
    )


def ask_all(
    daemons: Sequence[Daemon],
    question: Callable[[AdminClient], Result],
) -> dict[str, Result]:
    """Return each daemon's answer by VM; all are asked at once."""
    asked = {daemon.vm: gevent.spawn(question, daemon.client) for daemon in daemons}
    gevent.joinall(list(asked.values()))
    return {vm: task.get() for vm, task in asked.items()}


def is_endpoint(value: str) -> bool:
    """Return whether `value` is ``IP:port``."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and 1 <= int(port) <= HIGHEST_PORT


def _named(endpoint: str, timeout: Millis) -> Daemon:
    return Daemon(vm=endpoint, client=AdminClient.from_endpoint(endpoint, timeout))


def _bad_endpoint(flag: str, value: str) -> BadFlag:
    if not value:
        return BadFlag("give --platform IP:port or --vm IP:port")
    return BadFlag(f"{flag} {value!r} is no IP:port; for example 127.0.0.1:8082")


def _unreachable(error: StoreError) -> DiscoveryError:
    reason = f"the platform's list of VMs could not be read: {error.reason}"
    return ListUnreadable(reason)
