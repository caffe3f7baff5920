"""News of the store from VM to VM.

A VM that listens, or that the store turns away, asks one that knows more. What it gets
is as good as a reading of its own, only later.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import NewsFailed, NewsTaken
from lagoonlatch.entry.generated import News
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.reading import Batch, StoreReading
from lagoonlatch.entry.sync import StoreSync
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from lagoonlatch.vms.connection import framed_transport, tune_peer_socket

ASK_AFTER: Millis = 600.0
"""A store that fails for so long is not waited for."""

ASK_INTERVAL: Millis = 500.0
"""Between questions while the store fails; a change must count within a few seconds."""

BEHIND: Millis = 150.0
"""Others may know more for so long; what they pass on may be on its way."""

LOOK_INTERVAL: Millis = 500.0
"""How often a VM looks whether the store fails; what others know more wakes it."""

CONNECT_TIMEOUT: Millis = 300.0
"""Some round trips between regions; a VM that is cut off answers nothing."""

CALL_TIMEOUT: Millis = 800.0
"""Longest call: some round trips between regions, and the items' transfer."""


class NewsServer:
    """Answers VMs that know less than this one."""

    def __init__(self, reading: StoreReading) -> None:
        self._reading = reading

    def serve(self, address: str) -> StreamServer:
        """Start listening at ``IP:port``."""
        endpoint = Endpoint.from_address(address)
        server = StreamServer(endpoint.pair, self._serve_connection)
        server.start()
        return server

    def read_since(self, revision: int) -> wire.Reading:
        """Return what is newer than `revision`; changes if all are known, else all."""
        known = self._reading.revision
        if known <= revision:
            return wire.Reading(revision=0, items=[])
        batch = self._reading.batch_since(revision)
        if batch is not None:
            return wire.Reading(revision=known, items=[], batch=encode_batch(batch))
        items = [
            wire.Item(entry.key, entry.value, entry.revision)
            for entry in self._reading.entries()
        ]
        lapse_left = round(self._reading.lapse_left())
        return wire.Reading(revision=known, items=items, lapse_left=lapse_left)

    def _serve_connection(self, sock: socket.socket, _address: tuple) -> None:
        tune_peer_socket(sock)
        protocol = TBinaryProtocolAccelerated(framed_transport(sock))
        processor = News.Processor(self)
        try:
            with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
                processor.process(protocol, protocol)
        except (OSError, EOFError, TException) as error:
            emit(NewsFailed(peer="caller", why=str(error)))
        finally:
            sock.close()


class NewsReader:
    """Asks other VMs when they know more, or while this one can't ask the store.

    Parameters
    ----------
    list_addresses : callable
        Returns where other VMs listen, ``IP:port``.
    list_ahead : callable
        Returns where VMs listen that have told of later changes than `revision`.
    """

    def __init__(
        self,
        reading: StoreReading,
        sync: StoreSync,
        list_addresses: Callable[[], Sequence[str]],
        list_ahead: Callable[[int], Sequence[str]],
        clock: Clock,
    ) -> None:
        self._reading = reading
        self._sync = sync
        self._list_addresses = list_addresses
        self._list_ahead = list_ahead
        self._clock = clock
        self._behind_since: Millis | None = None
        self._last_failed = ""
        self._asked: Millis = 0.0
        self._told_ahead = Event()

    def run(self) -> None:
        """Ask for ever, whenever others know more or the store fails."""
        while True:
            self._told_ahead.wait(LOOK_INTERVAL / MILLIS_PER_SECOND)
            self._told_ahead.clear()
            if not self._reading.revision and not self._sync.is_failing:
                # The first reading is this VM's own.
                continue
            self._look()
            if self._behind_since is not None:
                gevent.sleep(BEHIND / MILLIS_PER_SECOND)
                self._look()

    def note_ahead(self) -> None:
        """Look soon, since another VM has told that it knows more."""
        self._told_ahead.set()

    def _look(self) -> None:
        now = self._clock.now()
        ahead = self._list_ahead(self._reading.revision)
        if not ahead or self._sync.is_gathering:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= BEHIND:
            self._ask(self._choose(ahead))
            return
        is_due = now - self._asked >= ASK_INTERVAL
        if not ahead and is_due and self._sync.failing_for() >= ASK_AFTER:
            self._asked = now
            addresses = self._list_addresses()
            if addresses:
                self._ask(self._choose(addresses))

    def _choose(self, peers: Sequence[str]) -> str:
        """Return one of `peers`, not the one that failed last if there is another."""
        return random.choice([p for p in peers if p != self._last_failed] or peers)

    def _ask(self, peer: str) -> None:
        result = _call(peer, self._reading.revision)
        self._last_failed = peer if isinstance(result, Failure) else ""
        if isinstance(result, Failure):
            emit(NewsFailed(peer=peer, why=result.failure()))
            return
        found = result.unwrap()
        if found.revision <= self._reading.revision:
            return
        if found.batch is not None:
            self._reading.take_batch(decode_batch(found.batch))
        else:
            entries = [Entry(i.key, i.value, i.revision) for i in found.items]
            lapse_left = float(found.lapse_left or 0)
            self._reading.take_snapshot(entries, found.revision, lapse_left)
        emit(NewsTaken(peer=peer, revision=found.revision))


def encode_batch(batch: Batch) -> wire.Batch:
    """Encode changes for another VM."""
    return wire.Batch(
        since=batch.since,
        until=batch.until,
        changes=[wire.Change(c.key, c.value, c.revision) for c in batch.changes],
        lapse_left=round(batch.lapse_left),
    )


def decode_batch(batch: wire.Batch) -> Batch:
    """Decode changes that another VM passes on."""
    return Batch(
        since=batch.since,
        until=batch.until,
        changes=tuple(Change(c.key, c.value, c.revision) for c in batch.changes),
        lapse_left=float(batch.lapse_left),
    )


def _call(address: str, revision: int) -> Result[wire.Reading, str]:
    try:
        with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
            sock = socket.create_connection(
                Endpoint.from_address(address).pair,
                CONNECT_TIMEOUT / MILLIS_PER_SECOND,
            )
            sock.settimeout(None)
            try:
                tune_peer_socket(sock)
                protocol = TBinaryProtocolAccelerated(framed_transport(sock))
                return Success(News.Client(protocol).read_since(revision))
            finally:
                sock.close()
    except (OSError, EOFError, TException) as error:
        return Failure(f"{type(error).__name__}: {error}")
