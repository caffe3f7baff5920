"""Which VMs hold an organisation's allowance.

If a small allowance is divided evenly among many VMs, each share is less than one
request, and it is hard to find a VM with unused tokens. Therefore a few VMs of each
region hold the whole allowance, and the other VMs borrow from them what their callers
need.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonlatch.membership.rendezvous import ranked

HOLDERS_PER_REGION = 4
"""Enough holders remain if one or two are down; with more holders, the shares of small
allowances would be too small."""


@dataclass(frozen=True)
class Share:
    """A VM's part in an organisation's allowance.

    Parameters
    ----------
    holder_fraction : float
        Fraction of the allowance that each holder has, 0 to 1.
    is_holder : bool
        Whether this VM is a holder.
    """

    holder_fraction: float
    is_holder: bool

    @property
    def own_fraction(self) -> float:
        """Fraction of the allowance that this VM holds, 0 to 1."""
        return self.holder_fraction if self.is_holder else 0.0


class Holders:
    """The holders of all allowances.

    Parameters
    ----------
    own_id : str
        Id of this VM.
    region : str
        This VM's region.
    """

    def __init__(self, own_id: str, region: str) -> None:
        self._own_id = own_id
        self._region = region
        self._region_by_vm: dict[str, str] = {own_id: region}
        self._holders_by_organisation: dict[str, tuple[str, ...]] = {}
        self._share_by_organisation: dict[str, Share] = {}

    def set_vms(self, region_by_vm: Mapping[str, str]) -> None:
        """Set the regions of all VMs among which allowances are divided, by VM id."""
        self._region_by_vm = {**region_by_vm, self._own_id: self._region}
        self._holders_by_organisation = {}
        self._share_by_organisation = {}

    def holders_of(self, organisation: str) -> tuple[str, ...]:
        """Return the ids of the VMs that hold an organisation's allowance."""
        chosen = self._holders_by_organisation.get(organisation)
        if chosen is None:
            chosen = self._choose_holders(organisation)
            self._holders_by_organisation[organisation] = chosen
        return chosen

    def other_holders(self, organisation: str) -> list[str]:
        """Return the other holders, those of this VM's region first."""
        others = [vm for vm in self.holders_of(organisation) if vm != self._own_id]
        return sorted(others, key=lambda vm: self._region_by_vm[vm] != self._region)

    def other_holders_in_region(self, organisation: str) -> list[str]:
        """Return the other holders in this VM's region."""
        others = self.other_holders(organisation)
        return [vm for vm in others if self._region_by_vm[vm] == self._region]

    def share(self, organisation: str) -> Share:
        """Return the share of an organisation's allowance that this VM holds."""
        own_share = self._share_by_organisation.get(organisation)
        if own_share is None:
            holders = self.holders_of(organisation)
            own_share = Share(1.0 / len(holders), self._own_id in holders)
            self._share_by_organisation[organisation] = own_share
        return own_share

    def _choose_holders(self, organisation: str) -> tuple[str, ...]:
        vms_by_region: dict[str, list[str]] = defaultdict(list)
        for vm, region in self._region_by_vm.items():
            vms_by_region[region].append(vm)
        return tuple(
            vm
            for region in sorted(vms_by_region)
            for vm in ranked(organisation, vms_by_region[region])[:HOLDERS_PER_REGION]
        )
