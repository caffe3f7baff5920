"""Which VMs a caller should use, nearest first."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonlatch.clock import Millis
from lagoonlatch.config.model import Configuration
from lagoonlatch.membership import Membership, VmRecord, VmStatus
from lagoonlatch.membership.rendezvous import weight
from lagoonlatch.routing.blocks import ClientBlocks

LOOKUP_TTL: Millis = 10_000.0
VMS_PER_ANSWER = 6
VMS_PER_DATA_CENTRE = 2
"""So that an answer names places in other data centres too."""

OWNER_RATE_LIMIT = 200.0
"""Requests a second above which an organisation's callers are spread over the VMs of
their data centre rather than sent to its shard's owner."""

UNKNOWN_DELAY: Millis = 1_000.0

_STATUS_ORDER = (VmStatus.ALIVE, VmStatus.LISTED, VmStatus.SILENT)

ShardOwner = Callable[[str, str], str | None]


@dataclass(frozen=True)
class LookupVm:
    """One VM in an answer."""

    id: str
    address: str
    data_centre: str


@dataclass(frozen=True)
class LookupAnswer:
    """The VMs to use, in this order, and for how long the answer holds.

    Parameters
    ----------
    vms : tuple of LookupVm
        Never empty.
    ttl : Millis
        When to ask again.
    """

    vms: tuple[LookupVm, ...]
    ttl: Millis


class Lookups:
    """Answers look-ups from tables that are made anew when something changed.

    Parameters
    ----------
    membership : Membership
        Says which VMs seem alive.
    shard_owner : callable
        Returns the VM that holds an organisation's shard in a region, or None.
    """

    def __init__(
        self,
        membership: Membership,
        shard_owner: ShardOwner = lambda organisation, region: None,
    ) -> None:
        self._membership = membership
        self._shard_owner = shard_owner
        self._configuration: Configuration | None = None
        self._generation = -1
        self._blocks = ClientBlocks.from_blocks(())
        self._places = _Places({}, {})
        self._order_by_home: dict[tuple[str, str], list[str]] = {}

    def answer(
        self, configuration: Configuration, client: str, service: str, organisation: str
    ) -> LookupAnswer:
        """Return the VMs that a client should use.

        Parameters
        ----------
        configuration : Configuration
            In force now.
        client : str
            The client's IP address.
        service : str
            The service asked for.
        organisation : str
            The caller's organisation, or empty.
        """
        self._prepare(configuration)
        home = self._home_of(client)
        order = self._order(home, service)
        first_region = self._region_of(order[0])
        owner = self._preferred_owner(configuration, organisation, first_region)
        chosen = [owner] if owner is not None else []
        for data_centre in order:
            chosen += self._choose(data_centre, client, chosen)
            if len(chosen) >= VMS_PER_ANSWER:
                break
        vms = tuple(
            LookupVm(record.id, record.address, record.data_centre)
            for record in chosen[:VMS_PER_ANSWER]
        )
        return LookupAnswer(vms, LOOKUP_TTL)

    def _prepare(self, configuration):
        generation = self._membership.generation
        if configuration is not self._configuration:
            if self._configuration is None or (
                configuration.client_blocks is not self._configuration.client_blocks
            ):
                self._blocks = ClientBlocks.from_pages(configuration.client_blocks)
        elif generation == self._generation:
            return
        self._configuration = configuration
        self._generation = generation
        self._places = _Places.from_records(self._membership.records())
        self._order_by_home = {}

    def _home_of(self, client):
        home = self._blocks.find(client)
        # A client of no block most likely asked a VM near it.
        return self._membership.me.data_centre if home is None else home

    def _region_of(self, data_centre):
        known = self._configuration.data_centres_by_id.get(data_centre)
        if known is not None:
            return known.region
        return self._places.region_by_data_centre.get(data_centre, "")

    def _order(self, home, service):
        """Return the data centres that have VMs to use, nearest first."""
        order = self._order_by_home.get((home, service))
        if order is None:
            order = sorted(
                self._places.records_by_data_centre,
                key=lambda data_centre: self._distance(home, data_centre, service),
            )
            self._order_by_home[home, service] = order
        return order

    def _distance(self, home, data_centre, service):
        home_region = self._region_of(home)
        region = self._region_of(data_centre)
        delay = 0.0
        if region != home_region:
            delay = link_delay(self._configuration, home_region, region)
        serves = data_centre in self._serving(service)
        return (delay, data_centre != home, not serves, weight(home, data_centre))

    def _serving(self, service):
        known = self._configuration.services_by_id.get(service)
        if known is None:
            return frozenset()
        return {item.data_centre for item in known.upstreams_by_id.values()}

    def _preferred_owner(self, configuration, organisation, region) -> VmRecord | None:
        known = configuration.organisations_by_id.get(organisation)
        if known is None or known.rate > OWNER_RATE_LIMIT:
            return None
        vm = self._shard_owner(organisation, region)
        record = None if vm is None else self._membership.record(vm)
        if record is None or record.leaving or record.status is not VmStatus.ALIVE:
            return None
        return record

    def _choose(self, data_centre, client, chosen):
        records = self._places.records_by_data_centre[data_centre]
        ranked = sorted(records, key=lambda record: -weight(client, record.id))
        taken = {record.id for record in chosen}
        spare = [record for record in ranked if record.id not in taken]
        return spare[:VMS_PER_DATA_CENTRE]


def answer_lookup(
    configuration: Configuration,
    membership: Membership,
    client: str,
    service: str,
    organisation: str = "",
    shard_owner: ShardOwner = lambda organisation, region: None,
) -> LookupAnswer:
    """Answer one look-up without tables kept from earlier ones; see `Lookups`."""
    lookups = Lookups(membership, shard_owner)
    return lookups.answer(configuration, client, service, organisation)


def link_delay(configuration: Configuration, first: str, second: str) -> Millis:
    """Return the one-way delay of the link between two regions."""
    regions = tuple(sorted((first, second)))
    for link in configuration.links:
        if link.regions == regions:
            return link.delay
    return UNKNOWN_DELAY


@dataclass(frozen=True)
class _Places:
    records_by_data_centre: Mapping[str, list[VmRecord]]
    region_by_data_centre: Mapping[str, str]

    @classmethod
    def from_records(cls, records: Iterable[VmRecord]) -> _Places:
        usable = _usable(tuple(records))
        records_by_data_centre: dict[str, list[VmRecord]] = {}
        for record in usable:
            records_by_data_centre.setdefault(record.data_centre, []).append(record)
        return cls(
            records_by_data_centre,
            {record.data_centre: record.region for record in usable},
        )


def _usable(records: tuple[VmRecord, ...]) -> list[VmRecord]:
    """Return the VMs to name; the answering VM is among the alive ones."""
    staying = [record for record in records if not record.leaving]
    for status in _STATUS_ORDER:
        usable = [record for record in staying if record.status is status]
        if usable:
            return usable
    return list(records)
