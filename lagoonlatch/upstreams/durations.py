"""How long requests hold a slot: moving averages by organisation."""

from __future__ import annotations

import statistics

from lagoonlatch.clock import Millis

INITIAL_DURATION: Millis = 20.0

_WEIGHT_OF_NEWEST = 0.2


class Average:
    """An exponentially weighted moving average."""

    def __init__(self, initial: Millis) -> None:
        self.value = initial
        self._empty = True

    def add(self, sample: Millis) -> None:
        """Take in a sample; the first replaces the initial value."""
        if self._empty:
            self.value = sample
            self._empty = False
        else:
            self.value += _WEIGHT_OF_NEWEST * (sample - self.value)


class Durations:
    """Average slot time of a service's requests, in all and by organisation."""

    def __init__(self) -> None:
        self._overall = Average(INITIAL_DURATION)
        self._average_by_organisation: dict[str, Average] = {}

    def add(self, organisation: str, duration: Millis, whole: bool) -> None:
        """Take in the slot time of one request.

        Parameters
        ----------
        whole : bool
            Whether it ran to its end; otherwise it counts only if it raises the
            average of its organisation.
        """
        if not whole and duration <= self.of(organisation):
            return
        self._overall.add(duration)
        average = self._average_by_organisation.get(organisation)
        if average is None:
            average = Average(duration)
            self._average_by_organisation[organisation] = average
        average.add(duration)

    def overall(self) -> Millis:
        """Return the average over all requests."""
        return self._overall.value

    def of(self, organisation: str) -> Millis:
        """Return the average of an organisation, or the overall one if unknown."""
        average = self._average_by_organisation.get(organisation)
        return self._overall.value if average is None else average.value

    def median_of_others(self, organisation: str) -> Millis | None:
        """Return the median of the other organisations' averages."""
        others = [
            average.value
            for other, average in self._average_by_organisation.items()
            if other != organisation
        ]
        return statistics.median(others) if others else None
