"""Choice of an upstream.

The load answered here: each object is fast only at upstreams that handled it lately,
and an upstream remembers few. Requests for one object therefore go to one upstream
per region, by rendezvous hashing; the next in that order takes what the first has no
room for. A region with few upstreams keeps the part of its objects that they can
carry and sends the others to the regions with room, object by object, so that they
meet the requests of that region's own callers.
"""

from __future__ import annotations

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
"""Upstreams of an object in its first and second region, then one in each; with more,
each upstream would meet more objects than it remembers."""

FAILING_SHARE = 0.25
"""An upstream that fails this much more of its attempts than the service's upstreams
do on the whole is used only if others are full; if all fail alike, moving objects
between them helps nobody."""


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """What a request asks of its place.

    Parameters
    ----------
    service : str
        Id of the service.
    object_name : str
        What it is about; a request without one goes where there is most room.
    regions : frozenset of str
        Where it may be served; empty for anywhere.
    tried : frozenset of str
        Ids of upstreams that it was sent to already.
    """

    service: str
    object_name: str
    regions: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Candidates:
    """Upstreams for a request, best first.

    Parameters
    ----------
    affinity_wait : Millis
        How long the request rather waits for an upstream that knows its object than
        goes to one that doesn't.
    """

    upstreams: tuple[UpstreamState, ...]
    object_name: str
    affinity_wait: Millis


class Placement:
    """Chooses upstreams for the requests of one VM.

    Parameters
    ----------
    region : str
        The VM's region.
    regions : iterable of str
        The regions that callers are in.
    take_cold : callable
        Takes one of the requests that this VM may send to a cold upstream now;
        returns whether there was one.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        region: str,
        regions: Iterable[str],
        take_cold: Callable[[UpstreamState], bool],
    ) -> None:
        self._upstream_table = upstream_table
        self._region = region
        self._region_count = len(set(regions))
        self._take_cold = take_cold

    def candidates(self, wish: PlacementRequest, affinity_wait: Millis) -> Candidates:
        """Return the few upstreams that the request should go to."""
        usable = list(self._upstream_table.usable(wish.service))
        failing = FAILING_SHARE + _mean([state.failure_share for state in usable])
        by_region: dict[str, list[UpstreamState]] = defaultdict(list)
        for state in usable:
            if self._is_allowed(state, wish):
                by_region[state.region].append(state)
        weights = region_weights(
            self._region,
            {
                region: sum(state.record.slots for state in states)
                for region, states in by_region.items()
            },
            self._region_count,
        )
        name = wish.object_name
        regions = sorted(
            by_region, key=lambda region: _score(name, region, weights[region])
        )
        ranked: list[UpstreamState] = []
        for region, most in zip(regions, _candidates_by_rank(), strict=False):
            in_region = sorted(by_region[region], key=_order(name))
            # A failing upstream keeps its place only behind those that serve.
            in_region.sort(key=lambda state: state.failure_share > failing)
            ranked += in_region[:most] if name else in_region
        return Candidates(
            upstreams=tuple(ranked),
            object_name=name,
            affinity_wait=affinity_wait,
        )

    def pick(self, candidates: Candidates, waited: Millis) -> UpstreamState | None:
        """Return a candidate with a free slot; None to wait on.

        The object's own upstream comes first, then others that know the object, and
        after `affinity_wait` any of them.
        """
        own = True
        later: UpstreamState | None = None
        for state in candidates.upstreams:
            if state.is_cold():
                if self.has_room(state) and self._take_cold(state):
                    return state
                continue
            knows = own or state.remembers(candidates.object_name)
            if self.has_room(state):
                if knows or not candidates.object_name:
                    return state
                later = later or state
            own = False
        return later if waited >= candidates.affinity_wait else None

    def rest_times(self, wish: PlacementRequest) -> list[Millis]:
        """Return when those upstreams may be used again that want nothing now.

        Empty if some other upstream may be used, or if none rests.
        """
        usable = self._upstream_table.usable(wish.service)
        if any(self._is_allowed(state, wish) for state in usable):
            return []
        return [
            state.rest_left()
            for state in self._upstream_table.resting(wish.service)
            if self._is_allowed(state, wish)
        ]

    @staticmethod
    def _is_allowed(state: UpstreamState, wish: PlacementRequest) -> bool:
        is_near = not wish.regions or state.region in wish.regions
        return is_near and state.record.id not in wish.tried

    def may_use(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get requests."""
        return self._upstream_table.is_usable(state)

    def is_warm(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get requests at any rate."""
        return self._upstream_table.is_usable(state) and not state.is_cold()

    def has_room(self, state: UpstreamState) -> bool:
        """Return whether a slot seems free at an upstream."""
        return (
            self._upstream_table.is_usable(state) and state.load() < state.record.slots
        )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _candidates_by_rank() -> Iterator[int]:
    yield from CANDIDATES_BY_REGION_RANK
    yield from repeat(1)


def region_weights(
    home: str, slots_by_region: dict[str, int], region_count: int
) -> dict[str, float]:
    """Return the part of `home`'s objects that each region is to serve.

    Every region is taken to send the same load. A region with less than its share of
    the slots keeps what they can carry; the rest goes to those with more than their
    share, in proportion.
    """
    total = sum(slots_by_region.values())
    fair = total / max(region_count, 1)
    own = slots_by_region.get(home, 0)
    kept = min(own / fair, 1.0) if fair else 0.0
    spare_by_region = {
        region: max(slots - fair, 0.0)
        for region, slots in slots_by_region.items()
        if region != home
    }
    spare = sum(spare_by_region.values())
    weights = {
        region: (1.0 - kept) * part / spare if spare else 0.0
        for region, part in spare_by_region.items()
    }
    if home in slots_by_region:
        weights[home] = kept if spare else 1.0
    return weights


def _score(affinity: str, region: str, weight: float) -> float:
    """Return the rank of `region` in weighted rendezvous hashing; lowest first."""
    if weight <= 0.0:
        return math.inf
    part = (hash_of(affinity, region) + 1.0) / HASH_RANGE
    return -math.log(part) / weight


def _order(affinity: str) -> Callable[[UpstreamState], float | tuple[float, float]]:
    if not affinity:
        # Those that nothing is known of are alike; a fixed order would fill the first.
        return lambda state: (state.load() / state.record.slots, random.random())
    return lambda state: hash_of(affinity, state.record.id)
