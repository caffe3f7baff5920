"""Get changes of the store that this VM lacks from other VMs.

The VM queries two other VMs at a time by datagram until it lacks no changes. It reads
changes that are too large for datagrams by a call, and continues to query meanwhile.
The answers have the same content as those of the store, but arrive later.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import gevent
import zstandard
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.codec import (
    decode_batch,
    decode_behind,
    decode_patch,
    encode_batch,
    encode_behind,
    encode_whole_patch,
)
from lagoonlatch.entry.events import NewsFailed, NewsTaken
from lagoonlatch.entry.generated import News
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.entry.sync import StoreSync
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.store import Entry
from lagoonlatch.steering.knowledge import Knowledge
from lagoonlatch.vms.connection import (
    MAX_FRAME_BYTES,
    framed_transport,
    tune_peer_socket,
)

MIN_STORE_FAILURE: Millis = 600.0
"""How long the store must have failed before this VM queries others instead."""

OUTAGE_QUERY_INTERVAL: Millis = 500.0
"""Time between queries while the store fails; changes must be applied within a few
seconds."""

QUERY_INTERVAL: Millis = 150.0
"""Time between queries of a VM that lacks changes; a few round trips between regions.
The VM waits as long before its first query, since the changes may be on their way."""

CHECK_INTERVAL: Millis = 500.0
"""How often a VM checks whether the store fails. A VM that learns of later changes
checks at once."""

QUERIES_PER_ROUND = 2
"""Number of VMs queried at the same time; one of them may be cut off."""

ROUNDS_PER_CALL = 4
"""Number of query rounds without progress after which the VM also makes a call, since
a full link may lose datagrams."""

MAX_CONCURRENT_CALLS = 2
"""Limit of calls at the same time; one of the called VMs may be cut off."""

CONNECT_TIMEOUT: Millis = 300.0
"""Time limit for opening a connection; a few round trips between regions. A VM that
is cut off does not answer at all."""

READ_TIMEOUT: Millis = 800.0
"""Longest time without bytes in a call; a slow answer that makes progress continues."""

CALL_TIMEOUT: Millis = 10_000.0
"""Longest call; enough for the whole store over a link of 1 Mbit/s."""


MAX_CALL_BYTES = 64 * 1024
"""Limit of a call, which states what the caller knows; its answer may be far larger."""


class CatchUpServer:
    """Answer calls of VMs that lack changes which this VM has."""

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica

    def serve(self, address: str) -> StreamServer:
        """Start to listen at an ``IP:port`` address."""
        endpoint = Endpoint.from_address(address)
        server = StreamServer(endpoint.pair, self._serve_connection)
        server.start()
        return server

    def read_since(
        self,
        revision: int,
        configuration: int,
        era: int | None = None,
        version: int | None = None,
    ) -> wire.Reading:
        """Return everything newer than what the caller knows."""
        replica = self._replica
        behind = wire.Behind(revision, configuration, era, version)
        known = decode_behind(behind, replica)
        answer = wire.Reading()
        if replica.knowledge.position > known.position:
            batch = replica.batch_since(known.revision, known.era)
            if batch is None:
                return wire.Reading(snapshot=_encode_snapshot(replica))
            answer.batch = encode_batch(batch)
        if replica.configuration_version > known.version:
            patch = replica.versions.patch_from(known.version)
            answer.patch = encode_whole_patch(patch)
        return answer

    def _serve_connection(self, sock: socket.socket, _address: tuple) -> None:
        tune_peer_socket(sock)
        sock.settimeout(READ_TIMEOUT / MILLIS_PER_SECOND)
        protocol = TBinaryProtocolAccelerated(framed_transport(sock, MAX_CALL_BYTES))
        processor = News.Processor(self)
        try:
            with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
                processor.process(protocol, protocol)
        except (OSError, EOFError, TException) as error:
            emit(NewsFailed(peer="caller", why=str(error)))
        finally:
            sock.close()


class CatchUpClient:
    """Query other VMs when they have later changes, or while the store fails.

    Parameters
    ----------
    list_addresses : callable
        Returns the ``IP:port`` addresses of other VMs.
    list_ahead : callable
        Returns the addresses of VMs that reported more than the given knowledge, those
        of this region first.
    send_query : callable
        Sends a query to an address; the answers arrive as datagrams.
    """

    def __init__(
        self,
        replica: StoreReplica,
        sync: StoreSync,
        list_addresses: Callable[[], Sequence[str]],
        list_ahead: Callable[[Knowledge], Sequence[str]],
        send_query: Callable[[str, wire.Datagram], None],
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._sync = sync
        self._list_addresses = list_addresses
        self._list_ahead = list_ahead
        self._send_query = send_query
        self._clock = clock
        self._behind_since: Millis | None = None
        self._last_query_at: Millis = 0.0
        self._queried_in_vain: set[str] = set()
        self._rounds = 0
        self._queried_knowledge = Knowledge()
        self._addresses_being_called: set[str] = set()
        self._wake_up = Event()

    def run(self) -> None:
        """Query for ever, whenever others have later changes or the store fails."""
        while True:
            self._wake_up.wait(CHECK_INTERVAL / MILLIS_PER_SECOND)
            self._wake_up.clear()
            self._check()
            while self._behind_since is not None:
                gevent.sleep(QUERY_INTERVAL / MILLIS_PER_SECOND)
                self._check()

    def note_behind(self) -> None:
        """Check at once for missing changes; another VM has reported later ones."""
        self._wake_up.set()

    def call(self, address: str) -> None:
        """Read missing changes from a VM by a call, unless enough calls are running."""
        if (
            len(self._addresses_being_called) < MAX_CONCURRENT_CALLS
            and address not in self._addresses_being_called
        ):
            self._addresses_being_called.add(address)
            gevent.spawn(self._call, address)

    def _check(self) -> None:
        now = self._clock.now()
        replica = self._replica
        if not replica.revision and not self._sync.is_failing:
            # A VM that has just started reads its first snapshot from the store.
            return
        addresses = self._find_addresses_to_query()
        if not addresses:
            self._behind_since = None
            is_due = now - self._last_query_at >= OUTAGE_QUERY_INTERVAL
            if is_due and self._sync.failing_for() >= MIN_STORE_FAILURE:
                self._send_queries(self._list_addresses())
        elif self._behind_since is None:
            self._behind_since = now
            self._rounds = 0
        elif now - self._behind_since >= QUERY_INTERVAL:
            self._send_queries(addresses)

    def _find_addresses_to_query(self) -> Sequence[str]:
        """Return the addresses of VMs that have the missing changes, best first.

        The result is empty if this VM lacks no changes.
        """
        replica = self._replica
        lacks_configuration = replica.lacks_configuration
        if self._sync.is_pausing and not lacks_configuration:
            # The next call of this VM's own watch brings the changes.
            return []
        ahead = self._list_ahead(replica.knowledge)
        return ahead or (self._list_addresses() if lacks_configuration else [])

    def _send_queries(self, addresses: Sequence[str]) -> None:
        self._last_query_at = self._clock.now()
        knowledge = self._replica.knowledge
        if knowledge != self._queried_knowledge:
            self._queried_knowledge = knowledge
            self._rounds = 0
            self._queried_in_vain.clear()
        chosen = self._choose_addresses(addresses)
        behind = wire.Datagram(behind=encode_behind(self._replica))
        for address in chosen:
            self._send_query(address, behind)
        self._queried_in_vain.update(chosen)
        self._rounds += 1
        if chosen and self._rounds % ROUNDS_PER_CALL == 0:
            self.call(chosen[0])

    def _choose_addresses(self, addresses: Sequence[str]) -> list[str]:
        """Choose some of the nearest addresses not yet queried without effect.

        If all of them have been, any of the nearest may be chosen.
        """
        candidates = [
            address for address in addresses if address not in self._queried_in_vain
        ]
        if not candidates:
            self._queried_in_vain.clear()
            candidates = list(addresses)
        nearest = candidates[: QUERIES_PER_ROUND * 2]
        return random.sample(nearest, min(QUERIES_PER_ROUND, len(nearest)))

    def _call(self, address: str) -> None:
        try:
            result = _read_since(address, encode_behind(self._replica))
        finally:
            self._addresses_being_called.discard(address)
        if isinstance(result, Failure):
            emit(NewsFailed(peer=address, why=result.failure()))
            return
        try:
            has_changes = _apply_answer(result.unwrap(), self._replica, address)
        except Exception as error:
            # Decoding a malformed answer may raise any exception.
            emit(NewsFailed(peer=address, why=repr(error)))
            return
        if has_changes:
            emit(NewsTaken(peer=address, revision=self._replica.revision))


def _apply_answer(reply: wire.Reading, replica: StoreReplica, address: str) -> bool:
    """Apply the answer to a call; return False if it was empty."""
    if reply.snapshot is not None:
        snapshot = _decode_snapshot(reply.snapshot)
        if snapshot.era is not None:
            entries = [Entry(i.key, i.value, i.revision) for i in snapshot.items]
            replica.apply_snapshot(
                entries,
                snapshot.revision,
                era=snapshot.era,
                hold_left=float(snapshot.lapse_left or 0),
                told_by=address,
            )
    if reply.batch is not None and reply.batch.era is not None:
        replica.apply_batch(decode_batch(reply.batch))
    if reply.patch is not None and reply.patch.version is not None:
        replica.apply_patch(decode_patch(reply.patch))
    return any(x is not None for x in (reply.snapshot, reply.batch, reply.patch))


def _encode_snapshot(replica: StoreReplica) -> bytes:
    items = [wire.Item(e.key, e.value, e.revision) for e in replica.entries()]
    hold_left = round(replica.hold_left())
    snapshot = wire.Snapshot(items, replica.revision, hold_left, replica.era)
    return zstandard.ZstdCompressor().compress(serialize(snapshot))


def _decode_snapshot(data: bytes) -> wire.Snapshot:
    """Decode a snapshot.

    Raises
    ------
    ValueError
        If the snapshot would be larger than any message.
    """
    size = zstandard.frame_content_size(data)
    if size > MAX_FRAME_BYTES:
        raise ValueError(f"snapshot of {size} bytes is too large")
    packed = zstandard.ZstdDecompressor().decompress(data)
    return deserialize(wire.Snapshot(), packed)


def _read_since(address: str, behind: wire.Behind) -> Result[wire.Reading, str]:
    try:
        with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
            sock = socket.create_connection(
                Endpoint.from_address(address).pair,
                CONNECT_TIMEOUT / MILLIS_PER_SECOND,
            )
            sock.settimeout(READ_TIMEOUT / MILLIS_PER_SECOND)
            try:
                tune_peer_socket(sock)
                protocol = TBinaryProtocolAccelerated(framed_transport(sock))
                client = News.Client(protocol)
                return Success(
                    client.read_since(
                        behind.revision,
                        behind.configuration,
                        behind.era,
                        behind.version,
                    )
                )
            finally:
                sock.close()
    except (OSError, EOFError, TException) as error:
        return Failure(f"{type(error).__name__}: {error}")
