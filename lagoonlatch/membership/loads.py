"""Load summaries, summed up over the VMs of a data centre."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.membership.heartbeat import Heartbeat, LoadSummary

SUMMARY_BYTES = 70
"""Size of one summary in a heartbeat."""

NEAR_BYTES_PER_SECOND = 3_000.0
DISTANT_BYTES_PER_SECOND = 2_000.0
"""What a watcher may spend on summaries of its own region and of others."""

DISTANT_INTERVAL: Millis = 5_000.0
HOLD: Millis = 15_000.0
HOLD_FACTOR = 3.0
"""Summaries are dropped when this many newer ones should have come."""


def sending_interval(summaries: int, receivers: int, budget: float) -> Millis:
    """Return the time between sendings that keeps within bytes a second.

    The load on a watcher must not grow with the fleet, so the summaries get older.
    """
    return summaries * receivers * SUMMARY_BYTES / budget * MILLIS_PER_SECOND


class LoadBoard:
    """Keeps what the VMs report of the load of services.

    Parameters
    ----------
    own_loads : callable
        Returns the summaries of the instances this VM owns.
    """

    def __init__(
        self, data_centre: str, own_loads: Callable[[], Iterable[LoadSummary]]
    ) -> None:
        self._data_centre = data_centre
        self._own_loads = own_loads
        self._loads_by_vm: dict[str, tuple[Millis, tuple[LoadSummary, ...]]] = {}
        self._sums_by_place: dict[tuple[str, str], tuple[Millis, LoadSummary]] = {}
        self._told_at_by_receiver: dict[tuple[str, str], Millis] = {}
        self._hold = HOLD
        self._own_sums: tuple[LoadSummary, ...] = ()
        self._received: tuple[LoadSummary, ...] = ()
        self._near: tuple[LoadSummary, ...] = ()
        self._distant: tuple[LoadSummary, ...] = ()

    def hear(self, heartbeat: Heartbeat, now: Millis) -> None:
        """Take in a heartbeat's summaries."""
        sender = heartbeat.member
        if sender.data_centre == self._data_centre:
            self._loads_by_vm[sender.vm] = (now, heartbeat.loads)
        for load in heartbeat.data_centre_loads:
            self._sums_by_place[load.data_centre, load.service_id] = (now, load)

    def own(self) -> tuple[LoadSummary, ...]:
        """Return the summaries of the instances this VM owns."""
        return tuple(self._own_loads())

    def refresh(self, now: Millis, is_near: Callable[[str], bool]) -> None:
        """Drop what is old and sum up anew; once in each round.

        Parameters
        ----------
        is_near : callable
            Whether a data centre is of the own region.
        """
        self._expire(now)
        summaries = list(self.own())
        for _, loads in self._loads_by_vm.values():
            summaries.extend(loads)
        self._own_sums = sum_loads(summaries)
        received = [load for _, load in self._sums_by_place.values()]
        self._received = tuple(
            load for load in received if load.data_centre == self._data_centre
        )
        elsewhere = [load for load in received if load.data_centre != self._data_centre]
        near = [load for load in elsewhere if is_near(load.data_centre)]
        self._near = tuple(near)
        self._distant = tuple(
            load for load in elsewhere if not is_near(load.data_centre)
        )

    def sums(self, of_watcher: bool) -> tuple[LoadSummary, ...]:
        """Return the newest load of each service in each data centre.

        Parameters
        ----------
        of_watcher : bool
            Whether the VMs of this data centre report here; if not, its sums are
            those received from its watchers.
        """
        own = self._own_sums if of_watcher else self._received or self._own_sums
        return own + self._near + self._distant

    def for_watcher_elsewhere(self) -> tuple[LoadSummary, ...]:
        """Return what a watcher tells one of another data centre."""
        return self._own_sums

    def for_neighbour(
        self, vm: str, now: Millis, receivers: int
    ) -> tuple[LoadSummary, ...]:
        """Return what a watcher tells a VM of its own data centre now.

        Parameters
        ----------
        vm : str
            The receiver.
        receivers : int
            VMs that this watcher tells.
        """
        told: tuple[LoadSummary, ...] = ()
        near = len(self._own_sums) + len(self._near)
        interval = sending_interval(near, receivers, NEAR_BYTES_PER_SECOND)
        if self._is_due((vm, "near"), now, interval):
            told += self._own_sums + self._near
        distant = len(self._distant)
        interval = sending_interval(distant, receivers, DISTANT_BYTES_PER_SECOND)
        if self._is_due((vm, "distant"), now, max(interval, DISTANT_INTERVAL)):
            told += self._distant
        self._hold = max(HOLD, HOLD_FACTOR * interval)
        return told

    def _is_due(self, key, now, interval):
        told_at = self._told_at_by_receiver.get(key)
        if told_at is not None and now - told_at < interval:
            return False
        self._told_at_by_receiver[key] = now
        return True

    def _expire(self, now):
        for table in (self._loads_by_vm, self._sums_by_place):
            old = [key for key, (at, _) in table.items() if now - at > self._hold]
            for key in old:
                del table[key]
        told = self._told_at_by_receiver
        for receiver in [key for key, at in told.items() if now - at > self._hold]:
            del told[receiver]


def sum_loads(loads: Iterable[LoadSummary]) -> tuple[LoadSummary, ...]:
    """Return one summary for each service and data centre; latency by slots."""
    sum_by_place: dict[tuple[str, str], LoadSummary] = {}
    for load in loads:
        place = (load.data_centre, load.service_id)
        known = sum_by_place.get(place)
        sum_by_place[place] = load if known is None else _add(known, load)
    return tuple(sum_by_place.values())


def _add(first: LoadSummary, second: LoadSummary) -> LoadSummary:
    slots = first.slots + second.slots
    weighted = first.latency * first.slots + second.latency * second.slots
    return LoadSummary(
        service_id=first.service_id,
        data_centre=first.data_centre,
        slots=slots,
        in_flight=first.in_flight + second.in_flight,
        queued=first.queued + second.queued,
        latency=weighted / slots if slots else 0.0,
    )
