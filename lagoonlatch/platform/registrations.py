"""What upstreams and VMs write to the store of themselves."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.decoding import CONVERSION_ERRORS, MAX_INT64
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.steering.model import UpstreamRecord, VmRecord

UPSTREAM_PREFIX = "servers/"
VM_PREFIX = "lagoonlatch/vms/"
ROSTER_PREFIX = "lagoonlatch/roster/"

MAX_SLOTS = 1_000_000
MAX_COLD_SECONDS = 86_400.0

_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_ColdSeconds = Annotated[float, msgspec.Meta(le=MAX_COLD_SECONDS)]
_Int64 = Annotated[int, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]
_Instant = _Int64 | Annotated[float, msgspec.Meta(ge=-MAX_INT64, le=MAX_INT64)]


class _Server(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: _Slots
    state: Literal["ready", "draining"]
    cold_left_s: _ColdSeconds = 0.0
    born: _Instant = 0
    seq: _Int64 = 0


class _Vm(msgspec.Struct):
    data_centre: str
    caller_address: str
    peer_address: str
    run: _Int64
    ready: bool
    era: _Int64 | None = None
    version: _Int64 = 0


class _Place(msgspec.Struct):
    data_centre: str = ""


def decode_upstream(key: str, value: bytes) -> Result[UpstreamRecord, str]:
    """Decode an upstream's entry; one that is odd names no upstream."""
    try:
        wire = msgspec.json.decode(value, type=_Server)
        Endpoint.from_untrusted(wire.addr)
    except CONVERSION_ERRORS as error:
        return Failure(f"entry {key!r}: {error}")
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
            sequence=wire.seq,
        )
    )


def encode_roster(data_centre: str) -> bytes:
    """Encode a VM's place in the roster."""
    return msgspec.json.encode(_Place(data_centre=data_centre))


def decode_roster(key: str, value: bytes) -> Result[str, str]:
    """Decode the data centre of a VM in the roster; empty if it isn't stated."""
    try:
        return Success(msgspec.json.decode(value, type=_Place).data_centre)
    except CONVERSION_ERRORS as error:
        return Failure(f"entry {key!r}: {error}")


def encode_vm(record: VmRecord) -> bytes:
    """Encode a VM's entry."""
    return msgspec.json.encode(
        _Vm(
            data_centre=record.data_centre,
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            run=record.run,
            ready=record.is_ready,
            era=record.era,
            version=record.configuration_version,
        )
    )


def decode_vm(key: str, value: bytes) -> Result[VmRecord, str]:
    """Decode a VM's entry."""
    try:
        wire = msgspec.json.decode(value, type=_Vm)
        Endpoint.from_untrusted(wire.caller_address)
        Endpoint.from_untrusted(wire.peer_address)
    except CONVERSION_ERRORS as error:
        return Failure(f"entry {key!r}: {error}")
    return Success(
        VmRecord(
            id=key.removeprefix(VM_PREFIX),
            data_centre=wire.data_centre,
            caller_address=wire.caller_address,
            peer_address=wire.peer_address,
            run=wire.run,
            is_ready=wire.ready,
            era=wire.era,
            configuration_version=wire.version,
        )
    )
