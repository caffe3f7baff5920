"""Relayed TCP connections with delay, loss and silence."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable

import gevent
from gevent import socket as gevent_socket
from gevent.queue import Queue
from gevent.server import StreamServer

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

CHUNK_BYTES = 64 * 1024
QUEUED_CHUNKS = 256
BACKLOG = 1_024
CONNECT_SECONDS = 5.0
BITS_PER_BYTE = 8
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def parse_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the address and port of ``IP:port``."""
    address, _, port = endpoint.rpartition(":")
    return address, int(port)


class RelayedConnection:
    """One connection through the proxy; its faults may change at any time.

    Attributes
    ----------
    source_address, source_group, target_group : str
        Where it comes from and goes to.
    delay : Millis
        One-way delay of each byte.
    mbit : float
        Megabits a second for each direction; 0: unbounded.
    lose_after : int
        Bytes of a direction that pass before it goes silent; -1: all.
    half_open : bool
        Closes are not passed on.
    """

    def __init__(self, sock: gevent_socket.socket, source_address: str) -> None:
        self.source_address = source_address
        self.source_group = ""
        self.target_group = ""
        self.delay: Millis = 0.0
        self.mbit = 0.0
        self.lose_after = -1
        self.half_open = False
        self._silent = False
        self._source = sock
        self._target: gevent_socket.socket | None = None

    def silence(self) -> None:
        """Lose every byte from now on, both ways, without closing."""
        self._silent = True

    def reset(self) -> None:
        """Reset both sides."""
        for sock in (self._source, self._target):
            if sock is not None:
                _reset(sock)

    def run(self, target: tuple[str, int]) -> None:
        """Connect to the target and relay until both directions have ended."""
        gevent.sleep(2 * self.delay / MILLIS_PER_SECOND)
        try:
            self._target = gevent_socket.create_connection(
                target, CONNECT_SECONDS, (self.source_address, 0)
            )
            self._target.settimeout(None)
            for sock in (self._source, self._target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # The target is down, or the source was reset meanwhile.
            self.reset()
            return
        directions = (
            _Direction(self, self._source, self._target),
            _Direction(self, self._target, self._source),
        )
        gevent.joinall([gevent.spawn(direction.run) for direction in directions])
        self._source.close()
        self._target.close()


class _Direction:
    def __init__(self, connection, reader, writer):
        self._connection = connection
        self._reader = reader
        self._writer = writer
        self._passed = 0
        self._lost = False
        self._free_at = 0.0
        self._queue: Queue = Queue(maxsize=QUEUED_CHUNKS)

    def run(self):
        writing = gevent.spawn(self._write)
        self._read()
        writing.join()

    def _read(self):
        while True:
            try:
                chunk = self._reader.recv(CHUNK_BYTES)
            except OSError:
                self._queue.put((self._due(0), None))
                return
            self._queue.put((self._due(len(chunk)), chunk))
            if not chunk:
                return

    def _due(self, size):
        now = time.monotonic()
        if self._connection.mbit > 0:
            bits = size * BITS_PER_BYTE
            seconds = bits / (self._connection.mbit * 1_000_000)
            self._free_at = max(self._free_at, now) + seconds
            now = self._free_at
        return now + self._connection.delay / MILLIS_PER_SECOND

    def _write(self):
        while True:
            due, chunk = self._queue.get()
            gevent.sleep(max(due - time.monotonic(), 0.0))
            if not chunk:
                self._end(chunk)
                return
            self._pass_on(chunk)

    def _pass_on(self, chunk):
        limit = self._connection.lose_after
        kept = chunk if limit < 0 else chunk[: max(limit - self._passed, 0)]
        if self._connection._silent or self._lost:
            kept = b""
        if len(kept) < len(chunk):
            # Later bytes would leave a gap in the stream.
            self._lost = True
        self._passed += len(kept)
        try:
            self._writer.sendall(kept)
        except OSError:
            _reset(self._reader)

    def _end(self, chunk):
        quiet = self._connection._silent or self._lost or self._connection.half_open
        if quiet:
            return
        if chunk is None:
            _reset(self._writer)
            return
        try:
            self._writer.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(self._reader)


class Relay:
    """Listens on one address and relays its connections to a target.

    Parameters
    ----------
    listen, target : str
        ``IP:port``.
    admit : callable
        Sets up a new connection; False resets it.
    """

    def __init__(
        self, listen: str, target: str, admit: Callable[[RelayedConnection], bool]
    ) -> None:
        self._target = parse_endpoint(target)
        self._admit = admit
        self._server = StreamServer(
            parse_endpoint(listen), self._serve, backlog=BACKLOG
        )
        self.connections: set[RelayedConnection] = set()
        self.accepted = 0

    def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address can't be had.
        """
        self._server.start()

    def stop(self) -> None:
        """Stop listening and reset the connections."""
        self._server.close()
        for connection in tuple(self.connections):
            connection.reset()

    def _serve(self, sock, peer):
        connection = RelayedConnection(sock, peer[0])
        self.accepted += 1
        if not self._admit(connection):
            connection.reset()
            return
        self.connections.add(connection)
        try:
            connection.run(self._target)
        finally:
            self.connections.discard(connection)


def _reset(sock: gevent_socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        pass
    finally:
        sock.close()
