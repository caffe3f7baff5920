"""News of the store from VM to VM, for those that the store turns away.

A VM that can't follow the store asks one that can for all that it has read. What it
gets is as good as a reading of its own, only later.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import gevent
from gevent import socket
from gevent.server import StreamServer
from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import NewsFailed, NewsTaken
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.generated import News
from lagoonlatch.entry.generated.ttypes import Item, Reading
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.sync import StoreSync
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.store import Entry
from lagoonlatch.vms.connection import framed_transport, tune_socket

ASK_AFTER: Millis = 600.0
"""A store that fails for so long is not waited for."""

ASK_INTERVAL: Millis = 500.0
"""Between questions; a change must count within a few seconds."""

CALL_TIMEOUT: Millis = 800.0
"""Longest call: some round trips between regions, and the items' transfer."""


class NewsServer:
    """Answers VMs that the store turns away."""

    def __init__(self, facts: Facts, sync: StoreSync) -> None:
        self._facts = facts
        self._sync = sync

    def serve(self, address: str) -> StreamServer:
        """Start listening at ``IP:port``."""
        endpoint = Endpoint.from_address(address)
        server = StreamServer(endpoint.pair, self._serve_connection)
        server.start()
        return server

    def read_since(self, revision: int) -> Reading:
        """Return all items if they are newer than `revision`."""
        if self._sync.is_failing or self._sync.revision <= revision:
            return Reading(0, [])
        items = [
            Item(entry.key, entry.value, entry.revision)
            for entry in self._facts.entries()
        ]
        return Reading(self._sync.revision, items)

    def _serve_connection(self, sock: socket.socket, _address: tuple) -> None:
        tune_socket(sock)
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
    """Asks other VMs while this one can't follow the store.

    Parameters
    ----------
    list_addresses : callable
        Returns where other VMs listen, ``IP:port``.
    """

    def __init__(
        self,
        facts: Facts,
        sync: StoreSync,
        list_addresses: Callable[[], Sequence[str]],
        clock: Clock,
    ) -> None:
        self._facts = facts
        self._sync = sync
        self._list_addresses = list_addresses
        self._clock = clock

    def run(self) -> None:
        """Ask for ever, whenever the store fails."""
        while True:
            gevent.sleep(ASK_INTERVAL / MILLIS_PER_SECOND)
            if self._sync.failing_for() >= ASK_AFTER:
                self._ask_someone()

    def _ask_someone(self) -> None:
        addresses = self._list_addresses()
        if not addresses:
            return
        peer = random.choice(addresses)
        result = _call(peer, self._sync.revision)
        if isinstance(result, Failure):
            emit(NewsFailed(peer=peer, why=result.failure()))
            return
        reading = result.unwrap()
        if reading.revision > self._sync.revision and self._sync.is_failing:
            entries = [Entry(i.key, i.value, i.revision) for i in reading.items]
            self._facts.take_snapshot(entries)
            self._sync.note_reading(reading.revision)
            emit(NewsTaken(peer=peer, revision=reading.revision))


def _call(address: str, revision: int) -> Result[Reading, str]:
    try:
        with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
            sock = socket.create_connection(Endpoint.from_address(address).pair)
            try:
                tune_socket(sock)
                protocol = TBinaryProtocolAccelerated(framed_transport(sock))
                return Success(News.Client(protocol).read_since(revision))
            finally:
                sock.close()
    except (OSError, EOFError, TException) as error:
        return Failure(f"{type(error).__name__}: {error}")
