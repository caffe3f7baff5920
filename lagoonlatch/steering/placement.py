"""Choice of an upstream for a request.

Requests for an object are fast only at upstreams that handled it recently, and an
upstream remembers few objects. Rendezvous hashing therefore sends the requests for one
object to one upstream per region, and to the next one in hash order if the first has no
free slot. A region with few upstreams keeps as many of its objects as they can handle.
It sends the requests for its other objects to regions with spare slots. There they
reach the same upstreams as the requests of that region's own callers for these objects.

An upstream that has named a rate limit takes a part of the requests for its objects.
The others go on to the next upstreams in hash order as soon as the limit is spent.
"""

from __future__ import annotations

import copy
import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import repeat

from lagoonlatch.clock import Millis
from lagoonlatch.membership.rendezvous import weight as hash_of
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable

HASH_RANGE = 2.0**64

CANDIDATES_BY_REGION_RANK = (2, 1)
"""Number of upstreams of an object in its first and second region; further regions have
one each. With more, each upstream would get more objects than it remembers."""

MAX_EXCESS_FAILURE_SHARE = 0.25
"""An upstream whose share of failed attempts exceeds the mean of its service by more
than this is used only if the others are full. If all upstreams fail alike, moving
objects between them doesn't help."""


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """Properties of a request that decide which upstreams it may use.

    Parameters
    ----------
    service : str
        Id of the service.
    object_name : str
        Object of the request; without one, it goes to the least loaded upstream.
    regions : frozenset of str
        Regions in which it may be served; empty for all regions.
    tried : frozenset of str
        Ids of the upstreams that it was already sent to.
    """

    service: str
    object_name: str
    regions: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Candidates:
    """The upstreams that a request may use, best first.

    Parameters
    ----------
    affinity_wait : Millis
        How long the request waits for an upstream that remembers its object before it
        uses another one.
    """

    upstreams: tuple[UpstreamState, ...]
    object_name: str
    affinity_wait: Millis

    def first_to_wait_for(self) -> UpstreamState:
        """Return the first candidate without a rate limit, or the first of all."""
        return next(
            (upstream for upstream in self.upstreams if upstream.rate_limit is None),
            self.upstreams[0],
        )


