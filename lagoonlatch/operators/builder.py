"""Builds a configuration in Python and prints it as canonical JSON."""

from __future__ import annotations

import ipaddress
import sys
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from lagoonlatch.callers.authentication import key_digest
from lagoonlatch.clock import Millis
from lagoonlatch.config.client_blocks import ClientBlock
from lagoonlatch.config.codec import encode
from lagoonlatch.config.model import (
    DEFAULT_DEADLINE,
    DEFAULT_WEIGHT,
    Configuration,
    DataCentre,
    Link,
    Move,
    Organisation,
)
from lagoonlatch.config.validation import Problem, validate
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.operators.service_builder import FleetService, define


class ConfigurationError(ValueError):
    """A configuration breaks rules; `problems` has each of them.

    Parameters
    ----------
    problems : tuple of Problem
        Place, offending value and valid values of each.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class Fleet:
    """Collects what the operators decide.

    Methods that define something raise ValueError if its id is taken; everything
    else is checked together by `check`, `to_json` and `print_json`.

    Examples
    --------
    >>> fleet = Fleet()
    >>> fleet.region("norte", data_centres=["norte-1"])
    >>> fleet.organisation("dojo", rate=5, burst=5, keys=["a key"])
    >>> ledger = fleet.service("ledger")
    >>> ledger.read("/ranks")
    >>> ledger.write("/promotions")
    >>> ledger.upstream(
    ...     "ledger-1", "norte-1", "10.0.0.1:80", slots=9, connections=360
    ... )
    >>> document = fleet.to_json()

    See Also
    --------
    lagoonlatch.config.model : The data classes that this builds.
    """

    def __init__(self) -> None:
        self._data_centres_by_id: dict[str, DataCentre] = {}
        self._links: list[Link] = []
        self._organisations_by_id: dict[str, Organisation] = {}
        self._services_by_id: dict[str, FleetService] = {}
        self._moves_by_id: dict[str, Move] = {}
        self._client_blocks: list[ClientBlock] = []

    def region(self, region: str, data_centres: Iterable[str]) -> None:
        """Define a region by its data centres.

        Parameters
        ----------
        region : str
            The region's id.
        data_centres : iterable of str
            Ids of its data centres.
        """
        for data_centre in data_centres:
            define(
                self._data_centres_by_id,
                "data centre",
                data_centre,
                DataCentre(region=region),
            )

    def link(
        self, region: str, other: str, *, capacity_mbit: float, delay: Millis
    ) -> None:
        """Define the shared link between two regions.

        Parameters
        ----------
        region, other : str
            The regions, in any order.
        capacity_mbit : float
            Megabits a second, each way.
        delay : Millis
            One-way delay.
        """
        first, second = sorted((region, other))
        self._links.append(
            Link(
                regions=(first, second),
                capacity_mbit=float(capacity_mbit),
                delay=float(delay),
            )
        )

    def organisation(
        self,
        organisation: str,
        *,
        rate: float,
        burst: int,
        keys: Iterable[str] = (),
        key_digests: Iterable[str] = (),
        weight: int = DEFAULT_WEIGHT,
    ) -> None:
        """Define an organisation.

        Parameters
        ----------
        organisation : str
            Its id.
        rate : float
            Requests a second over all VMs together.
        burst : int
            Requests that may come at once over all VMs together.
        keys : iterable of str
            Its keys; only their digests are kept and printed.
        key_digests : iterable of str
            SHA-256 of further keys, in hexadecimal, see `digest_key`.
        weight : int
            Share in fair queueing.
        """
        digests = {digest_key(key) for key in keys} | set(key_digests)
        define(
            self._organisations_by_id,
            "organisation",
            organisation,
            Organisation(
                key_digests=tuple(sorted(digests)),
                rate=float(rate),
                burst=burst,
                weight=weight,
            ),
        )

    def service(
        self, service: str, *, deadline: Millis = DEFAULT_DEADLINE
    ) -> FleetService:
        """Define a service and return it, to add routes and upstreams.

        Parameters
        ----------
        service : str
            Its id; callers ask for ``/v1/services/<id>/...``.
        deadline : Millis
            How long a request may take when the caller gives no deadline.
        """
        built = FleetService(service, deadline)
        define(self._services_by_id, "service", service, built)
        return built

    def move(
        self,
        move: str,
        *,
        service: str,
        source: str,
        destination: str,
        rate_cap: float,
        share_cap: float = 1.0,
    ) -> None:
        """Define a planned move of a service's traffic between regions.

        Parameters
        ----------
        move : str
            Its id.
        service, source, destination : str
            What is moved, from which region and to which.
        rate_cap : float
            Requests a second that may be moved, over all VMs together.
        share_cap : float
            Part of the source region's requests that may be moved, 0 to 1.
        """
        define(
            self._moves_by_id,
            "move",
            move,
            Move(
                service=service,
                source=source,
                destination=destination,
                rate_cap=float(rate_cap),
                share_cap=float(share_cap),
            ),
        )

    def client_blocks(self, data_centre: str, cidrs: Iterable[str]) -> None:
        """Say which blocks of client addresses a data centre is nearest to.

        Raises
        ------
        ValueError
            If a value is no CIDR block; the message quotes it.
        """
        for cidr in cidrs:
            ipaddress.ip_network(cidr)
            self._client_blocks.append(ClientBlock(cidr=cidr, data_centre=data_centre))

    def build(self) -> Configuration:
        """Return the configuration, not checked."""
        return Configuration(
            data_centres_by_id=dict(self._data_centres_by_id),
            links=tuple(sorted(self._links, key=lambda link: link.regions)),
            organisations_by_id=dict(self._organisations_by_id),
            services_by_id={
                service_id: service.build()
                for service_id, service in self._services_by_id.items()
            },
            moves_by_id=dict(self._moves_by_id),
            client_blocks=tuple(self._client_blocks),
        )

    def check(self) -> Result[Configuration, tuple[Problem, ...]]:
        """Return the configuration, or all its problems."""
        configuration = self.build()
        problems = validate(configuration)
        return Failure(problems) if problems else Success(configuration)

    def to_json(self) -> str:
        """Return the canonical JSON.

        Raises
        ------
        ConfigurationError
            If the configuration breaks rules.
        """
        checked = self.check()
        if isinstance(checked, Failure):
            raise ConfigurationError(checked.failure())
        return encode(checked.unwrap()).decode()

    def print_json(self) -> None:
        """Print the canonical JSON, or exit with 2 and a line for each problem."""
        match self.check():
            case Success(configuration):
                print(encode(configuration).decode())
            case Failure(problems):
                for problem in problems:
                    print(f"error: {problem}", file=sys.stderr)
                sys.exit(ExitCode.BAD_INPUT)


def digest_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as configurations hold it."""
    return key_digest(key)
