"""What a VM does that misses changes of the store which others know.

It asks two of them by datagram, again and again until it misses nothing. What doesn't
fit into datagrams is read by a call, beside the questions. What it gets is as good as
a reading of its own, only later.
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
    decode_patch,
    encode_batch,
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
from lagoonlatch.vms.connection import (
    MAX_FRAME_BYTES,
    framed_transport,
    tune_peer_socket,
)

ASK_AFTER: Millis = 600.0
"""A store that fails for so long is not waited for."""

ASK_INTERVAL: Millis = 500.0
"""Between questions while the store fails; a change must count within a few seconds."""

ROUND: Millis = 150.0
"""Between questions of a VM that misses something; some round trips between regions.
What others pass on is waited for as long before the first one."""

LOOK_INTERVAL: Millis = 500.0
"""How often a VM looks whether the store fails; what others know more wakes it."""

ASKED_AT_ONCE = 2
"""One of them may be cut off."""

CALL_EVERY = 4
"""Rounds without progress after which a call is made too; datagrams may be lost where
a link is full."""

CALLS_AT_ONCE = 2
"""Calls under way; one of them may be to a VM that is cut off."""

CONNECT_TIMEOUT: Millis = 300.0
"""Some round trips between regions; a VM that is cut off answers nothing."""

SILENCE_TIMEOUT: Millis = 800.0
"""Longest time without bytes in a call; an answer that comes slowly goes on."""

CALL_TIMEOUT: Millis = 10_000.0
"""Longest call: the whole store over a link of 1 Mbit/s."""


class CatchUpServer:
    """Answers calls of VMs that know less than this one."""

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica

    def serve(self, address: str) -> StreamServer:
        """Start listening at ``IP:port``."""
        endpoint = Endpoint.from_address(address)
        server = StreamServer(endpoint.pair, self._serve_connection)
        server.start()
        return server

    def read_since(self, revision: int, configuration: int) -> wire.Reading:
        """Return what is newer than what the asker knows."""
        replica = self._replica
        answer = wire.Reading()
        if replica.revision > revision:
            batch = replica.batch_since(revision)
            if batch is None:
                return wire.Reading(snapshot=_encode_snapshot(replica))
            answer.batch = encode_batch(batch)
        if replica.configuration > configuration:
            patch = replica.versions.patch_from(configuration)
            answer.patch = encode_whole_patch(patch)
        return answer

    def _serve_connection(self, sock: socket.socket, _address: tuple) -> None:
        tune_peer_socket(sock)
        sock.settimeout(SILENCE_TIMEOUT / MILLIS_PER_SECOND)
        protocol = TBinaryProtocolAccelerated(framed_transport(sock))
        processor = News.Processor(self)
        try:
            with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
                processor.process(protocol, protocol)
        except (OSError, EOFError, TException) as error:
            emit(NewsFailed(peer="caller", why=str(error)))
        finally:
            sock.close()


class CatchUpClient:
    """Asks other VMs when they know more, or while this one can't ask the store.

    Parameters
    ----------
    list_addresses : callable
        Returns where other VMs listen, ``IP:port``.
    list_ahead : callable
        Returns where VMs listen that have told of later changes than the revisions
        given, those of this region first.
    ask : callable
        Sends a question to an address; the answers come as datagrams.
    """

    def __init__(
        self,
        replica: StoreReplica,
        sync: StoreSync,
        list_addresses: Callable[[], Sequence[str]],
        list_ahead: Callable[[int, int], Sequence[str]],
        ask: Callable[[str, wire.Datagram], None],
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._sync = sync
        self._list_addresses = list_addresses
        self._list_ahead = list_ahead
        self._ask = ask
        self._clock = clock
        self._behind_since: Millis | None = None
        self._asked: Millis = 0.0
        self._asked_in_vain: set[str] = set()
        self._rounds = 0
        self._known = (0, 0)
        self._called: set[str] = set()
        self._is_told = Event()

    def run(self) -> None:
        """Ask for ever, whenever others know more or the store fails."""
        while True:
            self._is_told.wait(LOOK_INTERVAL / MILLIS_PER_SECOND)
            self._is_told.clear()
            self._look()
            while self._behind_since is not None:
                gevent.sleep(ROUND / MILLIS_PER_SECOND)
                self._look()

    def note_behind(self) -> None:
        """Look soon, since another VM knows more."""
        self._is_told.set()

    def call(self, peer: str) -> None:
        """Read from a VM what this one misses, beside the questions."""
        if len(self._called) < CALLS_AT_ONCE and peer not in self._called:
            self._called.add(peer)
            gevent.spawn(self._call, peer)

    def _look(self) -> None:
        now = self._clock.now()
        replica = self._replica
        if not replica.revision and not self._sync.is_failing:
            # The first reading is this VM's own.
            return
        sources = self._sources()
        if not sources:
            self._behind_since = None
            is_due = now - self._asked >= ASK_INTERVAL
            if is_due and self._sync.failing_for() >= ASK_AFTER:
                self._ask_some(self._list_addresses())
        elif self._behind_since is None:
            self._behind_since = now
            self._rounds = 0
        elif now - self._behind_since >= ROUND:
            self._ask_some(sources)

    def _sources(self) -> Sequence[str]:
        """Return where to ask for what is missing here, best first; none if nothing."""
        replica = self._replica
        lacks_configuration = replica.newest_configuration > replica.configuration
        if self._sync.is_gathering and not lacks_configuration:
            # This VM's own next call brings the changes.
            return []
        ahead = self._list_ahead(replica.revision, replica.configuration)
        return ahead or (self._list_addresses() if lacks_configuration else [])

    def _ask_some(self, sources: Sequence[str]) -> None:
        self._asked = self._clock.now()
        known = (self._replica.revision, self._replica.configuration)
        if known != self._known:
            self._known = known
            self._rounds = 0
            self._asked_in_vain.clear()
        chosen = self._choose(sources)
        behind = wire.Datagram(behind=wire.Behind(*known))
        for peer in chosen:
            self._ask(peer, behind)
        self._asked_in_vain.update(chosen)
        self._rounds += 1
        if chosen and self._rounds % CALL_EVERY == 0:
            self.call(chosen[0])

    def _choose(self, sources: Sequence[str]) -> list[str]:
        """Return some of the nearest that were not asked in vain; else any."""
        fresh = [peer for peer in sources if peer not in self._asked_in_vain]
        if not fresh:
            self._asked_in_vain.clear()
            fresh = list(sources)
        nearest = fresh[: ASKED_AT_ONCE * 2]
        return random.sample(nearest, min(ASKED_AT_ONCE, len(nearest)))

    def _call(self, peer: str) -> None:
        try:
            result = _read_since(
                peer, self._replica.revision, self._replica.configuration
            )
        finally:
            self._called.discard(peer)
        if isinstance(result, Failure):
            emit(NewsFailed(peer=peer, why=result.failure()))
            return
        try:
            has_news = _take(result.unwrap(), self._replica)
        except Exception as error:
            # Whatever it raises: the answer makes no sense.
            emit(NewsFailed(peer=peer, why=repr(error)))
            return
        if has_news:
            emit(NewsTaken(peer=peer, revision=self._replica.revision))


def _take(found: wire.Reading, replica: StoreReplica) -> bool:
    """Take in the answer to a call; return False if it held nothing."""
    if found.snapshot is not None:
        snapshot = _decode_snapshot(found.snapshot)
        entries = [Entry(i.key, i.value, i.revision) for i in snapshot.items]
        lapse_left = float(snapshot.lapse_left or 0)
        replica.apply_snapshot(entries, snapshot.revision, lapse_left)
    if found.batch is not None:
        replica.apply_batch(decode_batch(found.batch))
    if found.patch is not None:
        replica.apply_patch(decode_patch(found.patch))
    return any(x is not None for x in (found.snapshot, found.batch, found.patch))


def _encode_snapshot(replica: StoreReplica) -> bytes:
    items = [wire.Item(e.key, e.value, e.revision) for e in replica.entries()]
    snapshot = wire.Snapshot(items, replica.revision, round(replica.lapse_left()))
    return zstandard.ZstdCompressor().compress(serialize(snapshot))


def _decode_snapshot(data: bytes) -> wire.Snapshot:
    """Decode a snapshot.

    Raises
    ------
    ValueError
        If it would be larger than any message.
    """
    size = zstandard.frame_content_size(data)
    if size > MAX_FRAME_BYTES:
        raise ValueError(f"snapshot of {size} bytes")
    packed = zstandard.ZstdDecompressor().decompress(data)
    return deserialize(wire.Snapshot(), packed)


def _read_since(
    address: str, revision: int, configuration: int
) -> Result[wire.Reading, str]:
    try:
        with gevent.Timeout(CALL_TIMEOUT / MILLIS_PER_SECOND, TimeoutError):
            sock = socket.create_connection(
                Endpoint.from_address(address).pair,
                CONNECT_TIMEOUT / MILLIS_PER_SECOND,
            )
            sock.settimeout(SILENCE_TIMEOUT / MILLIS_PER_SECOND)
            try:
                tune_peer_socket(sock)
                protocol = TBinaryProtocolAccelerated(framed_transport(sock))
                client = News.Client(protocol)
                return Success(client.read_since(revision, configuration))
            finally:
                sock.close()
    except (OSError, EOFError, TException) as error:
        return Failure(f"{type(error).__name__}: {error}")
