"""What two VMs tell each other in a heartbeat."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol, TypeAlias

import xxhash
from returns.result import Result

from lagoonlatch.clock import Millis, Stamp
from lagoonlatch.vms.errors import PeerError


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One run of a VM, as one VM states it to another.

    Parameters
    ----------
    vm : str
        The VM's id.
    incarnation : int
        Rises each time the VM's process starts.
    address : str
        IP address.
    leaving : bool
        Whether it takes no new work; never withdrawn within an incarnation.
    silent : bool
        Whether the VM that states this hears it no more.
    """

    vm: str
    incarnation: int
    address: str
    data_centre: str
    region: str
    leaving: bool = False
    silent: bool = False


def brief(member: Member) -> Member:
    """Return a sender without what a receiver knows that has heard it before."""
    return replace(member, address="", data_centre="", region="")


def revisions_digest(revision_by_scope: Mapping[str, int]) -> int:
    """Return a number that differs, almost surely, for different mappings."""
    text = repr(sorted(revision_by_scope.items()))
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


def is_brief(member: Member) -> bool:
    """Tell whether a sender left out its place."""
    return not member.address


@dataclass(frozen=True, kw_only=True)
class LoadSummary:
    """The load of one service in one data centre.

    Parameters
    ----------
    slots, in_flight, queued : int
        Of the instances summed up.
    latency : Millis
        Mean time of recent requests.
    """

    service_id: str
    data_centre: str
    slots: int
    in_flight: int
    queued: int
    latency: Millis


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """One half of an exchange: the request and the answer have the same shape.

    Parameters
    ----------
    member : Member
        The sender; `brief` to a receiver that has confirmed to know it.
    stamp : Stamp
        Hybrid logical time of sending.
    config_version : int
        Configuration in force at the sender.
    ownership_revision_by_scope : dict of str to int
        Newest ownership tables that the sender holds; empty if the receiver is
        known to hold the same.
    ownership_digest : int
        Of the whole mapping.
    loads : tuple of LoadSummary
        Of the instances that the sender owns.
    data_centre_loads : tuple of LoadSummary
        Sums over the VMs of a data centre.
    members : tuple of Member
        Changes of what the sender knows at first hand, up to `members_version`.
    members_whole : bool
        Whether `members` are all that the sender states.
    known_version, known_incarnation : int
        The newest `members_version` that the sender got from the receiver, and the
        receiver's incarnation then.
    introduce : bool
        Whether the sender asks for `acquaintances`.
    acquaintances : tuple of Member
        All VMs that the sender has heard of; no statement that they are alive.
    quorum_ago : Millis or None
        Age of the newest instant since which the sender, or a VM that told it, was in
        touch with most VMs; None if there was none.
    confirmed_ago : Millis or None
        Age of the newest reading of the store, by any VM, that vouches for
        `config_version` at the sender; None if there was none.
    """

    member: Member
    stamp: Stamp
    config_version: int = 0
    ownership_revision_by_scope: Mapping[str, int] = field(default_factory=dict)
    ownership_digest: int = 0
    loads: tuple[LoadSummary, ...] = ()
    data_centre_loads: tuple[LoadSummary, ...] = ()
    members: tuple[Member, ...] = ()
    members_version: int = 0
    members_whole: bool = False
    known_version: int = 0
    known_incarnation: int = 0
    introduce: bool = False
    acquaintances: tuple[Member, ...] = ()
    confirmed_ago: Millis | None = None
    quorum_ago: Millis | None = None


ExchangeResult: TypeAlias = Result[Heartbeat, PeerError]


class HeartbeatTransport(Protocol):
    """Carries heartbeats to other VMs."""

    def exchange(
        self,
        endpoint: tuple[str, int],
        heartbeat: Heartbeat,
        deadline: Millis,
        fresh: bool,
    ) -> ExchangeResult:
        """Send a heartbeat and return the answer.

        Parameters
        ----------
        endpoint : tuple of (str, int)
            Address and port.
        deadline : Millis
            Milliseconds from now.
        fresh : bool
            Open a new connection.
        """
