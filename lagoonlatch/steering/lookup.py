"""Look-up of the VMs that a caller should use."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import Millis
from lagoonlatch.steering.model import VmRecord

TTL: Millis = 2_000.0
"""How long an answer is valid; a leaving VM continues to serve for longer than this."""


class Lookup:
    """Finds the ready VMs of the caller's region, or all ready VMs if it has none.

    Parameters
    ----------
    list_vms : callable
        Returns the ready VMs.
    longest_ttl : Millis
        Upper bound of the validity of an answer.
    """

    def __init__(
        self,
        list_vms: Callable[[], Iterable[VmRecord]],
        region_by_data_centre: Mapping[str, str],
        longest_ttl: Millis,
    ) -> None:
        self._list_vms = list_vms
        self._region_by_data_centre = region_by_data_centre
        self.ttl = min(TTL, longest_ttl)

    def find(self, region: str, data_centre: str) -> list[str]:
        """Return the addresses of VMs for a caller, in random order."""
        vms = list(self._list_vms())
        region = region or self._region_by_data_centre.get(data_centre, "")
        region_vms = [
            vm
            for vm in vms
            if self._region_by_data_centre.get(vm.data_centre) == region
        ]
        addresses = [vm.caller_address for vm in region_vms or vms]
        random.shuffle(addresses)
        return addresses
