"""Addresses on loopback for the VMs and upstreams of a fleet."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, replace

from lagoonlatch.config.model import Configuration, Service
from lagoonlatch.standins.waiting import listens

PLATFORM_PORT = 2379
UPSTREAM_PORT = 9000

_FIRST_NETWORK = 20
_LAST_NETWORK = 250
_VM_HOST = 10
_UPSTREAM_HOST = 60


@dataclass(frozen=True, kw_only=True)
class VmPlan:
    """Where one VM of the fleet runs."""

    id: str
    address: str
    data_centre: str
    region: str


def free_network() -> int:
    """Return the second number of loopback addresses that no fleet uses."""
    networks = list(range(_FIRST_NETWORK, _LAST_NETWORK))
    # Fleets of several test runs on one machine start at different places.
    random.Random(os.getpid()).shuffle(networks)
    for network in networks:
        if not listens(f"127.{network}.0.1", PLATFORM_PORT):
            return network
    raise AssertionError("no loopback network is free")


def on_loopback(configuration: Configuration, network: int) -> Configuration:
    """Return the configuration with upstream addresses on loopback."""
    numbers = {
        centre: number
        for number, centre in enumerate(sorted(configuration.data_centres_by_id), 1)
    }
    hosts = dict.fromkeys(numbers, _UPSTREAM_HOST)
    services_by_id = {}
    for service_id, service in configuration.services_by_id.items():
        upstreams_by_id = {}
        for upstream_id, upstream in service.upstreams_by_id.items():
            centre = upstream.data_centre
            address = f"127.{network}.{numbers[centre]}.{hosts[centre]}:{UPSTREAM_PORT}"
            hosts[centre] += 1
            upstreams_by_id[upstream_id] = replace(upstream, address=address)
        services_by_id[service_id] = _with_upstreams(service, upstreams_by_id)
    return replace(configuration, services_by_id=services_by_id)


def _with_upstreams(service: Service, upstreams_by_id: dict) -> Service:
    return replace(service, upstreams_by_id=upstreams_by_id)


def plan_vms(configuration: Configuration, vms: int, network: int) -> dict[str, VmPlan]:
    """Return where `vms` VMs run, dealt to the data centres in turn."""
    centres = sorted(configuration.data_centres_by_id)
    plans = {}
    for number in range(vms):
        place = number % len(centres)
        centre = centres[place]
        turn = number // len(centres)
        vm = f"{centre}-vm-{turn + 1}"
        plans[vm] = VmPlan(
            id=vm,
            address=f"127.{network}.{place + 1}.{_VM_HOST + turn}",
            data_centre=centre,
            region=configuration.region_of(centre),
        )
    return plans
