"""The rules for services: routes, upstreams and their addresses."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable, Iterator

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.config.model import Configuration, Service
from lagoonlatch.config.rules import (
    HIGHEST_COUNT,
    RULES,
    Problem,
    check_above_zero,
    check_known,
    check_number,
)

METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
LONGEST_DEADLINE: Millis = 600 * MILLIS_PER_SECOND
LONGEST_PATH_PREFIX = 1_024

_PATH_PREFIX = re.compile(r"/[!-~]*")


@RULES.register("services")
def _check_services(configuration: Configuration) -> Iterator[Problem]:
    centres = configuration.data_centres_by_id
    for service_id, service in configuration.services_by_id.items():
        place = f"$.services_by_id.{service_id}"
        yield from check_above_zero(
            f"{place}.deadline", service.deadline, LONGEST_DEADLINE
        )
        yield from _check_upstreams(place, service, centres)


def _check_upstreams(
    place: str, service: Service, centres: Iterable[str]
) -> Iterator[Problem]:
    for upstream_id, upstream in service.upstreams_by_id.items():
        inner = f"{place}.upstreams_by_id.{upstream_id}"
        yield from check_known(f"{inner}.data_centre", upstream.data_centre, centres)
        yield from check_number(
            f"{inner}.slots", upstream.slots, 1, HIGHEST_COUNT, "whole number"
        )
        yield from check_number(
            f"{inner}.connections",
            upstream.connections,
            1,
            HIGHEST_COUNT,
            "whole number",
        )
        if not _is_endpoint(upstream.address):
            valid = "IP:port, such as 10.1.0.7:8080 or [2001:db8::7]:8080"
            yield Problem(f"{inner}.address", upstream.address, valid)


@RULES.register("addresses")
def _check_addresses(configuration: Configuration) -> Iterator[Problem]:
    place_by_address: dict[str, str] = {}
    for service_id, service in configuration.services_by_id.items():
        for upstream_id, upstream in service.upstreams_by_id.items():
            place = f"$.services_by_id.{service_id}.upstreams_by_id.{upstream_id}"
            address = upstream.address
            if address in place_by_address:
                valid = f"an address of its own; {place_by_address[address]} has it"
                yield Problem(f"{place}.address", address, valid)
            place_by_address.setdefault(address, place)


@RULES.register("routes")
def _check_routes(configuration: Configuration) -> Iterator[Problem]:
    for service_id, service in configuration.services_by_id.items():
        place_by_route: dict[tuple[str, str], str] = {}
        if not service.routes:
            yield Problem(f"$.services_by_id.{service_id}.routes", [], "one or more")
        for index, route in enumerate(service.routes):
            place = f"$.services_by_id.{service_id}.routes[{index}]"
            if route.method not in METHODS:
                yield Problem(f"{place}.method", route.method, ", ".join(METHODS))
            if not _is_path_prefix(route.path_prefix):
                valid = "begins with /, printable ASCII, no space, ? or #"
                yield Problem(f"{place}.path_prefix", route.path_prefix, valid)
            pair = (route.method, route.path_prefix)
            if pair in place_by_route:
                valid = f"a method and prefix given once; {place_by_route[pair]} has it"
                yield Problem(place, " ".join(pair), valid)
            place_by_route.setdefault(pair, place)


def _is_endpoint(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    if bracketed != (address.version == 6) or not port.isascii():
        return False
    return port.isdecimal() and len(port) <= 5 and 1 <= int(port) <= 65_535


def _is_path_prefix(value: str) -> bool:
    if len(value) > LONGEST_PATH_PREFIX or not _PATH_PREFIX.fullmatch(value):
        return False
    return "?" not in value and "#" not in value
