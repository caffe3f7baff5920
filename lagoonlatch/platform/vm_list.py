"""The platform's lagging list of VMs over HTTP."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Millis
from lagoonlatch.platform import gateway
from lagoonlatch.platform.answers import read_answer
from lagoonlatch.platform.connections import DEFAULT_TIMEOUT, Connections
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.store import (
    ListedVm,
    StoreError,
    StoreUnavailable,
    VmState,
)


class HttpVmList:
    """The platform's VM list over HTTP.

    Parameters
    ----------
    endpoint : Endpoint
        The platform.
    timeout : Millis
        Longest time that one call takes.
    """

    def __init__(
        self, endpoint: Endpoint, *, timeout: Millis = DEFAULT_TIMEOUT
    ) -> None:
        self._connections = Connections(endpoint, timeout, size=1)

    @classmethod
    def from_address(
        cls, address: str, *, source: str = "", timeout: Millis = DEFAULT_TIMEOUT
    ) -> HttpVmList:
        """Return the list at ``IP:port``, called from the IP address `source`."""
        return cls(Endpoint.from_address(address, source), timeout=timeout)

    def read_vms(self) -> Result[tuple[ListedVm, ...], StoreError]:
        """Return the VMs the platform lists."""
        outcome = self._connections.call("GET", gateway.VMS_PATH)
        return read_answer(outcome, tuple[gateway.VmRecord, ...]).bind(_listed_vms)


def _listed_vms(
    records: tuple[gateway.VmRecord, ...],
) -> Result[tuple[ListedVm, ...], StoreError]:
    valid = {state.value for state in VmState}
    for record in records:
        if record.state not in valid:
            names = ", ".join(sorted(valid))
            reason = f"VM {record.id!r} has state {record.state!r}; valid: {names}"
            return Failure(StoreUnavailable(reason))
    return Success(
        tuple(
            ListedVm(
                record.id, record.address, record.data_centre, VmState(record.state)
            )
            for record in records
        )
    )
