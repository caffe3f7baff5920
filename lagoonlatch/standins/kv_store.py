"""A stand-in of the platform's key-value store, spoken to over HTTP.

Faults are set from outside: `refuse_with` answers every call with a status,
`forget_history` drops the changes so far as a store does that compacts, and `restore`
replaces the content by an earlier copy.
"""

from __future__ import annotations

import base64
import copy
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.registry import Registry

ERA_FIELD = "Store-Era"

PAGE = 500
"""Items of one page."""

WATCH_POLL: Millis = 20.0
"""How often a waiting watch looks whether leases have ended."""

Reply = tuple[int, Any]
Handler = Callable[["KvStoreStandin", dict[str, str], Any, str], Reply]

_CALLS: Registry[Handler] = Registry("store call")


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    duration: Millis
    ends: Millis
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class StoreCopy:
    """The content of the store at one instant."""

    items_by_key: dict[str, _Item]
    leases_by_id: dict[int, _Lease]
    revision: int
    next_lease: int


class KvStoreStandin:
    """The store; `serve` listens, `put` and `remove` act as operators and upstreams.

    Attributes
    ----------
    refuse_with : int or None
        Status of every answer while it is set.
    calls : list of str
        Method and path of each call so far.
    era : int
        Number of restores so far, plus 1.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or Clock()
        self._items_by_key: dict[str, _Item] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._history: list[dict[str, Any]] = []
        self._oldest = 1
        self._revision = 1
        self._next_lease = 100
        self._written_by_key: dict[str, bytes | None] = {}
        self._changed = Event()
        self.era = 1
        self.refuse_with: int | None = None
        self.calls: list[str] = []

    def serve(self, host: str = "127.0.0.1", port: int = 0) -> WSGIServer:
        """Start listening; the server's `server_port` tells the port."""
        server = WSGIServer((host, port), self._respond, log=None, error_log=None)
        server.start()
        return server

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a value, JSON unless it is bytes, and return its revision."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        if not lease:
            self._written_by_key[key] = data
        self._revision += 1
        known = self._items_by_key.get(key)
        created = known.created if known else self._revision
        self._items_by_key[key] = _Item(data, self._revision, created, lease)
        if lease:
            self._leases_by_id[lease].keys.add(key)
        self._note(self._show(key))
        return self._revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self._written_by_key:
            self._written_by_key[key] = None
        if self._items_by_key.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "rev": self._revision, "tombstone": True})

    def forget_history(self) -> None:
        """Drop the changes so far; waiting watches don't hear of it."""
        self._history.clear()
        self._oldest = self._revision + 1

    def take_copy(self) -> StoreCopy:
        """Return a copy of the content, for `restore`."""
        return StoreCopy(
            items_by_key=copy.deepcopy(self._items_by_key),
            leases_by_id=copy.deepcopy(self._leases_by_id),
            revision=self._revision,
            next_lease=self._next_lease,
        )

    def restore(self, stored: StoreCopy) -> None:
        """Replace the content by a copy.

        Later revisions and leases are given out again. Waiting watches are cut, and the
        leases of the copy are renewed.
        """
        stored = copy.deepcopy(stored)
        self._items_by_key = stored.items_by_key
        self._leases_by_id = stored.leases_by_id
        self._revision = stored.revision
        self._next_lease = stored.next_lease
        for lease in self._leases_by_id.values():
            lease.ends = self._clock.now() + lease.duration
        self.forget_history()
        self.era += 1
        self._changed.set()
        self._changed.clear()

    def find_lost_writes(self, prefix: str) -> dict[str, bytes | None]:
        """Return what was last written without a lease and is lost, by key.

        The value is None if the key was removed.
        """
        stored = {key: item.value for key, item in self._items_by_key.items()}
        return {
            key: value
            for key, value in self._written_by_key.items()
            if key.startswith(prefix) and stored.get(key) != value
        }

    def keys(self) -> list[str]:
        """Return all keys, sorted."""
        self._end_leases()
        return sorted(self._items_by_key)

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed.clear()

    def _show(self, key: str) -> dict[str, Any]:
        item = self._items_by_key[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "rev": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _end_leases(self) -> None:
        now = self._clock.now()
        for lease_id in [i for i, le in self._leases_by_id.items() if le.ends <= now]:
            self._end_lease(lease_id)

    def end_all_leases(self) -> None:
        """End all leases with their entries, as they may end in an outage."""
        for lease_id in list(self._leases_by_id):
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        for key in self._leases_by_id.pop(lease_id).keys:
            item = self._items_by_key.get(key)
            if item is not None and item.lease == lease_id:
                self.remove(key)

    def _respond(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        self._end_leases()
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        self.calls.append(f"{method} {path}")
        body = environ["wsgi.input"].read()
        status, answer = self._answer(method, path, environ["QUERY_STRING"], body)
        data = msgspec.json.encode(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            (ERA_FIELD, str(self.era)),
        ]
        start(f"{status} {status}", headers)
        return [data]

    def _answer(self, method: str, path: str, query: str, body: bytes) -> Reply:
        if self.refuse_with is not None:
            return self.refuse_with, {"error": "refused"}
        name, _, rest = path.lstrip("/").partition("/")
        found = _CALLS.find(f"{method} {name}")
        handler = found.value_or(None)
        if handler is None:
            return 404, {"error": found.failure()}
        values = {name: found[0] for name, found in parse_qs(query).items()}
        return handler(self, values, msgspec.json.decode(body or b"{}"), rest)

    @_CALLS.register("GET kv-key")
    def _read(self, query: dict[str, str], _body: Any, _rest: str) -> Reply:
        if query["key"] not in self._items_by_key:
            return 404, {"store_revision": self._revision}
        return 200, {**self._show(query["key"]), "store_revision": self._revision}

    @_CALLS.register("GET kv-range")
    def _range(self, query: dict[str, str], _body: Any, _rest: str) -> Reply:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = [k for k in self.keys() if k.startswith(prefix) and k > after]
        return 200, {
            "items": [self._show(key) for key in keys[:PAGE]],
            "has_more": len(keys) > PAGE,
            "store_revision": self._revision,
        }

    @_CALLS.register("GET kv-watch")
    def _watch(self, query: dict[str, str], _body: Any, _rest: str) -> Reply:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        deadline = self._clock.now() + float(query["wait_ms"])
        era = self.era
        while True:
            is_known = self._oldest <= after + 1 <= self._revision + 1
            if not is_known or self.era != era:
                return 410, {}
            self._end_leases()
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            if events or self._clock.now() >= deadline:
                return 200, {"events": events, "store_revision": self._revision}
            self._changed.wait(WATCH_POLL / MILLIS_PER_SECOND)

    @_CALLS.register("POST kv-txn")
    def _transact(self, _query: dict[str, str], body: Any, _rest: str) -> Reply:
        expected = body.get("expect_rev", [])
        if any(self._revision_of(row["key"]) != row["rev"] for row in expected):
            keys = [row["key"] for row in expected]
            found = [self._show(k) for k in keys if k in self._items_by_key]
            return 412, {"items": found}
        writes = body.get("writes", [])
        if any(w["lease"] and w["lease"] not in self._leases_by_id for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease"])
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self._revision}

    def _revision_of(self, key: str) -> int:
        item = self._items_by_key.get(key)
        return item.revision if item is not None else 0

    @_CALLS.register("POST kv-lease")
    def _grant(self, _query: dict[str, str], body: Any, _rest: str) -> Reply:
        duration = body["ttl_s_time"] * MILLIS_PER_SECOND
        lease = self._next_lease
        self._next_lease += 1
        self._leases_by_id[lease] = _Lease(duration, self._clock.now() + duration)
        return 200, {"lease": lease, "ttl_s_time": body["ttl_s_time"]}

    @_CALLS.register("POST kv-keep")
    def _renew(self, _query: dict[str, str], _body: Any, rest: str) -> Reply:
        lease = self._leases_by_id.get(int(rest))
        if lease is None:
            return 404, {}
        lease.ends = self._clock.now() + lease.duration
        return 200, {"ttl_s_time": lease.duration / MILLIS_PER_SECOND}

    @_CALLS.register("DELETE kv-lease-end")
    def _revoke(self, _query: dict[str, str], _body: Any, rest: str) -> Reply:
        if int(rest) not in self._leases_by_id:
            return 404, {}
        self._end_lease(int(rest))
        return 200, {}
