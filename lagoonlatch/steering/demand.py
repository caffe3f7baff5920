"""Weights of the regions that follow the demand of their callers.

A VM measures the demand of its callers for each service as the number of slots that
their requests occupy. VMs exchange these figures in heartbeats. From them and the slots
that are usable, each VM computes which share of its region's requests each region
serves, and moves the weights that it applies towards these shares in small steps.

The demand decides only where the registered slots are unevenly distributed over the
regions. Elsewhere, `region_weights` decides.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.steering.placement import region_weights
from lagoonlatch.steering.upstreams import UpstreamTable

TIME_CONSTANT: Millis = 3_000.0
"""Time constant of the moving averages of requests and durations."""

MIN_MEASURING_TIME: Millis = 1_000.0
"""A VM that has measured for a shorter time doesn't know its demand."""

DEFAULT_DURATION: Millis = 500.0
"""Duration assumed for a service of which no request has ended yet."""

MAX_DEMAND_AGE: Millis = 10_000.0
"""Older figures of other VMs aren't used."""

MAX_REPORTED_SERVICES = 16
"""Services in one heartbeat, those with the largest demand; the limit keeps heartbeats
below the size limit of datagrams."""

MAX_SERVICE_ID_BYTES = 256
"""Services with longer ids aren't reported, for the same reason."""

REPORTED_PARTS = 100
"""Parts of a slot in which demand is reported."""

MAX_REPORTED_DEMAND = 10_000.0
"""Largest demand, in slots, that is reported or accepted from another VM."""

MAX_DEMAND_RATIO = 2.0
"""The demand of a region counts at most as this many times the slots of all regions.
The limit keeps one wrong figure from claiming all free slots."""

UNEVEN_FRACTION = 0.5
"""Slots are unevenly distributed if the smallest region has less than this fraction of
an equal share."""

MAX_STEP_PER_SECOND = 0.05
"""Share of a region's requests that may move to other regions within a second. The
bound `max_shift` allows 0.15 from one 2 s window to the next."""

UPDATE_INTERVAL: Millis = 250.0
"""How often the weights of a service are computed. Requests use the last ones."""

LOGGED_SHIFT = 0.1
"""A change of a weight that is logged."""


class _ServiceAverages:
    """Moving averages of the requests for one service."""

    def __init__(self, now: Millis) -> None:
        self.requests = 0.0
        self.mean_duration = DEFAULT_DURATION
        self.remote_share = 0.0
        self._attempts = 0.0
        self._updated_at = now

    def decay(self, now: Millis) -> None:
        """Reduce the weight of earlier requests."""
        factor = math.exp((self._updated_at - now) / TIME_CONSTANT)
        self.requests *= factor
        self._attempts *= factor
        self._updated_at = now

    def add_attempt(self, duration: Millis, is_remote: bool) -> None:
        """Add an attempt that occupied a slot for `duration`."""
        self._attempts += 1.0
        self.mean_duration += (duration - self.mean_duration) / self._attempts
        self.remote_share += (is_remote - self.remote_share) / self._attempts


class DemandMeter:
    """Measures the demand of the callers of this VM."""

    def __init__(self, own_region: str, clock: Clock) -> None:
        self._own_region = own_region
        self._clock = clock
        self._started_at = clock.now()
        self._averages_by_service: dict[str, _ServiceAverages] = {}

    def note_request(self, service: str) -> None:
        """Count a request that is accepted, or rejected for lack of capacity."""
        self._current_averages(service).requests += 1.0

    def note_attempt(self, service: str, duration: Millis, region: str) -> None:
        """Record how long a request occupied a slot of an upstream in `region`."""
        is_remote = region != self._own_region
        self._current_averages(service).add_attempt(duration, is_remote)

    def demand_by_service(self) -> dict[str, float] | None:
        """Return the demand for each service in slots; None if it isn't known yet."""
        age = self._clock.now() - self._started_at
        if age < MIN_MEASURING_TIME:
            return None
        # The averages start at 0, which is corrected by the part of the time constant
        # that has passed.
        elapsed_time = TIME_CONSTANT * (1.0 - math.exp(-age / TIME_CONSTANT))
        demand_by_service: dict[str, float] = {}
        for service in self._averages_by_service:
            averages = self._current_averages(service)
            demand_by_service[service] = (
                averages.requests * averages.mean_duration / elapsed_time
            )
        return demand_by_service

    def remote_share_by_service(self) -> dict[str, float]:
        """Return the share of the requests for each service sent to other regions."""
        return {
            service: averages.remote_share
            for service, averages in self._averages_by_service.items()
        }

    def _current_averages(self, service: str) -> _ServiceAverages:
        now = self._clock.now()
        averages = self._averages_by_service.get(service)
        if averages is None:
            averages = self._averages_by_service[service] = _ServiceAverages(now)
        averages.decay(now)
        return averages


