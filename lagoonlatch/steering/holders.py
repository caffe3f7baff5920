"""Which VMs hold an organisation's allowance.

The load answered here: with many VMs an even part of a small allowance is less than a
request, and what one VM has left over is hard to find. A few VMs of each region hold
all of it; the others borrow from them what their callers ask for.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonlatch.membership.rendezvous import ranked

HOLDERS_BY_REGION = 4
"""One or two may be down; with more, the parts of small allowances are too small."""


@dataclass(frozen=True)
class Share:
    """What a VM holds of an allowance.

    Parameters
    ----------
    size : float
        The part of one holder, 0 to 1.
    is_holder : bool
        Whether this VM is a holder.
    """

    size: float
    is_holder: bool

    @property
    def own(self) -> float:
        """What this VM holds, 0 to 1."""
        return self.size if self.is_holder else 0.0


class Holders:
    """The holders of all allowances.

    Parameters
    ----------
    me : str
        This VM.
    region : str
        This VM's region.
    """

    def __init__(self, me: str, region: str) -> None:
        self._me = me
        self._region = region
        self._region_by_vm: dict[str, str] = {me: region}
        self._holders_by_organisation: dict[str, tuple[str, ...]] = {}
        self._part_by_organisation: dict[str, Share] = {}

    def set_vms(self, region_by_vm: Mapping[str, str]) -> None:
        """Follow the regions of all VMs that share what is divided, by id."""
        self._region_by_vm = {**region_by_vm, self._me: self._region}
        self._holders_by_organisation = {}
        self._part_by_organisation = {}

    def holders_of(self, organisation: str) -> tuple[str, ...]:
        """Return the ids of the VMs that hold its allowance."""
        found = self._holders_by_organisation.get(organisation)
        if found is None:
            found = self._choose(organisation)
            self._holders_by_organisation[organisation] = found
        return found

    def others(self, organisation: str) -> list[str]:
        """Return the other holders, those in this VM's region first."""
        others = [vm for vm in self.holders_of(organisation) if vm != self._me]
        return sorted(others, key=lambda vm: self._region_by_vm[vm] != self._region)

    def near(self, organisation: str) -> list[str]:
        """Return the other holders in this VM's region."""
        others = self.others(organisation)
        return [vm for vm in others if self._region_by_vm[vm] == self._region]

    def share(self, organisation: str) -> Share:
        """Return what this VM holds."""
        found = self._part_by_organisation.get(organisation)
        if found is None:
            holders = self.holders_of(organisation)
            found = Share(1.0 / len(holders), self._me in holders)
            self._part_by_organisation[organisation] = found
        return found

    def _choose(self, organisation: str) -> tuple[str, ...]:
        vms_by_region: dict[str, list[str]] = defaultdict(list)
        for vm, region in self._region_by_vm.items():
            vms_by_region[region].append(vm)
        return tuple(
            vm
            for region in sorted(vms_by_region)
            for vm in ranked(organisation, vms_by_region[region])[:HOLDERS_BY_REGION]
        )
