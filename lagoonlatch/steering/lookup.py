"""Which VMs a caller is told to use."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import Millis
from lagoonlatch.steering.model import VmRecord

TTL: Millis = 2_000.0
"""How long an answer holds: a VM that leaves serves longer than this."""


class Lookup:
    """Answers with ready VMs of the caller's region, else with all.

    Parameters
    ----------
    list_vms : callable
        Returns the ready VMs.
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
        """Return addresses for a caller, in random order."""
        vms = list(self._list_vms())
        region = region or self._region_by_data_centre.get(data_centre, "")
        near = [
            vm
            for vm in vms
            if self._region_by_data_centre.get(vm.data_centre) == region
        ]
        found = [vm.caller_address for vm in near or vms]
        random.shuffle(found)
        return found