@dataclass(frozen=True)
class _Report:
    demand_by_service: Mapping[str, float]
    received_at: Millis


class DemandTable:
    """The demand of all regions, as far as this VM knows it.

    VMs of this region report their own demand, VMs of other regions the sum over their
    region. VMs of this region that don't report count as the mean of those that do.

    Parameters
    ----------
    region_of_vm : callable
        Returns the region of the VM with an id; None if the VM isn't known.
    near_vms : callable
        Returns the ids of the other VMs of this region.
    """

    def __init__(
        self,
        own_region: str,
        meter: DemandMeter,
        region_of_vm: Callable[[str], str | None],
        near_vms: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        self._own_region = own_region
        self._meter = meter
        self._region_of_vm = region_of_vm
        self._near_vms = near_vms
        self._clock = clock
        self._report_by_near_vm: dict[str, _Report] = {}
        self._report_by_far_region: dict[str, _Report] = {}

    def update(self, vm: str, demand_by_service: Mapping[str, float] | None) -> None:
        """Store the figures of a heartbeat; None if the heartbeat has none."""
        region = self._region_of_vm(vm)
        if region is None or demand_by_service is None:
            return
        report = _Report(demand_by_service, self._clock.now())
        if region == self._own_region:
            self._report_by_near_vm[vm] = report
        else:
            self._report_by_far_region[region] = report

    def own_demand(self) -> dict[str, float] | None:
        """Return the demand of this VM's callers for VMs of the same region."""
        return self._meter.demand_by_service()

    def region_demand(self) -> dict[str, float] | None:
        """Return the demand of this region for VMs of other regions.

        None if less than half of the VMs of the region have reported theirs.
        """
        near_vms = list(self._near_vms())
        reports = [
            report.demand_by_service
            for vm in near_vms
            if (report := self._report_by_near_vm.get(vm)) and self._is_recent(report)
        ]
        own_demand = self._meter.demand_by_service()
        if own_demand is not None:
            reports.append(own_demand)
        vm_count = len(near_vms) + 1
        if len(reports) * 2 < vm_count:
            return None
        totals: Counter[str] = Counter()
        for demand_by_service in reports:
            totals.update(demand_by_service)
        scale = vm_count / len(reports)
        return {service: total * scale for service, total in totals.items()}

    def demand_by_region(self, service: str) -> dict[str, float]:
        """Return the demand for a service in each region whose demand is known."""
        report_by_region = {
            region: report.demand_by_service
            for region, report in self._report_by_far_region.items()
            if self._is_recent(report)
        }
        region_demand = self.region_demand()
        if region_demand is not None:
            report_by_region[self._own_region] = region_demand
        return {
            region: demand_by_service.get(service, 0.0)
            for region, demand_by_service in report_by_region.items()
        }

    def _is_recent(self, report: _Report) -> bool:
        return self._clock.now() - report.received_at <= MAX_DEMAND_AGE


class DemandWeights:
    """The weights that this VM applies to the regions.

    Parameters
    ----------
    regions : iterable of str
        Regions in which there are callers.
    on_moved : callable
        Called with a service and its weights when a weight has moved by `LOGGED_SHIFT`
        since the last call.
    """

    def __init__(
        self,
        own_region: str,
        regions: Iterable[str],
        upstream_table: UpstreamTable,
        demand_table: DemandTable,
        on_moved: Callable[[str, Mapping[str, float]], None],
        clock: Clock,
    ) -> None:
        self._own_region = own_region
        self._regions = frozenset(regions)
        self._upstream_table = upstream_table
        self._demand_table = demand_table
        self._on_moved = on_moved
        self._clock = clock
        self._weights_by_service: dict[str, dict[str, float]] = {}
        self._updated_at_by_service: dict[str, Millis] = {}
        self._logged_by_service: dict[str, dict[str, float]] = {}
        self._peak_slots_by_service: dict[str, Counter[str]] = defaultdict(Counter)

    def find(self, service: str) -> Mapping[str, float] | None:
        """Return the weight of each region; None if `region_weights` decides.

        A service whose slots become evenly distributed returns to the weights of equal
        demand in the same steps.
        """
        now = self._clock.now()
        updated_at = self._updated_at_by_service.get(service, -math.inf)
        if now - updated_at >= UPDATE_INTERVAL:
            self._updated_at_by_service[service] = now
            self._update(service, now - updated_at)
        return self._weights_by_service.get(service)

    def _update(self, service: str, elapsed: Millis) -> None:
        current = self._weights_by_service.get(service)
        is_uneven = self._is_uneven(service)
        if current is None and not is_uneven:
            return
        slots_by_region = self._usable_slots(service)
        if not any(slots_by_region.values()):
            # Nothing is known that would be better than the last weights.
            return
        equal = region_weights(self._own_region, slots_by_region, len(self._regions))
        if current is None:
            # Starting with the weights of a VM that knows no demand, a VM that learns
            # it moves few requests at a time.
            self._weights_by_service[service] = equal
            self._logged_by_service[service] = equal
            return
        target = (is_uneven and self._target(service, slots_by_region)) or equal
        max_step = MAX_STEP_PER_SECOND * elapsed / MILLIS_PER_SECOND
        weights = _move_towards(current, target, max_step)
        self._weights_by_service[service] = weights
        if _distance(self._logged_by_service[service], weights) >= LOGGED_SHIFT:
            self._logged_by_service[service] = weights
            self._on_moved(service, weights)

    def _target(
        self, service: str, slots_by_region: Mapping[str, int]
    ) -> dict[str, float] | None:
        """Return the share of the own demand for each region; None without demand."""
        total = sum(slots_by_region.values())
        known = self._demand_table.demand_by_region(service)
        peak_slots = self._peak_slots_by_service[service]
        demand_by_region: dict[str, float] = {}
        for region in self._regions | slots_by_region.keys():
            demand = known.get(region)
            if demand is None:
                # Without usable upstreams either, the region is cut off, and its
                # callers don't reach other regions.
                is_cut_off = peak_slots[region] > 0 and not slots_by_region[region]
                demand = 0.0 if is_cut_off else total / max(len(self._regions), 1)
            demand_by_region[region] = min(demand, total * MAX_DEMAND_RATIO)
        if demand_by_region.get(self._own_region, 0.0) <= 0.0:
            return None
        return assign_demand(demand_by_region, slots_by_region)[self._own_region]

    def _usable_slots(self, service: str) -> dict[str, int]:
        """Return the slots of each region at upstreams that bear a normal load."""
        slots_by_region = dict.fromkeys(
            self._regions | self._peak_slots_by_service[service].keys(), 0
        )
        for upstream in self._upstream_table.usable(service):
            if not upstream.is_cold():
                slots_by_region[upstream.region] += upstream.record.slots
        return slots_by_region

    def _is_uneven(self, service: str) -> bool:
        """Return whether the registered slots are unevenly distributed.

        The largest number of slots that each region has had counts, so that the loss of
        a region's entries doesn't make an even deployment uneven. Upstreams that leave
        don't count, since others may be replacing them.
        """
        slots_by_region: Counter[str] = Counter()
        for upstream in self._upstream_table.of_service(service):
            if not (upstream.is_leaving or upstream.record.is_draining):
                slots_by_region[upstream.region] += upstream.record.slots
        peak_slots = self._peak_slots_by_service[service]
        peak_slots |= slots_by_region
        regions = self._regions | peak_slots.keys()
        fair_slots = sum(peak_slots.values()) / max(len(regions), 1)
        smallest = min((peak_slots[region] for region in regions), default=0)
        return smallest < fair_slots * UNEVEN_FRACTION


def assign_demand(
    demand_by_region: Mapping[str, float], capacity_by_region: Mapping[str, float]
) -> dict[str, dict[str, float]]:
    """Return the share of each region's demand that each region serves.

    A region keeps what fits into its own capacity. The rest goes to regions with free
    capacity, in proportion to it. What fits nowhere stays in its home region.

    Returns
    -------
    dict
        For each region with demand, the share for each region; the sum is 1.
    """
    regions = demand_by_region.keys() | capacity_by_region.keys()
    excess_by_region: dict[str, float] = {}
    free_by_region: dict[str, float] = {}
    for region in regions:
        spare = capacity_by_region.get(region, 0.0) - demand_by_region.get(region, 0.0)
        excess_by_region[region] = max(-spare, 0.0)
        free_by_region[region] = max(spare, 0.0)
    total_excess = sum(excess_by_region.values())
    total_free = sum(free_by_region.values())
    sent_part = min(total_free / total_excess, 1.0) if total_excess else 0.0
    shares_by_region: dict[str, dict[str, float]] = {}
    for region, demand in demand_by_region.items():
        if demand <= 0.0:
            continue
        sent_share = sent_part * excess_by_region[region] / demand
        shares = {
            other: sent_share * free / total_free if total_free else 0.0
            for other, free in free_by_region.items()
        }
        shares[region] = 1.0 - sent_share
        shares_by_region[region] = shares
    return shares_by_region


def encode_demand(
    demand_by_service: Mapping[str, float] | None,
) -> dict[str, int] | None:
    """Encode demand for a heartbeat, in hundredths of slots."""
    if demand_by_service is None:
        return None
    largest = heapq.nlargest(
        MAX_REPORTED_SERVICES,
        (
            (demand, service)
            for service, demand in demand_by_service.items()
            if len(service.encode()) <= MAX_SERVICE_ID_BYTES
        ),
    )
    encoded = {
        service: round(min(demand, MAX_REPORTED_DEMAND) * REPORTED_PARTS)
        for demand, service in largest
    }
    return {service: parts for service, parts in encoded.items() if parts > 0}


def decode_demand(
    parts_by_service: Mapping[str, int] | None,
) -> dict[str, float] | None:
    """Decode the demand of a heartbeat, limited to the values that VMs send."""
    if parts_by_service is None:
        return None
    largest = heapq.nlargest(
        MAX_REPORTED_SERVICES,
        ((parts, service) for service, parts in parts_by_service.items()),
    )
    return {
        service: min(max(parts, 0) / REPORTED_PARTS, MAX_REPORTED_DEMAND)
        for parts, service in largest
    }


def _distance(weights: Mapping[str, float], others: Mapping[str, float]) -> float:
    """Return the share of requests that two sets of weights send to other regions."""
    regions = weights.keys() | others.keys()
    return sum(abs(weights.get(r, 0.0) - others.get(r, 0.0)) for r in regions) / 2.0


def _move_towards(
    weights: Mapping[str, float], target: Mapping[str, float], max_step: float
) -> dict[str, float]:
    """Return weights that move at most the share `max_step` of the requests."""
    distance = _distance(weights, target)
    fraction = min(max_step / distance, 1.0) if distance else 1.0
    return {
        region: weights.get(region, 0.0) * (1.0 - fraction)
        + target.get(region, 0.0) * fraction
        for region in weights.keys() | target.keys()
    }
