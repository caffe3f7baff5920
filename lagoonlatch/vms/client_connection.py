"""One connection to another VM, with one call on it at a time."""

from __future__ import annotations

import socket
from typing import Any

import gevent
from gevent import socket as gevent_socket
from returns.result import Failure, Result, Success
from thrift.Thrift import TApplicationException

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.vms.connection import (
    PeerProtocol,
    SequenceError,
    framed_transport,
    tune_peer_socket,
)
from lagoonlatch.vms.errors import PeerError, PeerOutcomeUnknown, PeerUnreachable
from lagoonlatch.vms.generated import Peer


class ClientConnection:
    """Sends calls and receives their answers, written straight down.

    Parameters
    ----------
    used_at : Millis
        When it was made.
    max_frame_bytes : int
        Largest answer.

    Attributes
    ----------
    reusable : bool
        Whether the last call was answered whole and no other is under way.
    timed_out : bool
        Whether a call got no answer in time.
    """

    def __init__(self, used_at: Millis, max_frame_bytes: int) -> None:
        self.used_at = used_at
        self.reusable = False
        self.timed_out = False
        self._max_frame_bytes = max_frame_bytes
        self._sock: gevent_socket.socket | None = None
        self._sequence_id = 0
        self._method_name = ""

    @property
    def is_open(self) -> bool:
        """Whether `open` has succeeded."""
        return self._sock is not None

    def open(
        self, endpoint: tuple[str, int], source_address: str | None, timeout: Millis
    ) -> Result[None, PeerError]:
        """Connect."""
        source = (source_address, 0) if source_address else None
        seconds = timeout / MILLIS_PER_SECOND
        try:
            sock = gevent_socket.create_connection(endpoint, seconds, source)
        except OSError as error:
            reason = f"can't connect to {endpoint[0]}:{endpoint[1]}: {error}"
            return Failure(PeerUnreachable(reason))
        sock.settimeout(None)
        tune_peer_socket(sock)
        self._sock = sock
        self._protocol = PeerProtocol(framed_transport(sock, self._max_frame_bytes))
        self._client = Peer.Client(self._protocol)
        return Success(None)

    def send(
        self, method_name: str, args: tuple[Any, ...], timeout: Millis
    ) -> Result[None, PeerError]:
        """Send a call; a receiver acts on it only if it was sent whole."""
        self.reusable = False
        self._method_name = method_name
        self._sequence_id += 1
        self._protocol.expected = (method_name, self._sequence_id)
        self._client._seqid = self._sequence_id
        send = getattr(self._client, f"send_{method_name}")
        return self._bounded(lambda: send(*args), timeout, PeerUnreachable)

    def wait(self, timeout: Millis) -> bool:
        """Wait for the first bytes of an answer; return whether any came."""
        seconds = max(timeout, 0.0) / MILLIS_PER_SECOND
        try:
            gevent_socket.wait_read(self._sock.fileno(), timeout=seconds)
        except TimeoutError:
            return False
        return True

    def receive(self, timeout: Millis) -> Result[Any, PeerError]:
        """Return the answer to the call sent."""
        receive = getattr(self._client, f"recv_{self._method_name}")
        answer = self._bounded(receive, timeout, PeerOutcomeUnknown)
        self.reusable = isinstance(answer, Success)
        return answer

    def is_clean(self) -> bool:
        """Tell whether the connection is open and nothing arrived on it."""
        self._sock.settimeout(0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self._sock.settimeout(None)
        return False

    def close(self) -> None:
        """Close the connection, which cancels a call that runs at the other end."""
        if self._sock is not None:
            self._sock.close()

    def _bounded(self, action, timeout, error_type) -> Result[Any, PeerError]:
        timer = gevent.Timeout(max(timeout, 0.0) / MILLIS_PER_SECOND)
        try:
            with timer:
                return Success(action())
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            self.timed_out = True
            return Failure(error_type(f"no answer within {timeout:.0f} ms"))
        except TApplicationException as error:
            if error.type == TApplicationException.UNKNOWN_METHOD:
                error_type = PeerUnreachable
            return Failure(error_type(f"{self._method_name}: {error}"))
        except SequenceError as error:
            return Failure(error_type(str(error)))
        except Exception as error:
            # The border of the thrift library and the socket.
            return Failure(error_type(f"{type(error).__name__}: {error}"))
