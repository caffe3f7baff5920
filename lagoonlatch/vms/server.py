"""The thrift server that answers the other VMs of the fleet."""

from __future__ import annotations

import socket
from enum import Enum
from typing import Any

import gevent
import structlog
from gevent import socket as gevent_socket
from gevent.pool import Pool
from gevent.server import StreamServer

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.vms.connection import (
    MAX_FRAME_BYTES,
    PeerProtocol,
    framed_transport,
    tune_peer_socket,
)
from lagoonlatch.vms.generated import Peer
from lagoonlatch.vms.ledger import ASKING_GRACE, CallCancelled, CallLedger

MAX_CONNECTIONS = 4_096
IDLE_TIMEOUT: Millis = 60_000.0
MESSAGE_TIMEOUT: Millis = 10_000.0
"""For a whole message, however its bytes arrive."""

LINGER: Millis = 250.0
"""A stopping server is done when no work has run for this long."""

BACKLOG = 1_024

WORK_METHODS = frozenset({"execute", "relay", "settle"})
"""Cancelled when their caller goes away, and waited for by a planned stop."""

_LOG = structlog.get_logger(__name__)


class PeerServer:
    """Serves the `Peer` protocol, one greenlet for each connection.

    While a handler runs `execute` or `relay` the connection is watched; when the
    caller closes it, `CallCancelled` is raised in the handler at its next switch.
    It derives from ``gevent.GreenletExit``, so ``except Exception`` lets it pass
    and ``finally`` blocks release what the call holds. A call goes on while its
    caller waits for the outcome on another connection, see `CallLedger`.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        0 for any free port; see `port` after `start`.
    handler : object
        Implements ``Peer.Iface`` of the generated code, but for ``settle``.
    incarnation : int
        This run of this VM; 0 leaves lost calls unknown.
    clock : Clock
        Of this process.
    max_frame_bytes : int
        A connection that announces a larger frame is closed.
    max_connections : int
        Further connections wait in the listen queue.

    See Also
    --------
    lagoonlatch.vms.client.PeerClients : The other end.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: Any,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        max_connections: int = MAX_CONNECTIONS,
        incarnation: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self._ledger = CallLedger(handler, incarnation, clock or Clock())
        self._max_frame_bytes = max_frame_bytes
        self._connections: set[_ServerConnection] = set()
        self._server = StreamServer(
            (address, port),
            self._serve,
            backlog=BACKLOG,
            spawn=Pool(max_connections),
        )

    @classmethod
    def from_address(
        cls, address: str, port: int, handler: Any, incarnation: int = 0
    ) -> PeerServer:
        """Return a server for `address` and `port`; call `start` to listen."""
        return cls(address, port, handler, incarnation=incarnation)

    @property
    def port(self) -> int:
        """The port listened on, once started."""
        return self._server.server_port

    def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address or port can't be had.
        """
        self._server.start()

    def stop(self, grace: Millis = 0.0) -> None:
        """Stop accepting, let running work end for up to `grace` ms, then close.

        Calls that arrive meanwhile on open connections are still served, so that
        a message that is under way is not cut.
        """
        self._server.close()
        with gevent.Timeout(grace / MILLIS_PER_SECOND, False):
            self._wait_until_quiet()
        for connection in tuple(self._connections):
            connection.close()
        self._server.stop(timeout=1)

    def busy(self) -> int:
        """Return the number of calls that have work done now."""
        return sum(connection.works for connection in self._connections)

    def _wait_until_quiet(self):
        begun_before = -1
        while self.busy() or self._works_begun() != begun_before:
            begun_before = self._works_begun()
            gevent.sleep(LINGER / MILLIS_PER_SECOND)

    def _works_begun(self):
        return sum(connection.works_begun for connection in self._connections)

    def _serve(self, sock, peer):
        connection = _ServerConnection(sock, self._ledger, self._max_frame_bytes)
        self._connections.add(connection)
        try:
            connection.run()
        except Exception as error:
            _LOG.info("peer connection ended", peer=peer[0], reason=str(error))
        finally:
            self._connections.discard(connection)
            connection.close()


class _ServerConnection:
    def __init__(self, sock, ledger, max_frame_bytes):
        tune_peer_socket(sock)
        self._sock = sock
        self._protocol = PeerProtocol(framed_transport(sock, max_frame_bytes))
        self._processor = Peer.Processor(ledger)
        self._processor.on_message_begin(self._begin)
        self._close_watch = _CloseWatch(sock, ledger)
        self._reading: gevent.Timeout | None = None
        self.works = False
        self.works_begun = 0

    def run(self):
        """Serve calls one after the other until the other end closes."""
        while self._wait_for_call():
            seconds = MESSAGE_TIMEOUT / MILLIS_PER_SECOND
            self._sock.settimeout(seconds)
            self._reading = gevent.Timeout.start_new(seconds)
            try:
                self._processor.process(self._protocol, self._protocol)
            except (CallCancelled, gevent.Timeout):
                return
            finally:
                self._reading.close()
                self._close_watch.stop()
                self.works = False

    def close(self):
        """Close the connection; a running handler is cancelled."""
        self._close_watch.cancel()
        self._sock.close()

    def _wait_for_call(self):
        self._sock.settimeout(IDLE_TIMEOUT / MILLIS_PER_SECOND)
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _begin(self, name, _kind, _sequence_id):
        # The whole frame has been read.
        self._reading.close()
        if name in WORK_METHODS:
            self.works = True
            self.works_begun += 1
            self._close_watch.start(gevent.getcurrent())


class _CloseWatch:
    """Cancels a call's greenlet when the other end closes the connection."""

    def __init__(self, sock, ledger):
        self._sock = sock
        self._ledger = ledger
        self._greenlet = None
        self._watcher = None

    def start(self, greenlet):
        self._greenlet = greenlet
        self._watcher = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        self._watcher.start(self._readable)

    def stop(self):
        self._greenlet = None
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def cancel(self):
        greenlet = self._greenlet
        self.stop()
        if greenlet is not None:
            greenlet.kill(CallCancelled, block=False)

    def _readable(self):
        self._watcher.stop()
        match _state(self._sock):
            case _State.CLOSED:
                self._abandoned(self._greenlet)
            case _State.RESET:
                # Not the caller's decision: it may ask over a new connection.
                seconds = ASKING_GRACE / MILLIS_PER_SECOND
                gevent.spawn_later(seconds, self._abandoned, self._greenlet)
            case _State.OPEN:
                # Data before the answer break the rule of one call at a time; they
                # are read as the next call.
                pass

    def _abandoned(self, greenlet):
        same_call = greenlet is not None and greenlet is self._greenlet
        if same_call and self._ledger.abandon(greenlet):
            self.cancel()


class _State(Enum):
    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"


def _state(sock: gevent_socket.socket) -> _State:
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return _State.OPEN if sock.recv(1, socket.MSG_PEEK) else _State.CLOSED
    except BlockingIOError:
        return _State.OPEN
    except OSError:
        return _State.RESET
    finally:
        sock.settimeout(timeout)
