"""Messages of the store's JSON gateway, shared by the client and the stand-in.

They follow the etcd v3 gateway: bytes travel in base64, 64-bit integers as
numbers or as strings, and fields with default values are left out.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.decoding import DECODE_ERRORS

M = TypeVar("M")

VALUE_LIMIT = 1_048_576
"""Largest value in bytes."""

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEP_ALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"
VMS_PATH = "/v1/vms"

LEASE_NOT_FOUND = "etcdserver: requested lease not found"
NO_LEADER = "etcdserver: no leader"
TOO_LARGE = "etcdserver: request is too large"


class _Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message whose absent fields have their default values."""


class KeyValue(_Message):
    """A key's value; `mod_revision` is the revision of its last write."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0
    lease: int = 0


class RangeRequest(_Message):
    """Reads `key`, or all keys from `key` up to `range_end`."""

    key: bytes = b""
    range_end: bytes = b""


class RangeResponse(_Message):
    """The entries found, sorted by key."""

    kvs: tuple[KeyValue, ...] = ()


class PutRequest(_Message):
    """Writes a value, bound to `lease` unless that is 0."""

    key: bytes = b""
    value: bytes = b""
    lease: int = 0


class DeleteRequest(_Message):
    """Deletes one key."""

    key: bytes = b""


class Compare(_Message):
    """Holds if `key` has `mod_revision`; an absent key has 0."""

    key: bytes = b""
    mod_revision: int = 0
    target: str = ""
    result: str = ""


class Operation(_Message):
    """Exactly one of the three requests."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(_Message):
    """Runs `success` if every comparison holds, otherwise `failure`."""

    compare: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()


class ResponseHeader(_Message):
    """The store's revision after the call."""

    revision: int = 0


class OperationResponse(_Message):
    """The answer to a read within a transaction."""

    response_range: RangeResponse | None = None


class TxnResponse(_Message):
    """Which branch ran, and its answers."""

    header: ResponseHeader = ResponseHeader()
    succeeded: bool = False
    responses: tuple[OperationResponse, ...] = ()


class LeaseRequest(_Message):
    """Names a lease; `TTL` in seconds when one is granted."""

    ID: int = 0
    TTL: int = 0


class LeaseResponse(_Message):
    """A lease and its remaining `TTL` in seconds; 0 when it has ended."""

    ID: int = 0
    TTL: int = 0


class KeepAliveResponse(_Message):
    """The answer to a renewal."""

    result: LeaseResponse = LeaseResponse()


class WatchCreateRequest(_Message):
    """Watches the keys from `key` up to `range_end`."""

    key: bytes = b""
    range_end: bytes = b""
    progress_notify: bool = False


class WatchRequest(_Message):
    """Opens a watch."""

    create_request: WatchCreateRequest = WatchCreateRequest()


class WatchEvent(_Message):
    """A write (`PUT`) or a deletion (`DELETE`)."""

    kv: KeyValue = KeyValue()
    type: str = "PUT"


class WatchResult(_Message):
    """Events, or none in a progress notice."""

    created: bool = False
    canceled: bool = False
    events: tuple[WatchEvent, ...] = ()


class GatewayError(_Message):
    """Why a call was refused."""

    code: int = 0
    message: str = ""


class WatchResponse(_Message):
    """One line of a watch's stream."""

    result: WatchResult | None = None
    error: GatewayError | None = None


class VmRecord(_Message):
    """One VM of the platform's list."""

    id: str
    address: str
    data_centre: str
    state: str


def encode_message(message: object) -> bytes:
    """Return the JSON of `message`."""
    return msgspec.json.encode(message)


def decode_message(body: bytes, kind: type[M]) -> Result[M, str]:
    """Return the message of type `kind` in `body`, or why it is malformed."""
    try:
        return Success(msgspec.json.decode(body, type=kind, strict=False))
    except DECODE_ERRORS as error:
        return Failure(f"malformed answer: {error}")


def prefix_end(prefix: str) -> bytes:
    """Return the key after all keys that begin with `prefix`.

    A zero byte stands for the end of the key space.
    """
    encoded = prefix.encode()
    for length in range(len(encoded), 0, -1):
        last = encoded[length - 1]
        if last < 0xFF:
            return encoded[: length - 1] + bytes([last + 1])
    return b"\0"
