"""Policies that choose the VM whose instances serve a request."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from lagoonlatch.clock import Millis
from lagoonlatch.registry import Registry

BUSY_UTILISATION = 0.9
"""Above this share of its slots a place is compared with farther ones."""


@dataclass(frozen=True, kw_only=True)
class Place:
    """A VM that owns instances of a service.

    Parameters
    ----------
    vm : str
        The owner's id.
    data_centre, region : str
        Where the instances stand.
    slots : int
        Requests that the owned instances run at once.
    distance : Millis
        Round trip from this VM.
    latency : Millis
        How long a request takes there.
    """

    vm: str
    data_centre: str
    region: str
    slots: int
    distance: Millis
    latency: Millis


LoadOf = Callable[[Place], float]
"""Requests that run or wait at a place, as far as is known here."""


class Selection(Protocol):
    """Chooses one of several places."""

    def choose(self, places: Sequence[Place], load_of: LoadOf) -> Place:
        """Return one of `places`, which is not empty."""


SELECTIONS: Registry[type[Selection]] = Registry("selection policy")


def expected_time(place: Place, load: float) -> Millis:
    """Return the time that one more request at `place` would take."""
    excess = max(load + 1.0 - place.slots, 0.0)
    waiting = excess / max(place.slots, 1) * place.latency
    return place.distance + place.latency + waiting


@SELECTIONS.register("power-of-two")
class PowerOfTwo:
    """The better of two places drawn by their slots, nearest distance first.

    Farther places are drawn only when the nearer ones are busy; the expected time
    then decides, so that distance is paid only where it saves waiting.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, places: Sequence[Place], load_of: LoadOf) -> Place:
        """Return the place with the lowest expected time among those drawn."""
        drawn: list[Place] = []
        for tier in _tiers(places):
            drawn += self._draw_two(tier)
            best = min(drawn, key=lambda place: expected_time(place, load_of(place)))
            if load_of(best) + 1.0 <= BUSY_UTILISATION * best.slots:
                return best
        return best

    def _draw_two(self, tier: Sequence[Place]) -> Sequence[Place]:
        if len(tier) <= 2:
            return tier
        weights = [place.slots for place in tier]
        return self._rng.choices(tier, weights=weights, k=2)


@SELECTIONS.register("random")
class Uniform:
    """Any place; the naive policy to compare with."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, places: Sequence[Place], load_of: LoadOf) -> Place:
        """Return a place drawn evenly."""
        return self._rng.choice(places)


@SELECTIONS.register("round-robin")
class RoundRobin:
    """Each place in turn; the naive policy to compare with."""

    def __init__(self, rng: random.Random) -> None:
        self._turn = rng.randrange(1 << 16)

    def choose(self, places: Sequence[Place], load_of: LoadOf) -> Place:
        """Return the next place."""
        self._turn += 1
        return places[self._turn % len(places)]


@SELECTIONS.register("nearest")
class Nearest:
    """The nearest place whatever its load; the naive policy to compare with."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, places: Sequence[Place], load_of: LoadOf) -> Place:
        """Return a place of the lowest distance."""
        return self._rng.choice(_tiers(places)[0])


def _tiers(places: Sequence[Place]) -> list[Sequence[Place]]:
    ordered = sorted(places, key=lambda place: place.distance)
    groups = itertools.groupby(ordered, key=lambda place: place.distance)
    return [tuple(group) for _, group in groups]
