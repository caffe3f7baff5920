"""What a VM knows of another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lagoonlatch.clock import Millis


class VmStatus(Enum):
    """Whether a VM seems to be there; good for routing only."""

    LISTED = "listed"
    """The platform lists it or a peer mentioned it; no heartbeat yet."""

    ALIVE = "alive"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True)
class VmRecord:
    """One VM, as seen from this one.

    Parameters
    ----------
    id : str
        The VM's id, unique for ever.
    incarnation : int
        The newest heard of; 0 if only the platform's list names the VM.
    address : str
        IP address.
    data_centre, region : str
        Where it stands; the region is empty while unknown.
    leaving : bool
        Whether it takes no new work.
    status : VmStatus
        Whether it seems to be there.
    last_heard : Millis or None
        When this VM itself last heard it, on its own clock.
    """

    id: str
    incarnation: int
    address: str
    data_centre: str
    region: str
    leaving: bool
    status: VmStatus
    last_heard: Millis | None
