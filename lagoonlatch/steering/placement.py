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
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonlatch.membership.rendezvous import weight as hash_of
from lagoonlatch.steering.upstreams import Fleet, UpstreamState

HASH_RANGE = 2.0**64

FAILING_SHARE = 0.3
"""Share of failed attempts above which an upstream is used only if others are full."""


@dataclass(frozen=True, kw_only=True)
class Wish:
    """What a request asks of its place.

    Parameters
    ----------
    service : str
        Id of the service.
    affinity : str
        The object that it is about; requests without one go where there is room.
    regions : frozenset of str
        Where it may be served; empty for anywhere.
    tried : frozenset of str
        Ids of upstreams that it was sent to already.
    """

    service: str
    affinity: str
    regions: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Place:
    """A chosen upstream.

    Parameters
    ----------
    waiting : float
        Requests that come before this one, as a part of the upstream's slots;
        0 if a slot is free.
    """

    upstream: UpstreamState
    waiting: float


class Placement:
    """Chooses upstreams for the requests of one VM.

    Parameters
    ----------
    region : str
        The VM's region.
    take_cold : callable
        Takes one of the requests that this VM may send to a cold upstream now;
        returns whether there was one.
    """

    def __init__(
        self,
        fleet: Fleet,
        region: str,
        take_cold: Callable[[UpstreamState], bool],
    ) -> None:
        self._fleet = fleet
        self._region = region
        self._take_cold = take_cold

    def choose(self, wish: Wish) -> Place | None:
        """Return a place; None if no upstream may take the request."""
        usable = [
            state
            for state in self._fleet.usable(wish.service)
            if state.record.id not in wish.tried
            and (not wish.regions or state.region in wish.regions)
        ]
        ranked = self._rank(wish, usable)
        return self._first_with_room(ranked) or self._least_waiting(ranked)

    def _rank(self, wish: Wish, usable: Iterable[UpstreamState]) -> list[UpstreamState]:
        """Return `usable` in the order of preference."""
        by_region: dict[str, list[UpstreamState]] = defaultdict(list)
        for state in usable:
            by_region[state.region].append(state)
        weights = region_weights(
            self._region,
            {
                region: sum(state.record.slots for state in states)
                for region, states in by_region.items()
            },
        )
        regions = sorted(
            by_region, key=lambda region: _score(wish.affinity, region, weights[region])
        )
        ranked: list[UpstreamState] = []
        for region in regions:
            ranked += sorted(by_region[region], key=_order(wish.affinity))
        # A failing upstream keeps its place only behind those that serve.
        ranked.sort(key=lambda state: state.failure_share > FAILING_SHARE)
        return ranked

    def _first_with_room(self, ranked: Iterable[UpstreamState]) -> Place | None:
        for state in ranked:
            if state.load() < state.record.slots and self._may_send(state):
                return Place(upstream=state, waiting=0.0)
        return None

    def _least_waiting(self, ranked: Iterable[UpstreamState]) -> Place | None:
        best: Place | None = None
        for state in ranked:
            if state.is_cold():
                continue
            waiting = (state.load() + 1.0 - state.record.slots) / state.record.slots
            if best is None or waiting < best.waiting:
                best = Place(upstream=state, waiting=max(waiting, 0.0))
        return best

    def _may_send(self, state: UpstreamState) -> bool:
        return not state.is_cold() or self._take_cold(state)


def region_weights(home: str, slots_by_region: dict[str, int]) -> dict[str, float]:
    """Return the part of `home`'s objects that each region is to serve.

    Every region is taken to send the same load. A region with less than its share of
    the slots keeps what they can carry; the rest goes to those with more than their
    share, in proportion.
    """
    total = sum(slots_by_region.values())
    fair = total / max(len(slots_by_region), 1)
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


def _order(affinity: str) -> Callable[[UpstreamState], float]:
    if not affinity:
        return lambda state: state.load() / state.record.slots
    return lambda state: hash_of(affinity, state.record.id)
