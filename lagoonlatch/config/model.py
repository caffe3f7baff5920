"""The configuration as frozen data classes.

Collections are mappings from id to item; the canonical JSON has the same shape.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonlatch.clock import Millis
from lagoonlatch.config.client_blocks import ClientBlock, ClientBlockPages

__all__ = [
    "ClientBlock",
    "ClientBlockPages",
    "Configuration",
    "DataCentre",
    "Link",
    "Move",
    "Organisation",
    "Route",
    "Service",
    "Upstream",
]

DEFAULT_DEADLINE: Millis = 10_000.0
DEFAULT_WEIGHT = 1


@dataclass(frozen=True, kw_only=True)
class DataCentre:
    """A data centre and the region it stands in.

    Parameters
    ----------
    region : str
        The region's id; regions exist by being named here.
    """

    region: str


@dataclass(frozen=True, kw_only=True)
class Link:
    """The shared link between two regions.

    Parameters
    ----------
    regions : tuple of two str
        The regions it joins, sorted.
    capacity_mbit : float
        Megabits a second, each way.
    delay : Millis
        One-way delay in milliseconds.
    """

    regions: tuple[str, str]
    capacity_mbit: float
    delay: Millis


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation, its keys and its share of the fleet.

    Parameters
    ----------
    key_digests : tuple of str
        SHA-256 of each valid key, in hexadecimal; the keys are not stored.
    rate : float
        Requests a second over all VMs together.
    burst : int
        Requests that may come at once over all VMs together.
    weight : int
        Share in fair queueing.
    """

    key_digests: tuple[str, ...]
    rate: float
    burst: int
    weight: int = DEFAULT_WEIGHT


@dataclass(frozen=True, kw_only=True)
class Route:
    """How requests with one method and path prefix are treated.

    Parameters
    ----------
    method : str
        An HTTP method, or ``*`` for all.
    path_prefix : str
        Begins with ``/``; the longest matching prefix decides.
    idempotent : bool
        Whether a request may be sent to an upstream again.
    open : bool
        Whether requests need no key.
    """

    method: str
    path_prefix: str
    idempotent: bool
    open: bool = False


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """One upstream instance.

    Parameters
    ----------
    data_centre : str
        The id of the data centre it stands in.
    address : str
        ``IP:port`` of its HTTP server.
    slots : int
        Requests that it runs at once.
    connections : int
        Connections that it holds.
    """

    data_centre: str
    address: str
    slots: int
    connections: int


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service: its routes and the upstreams that serve it.

    Parameters
    ----------
    routes : tuple of Route
        Which requests the service takes.
    upstreams_by_id : mapping of str to Upstream
        Its instances.
    deadline : Millis
        How long a request may take, in milliseconds; callers may ask for less.
    """

    routes: tuple[Route, ...]
    upstreams_by_id: Mapping[str, Upstream]
    deadline: Millis = DEFAULT_DEADLINE


@dataclass(frozen=True, kw_only=True)
class Move:
    """A planned move of a service's traffic between regions, with its cap.

    Parameters
    ----------
    service : str
        The id of the service.
    source : str
        The region whose requests are moved.
    destination : str
        The region that serves them instead.
    rate_cap : float
        Requests a second that may be moved, over all VMs together.
    share_cap : float
        Part of the source region's requests that may be moved, 0 to 1.
    """

    service: str
    source: str
    destination: str
    rate_cap: float
    share_cap: float


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """Everything the operators decide, at one version.

    Parameters
    ----------
    version : int
        Rises by one with each accepted change; 0 before the first.
    change_id : str
        Names the change that made this version.
    data_centres_by_id : mapping of str to DataCentre
        The data centres with VMs or upstreams.
    links : tuple of Link
        The links between regions.
    organisations_by_id : mapping of str to Organisation
        The organisations that may send requests.
    services_by_id : mapping of str to Service
        The services and their upstreams.
    moves_by_id : mapping of str to Move
        The planned moves that are under way.
    client_blocks : ClientBlockPages
        Where callers are nearest to; blocks given one by one are packed.
    """

    version: int = 0
    change_id: str = ""
    data_centres_by_id: Mapping[str, DataCentre] = field(default_factory=dict)
    links: tuple[Link, ...] = ()
    organisations_by_id: Mapping[str, Organisation] = field(default_factory=dict)
    services_by_id: Mapping[str, Service] = field(default_factory=dict)
    moves_by_id: Mapping[str, Move] = field(default_factory=dict)
    client_blocks: ClientBlockPages = field(default_factory=ClientBlockPages)

    def __post_init__(self) -> None:
        # Blocks may be given one by one; they are held packed.
        if not isinstance(self.client_blocks, ClientBlockPages):
            packed = ClientBlockPages.from_blocks(self.client_blocks)
            object.__setattr__(self, "client_blocks", packed)

    def regions(self) -> tuple[str, ...]:
        """Return the ids of the regions, sorted."""
        return tuple(
            sorted({centre.region for centre in self.data_centres_by_id.values()})
        )

    def region_of(self, data_centre: str) -> str:
        """Return the region of `data_centre`."""
        return self.data_centres_by_id[data_centre].region

    def data_centres_of(self, region: str) -> tuple[str, ...]:
        """Return the ids of the data centres of `region`, sorted."""
        return tuple(
            sorted(
                data_centre
                for data_centre, item in self.data_centres_by_id.items()
                if item.region == region
            )
        )
