"""State of each upstream as this VM knows it: load, cold start, limit and failures."""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.steering.model import Service, UpstreamRecord
from lagoonlatch.steering.rate_limits import MIN_RATE, NamedLimit

REPORTED_LOAD_LIFETIME: Millis = 300.0
"""How long the reported number of requests of other VMs is valid; after that, the
upstream's home VM is asked again."""

MAX_LIMIT_WAIT: Millis = 1_000.0
"""A spent limit is claimed again after this time. The home VM remembers a refused claim
a little longer."""

MAX_REMEMBERED_OBJECTS = 24
"""Assumed number of objects that an upstream remembers, which it doesn't report."""

FAILURE_SMOOTHING = 0.1
"""Weight of the newest outcome in the moving average of failures."""

REMOVED_RUN_LIFETIME: Millis = 30_000.0
"""How long the run of a removed upstream is kept, so that an upstream whose entry
expired and returned isn't treated as cold."""

LEAVING_RUN_LIFETIME: Millis = 600_000.0
"""How long the announcement that an upstream leaves is kept; its process ends within a
minute."""


class UpstreamState:
    """State of one upstream as this VM knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this VM at this upstream, including claims without an answer.
    unanswered_claims : int
        Claims of slots without an answer.
    failure_share : float
        Moving average of the share of attempts that it failed, 0 to 1.
    is_suspect : bool
        Whether it gets no requests until it answers a health check.
    is_removed : bool
        Whether it was removed from the table.
    is_leaving : bool
        Whether it has announced directly, to this or another VM, that it is about to
        stop. This holds until the end of its run, even if its entry in the store
        doesn't say so.
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
        self.unanswered_claims = 0
        self.failure_share = 0.0
        self.is_suspect = False
        self.is_removed = False
        self.is_leaving = False
        self._limit: NamedLimit | None = None
        self._limit_named_at: Millis = -math.inf
        self._limit_confirmed_at: Millis = -math.inf
        self._epoch_known_at: Millis = -math.inf
        self._limit_spent_until: Millis = -math.inf
        self._claim_again_at: Millis = -math.inf
        self._rest_until: Millis = -math.inf
        self._clock = clock
        self._remembered_objects: OrderedDict[str, None] = OrderedDict()
        self._cold_until: Millis = -math.inf
        self._load_of_others = 0
        self._ahead = 0
        self._reported_at: Millis = -math.inf

    def load(self) -> int:
        """Return the number of requests at the upstream.

        The requests of other VMs are included if they were reported recently.
        """
        return self.in_flight + (self._load_of_others if self._is_report_valid() else 0)

    def held_slots(self) -> int:
        """Return the number of slots that this VM reports to the home VM.

        Most claims at an upstream with a rate limit are refused, so that reports with
        unanswered claims would fill its slots.
        """
        if self._limit is None:
            return self.in_flight
        return self.in_flight - self.unanswered_claims

    def reported_ahead(self) -> int:
        """Return how many waiting requests of all VMs are served before this VM's.

        0 if the last report has no such number or isn't recent.
        """
        return self._ahead if self._is_report_valid() else 0

    def set_load_of_others(self, requests: int, reported_ahead: int = 0) -> None:
        """Record the reported load of the upstream.

        Parameters
        ----------
        requests : int
            Requests of other VMs at the upstream.
        reported_ahead : int
            Waiting requests of all VMs that are served before this VM's.
        """
        self._load_of_others = max(requests, 0)
        self._ahead = reported_ahead
        self._reported_at = self._clock.now()

    def note_object(self, name: str) -> None:
        """Record that the upstream was sent a request for the object `name`."""
        self._remembered_objects[name] = None
        self._remembered_objects.move_to_end(name)
        if len(self._remembered_objects) > MAX_REMEMBERED_OBJECTS:
            self._remembered_objects.popitem(last=False)

    def remembers(self, name: str) -> bool:
        """Return whether the upstream probably remembers the object `name`."""
        return name in self._remembered_objects

    def note_success(self) -> None:
        """Count an attempt that succeeded."""
        self.failure_share *= 1.0 - FAILURE_SMOOTHING

    def note_failure(self) -> None:
        """Count an attempt that failed."""
        self.failure_share += FAILURE_SMOOTHING * (1.0 - self.failure_share)

    def _is_report_valid(self) -> bool:
        return self._clock.now() - self._reported_at < REPORTED_LOAD_LIFETIME

    def is_cold(self) -> bool:
        """Return whether the upstream has just started and can handle few requests."""
        return self._clock.now() < self._cold_until

    def cold_left(self) -> Millis:
        """Return how long the upstream stays cold; 0 if it is warm."""
        return max(self._cold_until - self._clock.now(), 0.0)

    def rest_left(self) -> Millis:
        """Return how long this VM must still send nothing to the upstream."""
        if self._rest_until == -math.inf:
            # Avoids a read of the clock: this is called for each upstream and request,
            # and most upstreams never rest.
            return 0.0
        return max(self._rest_until - self._clock.now(), 0.0)

    def set_rest(self, duration: Millis) -> None:
        """Send nothing to the upstream for at least `duration`."""
        self._rest_until = max(self._rest_until, self._clock.now() + duration)

    @property
    def rate_limit(self) -> float | None:
        """Requests a second from all VMs together; None if it has named no limit."""
        return self._limit.rate if self._limit is not None else None

    def known_limit(self) -> NamedLimit | None:
        """Return the limit as this VM knows it, with the home VM's latest epoch."""
        return self._limit

    def limit_age(self) -> Millis:
        """Return how long ago this VM last heard of the limit."""
        return self._clock.now() - max(self._limit_named_at, self._limit_confirmed_at)

    def epoch_before(self, sent_at: Millis) -> int:
        """Return the home VM's epoch if it was known at `sent_at`, else 0."""
        is_known = self._limit is not None and self._epoch_known_at <= sent_at
        return self._limit.epoch if is_known else 0

    def name_limit(self, rate: float, sent_at: Millis) -> bool:
        """Apply a limit that an answer names; return whether the known one changes.

        Answers of one upstream may arrive in another order than they were written in.
        A higher limit therefore counts only if the request was sent after the known
        limit was last named.

        Parameters
        ----------
        sent_at : Millis
            When the answered request was sent.
        """
        known = self._limit
        if known is not None and rate > known.rate and not self._is_later(sent_at):
            return False
        self._limit_named_at = self._clock.now()
        epoch = known.epoch if known is not None else 0
        self._limit = NamedLimit(rate=rate, born=self.record.born, epoch=epoch)
        return known is None or known.rate != rate

    def end_limit(self, sent_at: Millis) -> bool:
        """Apply an answer without a limit; return whether it ends the known one.

        Parameters
        ----------
        sent_at : Millis
            When the answered request was sent.
        """
        if self._limit is None or not self._is_later(sent_at):
            return False
        self._limit = None
        self._limit_spent_until = -math.inf
        return True

    def set_limit_from_home(self, limit: NamedLimit | None, asked_at: Millis) -> bool:
        """Apply what the home VM knows; return whether the known limit changes.

        Parameters
        ----------
        asked_at : Millis
            When this VM sent its claim, and with it the limit that it knew.
        """
        known = self._limit
        if limit is None:
            if known is None or self._limit_named_at > asked_at:
                return False
            self._limit = None
            self._limit_spent_until = -math.inf
            return True
        if limit.born != self.record.born:
            return False
        if known is not None and known.epoch in (0, limit.epoch):
            limit = replace(limit, rate=min(known.rate, limit.rate))
        self._limit_confirmed_at = self._clock.now()
        if known is None or known.epoch != limit.epoch:
            self._epoch_known_at = self._limit_confirmed_at
        self._limit = limit
        return known is None or known.rate != limit.rate

    def set_limit_wait(self, duration: Millis) -> None:
        """Record that the limit allows the next request of any VM after `duration`."""
        now = self._clock.now()
        self._limit_spent_until = now + duration if duration > 0.0 else -math.inf
        self._claim_again_at = now + min(duration, MAX_LIMIT_WAIT)

    def limit_wait(self) -> Millis:
        """Return how long the limit allows no request, as far as this VM knows."""
        if self._limit_spent_until == -math.inf:
            return 0.0
        return max(self._limit_spent_until - self._clock.now(), 0.0)

    def is_limit_spent(self) -> bool:
        """Return whether this VM should not claim a request at the upstream yet."""
        return self.limit_wait() > 0.0 and self._clock.now() < self._claim_again_at

    def expected_limit_wait(self) -> Millis:
        """Return how long a new request has to wait for the limit."""
        if self._limit is None:
            return 0.0
        rate = max(self._limit.rate, MIN_RATE)
        return self.limit_wait() + self.reported_ahead() * MILLIS_PER_SECOND / rate

    def _is_later(self, sent_at: Millis) -> bool:
        """Return whether a request was sent after all known namings of the limit."""
        return self._limit_named_at < sent_at and self._epoch_known_at <= sent_at

    def set_cold(self, duration: Millis) -> None:
        """Treat the upstream as cold for at least `duration`."""
        self._cold_until = max(self._cold_until, self._clock.now() + duration)

    def clear_suspicion(self, cold_left: Millis) -> None:
        """End the suspicion after a health check, which reported `cold_left`."""
        self.is_suspect = False
        self._cold_until = self._clock.now() + cold_left


