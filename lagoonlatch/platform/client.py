"""The platform's store over HTTP.

See Also
--------
lagoonlatch.platform.store : The interfaces implemented here.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from typing import TypeVar

from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform import gateway
from lagoonlatch.platform.answers import read_answer, write_answer
from lagoonlatch.platform.connections import DEFAULT_TIMEOUT, Connections
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.store import (
    Entry,
    StoreConflict,
    StoreError,
    StoreLeaseEnded,
    WatchNotice,
)
from lagoonlatch.platform.watch import DEFAULT_WATCH_SILENCE, stream_notices

M = TypeVar("M")


class HttpStore:
    """The platform's key-value store over its JSON gateway.

    Parameters
    ----------
    endpoint : Endpoint
        The store.
    timeout : Millis
        Longest time that one call takes.
    watch_silence : Millis
        A watch that hears nothing for so long has failed.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        *,
        timeout: Millis = DEFAULT_TIMEOUT,
        watch_silence: Millis = DEFAULT_WATCH_SILENCE,
    ) -> None:
        self._endpoint = endpoint
        self._watch_silence = watch_silence
        self._connections = Connections(endpoint, timeout)

    @classmethod
    def from_address(
        cls,
        address: str,
        *,
        source: str = "",
        timeout: Millis = DEFAULT_TIMEOUT,
        watch_silence: Millis = DEFAULT_WATCH_SILENCE,
    ) -> HttpStore:
        """Return the store at ``IP:port``, called from the IP address `source`."""
        endpoint = Endpoint.from_address(address, source)
        return cls(endpoint, timeout=timeout, watch_silence=watch_silence)

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of `key`, or None if it is absent."""
        request = gateway.RangeRequest(key=key.encode())
        return self._range(request).map(_first_entry)

    def read_prefix(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Return the entries whose keys begin with `prefix`, sorted by key."""
        request = gateway.RangeRequest(
            key=prefix.encode() or b"\0", range_end=gateway.prefix_end(prefix)
        )
        return self._range(request).map(read_entries)

    def put_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> Result[Entry, StoreError]:
        """Write `value` if `key` still has `revision` (0: absent)."""
        put = gateway.PutRequest(key=key.encode(), value=value, lease=lease)
        return self._swap(key, revision, gateway.Operation(request_put=put), lease).map(
            lambda written: Entry(key, value, written)
        )

    def delete_if(self, key: str, revision: int) -> Result[None, StoreError]:
        """Delete `key` if it still has `revision`."""
        delete = gateway.DeleteRequest(key=key.encode())
        operation = gateway.Operation(request_delete_range=delete)
        return self._swap(key, revision, operation).map(lambda _: None)

    def grant_lease(self, duration: Millis) -> Result[int, StoreError]:
        """Return the id of a new lease, of `duration` rounded up to seconds."""
        seconds = max(1, ceil(duration / MILLIS_PER_SECOND))
        return self._write(
            gateway.GRANT_PATH,
            gateway.LeaseRequest(TTL=seconds),
            gateway.LeaseResponse,
        ).map(lambda response: response.ID)

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its duration; StoreLeaseEnded if it has ended."""
        response = self._write(
            gateway.KEEP_ALIVE_PATH,
            gateway.LeaseRequest(ID=lease),
            gateway.KeepAliveResponse,
            lease,
        )
        return response.bind(
            lambda renewed: (
                Success(None)
                if renewed.result.TTL > 0
                else Failure(StoreLeaseEnded(lease))
            )
        )

    def revoke_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease now."""
        return self._write(
            gateway.REVOKE_PATH,
            gateway.LeaseRequest(ID=lease),
            gateway.LeaseResponse,
            lease,
        ).map(lambda _: None)

    def watch(self, prefix: str) -> Iterator[Result[WatchNotice, StoreError]]:
        """Yield changes under `prefix`; ends after the first failure."""
        return stream_notices(self._endpoint, prefix, self._watch_silence)

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def _range(
        self, request: gateway.RangeRequest
    ) -> Result[gateway.RangeResponse, StoreError]:
        body = gateway.encode_message(request)
        outcome = self._connections.call("POST", gateway.RANGE_PATH, body)
        return read_answer(outcome, gateway.RangeResponse)

    def _swap(
        self, key: str, revision: int, operation: gateway.Operation, lease: int = 0
    ) -> Result[int, StoreError]:
        """Run `operation` if `key` has `revision`; return the new revision."""
        encoded = key.encode()
        compare = gateway.Compare(
            key=encoded, mod_revision=revision, target="MOD", result="EQUAL"
        )
        look = gateway.Operation(request_range=gateway.RangeRequest(key=encoded))
        request = gateway.TxnRequest(
            compare=(compare,), success=(operation,), failure=(look,)
        )
        response = self._write(gateway.TXN_PATH, request, gateway.TxnResponse, lease)
        return response.bind(
            lambda done: (
                Success(done.header.revision)
                if done.succeeded
                else Failure(StoreConflict(key, found_entry(done)))
            )
        )

    def _write(
        self, path: str, request: object, kind: type[M], lease: int = 0
    ) -> Result[M, StoreError]:
        body = gateway.encode_message(request)
        outcome = self._connections.call("POST", path, body)
        return write_answer(outcome, kind, lease)


def read_entries(response: gateway.RangeResponse) -> tuple[Entry, ...]:
    """Return the entries of an answer; other tools' keys may be no UTF-8."""
    return tuple(
        Entry(record.key.decode(errors="replace"), record.value, record.mod_revision)
        for record in response.kvs
    )


def _first_entry(response: gateway.RangeResponse) -> Entry | None:
    entries = read_entries(response)
    return entries[0] if entries else None


def found_entry(response: gateway.TxnResponse) -> Entry | None:
    """Return what a failed comparison found."""
    for operation in response.responses:
        if operation.response_range is not None:
            return _first_entry(operation.response_range)
    return None
