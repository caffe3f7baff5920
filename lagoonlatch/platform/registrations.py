"""What upstreams and VMs write to the store of themselves."""

from __future__ import annotations

from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.steering.model import UpstreamRecord, VmRecord

UPSTREAM_PREFIX = "servers/"
VM_PREFIX = "lagoonlatch/vms/"
ROSTER_PREFIX = "lagoonlatch/roster/"


class _Server(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    cold_left_s: float = 0.0
    born: int | float = 0


class _Vm(msgspec.Struct):
    data_centre: str
    caller_address: str
    peer_address: str
    run: int
    ready: bool


class _Place(msgspec.Struct):
    data_centre: str = ""


def decode_upstream(key: str, value: bytes) -> Result[UpstreamRecord, str]:
    """Decode an upstream's entry; one that is odd names no upstream."""
    try:
        wire = msgspec.json.decode(value, type=_Server)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"entry {key!r}: {error}")
    host, _, port = wire.addr.rpartition(":")
    if not host or not port.isdigit() or wire.slots < 1:
        return Failure(f"entry {key!r}: address {wire.addr!r}, slots {wire.slots}")
    return Success(
        UpstreamRecord(
            id=key.removeprefix(UPSTREAM_PREFIX),
            service=wire.service,
            address=wire.addr,
            data_centre=wire.zone,
            slots=wire.slots,
            is_draining=wire.state == "draining",
            cold_left=max(wire.cold_left_s, 0.0) * MILLIS_PER_SECOND,
            born=float(wire.born),
        )
    )


def encode_roster(data_centre: str) -> bytes:
    """Encode a VM's place in the roster."""
    return msgspec.json.encode(_Place(data_centre=data_centre))


def decode_roster(value: bytes) -> str:
    """Decode the data centre of a VM in the roster; empty if it can't be read."""
    try:
        return msgspec.json.decode(value, type=_Place).data_centre
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ""


def encode_vm(record: VmRecord) -> bytes:
    """Encode a VM's entry."""
    return msgspec.json.encode(
        _Vm(
            data_centre=record.data_centre,
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            run=record.run,
            ready=record.is_ready,
        )
    )


def decode_vm(key: str, value: bytes) -> Result[VmRecord, str]:
    """Decode a VM's entry."""
    try:
        wire = msgspec.json.decode(value, type=_Vm)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"entry {key!r}: {error}")
    return Success(
        VmRecord(
            id=key.removeprefix(VM_PREFIX),
            data_centre=wire.data_centre,
            caller_address=wire.caller_address,
            peer_address=wire.peer_address,
            run=wire.run,
            is_ready=wire.ready,
        )
    )
