"""The store's JSON gateway over a `StoreState`, without faults."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from gevent.queue import Empty, SimpleQueue
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform import gateway
from lagoonlatch.platform.store import (
    Entry,
    StoreConflict,
    StoreLeaseEnded,
    StoreUnavailable,
    WatchNotice,
)
from lagoonlatch.standins.store_state import StoreState

NOT_FOUND = 404
BAD_REQUEST = 400

_GRPC_INVALID = 3
_GRPC_NOT_FOUND = 5

Reply = tuple[int, object]


def run_call(state: StoreState, path: str, body: bytes) -> Reply:
    """Run one call and return its HTTP status and message."""
    if path not in _CALLS:
        return _refuse(NOT_FOUND, f"no method {path}")
    kind, run = _CALLS[path]
    request = gateway.decode_message(body, kind)
    if isinstance(request, Failure):
        return _refuse(BAD_REQUEST, request.failure())
    return run(state, request.unwrap())


def is_write(path: str) -> bool:
    """Return whether the call changes the store."""
    return path != gateway.RANGE_PATH


def stream_watch(
    queue: SimpleQueue, progress_interval: Millis
) -> Iterator[gateway.WatchResponse]:
    """Yield the messages of a watch: its opening, changes and progress notices."""
    yield _watch_message(created=True)
    while True:
        try:
            notice = queue.get(timeout=progress_interval / MILLIS_PER_SECOND)
        except Empty:
            yield _watch_message()
        else:
            yield _watch_message(events=(_watch_event(notice),))


def _watch_event(notice: WatchNotice) -> gateway.WatchEvent:
    record = gateway.KeyValue(key=notice.key.encode(), mod_revision=notice.revision)
    return gateway.WatchEvent(kv=record)


def _watch_message(**fields) -> gateway.WatchResponse:
    return gateway.WatchResponse(result=gateway.WatchResult(**fields))


def _range(state: StoreState, request: gateway.RangeRequest) -> Reply:
    if request.range_end:
        entries = state.read_range(request.key, request.range_end)
    else:
        entry = state.read(request.key.decode())
        entries = (entry,) if entry else ()
    return 200, gateway.RangeResponse(kvs=tuple(map(_record, entries)))


def _transact(state: StoreState, request: gateway.TxnRequest) -> Reply:
    """Run the one shape of transaction that the client sends."""
    if len(request.compare) != 1 or len(request.success) != 1:
        return _refuse(BAD_REQUEST, "the stand-in runs one comparison and operation")
    outcome = _swap(state, request.compare[0].mod_revision, request.success[0])
    if isinstance(outcome, Success):
        header = gateway.ResponseHeader(revision=outcome.unwrap())
        return 200, gateway.TxnResponse(header=header, succeeded=True)
    error = outcome.failure()
    if isinstance(error, StoreConflict):
        found = (_record(error.current),) if error.current else ()
        response = gateway.OperationResponse(gateway.RangeResponse(kvs=found))
        return 200, gateway.TxnResponse(responses=(response,))
    return _refuse_error(error)


def _swap(
    state: StoreState, revision: int, operation: gateway.Operation
) -> Result[int, object]:
    put = operation.request_put
    if put is not None:
        outcome = state.put_if(put.key.decode(), put.value, revision, put.lease)
        return outcome.map(lambda entry: entry.revision)
    delete = operation.request_delete_range
    if delete is not None:
        return state.delete_if(delete.key.decode(), revision).map(lambda _: 0)
    return Failure(StoreUnavailable("the stand-in runs a put or a deletion"))


def _grant(state: StoreState, request: gateway.LeaseRequest) -> Reply:
    lease = state.grant_lease(request.TTL * MILLIS_PER_SECOND)
    return 200, gateway.LeaseResponse(ID=lease, TTL=request.TTL)


def _renew(state: StoreState, request: gateway.LeaseRequest) -> Reply:
    renewed = isinstance(state.renew_lease(request.ID), Success)
    response = gateway.LeaseResponse(ID=request.ID, TTL=1 if renewed else 0)
    return 200, gateway.KeepAliveResponse(result=response)


def _revoke(state: StoreState, request: gateway.LeaseRequest) -> Reply:
    outcome = state.revoke_lease(request.ID)
    if isinstance(outcome, Failure):
        return _refuse_error(outcome.failure())
    return 200, gateway.LeaseResponse()


def _refuse_error(error: object) -> Reply:
    if isinstance(error, StoreLeaseEnded):
        return _refuse(NOT_FOUND, gateway.LEASE_NOT_FOUND, _GRPC_NOT_FOUND)
    assert isinstance(error, StoreUnavailable), f"unexpected outcome {error!r}"
    return _refuse(BAD_REQUEST, error.reason)


def _refuse(status: int, message: str, code: int = _GRPC_INVALID) -> Reply:
    return status, gateway.GatewayError(code=code, message=message)


def _record(entry: Entry) -> gateway.KeyValue:
    return gateway.KeyValue(
        key=entry.key.encode(), value=entry.value, mod_revision=entry.revision
    )


_CALLS: dict[str, tuple[type, Callable[..., Reply]]] = {
    gateway.RANGE_PATH: (gateway.RangeRequest, _range),
    gateway.TXN_PATH: (gateway.TxnRequest, _transact),
    gateway.GRANT_PATH: (gateway.LeaseRequest, _grant),
    gateway.KEEP_ALIVE_PATH: (gateway.LeaseRequest, _renew),
    gateway.REVOKE_PATH: (gateway.LeaseRequest, _revoke),
}
