"""The instances that this VM owns, and their services."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.config.model import DEFAULT_WEIGHT, Service, Upstream
from lagoonlatch.events import EventLog
from lagoonlatch.membership.heartbeat import LoadSummary
from lagoonlatch.upstreams.connections import ConnectionSettings
from lagoonlatch.upstreams.fair_queue import QUEUES  # with all queues registered
from lagoonlatch.upstreams.instance import Instance, InstanceKey
from lagoonlatch.upstreams.pending import PendingRequest
from lagoonlatch.upstreams.service import DEFAULT_LONGEST_WAIT, OwnedService
from lagoonlatch.upstreams.watch import InstanceWatch


@dataclass(frozen=True, kw_only=True)
class OwnerSettings:
    """What the owner on one VM is told.

    Parameters
    ----------
    data_centre : str
        Where the VM stands.
    queue : str
        Name of a registered queue.
    longest_wait : Millis
        A request that would wait longer for a slot is refused at once.
    """

    data_centre: str
    queue: str = "deficit-round-robin"
    longest_wait: Millis = DEFAULT_LONGEST_WAIT
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)


class OwnedInstances:
    """Follows the configuration and the ownership of instances.

    Parameters
    ----------
    start : callable
        Called with a service, a request and the watch of the instance to run it.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        clock: Clock,
        event_log: EventLog,
        start: Callable[[OwnedService, PendingRequest, InstanceWatch], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._event_log = event_log
        self._start = start
        self._new_queue = QUEUES.find(settings.queue).unwrap()
        self._upstream_by_key: dict[InstanceKey, Upstream] = {}
        self._weight_by_organisation: Mapping[str, float] = {}
        self._owned: frozenset[InstanceKey] = frozenset()
        self._service_by_id: dict[str, OwnedService] = {}
        self._watch_by_key: dict[InstanceKey, InstanceWatch] = {}
        self._lost_watches: list[InstanceWatch] = []

    def configure(
        self,
        services_by_id: Mapping[str, Service],
        weight_by_organisation: Mapping[str, float],
    ) -> None:
        """Put the configured upstreams and weights in force."""
        self._weight_by_organisation = dict(weight_by_organisation)
        self._upstream_by_key = {
            InstanceKey(service_id, upstream_id): upstream
            for service_id, service in services_by_id.items()
            for upstream_id, upstream in service.upstreams_by_id.items()
        }
        self._reconcile()

    def set_owned(self, keys: Iterable[InstanceKey]) -> None:
        """Own exactly these instances from now on."""
        self._owned = frozenset(keys)
        self._reconcile()

    def service(self, service_id: str) -> OwnedService | None:
        """Return a service if an instance of it is owned."""
        service = self._service_by_id.get(service_id)
        return service if service is not None and service.instances_by_key else None

    def busy(self, keys: Iterable[InstanceKey]) -> bool:
        """Return whether requests of this VM still run on any of the instances."""
        wanted = frozenset(keys)
        watches = [*self._watch_by_key.values(), *self._lost_watches]
        return any(
            watch.instance.slots.running and watch.instance.key in wanted
            for watch in watches
        )

    def loads(self) -> tuple[LoadSummary, ...]:
        """Return the load of each service with an owned instance."""
        return tuple(
            LoadSummary(
                service_id=service_id,
                data_centre=self._settings.data_centre,
                slots=service.capacity(),
                in_flight=service.running(),
                queued=len(service.queue),
                latency=service.latency.value,
            )
            for service_id, service in sorted(self._service_by_id.items())
            if service.instances_by_key
        )

    def load(self, service_id: str) -> int:
        """Return the requests of a service that run or wait here."""
        service = self._service_by_id.get(service_id)
        return service.running() + len(service.queue) if service else 0

    def stop(self) -> None:
        """Stop watching the instances and close all idle connections."""
        for watch in self._watch_by_key.values():
            watch.stop()

    def _reconcile(self) -> None:
        """Watch exactly the instances that are owned and configured."""
        wanted = {
            key: upstream
            for key, upstream in self._upstream_by_key.items()
            if key in self._owned
        }
        for key, watch in list(self._watch_by_key.items()):
            if wanted.get(key) != watch.instance.upstream:
                self._lose(key, watch)
        for key, upstream in wanted.items():
            if key not in self._watch_by_key:
                self._gain(key, upstream)

    def _gain(self, key: InstanceKey, upstream: Upstream) -> None:
        service = self._service_by_id.get(key.service_id)
        if service is None:
            service = self._service_by_id[key.service_id] = self._new_service()
        connections = self._settings.connections
        instance = Instance(key, upstream, self._clock, self._event_log, connections)
        service.instances_by_key[key] = instance
        self._watch_by_key[key] = InstanceWatch(
            instance, self._clock, connections, service.look_over
        )

    def _lose(self, key: InstanceKey, watch: InstanceWatch) -> None:
        """Give the instance up; what runs on it goes on to its end."""
        watch.stop()
        del self._watch_by_key[key]
        self._lost_watches = [w for w in self._lost_watches if w.exchanges]
        self._lost_watches.append(watch)
        service = self._service_by_id[key.service_id]
        del service.instances_by_key[key]
        service.refuse_unservable()

    def _new_service(self) -> OwnedService:
        queue = self._new_queue(self._clock, self._weight_of)
        longest_wait = self._settings.longest_wait
        return OwnedService(queue, self._clock, self._start_on, longest_wait)

    def _start_on(
        self, service: OwnedService, pending: PendingRequest, instance: Instance
    ) -> None:
        self._start(service, pending, self._watch_by_key[instance.key])

    def _weight_of(self, organisation: str) -> float:
        return self._weight_by_organisation.get(organisation, DEFAULT_WEIGHT)
