"""Data classes of the configuration, the upstreams and the VMs.

Times are `Millis`, rates are requests a second, sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lagoonlatch.clock import Millis


class RouteKind(Enum):
    """Kind of a route, which decides whether its requests may be retried.

    `SAFE` and `DOWNLOAD` requests may run more than once, `UNSAFE` ones and `UPLOAD`
    ones, which have large bodies, may not.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """A service and its share of a route's traffic.

    Parameters
    ----------
    service : str
        Id of the service.
    weight : float
        Size of the share, relative to the route's other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash; the longest matching prefix decides.
    timeout : Millis
        Longest time until a caller gets an answer.
    goal : Millis
        Latency objective.
    priority : int
        0 is the most urgent.
    parts : tuple of WeightedService
        Services that share the requests.
    max_attempts : int
        Number of upstreams that one request may be sent to.
    is_open : bool
        Whether requests need no key.
    is_sticky : bool
        Whether an upstream is faster for objects that it remembers.
    home_regions : frozenset of str
        Regions in which requests may be served; empty for all regions.
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
        return self.kind in (RouteKind.SAFE, RouteKind.DOWNLOAD)


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation and its allowance over all VMs together.

    Parameters
    ----------
    priority : int
        Compared before the priority of the route; 0 is the most urgent.
    rate : float
        Allowed requests a second; 0 for no limit.
    burst : float
        Requests that may arrive at once.
    """

    id: str
    priority: int
    rate: float
    burst: float
    home_regions: frozenset[str] = frozenset()


def allowed_regions(route: Route, organisation: Organisation | None) -> frozenset[str]:
    """Return the regions that both the route and the organisation allow.

    An empty set allows all regions. If the two have no region in common, the set holds
    only an empty name, which matches no region.
    """
    home_regions = (
        organisation.home_regions if organisation is not None else frozenset()
    )
    if not route.home_regions or not home_regions:
        return route.home_regions or home_regions
    return (route.home_regions & home_regions) or frozenset({""})


@dataclass(frozen=True, kw_only=True)
class Service:
    """Settings of all upstreams of a service.

    Parameters
    ----------
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one upstream accepts from all callers.
    cold_duration : Millis
        Time after its start during which an upstream is cold.
    cold_rate : float
        Requests a second that a cold upstream can handle.
    """

    id: str
    health_path: str
    max_connections: int
    cold_duration: Millis
    cold_rate: float


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size of requests, on slow headers and on idle connections."""

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
        Increases with each change, not always by 1.
    routes_by_host : mapping of str to tuple of Route
        Longest prefix first.
    organisation_by_key : mapping of str to Organisation
        The organisation of each valid key.
    unknown_kinds : frozenset of str
        Kinds of routes that this version doesn't know. Their requests may run once, as
        nothing is known of them.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    organisation_by_key: Mapping[str, Organisation] = field(
        default_factory=dict, repr=False
    )
    organisations_by_id: Mapping[str, Organisation] = field(default_factory=dict)
    services_by_id: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    unknown_kinds: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `path` (without its query) at `host`, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, kw_only=True)
class UpstreamRecord:
    """The entry that an upstream instance has published about itself.

    Parameters
    ----------
    address : str
        ``IP:port``.
    slots : int
        Requests that it runs concurrently.
    is_draining : bool
        Whether its entry in the store says that it is about to stop.
    cold_left : Millis
        Remaining time as a cold upstream when the record was written.
    born : Millis
        Wall-clock time of its start; 0 if it is unknown.
    sequence : int
        Rises with each entry that this run of the upstream writes.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool
    cold_left: Millis
    born: Millis
    sequence: int = 0

    @property
    def order(self) -> tuple[float, int]:
        """Orders what the upstream has published, whatever the store's revisions."""
        return self.born, self.sequence


@dataclass(frozen=True, kw_only=True)
class VmRecord:
    """The entry that a VM has published about itself.

    Parameters
    ----------
    caller_address : str
        Address for callers, ``IP:port``.
    peer_address : str
        Address for other VMs, ``IP:port``.
    run : int
        Number of the run of its process. Later runs have higher numbers unless the wall
        clock was set back.
    is_ready : bool
        Whether it is ready to accept requests of callers.
    era : int or None
        Era of the store in which the entry was written; None if it isn't stated.
    configuration_version : int
        Version of the configuration in force when the entry was written; 0 if there was
        none or it isn't stated.
    """

    id: str
    data_centre: str
    caller_address: str
    peer_address: str
    run: int
    is_ready: bool
    era: int | None = None
    configuration_version: int = 0

    @property
    def order(self) -> tuple[float, int]:
        """Orders what the VM has published, whatever the store's revisions."""
        return self.run, 0
