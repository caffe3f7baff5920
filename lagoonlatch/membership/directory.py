"""The VMs by data centre, and who speaks for each."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonlatch.membership.heartbeat import Member
from lagoonlatch.membership.rendezvous import ranked

WATCHERS_PER_DATA_CENTRE = 2


class Directory:
    """Indexes that are made anew when they are asked after a change.

    Parameters
    ----------
    region : str
        The own region.
    members : callable
        Returns all VMs known.
    speakers : callable
        Returns which of a data centre's VMs may speak for it.
    """

    def __init__(
        self,
        region: str,
        members: Callable[[], Iterable[Member]],
        speakers: Callable[[list[str]], list[str]],
    ) -> None:
        self._region = region
        self._members = members
        self._speakers = speakers
        self._is_old = True
        self._generation = 0
        self._vms_by_data_centre: dict[str, list[str]] = {}
        self._watchers_by_data_centre: dict[str, tuple[str, ...]] = {}
        self._region_by_data_centre: dict[str, str] = {}
        self._foreign_data_centres = 0

    def touch(self) -> None:
        """Note that a VM or its status changed."""
        self._is_old = True

    @property
    def generation(self) -> int:
        """A number that changes whenever a VM or its status does."""
        self._renew()
        return self._generation

    def data_centres(self) -> tuple[str, ...]:
        """Return the data centres of the VMs known, sorted."""
        self._renew()
        return tuple(self._vms_by_data_centre)

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, empty while unknown."""
        self._renew()
        return self._region_by_data_centre.get(data_centre, "")

    def foreign_data_centres(self) -> int:
        """Return the number of data centres outside the own region."""
        self._renew()
        return self._foreign_data_centres

    def vms_in(self, data_centre: str) -> list[str]:
        """Return the ids of all VMs known in a data centre, sorted."""
        self._renew()
        return self._vms_by_data_centre.get(data_centre, [])

    def watchers(self, data_centre: str) -> tuple[str, ...]:
        """Return the VMs that speak for a data centre, by rendezvous hashing."""
        self._renew()
        return self._watchers_by_data_centre.get(data_centre, ())

    def _renew(self):
        if not self._is_old:
            return
        self._is_old = False
        self._generation += 1
        vms_by_data_centre: dict[str, list[str]] = {}
        for member in sorted(self._members(), key=lambda member: member.vm):
            vms_by_data_centre.setdefault(member.data_centre, []).append(member.vm)
            if member.region:
                self._region_by_data_centre[member.data_centre] = member.region
        regions = self._region_by_data_centre.values()
        self._foreign_data_centres = sum(region != self._region for region in regions)
        self._vms_by_data_centre = dict(sorted(vms_by_data_centre.items()))
        self._watchers_by_data_centre = {
            data_centre: self._choose_watchers(data_centre, vms)
            for data_centre, vms in self._vms_by_data_centre.items()
        }

    def _choose_watchers(self, data_centre, vms):
        chosen = ranked(data_centre, self._speakers(vms))
        return tuple(chosen[:WATCHERS_PER_DATA_CENTRE])
