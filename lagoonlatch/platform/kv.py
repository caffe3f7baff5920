"""The platform's key-value store: ranges, watches, transactions and leases."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.decoding import CONVERSION_ERRORS
from lagoonlatch.platform.connections import Answer, CallFailed, Connections
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.store import (
    Entry,
    StoreConflict,
    StoreError,
    StoreLeaseEnded,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

CALL_TIMEOUT: Millis = 1_500.0
"""Longest time of one call; the store answers in milliseconds unless it is ill."""

WATCH_MARGIN: Millis = 1_000.0
"""How much longer than it may wait a watch's answer is waited for."""

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_TURNED_AWAY = frozenset({403, 429, 503})

_ERA_FIELD = "store-era"
_MAX_ERA_DIGITS = 9

M = TypeVar("M")

Observer = Callable[[str, str, Millis], None]

_NAME_BY_CALL = {
    "kv-range": "read",
    "kv-watch": "watch",
    "kv-txn": "write",
    "kv-lease": "grant",
    "kv-keep": "renew",
    "kv-lease-end": "revoke",
}


def _ignore(_call: str, _result: str, _elapsed: Millis) -> None:
    pass


def _ignore_era(_text: str) -> None:
    pass


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer holds the changes since the revision asked for."""


@dataclass(frozen=True)
class Snapshot:
    """Entries, and a revision whose later changes complete them.

    Parameters
    ----------
    era : int
        Number of times that the store was restored from a copy. Revisions of different
        eras can't be compared.
    """

    entries: tuple[Entry, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True)
class Changes:
    """Changes in order.

    Parameters
    ----------
    written : tuple of Entry
        Each change; a value of None says that the key was removed.
    revision : int
        Where to continue.
    era : int
        As in `Snapshot`.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True)
class Change:
    """A written or removed key; `value` is None if it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class Lease:
    """A lease; a restored store gives out the ids of earlier ones again."""

    id: int
    era: int = 0


@dataclass(frozen=True)
class Write:
    """An entry to write; with `lease` it is removed when the lease ends."""

    key: str
    value: bytes
    lease: Lease | None = None


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: bytes = b""
    tombstone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _Written(msgspec.Struct):
    rev: int


class _Conflict(msgspec.Struct):
    items: list[_Item | None] = []


class _LeaseGranted(msgspec.Struct):
    lease: int


@dataclass(frozen=True)
class _StoreAnswer:
    """A whole answer of the store, and its era."""

    status: int
    body: bytes
    era: int


class _Eras:
    """The eras that the store states in its answers.

    Attributes
    ----------
    latest : int
        The highest era since the last snapshot; 0 if the store states none.
    """

    def __init__(self, report_odd: Callable[[str], None]) -> None:
        self.latest = 0
        self._report_odd = report_odd

    def read(self, answer: Answer) -> int:
        """Return the era of an answer, the latest one if it states none."""
        text = answer.headers.get(_ERA_FIELD)
        if text is None:
            return self.latest
        if not (text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS):
            self._report_odd(text)
            return self.latest
        era = int(text)
        self.latest = max(self.latest, era)
        return era


class _Observed:
    """Connections that report each call and the store's era in each answer."""

    def __init__(
        self, connections: Connections, observe: Observer, eras: _Eras
    ) -> None:
        self._connections = connections
        self._observe = observe
        self._eras = eras

    def call(
        self, method: str, path: str, body: bytes = b"", timeout: Millis | None = None
    ) -> Result[_StoreAnswer, CallFailed]:
        started = time.monotonic()
        outcome = self._connections.call(method, path, body, timeout)
        name = path.strip("/").partition("?")[0].partition("/")[0]
        result = (
            str(outcome.unwrap().status) if isinstance(outcome, Success) else "lost"
        )
        elapsed = (time.monotonic() - started) * MILLIS_PER_SECOND
        self._observe(_NAME_BY_CALL.get(name, name), result, elapsed)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            era = self._eras.read(answer)
            return Success(_StoreAnswer(answer.status, answer.body, era))
        return outcome

    def interrupt(self) -> None:
        self._connections.interrupt()

    def close(self) -> None:
        self._connections.close()


