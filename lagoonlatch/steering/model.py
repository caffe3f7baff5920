"""What the operators and the upstreams say, as frozen data classes.

Times are `Millis`, rates are requests a second, sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lagoonlatch.clock import Millis


class RouteKind(Enum):
    """Whether a request may be run again."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """One part of a route's traffic.

    Parameters
    ----------
    service : str
        Id of the service that takes the part.
    weight : float
        Its size relative to the route's other parts.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """How the requests of one host and path prefix are treated.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash; the longest that matches decides.
    timeout : Millis
        Longest time that a caller is kept waiting.
    goal : Millis
        Latency objective.
    priority : int
        0 is the most urgent.
    parts : tuple of WeightedService
        Services that share the requests.
    max_attempts : int
        Upstreams that one request may be sent to.
    is_open : bool
        Whether requests need no key.
    is_sticky : bool
        Whether an upstream that handled an object recently is faster.
    home_regions : frozenset of str
        Where requests may be served; empty for anywhere.
    """

    id: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: Millis
    goal: Millis
    priority: int
    parts: tuple[WeightedService, ...]
    max_attempts: int
    is_open: bool = False
    is_sticky: bool = False
    home_regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.UNSAFE


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation and its allowance over all VMs together.

    Parameters
    ----------
    priority : int
        Goes before the route's; 0 is the most urgent.
    rate : float
        Requests a second; 0 for no limit.
    burst : float
        Requests that may come at once.
    """

    id: str
    priority: int
    rate: float
    burst: float
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Service:
    """What holds for all upstreams of a service.

    Parameters
    ----------
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one upstream accepts from all callers.
    cold_duration : Millis
        How long an upstream is cold after its start.
    cold_rate : float
        Requests a second that a cold upstream bears.
    """

    id: str
    health_path: str
    max_connections: int
    cold_duration: Millis
    cold_rate: float


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what callers send and on how long they take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout: Millis = 5_000.0
    idle_timeout: Millis = 15_000.0


@dataclass(frozen=True, kw_only=True)
class TrafficRules:
    """The operators' configuration at one version.

    Parameters
    ----------
    version : int
        Rises with each change, in uneven steps.
    routes_by_host : mapping of str to tuple of Route
        Longest prefix first.
    organisation_by_key : mapping of str to Organisation
        The holder of each valid key.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    organisation_by_key: Mapping[str, Organisation] = field(
        default_factory=dict, repr=False
    )
    organisations_by_id: Mapping[str, Organisation] = field(default_factory=dict)
    services_by_id: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `path` (without its query) at `host`."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """What an upstream instance says of itself.

    Parameters
    ----------
    address : str
        ``IP:port``.
    slots : int
        Requests that it runs at once.
    is_draining : bool
        Whether it is about to leave.
    cold_left : Millis
        How long it stays cold, as of the writing of the record.
    born : float
        Wall-clock instant of its start; 0 if it doesn't say.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    cold_left: Millis
    born: Millis


@dataclass(frozen=True, kw_only=True)
class VmRecord:
    """What another VM of the fleet says of itself.

    Parameters
    ----------
    caller_address : str
        Where callers connect, ``IP:port``.
    peer_address : str
        Where other VMs connect, ``IP:port``.
    run : int
        Names the run of its process.
    is_ready : bool
        Whether callers should be sent there.
    """

    id: str
    data_centre: str
    caller_address: str
    peer_address: str
    run: int
    is_ready: bool
