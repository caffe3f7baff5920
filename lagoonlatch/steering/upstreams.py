"""What this VM believes of each upstream: load, temperature, suspicion."""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Mapping

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.model import Service, UpstreamRecord

REPORTED_LOAD_LIFETIME: Millis = 300.0
"""How long the requests of other VMs stay as told; after that the upstream's home is
asked again."""

WARM_OBJECTS = 24
"""Objects that an upstream is taken to remember; it doesn't say how many it does."""

FAILURE_MEMORY = 0.1
"""Weight of the newest outcome in the moving average of failures."""

FORGET_AFTER: Millis = 30_000.0
"""How long the start of an upstream that is gone is remembered."""

LEFT_AFTER: Millis = 600_000.0
"""How long it is remembered that a run of an upstream leaves; it ends in a minute."""


class UpstreamState:
    """One upstream as this VM knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this VM that it holds.
    failure_share : float
        Moving average of attempts that it failed, 0 to 1.
    is_suspect : bool
        Whether it must answer a health check before it gets requests again.
    is_leaving : bool
        Whether it has said itself, or to another VM, that it leaves; this holds for
        its whole run, whatever the store still says.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        region: str,
        clock: Clock,
    ) -> None:
        self.record = record
        self.region = region
        self.in_flight = 0
        self.failure_share = 0.0
        self.is_suspect = False
        self.is_removed = False
        self.is_leaving = False
        self._rests_until: Millis = -math.inf
        self._clock = clock
        self._objects: OrderedDict[str, None] = OrderedDict()
        self._cold_until: Millis = -math.inf
        self._others = 0
        self._ahead = 0
        self._told: Millis = -math.inf

    def load(self) -> int:
        """Return the requests that it has, as far as this VM was told lately."""
        return self.in_flight + (self._others if self._is_told() else 0)

    def reported_ahead(self) -> int:
        """Return the requests of all VMs that wait for it, as told lately."""
        return self._ahead if self._is_told() else 0

    def set_load_of_others(self, requests: int, reported_ahead: int = 0) -> None:
        """Take in the requests that other VMs have there, and those that wait."""
        self._others = max(requests, 0)
        self._ahead = reported_ahead
        self._told = self._clock.now()

    def note_object(self, name: str) -> None:
        """Remember that it was sent a request for the object `name`."""
        self._objects[name] = None
        self._objects.move_to_end(name)
        if len(self._objects) > WARM_OBJECTS:
            self._objects.popitem(last=False)

    def remembers(self, name: str) -> bool:
        """Return whether it is likely to be fast for the object `name`."""
        return name in self._objects

    def note_success(self) -> None:
        """Count an attempt that it answered."""
        self.failure_share *= 1.0 - FAILURE_MEMORY

    def note_failure(self) -> None:
        """Count an attempt that it failed."""
        self.failure_share += FAILURE_MEMORY * (1.0 - self.failure_share)

    def _is_told(self) -> bool:
        return self._clock.now() - self._told < REPORTED_LOAD_LIFETIME

    def is_cold(self) -> bool:
        """Return whether it bears few requests as yet."""
        return self._clock.now() < self._cold_until

    def cold_time_left(self) -> Millis:
        """Return how long it stays cold; 0 if it is warm."""
        return max(self._cold_until - self._clock.now(), 0.0)

    def rest_left(self) -> Millis:
        """Return for how long it wants nothing from this VM."""
        if self._rests_until == -math.inf:
            # Asked for each upstream at each choice of a place; most never rest.
            return 0.0
        return max(self._rests_until - self._clock.now(), 0.0)

    def set_rest(self, duration: Millis) -> None:
        """Send it nothing for `duration` at least."""
        self._rests_until = max(self._rests_until, self._clock.now() + duration)

    def set_cold(self, duration: Millis) -> None:
        """Believe that it stays cold for `duration` at least."""
        self._cold_until = max(self._cold_until, self._clock.now() + duration)

    def clear_suspicion(self, cold_left: Millis) -> None:
        """Trust its health answer, which tells how long it stays cold."""
        self.is_suspect = False
        self._cold_until = self._clock.now() + cold_left


class UpstreamTable:
    """All upstreams, by service.

    Parameters
    ----------
    region_by_data_centre : mapping of str to str
        The installation's data centres.
    """

    def __init__(
        self,
        region_by_data_centre: Mapping[str, str],
        clock: Clock,
    ) -> None:
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._states_by_id: dict[str, UpstreamState] = {}
        self._states_by_service: dict[str, dict[str, UpstreamState]] = defaultdict(dict)
        self._services_by_id: Mapping[str, Service] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._born_by_id: dict[str, tuple[float, Millis]] = {}
        self._left_by_run: dict[tuple[str, float], Millis] = {}
        self._rest_until_by_run: dict[tuple[str, float], Millis] = {}

    def configure(self, services_by_id: Mapping[str, Service]) -> None:
        """Follow the configuration."""
        self._services_by_id = services_by_id

    def put(self, record: UpstreamRecord, was_running: bool = False) -> None:
        """Add or update an upstream.

        Parameters
        ----------
        was_running : bool
            Whether it may have run since before this VM looked; one that appears
            later has just started and is cold.
        """
        known = self._states_by_id.get(record.id)
        region = self._region_by_data_centre.get(record.data_centre)
        if region is None:
            # Data centres outside the installation are not used.
            self.remove(record.id)
            return
        if known is not None and self._is_same_run(known.record, record):
            known.record = record
        else:
            if known is not None:
                self.remove(record.id)
            known = self._add(record, region, was_running)
        if record.cold_left > 0.0:
            known.set_cold(record.cold_left)

    def remove(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        state = self._states_by_id.pop(upstream_id, None)
        if state is None:
            return
        state.is_removed = True
        del self._states_by_service[state.record.service][upstream_id]
        now = self._clock.now()
        self._born_by_id[upstream_id] = (state.record.born, now)
        self._rest_until_by_run = {
            run: until for run, until in self._rest_until_by_run.items() if until > now
        }
        if state.rest_left() > 0.0:
            run = (upstream_id, state.record.born)
            self._rest_until_by_run[run] = now + state.rest_left()
        for forgotten in [
            known
            for known, (_, since) in self._born_by_id.items()
            if now - since > FORGET_AFTER
        ]:
            del self._born_by_id[forgotten]

    def note_leaving(self, upstream_id: str, born: float) -> bool:
        """Note that a run of an upstream leaves; return False if that was known.

        What the store says of the same run afterwards is older.
        """
        now = self._clock.now()
        run = (upstream_id, born)
        if run in self._left_by_run:
            return False
        self._left_by_run = {
            known: since
            for known, since in self._left_by_run.items()
            if now - since < LEFT_AFTER
        }
        self._left_by_run[run] = now
        state = self._states_by_id.get(upstream_id)
        if state is not None and state.record.born == born:
            state.is_leaving = True
        return True

    def resting(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that only want nothing for a while."""
        return [
            state
            for state in self.of_service(service)
            if state.rest_left() > 0.0 and self._is_welcome(state)
        ]

    def resting_count(self) -> int:
        """Return how many upstreams want nothing from this VM."""
        return sum(state.rest_left() > 0.0 for state in self._states_by_id.values())

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Send nothing to `data_centres`; those taken back are cold for a while."""
        for state in self._states_by_id.values():
            data_centre = state.record.data_centre
            if data_centre in self._evacuated - data_centres:
                state.set_cold(self._cold_duration(state.record.service))
        self._evacuated = data_centres

    def of_service(self, service: str) -> Iterable[UpstreamState]:
        """Return the upstreams of a service."""
        return self._states_by_service[service].values()

    def in_flight_by_id(self) -> dict[str, int]:
        """Return this VM's requests at each upstream that has any."""
        return {
            upstream_id: state.in_flight
            for upstream_id, state in self._states_by_id.items()
            if state.in_flight > 0
        }

    def find(self, upstream_id: str) -> UpstreamState | None:
        """Return the upstream called `upstream_id`."""
        return self._states_by_id.get(upstream_id)

    def ids(self) -> frozenset[str]:
        """Return the ids of all upstreams."""
        return frozenset(self._states_by_id)

    def slots_of(self, upstream_id: str) -> int | None:
        """Return the slots of an upstream; None if it isn't known."""
        state = self._states_by_id.get(upstream_id)
        return state.record.slots if state is not None else None

    def usable(self, service: str) -> Iterator[UpstreamState]:
        """Return the upstreams of a service that may get requests."""
        return filter(self.is_usable, self.of_service(service))

    def is_usable(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get requests."""
        return state.rest_left() <= 0.0 and self._is_welcome(state)

    def _is_welcome(self, state: UpstreamState) -> bool:
        return not (
            state.is_removed
            or state.record.is_draining
            or state.is_suspect
            or state.is_leaving
            or state.record.data_centre in self._evacuated
        )

    def _add(
        self, record: UpstreamRecord, region: str, was_running: bool
    ) -> UpstreamState:
        state = UpstreamState(record, region, self._clock)
        run = (record.id, record.born)
        state.is_leaving = run in self._left_by_run
        if run in self._rest_until_by_run:
            state.set_rest(self._rest_until_by_run[run] - self._clock.now())
        self._states_by_id[record.id] = state
        self._states_by_service[record.service][record.id] = state
        remembered = self._born_by_id.pop(record.id, None)
        returns = remembered is not None and remembered[0] == record.born
        if not (was_running or returns):
            state.set_cold(self._cold_duration(record.service))
        return state

    def _cold_duration(self, service: str) -> Millis:
        known = self._services_by_id.get(service)
        return known.cold_duration if known is not None else 0.0

    @staticmethod
    def _is_same_run(known: UpstreamRecord, record: UpstreamRecord) -> bool:
        return (known.born, known.address, known.service, known.data_centre) == (
            record.born,
            record.address,
            record.service,
            record.data_centre,
        )