class UpstreamTable:
    """All upstreams, by service.

    Parameters
    ----------
    region_by_data_centre : mapping of str to str
        The data centres of the installation.
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
        # Start time and time of removal of each recently removed upstream.
        self._removed_run_by_id: dict[str, tuple[float, Millis]] = {}
        self._leaving_since_by_run: dict[tuple[str, float], Millis] = {}
        self._rest_until_by_run: dict[tuple[str, float], Millis] = {}

    def configure(self, services_by_id: Mapping[str, Service]) -> None:
        """Apply a new configuration."""
        self._services_by_id = services_by_id

    def put(self, record: UpstreamRecord, was_running: bool = False) -> None:
        """Add or update an upstream.

        Parameters
        ----------
        was_running : bool
            Whether it may have started before this VM first read the store. An
            upstream that appears later has just started and is cold.
        """
        known = self._states_by_id.get(record.id)
        region = self._region_by_data_centre.get(record.data_centre)
        if region is None:
            # Data centres outside the installation aren't used.
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
        """Remove an upstream that no longer exists."""
        state = self._states_by_id.pop(upstream_id, None)
        if state is None:
            return
        state.is_removed = True
        del self._states_by_service[state.record.service][upstream_id]
        now = self._clock.now()
        self._removed_run_by_id[upstream_id] = (state.record.born, now)
        self._rest_until_by_run = {
            run: until for run, until in self._rest_until_by_run.items() if until > now
        }
        if state.rest_left() > 0.0:
            run = (upstream_id, state.record.born)
            self._rest_until_by_run[run] = now + state.rest_left()
        for expired_id in [
            removed_id
            for removed_id, (_, since) in self._removed_run_by_id.items()
            if now - since > REMOVED_RUN_LIFETIME
        ]:
            del self._removed_run_by_id[expired_id]

    def note_leaving(self, upstream_id: str, born: float) -> bool:
        """Record that a run of an upstream leaves; return False if that was known.

        Entries of this run that are read from the store later don't revoke this.
        """
        now = self._clock.now()
        run = (upstream_id, born)
        if run in self._leaving_since_by_run:
            return False
        self._leaving_since_by_run = {
            known_run: since
            for known_run, since in self._leaving_since_by_run.items()
            if now - since < LEAVING_RUN_LIFETIME
        }
        self._leaving_since_by_run[run] = now
        state = self._states_by_id.get(upstream_id)
        if state is not None and state.record.born == born:
            state.is_leaving = True
        return True

    def resting(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that are usable except for their rest."""
        return [
            state
            for state in self.of_service(service)
            if state.rest_left() > 0.0 and self._is_usable_ignoring_rest(state)
        ]

    def resting_count(self) -> int:
        """Return how many upstreams rest for this VM."""
        return sum(state.rest_left() > 0.0 for state in self._states_by_id.values())

    def limited_count(self) -> int:
        """Return how many upstreams have named a limit."""
        return sum(
            state.rate_limit is not None for state in self._states_by_id.values()
        )

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Send nothing to `data_centres`; treat those no longer evacuated as cold."""
        for state in self._states_by_id.values():
            data_centre = state.record.data_centre
            if data_centre in self._evacuated - data_centres:
                state.set_cold(self._cold_duration(state.record.service))
        self._evacuated = data_centres

    def of_service(self, service: str) -> Iterable[UpstreamState]:
        """Return the upstreams of a service."""
        return self._states_by_service[service].values()

    def held_slots_by_id(self) -> dict[str, int]:
        """Return this VM's slots at each upstream at which it has any."""
        return {
            upstream_id: state.held_slots()
            for upstream_id, state in self._states_by_id.items()
            if state.held_slots() > 0
        }

    def find(self, upstream_id: str) -> UpstreamState | None:
        """Return the upstream with this id, or None."""
        return self._states_by_id.get(upstream_id)

    def ids(self) -> frozenset[str]:
        """Return the ids of all upstreams."""
        return frozenset(self._states_by_id)

    def slots_of(self, upstream_id: str) -> int | None:
        """Return the number of slots of an upstream; None if it is unknown."""
        state = self._states_by_id.get(upstream_id)
        return state.record.slots if state is not None else None

    def usable(self, service: str) -> Iterator[UpstreamState]:
        """Return the upstreams of a service that may get requests."""
        return filter(self.is_usable, self.of_service(service))

    def is_usable(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get requests."""
        return state.rest_left() <= 0.0 and self._is_usable_ignoring_rest(state)

    def is_evacuated(self, state: UpstreamState) -> bool:
        """Return whether the data centre of an upstream is evacuated."""
        return state.record.data_centre in self._evacuated

    def _is_usable_ignoring_rest(self, state: UpstreamState) -> bool:
        return not (
            state.is_removed
            or state.record.is_draining
            or state.is_suspect
            or state.is_leaving
            or self.is_evacuated(state)
        )

    def _add(
        self, record: UpstreamRecord, region: str, was_running: bool
    ) -> UpstreamState:
        state = UpstreamState(record, region, self._clock)
        run = (record.id, record.born)
        state.is_leaving = run in self._leaving_since_by_run
        if run in self._rest_until_by_run:
            state.set_rest(self._rest_until_by_run[run] - self._clock.now())
        self._states_by_id[record.id] = state
        self._states_by_service[record.service][record.id] = state
        removed_run = self._removed_run_by_id.pop(record.id, None)
        is_known_run = removed_run is not None and removed_run[0] == record.born
        if not (was_running or is_known_run):
            state.set_cold(self._cold_duration(record.service))
        return state

    def _cold_duration(self, service: str) -> Millis:
        settings = self._services_by_id.get(service)
        return settings.cold_duration if settings is not None else 0.0

    @staticmethod
    def _is_same_run(known: UpstreamRecord, record: UpstreamRecord) -> bool:
        return (known.born, known.address, known.service, known.data_centre) == (
            record.born,
            record.address,
            record.service,
            record.data_centre,
        )
