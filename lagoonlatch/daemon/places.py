"""The places that may serve each service, with their distance and load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.config.model import Configuration
from lagoonlatch.daemon.scopes import Scopes
from lagoonlatch.membership import LoadSummary, Membership, VmStatus
from lagoonlatch.routing.lookup import link_delay
from lagoonlatch.routing.selection import LoadOf, Place
from lagoonlatch.upstreams.instance import InstanceKey

REFRESH_INTERVAL: Millis = 100.0
DEFAULT_LATENCY: Millis = 50.0
HEARD_LOAD_VALIDITY: Millis = 1_000.0
SAME_REGION_ROUND_TRIP: Millis = 2.0


@dataclass(frozen=True)
class _Known:
    """Places of one service, and their load as last reported."""

    places: tuple[Place, ...]
    load_by_vm: dict[str, float]
    read_at: Millis


@dataclass(frozen=True)
class _HeardLoad:
    """A load that another VM told, and how many requests there were ours then."""

    load: int
    own: int
    at: Millis


class Places:
    """Joins configuration, owners, members and loads; one for each VM.

    Parameters
    ----------
    vm, data_centre, region : str
        This VM and where it stands.
    own_load : callable
        Returns the requests of a service that run or wait at this VM.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        region: str,
        own_load: Callable[[str], int],
        scopes: Scopes,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._vm = vm
        self._own_load = own_load
        self._data_centre = data_centre
        self._region = region
        self._scopes = scopes
        self._membership = membership
        self._clock = clock
        self._configuration = Configuration()
        self._known_by_service: dict[str, _Known] = {}
        self._in_flight: Counter[tuple[str, str]] = Counter()
        self._heard: dict[tuple[str, str], _HeardLoad] = {}

    def configure(self, configuration: Configuration) -> None:
        """Follow a new configuration."""
        self._configuration = configuration
        self._known_by_service.clear()

    def places(self, service: str) -> Sequence[Place]:
        """Return the places that may serve `service` now."""
        return self._know(service).places

    def load_of(self, service: str) -> LoadOf:
        """Return the load of each place, from the freshest that is known of it."""
        reported = self._know(service).load_by_vm
        return lambda place: self._load(service, place.vm, reported)

    def heard_load(self, service: str, vm: str, load: int) -> None:
        """Take in the load that `vm` told with an outcome of a request sent to it.

        It counts that request no more, which here is still counted as in flight.
        """
        own = self._in_flight[service, vm] - 1
        self._heard[service, vm] = _HeardLoad(load, own, self._clock.now())

    def began(self, service: str, vm: str) -> None:
        """Note a request sent to `vm`."""
        self._in_flight[service, vm] += 1

    def ended(self, service: str, vm: str) -> None:
        """Note that a request sent to `vm` has its outcome."""
        self._in_flight[service, vm] -= 1

    def _load(self, service: str, vm: str, reported: dict[str, float]) -> float:
        if vm == self._vm:
            return self._own_load(service)
        own = self._in_flight[service, vm]
        heard = self._heard.get((service, vm))
        if heard is None or self._clock.now() - heard.at > HEARD_LOAD_VALIDITY:
            return max(reported.get(vm, 0.0), own)
        return max(heard.load + own - heard.own, own)

    def _know(self, service: str) -> _Known:
        known = self._known_by_service.get(service)
        now = self._clock.now()
        if known is None or now - known.read_at >= REFRESH_INTERVAL:
            known = self._read(service, now)
            self._known_by_service[service] = known
        return known

    def _read(self, service: str, now: Millis) -> _Known:
        load_by_centre = {
            load.data_centre: load
            for load in self._membership.loads()
            if load.service_id == service
        }
        places = self._places(service, load_by_centre)
        loads = {
            place.vm: _share_of(load_by_centre.get(place.data_centre), place)
            for place in places
        }
        return _Known(places, loads, now)

    def _places(
        self, service: str, load_by_centre: dict[str, LoadSummary]
    ) -> tuple[Place, ...]:
        slots: Counter[tuple[str, str]] = Counter()
        upstreams_by_id = self._configuration.services_by_id[service].upstreams_by_id
        for upstream_id, upstream in upstreams_by_id.items():
            key = InstanceKey(service, upstream_id)
            vm = self._serving_vm(upstream.data_centre, key)
            if vm is not None:
                slots[vm, upstream.data_centre] += upstream.slots
        return tuple(
            self._place(vm, centre, count, load_by_centre.get(centre))
            for (vm, centre), count in sorted(slots.items())
        )

    def _serving_vm(self, data_centre: str, key: InstanceKey) -> str | None:
        owner = self._scopes.owner_of(data_centre, key)
        if owner is None:
            return None
        record = self._membership.record(owner.vm)
        if record is None or record.status is VmStatus.SILENT:
            return None
        if record.incarnation not in (0, owner.incarnation):
            return None
        return owner.vm

    def _place(
        self, vm: str, data_centre: str, slots: int, load: LoadSummary | None
    ) -> Place:
        region = self._configuration.region_of(data_centre)
        return Place(
            vm=vm,
            data_centre=data_centre,
            region=region,
            slots=slots,
            distance=self._distance(data_centre, region),
            latency=load.latency if load and load.latency else DEFAULT_LATENCY,
        )

    def _distance(self, data_centre: str, region: str) -> Millis:
        if data_centre == self._data_centre:
            return 0.0
        if region == self._region:
            return SAME_REGION_ROUND_TRIP
        return 2.0 * link_delay(self._configuration, region, self._region)


def _share_of(load: LoadSummary | None, place: Place) -> float:
    if load is None or not load.slots:
        return 0.0
    return (load.in_flight + load.queued) * place.slots / load.slots
