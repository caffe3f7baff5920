"""What the operators write to the store: the configuration and evacuations."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.decoding import CONVERSION_ERRORS, MAX_INT64
from lagoonlatch.steering.model import (
    CallerLimits,
    Organisation,
    Route,
    RouteKind,
    Service,
    TrafficRules,
    WeightedService,
)

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

_VERSION_MARK = "r"

_KIND_BY_NAME = {kind.value: kind for kind in RouteKind}


class _Part(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    goal_s: float = 1.0
    priority: int = 1
    service: str = ""
    split: list[_Part] = []
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    home_regions: list[str] = []


class _Service(msgspec.Struct):
    health_path: str
    max_conns: int = 1_000
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Organisation(msgspec.Struct):
    api_keys: list[str]
    priority: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: list[str] = []


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class _Metadata(msgspec.Struct):
    name: str = ""


class _Resource(msgspec.Struct):
    resource_kind: str
    metadata: _Metadata
    spec: Any


class _Document(msgspec.Struct):
    version: str
    resources: list[_Resource]


_TYPE_BY_RESOURCE_KIND = {
    "routes": _Route,
    "services": _Service,
    "tenants": _Organisation,
    "limits": _Limits,
}


def decode_configuration(value: bytes) -> Result[TrafficRules, str]:
    """Decode the operators' configuration; a failure says what is wrong."""
    try:
        document = msgspec.json.decode(value, type=_Document)
        specs_by_kind: dict[str, dict[str, Any]] = defaultdict(dict)
        for resource in document.resources:
            wanted = _TYPE_BY_RESOURCE_KIND.get(resource.resource_kind)
            if wanted is not None:
                spec = msgspec.convert(resource.spec, wanted)
                specs_by_kind[resource.resource_kind][resource.metadata.name] = spec
        return Success(_to_rules(document.version, specs_by_kind))
    except CONVERSION_ERRORS as error:
        return Failure(str(error))


def evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that `key` asks to empty; None for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _to_version(text: str) -> int:
    version = int(text.removeprefix(_VERSION_MARK))
    if not 0 < version <= MAX_INT64:
        raise ValueError(f"version {text!r} is not in r1 to r{MAX_INT64}")
    return version


def _to_rules(version: str, specs_by_kind: dict[str, dict[str, Any]]) -> TrafficRules:
    routes_by_host: dict[str, list[Route]] = defaultdict(list)
    for name, spec in specs_by_kind["routes"].items():
        route = _to_route(name, spec)
        routes_by_host[route.host].append(route)
    for routes in routes_by_host.values():
        routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    organisations = {
        name: Organisation(
            id=name,
            priority=spec.priority,
            rate=spec.rate_per_s,
            burst=spec.burst,
            home_regions=frozenset(spec.home_regions),
        )
        for name, spec in specs_by_kind["tenants"].items()
    }
    return TrafficRules(
        version=_to_version(version),
        routes_by_host={host: tuple(routes) for host, routes in routes_by_host.items()},
        organisations_by_id=organisations,
        organisation_by_key={
            key: organisations[name]
            for name, spec in specs_by_kind["tenants"].items()
            for key in spec.api_keys
        },
        services_by_id={
            name: _to_service(name, spec)
            for name, spec in specs_by_kind["services"].items()
        },
        limits=_to_limits(specs_by_kind["limits"]),
        unknown_kinds=frozenset(
            spec.kind for spec in specs_by_kind["routes"].values()
        ).difference(_KIND_BY_NAME),
    )


def _to_route(name: str, spec: _Route) -> Route:
    parts = spec.split or [_Part(spec.service, 1.0)]
    return Route(
        id=name,
        host=spec.host.lower(),
        path_prefix=spec.path_prefix,
        kind=_KIND_BY_NAME.get(spec.kind, RouteKind.UNSAFE),
        timeout=spec.timeout_s * MILLIS_PER_SECOND,
        goal=spec.goal_s * MILLIS_PER_SECOND,
        priority=spec.priority,
        parts=tuple(
            WeightedService(service=part.service, weight=part.weight) for part in parts
        ),
        max_attempts=spec.max_attempts,
        is_open=spec.public,
        is_sticky=spec.sticky,
        home_regions=frozenset(spec.home_regions),
    )


def _to_service(name: str, spec: _Service) -> Service:
    return Service(
        id=name,
        health_path=spec.health_path,
        max_connections=spec.max_conns,
        cold_duration=spec.cold_start_s * MILLIS_PER_SECOND,
        cold_rate=spec.cold_per_s,
    )


def _to_limits(spec_by_name: dict[str, _Limits]) -> CallerLimits:
    spec = next(iter(spec_by_name.values()), _Limits())
    return CallerLimits(
        header_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        header_timeout=spec.header_timeout_s * MILLIS_PER_SECOND,
        idle_timeout=spec.idle_timeout_s * MILLIS_PER_SECOND,
    )
