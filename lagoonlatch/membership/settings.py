"""What a membership is told when it is made."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonlatch.clock import Millis
from lagoonlatch.membership.heartbeat import LoadSummary
from lagoonlatch.membership.record import VmRecord


@dataclass(frozen=True, kw_only=True)
class MembershipSettings:
    """How often and how long.

    Parameters
    ----------
    port : int
        Port on which all VMs answer each other.
    interval : Millis
        Time between rounds of heartbeats.
    exchange_deadline : Millis
        How long the answer to a heartbeat may take on an old connection; a new
        connection is tried after that.
    list_interval : Millis
        Time between readings of the platform's list by a watcher.
    spare_list_interval : Millis
        Time between readings by the other VMs.
    forget_after : Millis
        Time after which a silent VM that is not listed is forgotten.
    """

    port: int
    interval: Millis = 1_000.0
    exchange_deadline: Millis = 500.0
    list_interval: Millis = 5_000.0
    spare_list_interval: Millis = 60_000.0
    forget_after: Millis = 600_000.0


def _ignore_contact(vm: str, at: Millis, quorum_at: Millis | None) -> None:
    """Take no notice of a contact."""


@dataclass(frozen=True, kw_only=True)
class LocalState:
    """What this VM tells of itself and wants to hear of.

    Parameters
    ----------
    config_version : callable
        Returns the version in force here.
    ownership_revisions : callable
        Returns the newest ownership revision held, by scope.
    loads : callable
        Returns the load of the instances owned here.
    heard_config_version : callable
        Called with a version newer than the own one and the VM that has it.
    heard_ownership_revision : callable
        Called with a scope, a newer revision and the VM that has it.
    superseded : callable
        Called when a newer incarnation of this very VM was heard of.
    region_of : callable
        Returns the region of a data centre, or None.
    confirmed_ago : callable
        Returns the age of the newest reading of the store that vouches for the
        configuration in force here, or None.
    heard_confirmation : callable
        Called with the instant of such a reading that another VM told of.
    quorum_ago : callable
        Returns the age of the newest instant since which this VM was in touch with
        most VMs, or None.
    contacted : callable
        Called with a VM that was in touch, when, and the instant of its own quorum
        or None.
    """

    config_version: Callable[[], int] = lambda: 0
    ownership_revisions: Callable[[], Mapping[str, int]] = dict
    loads: Callable[[], Iterable[LoadSummary]] = tuple
    heard_config_version: Callable[[int, VmRecord], None] = lambda version, vm: None
    heard_ownership_revision: Callable[[str, int, VmRecord], None] = (
        lambda scope, revision, vm: None
    )
    superseded: Callable[[], None] = lambda: None
    region_of: Callable[[str], str | None] = lambda data_centre: None
    confirmed_ago: Callable[[], Millis | None] = lambda: None
    heard_confirmation: Callable[[Millis], None] = lambda at: None
    quorum_ago: Callable[[], Millis | None] = lambda: None
    contacted: Callable[[str, Millis, Millis | None], None] = _ignore_contact