class Placement:
    """Chooses upstreams for the requests of one VM.

    Parameters
    ----------
    region : str
        Region of the VM.
    regions : iterable of str
        Regions in which there are callers.
    consume_cold_request : callable
        Returns whether this VM may send a request to a cold upstream now, and counts
        that request.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        region: str,
        regions: Iterable[str],
        consume_cold_request: Callable[[UpstreamState], bool],
    ) -> None:
        self._upstream_table = upstream_table
        self._region = region
        self._region_count = len(set(regions))
        self._consume_cold_request = consume_cold_request

    def candidates(
        self, request: PlacementRequest, affinity_wait: Millis
    ) -> Candidates:
        """Return the upstreams that the request should use."""
        usable = list(self._upstream_table.usable(request.service))
        max_failure_share = MAX_EXCESS_FAILURE_SHARE + _mean(
            [upstream.failure_share for upstream in usable]
        )
        by_region: dict[str, list[UpstreamState]] = defaultdict(list)
        for upstream in usable:
            if self._is_allowed(upstream, request):
                by_region[upstream.region].append(upstream)
        weights = region_weights(
            self._region,
            {
                region: sum(upstream.record.slots for upstream in upstreams)
                for region, upstreams in by_region.items()
            },
            self._region_count,
        )
        name = request.object_name
        regions = sorted(
            by_region,
            key=lambda region: _region_sort_key(name, region, weights[region]),
        )
        ranked: list[UpstreamState] = []
        for region, count in zip(regions, _candidate_counts(), strict=False):
            region_upstreams = sorted(by_region[region], key=_upstream_sort_key(name))
            # Failing upstreams come after the others.
            region_upstreams.sort(
                key=lambda upstream: upstream.failure_share > max_failure_share
            )
            ranked += (
                _first_unlimited(region_upstreams, count) if name else region_upstreams
            )
        return Candidates(
            upstreams=tuple(ranked),
            object_name=name,
            affinity_wait=affinity_wait,
        )

    def pick(self, candidates: Candidates, waited: Millis) -> UpstreamState | None:
        """Return a candidate with a free slot; None if the request should wait.

        The first upstream of the object is preferred, then others that remember it, and
        after `affinity_wait` any of them.
        """
        is_first = True
        fallback: UpstreamState | None = None
        for upstream in candidates.upstreams:
            if upstream.is_cold():
                # Cold upstreams don't count as the first upstream of the object.
                if self.has_room(upstream) and self._consume_cold_request(upstream):
                    return upstream
                continue
            if upstream.is_limit_spent():
                # Requests don't wait for a limit while another upstream has room.
                continue
            is_preferred = is_first or upstream.remembers(candidates.object_name)
            if self.has_room(upstream):
                if is_preferred or not candidates.object_name:
                    return upstream
                fallback = fallback or upstream
            is_first = False
        return fallback if waited >= candidates.affinity_wait else None

    def preview(self, may_send_cold: Callable[[UpstreamState], bool]) -> Placement:
        """Return a copy whose `pick` counts no request to a cold upstream."""
        placement = copy.copy(self)
        placement._consume_cold_request = may_send_cold
        return placement

    def rest_times(self, request: PlacementRequest) -> list[Millis]:
        """Return the remaining rest times of the upstreams that may be used later.

        Empty if some upstream may be used now, or if none rests.
        """
        usable = self._upstream_table.usable(request.service)
        if any(self._is_allowed(upstream, request) for upstream in usable):
            return []
        return [
            upstream.rest_left()
            for upstream in self._upstream_table.resting(request.service)
            if self._is_allowed(upstream, request)
        ]

    def limit_waits(self, request: PlacementRequest) -> list[Millis]:
        """Return how long a request waits for the limit of each upstream it may use.

        Empty if some upstream that may be used has no rate limit.
        """
        allowed = [
            upstream
            for upstream in self._upstream_table.usable(request.service)
            if self._is_allowed(upstream, request)
        ]
        if any(upstream.rate_limit is None for upstream in allowed):
            return []
        return [upstream.expected_limit_wait() for upstream in allowed]

    @staticmethod
    def _is_allowed(upstream: UpstreamState, request: PlacementRequest) -> bool:
        is_in_region = not request.regions or upstream.region in request.regions
        return is_in_region and upstream.record.id not in request.tried

    def may_use(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream may get requests."""
        return self._upstream_table.is_usable(upstream)

    def is_warm(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream may get requests and isn't cold."""
        return self._upstream_table.is_usable(upstream) and not upstream.is_cold()

    def has_room(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream has a free slot, as far as this VM knows."""
        return (
            self._upstream_table.is_usable(upstream)
            and not upstream.is_limit_spent()
            and upstream.load() < upstream.record.slots
        )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _first_unlimited(
    upstreams: Sequence[UpstreamState], count: int
) -> Sequence[UpstreamState]:
    """Return the first upstreams up to the `count`-th that has no rate limit.

    Upstreams with a limit take few of the requests for an object, so they come in
    addition to those that serve it.
    """
    for index, upstream in enumerate(upstreams):
        count -= upstream.rate_limit is None
        if not count:
            return upstreams[: index + 1]
    return upstreams


def _candidate_counts() -> Iterator[int]:
    yield from CANDIDATES_BY_REGION_RANK
    yield from repeat(1)


def region_weights(
    own_region: str, slots_by_region: dict[str, int], region_count: int
) -> dict[str, float]:
    """Return the share of the objects of `own_region` that each region serves.

    All regions are assumed to send the same load. A region with less than its fair
    share of the slots keeps the load that its slots can handle. The rest goes to the
    regions with more than their fair share, in proportion to the excess.
    """
    total = sum(slots_by_region.values())
    fair_slots = total / max(region_count, 1)
    own_slots = slots_by_region.get(own_region, 0)
    kept_share = min(own_slots / fair_slots, 1.0) if fair_slots else 0.0
    spare_by_region = {
        region: max(slots - fair_slots, 0.0)
        for region, slots in slots_by_region.items()
        if region != own_region
    }
    total_spare = sum(spare_by_region.values())
    weights = {
        region: (1.0 - kept_share) * spare / total_spare if total_spare else 0.0
        for region, spare in spare_by_region.items()
    }
    if own_region in slots_by_region:
        weights[own_region] = kept_share if total_spare else 1.0
    return weights


def _region_sort_key(object_name: str, region: str, weight: float) -> float:
    """Return the sort key of `region` in weighted rendezvous hashing; lowest first."""
    if weight <= 0.0:
        return math.inf
    fraction = (hash_of(object_name, region) + 1.0) / HASH_RANGE
    return -math.log(fraction) / weight


def _upstream_sort_key(
    object_name: str,
) -> Callable[[UpstreamState], float | tuple[float, float]]:
    if not object_name:
        # Equal loads are sorted randomly; a fixed order would fill the first upstream.
        return lambda upstream: (
            upstream.load() / upstream.record.slots,
            random.random(),
        )
    return lambda upstream: hash_of(object_name, upstream.record.id)
