"""Conversion between thrift structs and the frozen data classes.

Thrift leaves out fields that are None, so empty collections are sent as None.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable

from lagoonlatch.clock import Stamp
from lagoonlatch.events import Event, EventKind
from lagoonlatch.membership.heartbeat import Heartbeat, LoadSummary, Member
from lagoonlatch.vms.generated import ttypes


def heartbeat_to_thrift(heartbeat: Heartbeat) -> ttypes.Heartbeat:
    """Return the struct of a heartbeat."""
    member = heartbeat.member
    return ttypes.Heartbeat(
        vm=member.vm,
        incarnation=member.incarnation,
        address=member.address or None,
        data_centre=member.data_centre or None,
        stamp=stamp_to_thrift(heartbeat.stamp),
        config_version=heartbeat.config_version,
        leaving=member.leaving or None,
        ownership_revision_by_scope=dict(heartbeat.ownership_revision_by_scope) or None,
        ownership_digest=heartbeat.ownership_digest,
        loads=_structs(load_to_thrift, heartbeat.loads),
        region=member.region or None,
        members=_structs(member_to_thrift, heartbeat.members),
        members_version=heartbeat.members_version,
        members_whole=heartbeat.members_whole or None,
        known_version=heartbeat.known_version,
        known_incarnation=heartbeat.known_incarnation,
        introduce=heartbeat.introduce or None,
        acquaintances=_structs(member_to_thrift, heartbeat.acquaintances),
        data_centre_loads=_structs(load_to_thrift, heartbeat.data_centre_loads),
        confirmed_ago=heartbeat.confirmed_ago,
        quorum_ago=heartbeat.quorum_ago,
    )


def heartbeat_from_thrift(struct: ttypes.Heartbeat) -> Heartbeat:
    """Return the heartbeat of a struct."""
    return Heartbeat(
        member=member_from_thrift(struct),
        stamp=stamp_from_thrift(struct.stamp),
        config_version=struct.config_version or 0,
        ownership_revision_by_scope=struct.ownership_revision_by_scope or {},
        ownership_digest=struct.ownership_digest or 0,
        loads=tuple(map(load_from_thrift, struct.loads or ())),
        members=tuple(map(member_from_thrift, struct.members or ())),
        members_version=struct.members_version or 0,
        members_whole=bool(struct.members_whole),
        known_version=struct.known_version or 0,
        known_incarnation=struct.known_incarnation or 0,
        introduce=bool(struct.introduce),
        acquaintances=tuple(map(member_from_thrift, struct.acquaintances or ())),
        data_centre_loads=tuple(map(load_from_thrift, struct.data_centre_loads or ())),
        confirmed_ago=struct.confirmed_ago,
        quorum_ago=struct.quorum_ago,
    )


def member_to_thrift(member: Member) -> ttypes.Member:
    """Return the struct of a member."""
    return ttypes.Member(
        vm=member.vm,
        incarnation=member.incarnation,
        address=member.address,
        data_centre=member.data_centre,
        region=member.region,
        leaving=member.leaving or None,
        silent=member.silent or None,
    )


def member_from_thrift(struct: ttypes.Member | ttypes.Heartbeat) -> Member:
    """Return the member of a struct, or the sender of a heartbeat."""
    return Member(
        vm=struct.vm,
        incarnation=struct.incarnation,
        address=struct.address or "",
        # Few places for many VMs: each name is held once.
        data_centre=sys.intern(struct.data_centre or ""),
        region=sys.intern(struct.region or ""),
        leaving=bool(struct.leaving),
        silent=bool(getattr(struct, "silent", False)),
    )


def load_to_thrift(load: LoadSummary) -> ttypes.LoadSummary:
    """Return the struct of a load summary."""
    return ttypes.LoadSummary(
        service_id=load.service_id,
        data_centre=load.data_centre,
        slots=load.slots,
        in_flight=load.in_flight or None,
        queued=load.queued or None,
        latency=load.latency or None,
    )


def load_from_thrift(struct: ttypes.LoadSummary) -> LoadSummary:
    """Return the load summary of a struct."""
    return LoadSummary(
        service_id=struct.service_id,
        data_centre=struct.data_centre,
        slots=struct.slots or 0,
        in_flight=struct.in_flight or 0,
        queued=struct.queued or 0,
        latency=struct.latency or 0.0,
    )


def stamp_to_thrift(stamp: Stamp) -> ttypes.Stamp:
    """Return the struct of a stamp."""
    return ttypes.Stamp(millis=stamp.millis, counter=stamp.counter)


def stamp_from_thrift(struct: ttypes.Stamp) -> Stamp:
    """Return the stamp of a struct."""
    return Stamp(struct.millis, struct.counter)


def event_to_thrift(event: Event) -> ttypes.EventRecord:
    """Return the struct of an event."""
    return ttypes.EventRecord(
        stamp=stamp_to_thrift(event.stamp),
        vm=event.vm,
        kind=event.kind.value,
        subject=event.subject,
        detail=dict(event.detail),
    )


def event_from_thrift(struct: ttypes.EventRecord) -> Event:
    """Return the event of a struct.

    Raises
    ------
    ValueError
        If the kind is unknown, for example because the sender is newer.
    """
    return Event(
        stamp=stamp_from_thrift(struct.stamp),
        vm=struct.vm,
        kind=EventKind(struct.kind),
        subject=struct.subject,
        detail=struct.detail or {},
    )


def _structs(convert, items: Iterable):
    return [convert(item) for item in items] or None