class KeyValueStore:
    """The store at one address.

    Parameters
    ----------
    endpoint : Endpoint
        The store.
    observe : callable
        Is told each call's name, whether it was answered, and how long it took.
    report_odd_era : callable
        Is called with each era in an answer that can't be read.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        observe: Observer = _ignore,
        report_odd_era: Callable[[str], None] = _ignore_era,
    ) -> None:
        self._endpoint = endpoint
        self._observe = observe
        self._eras = _Eras(report_odd_era)
        self._connections = _Observed(
            Connections(endpoint, CALL_TIMEOUT), observe, self._eras
        )

    @classmethod
    def from_address(
        cls,
        address: str,
        observe: Observer = _ignore,
        report_odd_era: Callable[[str], None] = _ignore_era,
    ) -> KeyValueStore:
        """Return the store at ``IP:port``."""
        return cls(Endpoint.from_address(address), observe, report_odd_era)

    @property
    def era(self) -> int:
        """The highest era in any answer since the last snapshot, 0 if none."""
        return self._eras.latest

    def read_prefix(self, prefix: str) -> Result[Snapshot, StoreError]:
        """Return all entries whose keys begin with `prefix`."""
        entries: list[Entry] = []
        revision = 0
        era: int | None = None
        after = ""
        while True:
            outcome = _get(
                self._connections, "/kv-range", {"path_prefix": prefix, "after": after}
            )
            page = _read_read(outcome, _Range)
            if isinstance(page, Failure):
                return page
            found, page_era = page.unwrap(), outcome.unwrap().era
            if era not in (None, page_era):
                return Failure(StoreUnavailable("restored while it was read"))
            era = page_era
            # Later pages may hold later changes; the first page's revision is the
            # one from which a watch misses none.
            revision = revision or found.store_revision
            entries.extend(Entry(i.key, i.value, i.rev) for i in found.items)
            if not found.has_more or not found.items:
                # A higher era in an earlier refusal was not the store's own.
                self._eras.latest = era
                return Success(Snapshot(tuple(entries), revision, era))
            after = found.items[-1].key

    def open_watch(self, prefix: str, longest_wait: Millis) -> Watch:
        """Return a watch of `prefix`, whose calls wait up to `longest_wait`."""
        return Watch(self._endpoint, prefix, longest_wait, self._observe, self._eras)

    def put(
        self, key: str, value: bytes, lease: Lease | None = None
    ) -> Result[int, StoreError]:
        """Write `value` and return its revision; StoreLeaseEnded as in `put_all`."""
        return self._transact({"writes": [_write(key, value, lease)]}, key, lease)

    def put_all(self, writes: Sequence[Write]) -> Result[int, StoreError]:
        """Write all entries or none and return their revision.

        The failure is StoreLeaseEnded if the lease has ended. If the store was restored
        since it granted the lease, the entries may have been written under another
        lease of the same id.
        """
        body = {"writes": [_write(w.key, w.value, w.lease) for w in writes]}
        lease = next((w.lease for w in writes if w.lease is not None), None)
        return self._transact(body, writes[0].key, lease)

    def put_if(
        self, key: str, value: bytes, revision: int, lease: Lease | None = None
    ) -> Result[int, StoreError]:
        """Write `value` if `key` still has `revision` (0: absent)."""
        body = {
            "expect_rev": [{"key": key, "rev": revision}],
            "writes": [_write(key, value, lease)],
        }
        return self._transact(body, key, lease)

    def delete_if(self, key: str, revision: int) -> Result[int, StoreError]:
        """Delete `key` if it still has `revision`."""
        body = {"expect_rev": [{"key": key, "rev": revision}], "remove": [key]}
        return self._transact(body, key, None)

    def delete(self, key: str) -> Result[int, StoreError]:
        """Delete `key`."""
        return self._transact({"remove": [key]}, key, None)

    def grant_lease(self, duration: Millis) -> Result[Lease, StoreError]:
        """Return a new lease of `duration`."""
        body = msgspec.json.encode({"ttl_s_time": duration / MILLIS_PER_SECOND})
        outcome = self._connections.call("POST", "/kv-lease", body)
        return _read_write(outcome, _LeaseGranted, None).map(
            lambda granted: Lease(granted.lease, outcome.unwrap().era)
        )

    def renew_lease(self, lease: Lease) -> Result[None, StoreError]:
        """Extend a lease; StoreLeaseEnded if it has ended.

        A lease of an earlier era has ended, even if another one has its id now.
        """
        outcome = self._connections.call("POST", f"/kv-keep/{lease.id}", b"{}")
        return _read_write(outcome, dict, lease).map(lambda _: None)

    def _transact(
        self, body: object, key: str, lease: Lease | None
    ) -> Result[int, StoreError]:
        outcome = self._connections.call("POST", "/kv-txn", msgspec.json.encode(body))
        if isinstance(outcome, Success) and outcome.unwrap().status == _CONFLICT:
            return Failure(StoreConflict(key, _found(outcome.unwrap().body, key)))
        return _read_write(outcome, _Written, lease).map(lambda done: done.rev)


class Watch:
    """Waits for changes under a prefix, on a connection of its own."""

    def __init__(
        self,
        endpoint: Endpoint,
        prefix: str,
        longest_wait: Millis,
        observe: Observer,
        eras: _Eras,
    ) -> None:
        self._prefix = prefix
        connections = Connections(endpoint, longest_wait + WATCH_MARGIN, size=1)
        self._connections = _Observed(connections, observe, eras)

    def wait_for_changes(
        self, revision: int, wait: Millis
    ) -> Result[Changes, StoreError | HistoryGone]:
        """Return the changes after `revision`, none if `wait` ends first."""
        query = {
            "path_prefix": self._prefix,
            "after": str(revision),
            "wait_ms": str(int(wait)),
        }
        # A connection may go silent for good; only the call's own end shows it.
        outcome = _get(self._connections, "/kv-watch", query, wait + WATCH_MARGIN)
        if isinstance(outcome, Success) and outcome.unwrap().status == _GONE:
            return Failure(HistoryGone())
        return _read_read(outcome, _Events).map(
            lambda found: Changes(
                tuple(_change(item) for item in found.events),
                found.store_revision,
                outcome.unwrap().era,
            )
        )

    def interrupt(self) -> None:
        """Let the call that waits fail at once."""
        self._connections.interrupt()

    def close(self) -> None:
        """Close the connection."""
        self._connections.close()


def _write(key: str, value: bytes, lease: Lease | None) -> dict[str, object]:
    return {"key": key, "value": value, "lease": lease.id if lease is not None else 0}


def _change(item: _Item) -> Change:
    return Change(item.key, None if item.tombstone else item.value, item.rev)


def _get(
    connections: _Observed,
    path: str,
    query: dict[str, str],
    timeout: Millis | None = None,
) -> Result[_StoreAnswer, CallFailed]:
    text = urlencode({name: value for name, value in query.items() if value}, safe="/")
    return connections.call("GET", f"{path}?{text}", timeout=timeout)


def _found(body: bytes, key: str) -> Entry | None:
    try:
        conflict = msgspec.json.decode(body, type=_Conflict)
    except CONVERSION_ERRORS:
        return None
    for item in conflict.items:
        if item is not None and item.key == key and item.rev:
            return Entry(item.key, item.value, item.rev)
    return None


def _read_read(
    outcome: Result[_StoreAnswer, CallFailed], kind: type[M]
) -> Result[M, StoreError]:
    if isinstance(outcome, Failure):
        return Failure(StoreUnavailable(outcome.failure().reason))
    answer = outcome.unwrap()
    if answer.status != _OK:
        return Failure(StoreUnavailable(_describe(answer)))
    try:
        return Success(msgspec.json.decode(answer.body, type=kind))
    except CONVERSION_ERRORS as error:
        return Failure(StoreUnavailable(f"unreadable answer: {error}"))


def _read_write(
    outcome: Result[_StoreAnswer, CallFailed], kind: type[M], lease: Lease | None
) -> Result[M, StoreError]:
    if isinstance(outcome, Failure):
        failed = outcome.failure()
        error = StoreOutcomeUnknown if failed.sent else StoreUnavailable
        return Failure(error(failed.reason))
    answer = outcome.unwrap()
    if lease is not None and (answer.status == _NOT_FOUND or answer.era > lease.era):
        return Failure(StoreLeaseEnded(lease.id))
    if answer.status in _TURNED_AWAY:
        return Failure(StoreUnavailable(_describe(answer)))
    if answer.status != _OK:
        return Failure(StoreOutcomeUnknown(_describe(answer)))
    try:
        return Success(msgspec.json.decode(answer.body or b"{}", type=kind))
    except CONVERSION_ERRORS as error:
        return Failure(StoreOutcomeUnknown(f"unreadable answer: {error}"))


def _describe(answer: _StoreAnswer) -> str:
    return f"HTTP {answer.status}: {answer.body[:200].decode(errors='replace')}"
