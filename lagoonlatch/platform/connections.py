"""Bounded HTTP calls that tell whether any byte of a request was sent."""

from __future__ import annotations

import contextlib
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

import gevent
from gevent.local import local
from gevent.socket import SHUT_RDWR, socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.sockets import tune_socket
from lagoonlatch.status_codes import is_final_status

DEFAULT_CONNECTIONS = 8
DEFAULT_TIMEOUT: Millis = 2_000.0
SILENCE_TIMEOUT: Millis = 2_000.0
"""A store that acknowledges nothing for so long is out of reach; a waiting watch would
otherwise not notice before its wait ends."""

MAX_HEAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Limits of the head and of a whole answer, which is kept in memory."""

JSON_HEADERS = {"Content-Type": "application/json"}

_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Answer:
    """A whole HTTP answer.

    Parameters
    ----------
    headers : mapping of str to str
        Values by field name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class CallFailed:
    """No whole answer came.

    Parameters
    ----------
    reason : str
        What the socket or the parser reported.
    sent : bool
        Whether part of the request may have reached the server.
    """

    reason: str
    sent: bool


class _LimitedSocket(socket):
    """A socket on which an answer without end fails and doesn't block other tasks."""

    def begin_answer(self) -> None:
        """Count the bytes of the next answer."""
        self._received = 0
        self._head_tail: bytes | None = b""

    def recv(self, *args: int) -> bytes:
        """Receive bytes of an answer.

        Raises
        ------
        OSError
            If the head or the answer is too large.
        """
        data = super().recv(*args)
        # Data may arrive faster than they are read, so that receiving never waits.
        gevent.sleep(0)
        self._received += len(data)
        if self._head_tail is not None:
            searched = self._head_tail + data
            self._head_tail = None if _HEAD_END in searched else searched[-3:]
        limit = MAX_ANSWER_BYTES if self._head_tail is None else MAX_HEAD_BYTES
        if self._received > limit:
            part = "answer" if self._head_tail is None else "head"
            raise OSError(f"{part} of over {limit} bytes")
        return data


class TrackedPool(ConnectionPool):
    """A connection pool that knows which socket each greenlet took.

    A greenlet whose deadline passes while it sends would otherwise keep its place
    in the pool for ever.
    """

    def __init__(self, endpoint: Endpoint, seconds: float, size: int) -> None:
        super().__init__(
            endpoint.host,
            endpoint.port,
            endpoint.host,
            endpoint.port,
            size=size,
            connection_timeout=seconds,
            network_timeout=seconds,
        )
        self._source = endpoint.source
        self._taken = local()
        self._in_use: set[socket] = set()

    def begin_call(self) -> None:
        """Forget the greenlet's former call."""
        self._taken.socket = None
        self._taken.sent = False

    def was_sent(self) -> bool:
        """Return whether the greenlet's call may have sent something."""
        return self._taken.sent

    def end_call(self) -> None:
        """Close the greenlet's socket if the call left it behind."""
        if self._taken.socket is not None:
            self.release_socket(self._taken.socket)

    def interrupt(self) -> None:
        """Break the connections of the calls under way; these then fail."""
        for taken in list(self._in_use):
            with contextlib.suppress(OSError):
                taken.shutdown(SHUT_RDWR)

    def drop_idle(self) -> None:
        """Close the idle sockets; they may be as silent as one that timed out."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def _create_tcp_socket(self, family: int, kind: int, protocol: int) -> socket:
        return _LimitedSocket(family, kind, protocol)

    def _connect_socket(self, sock: socket, address: tuple) -> socket:
        if self._source:
            sock.bind((self._source, 0))
        return super()._connect_socket(sock, address)

    def after_connect(self, sock: socket) -> None:
        """Send small requests at once and notice a peer that is out of reach."""
        tune_socket(sock, SILENCE_TIMEOUT)

    def get_socket(self) -> socket:
        """Take a socket for the greenlet's call."""
        taken = super().get_socket()
        taken.begin_answer()
        self._in_use.add(taken)
        self._taken.socket = taken
        self._taken.sent = True
        return taken

    def return_socket(self, sock: socket) -> None:
        """Put back a socket that can be used again."""
        self._in_use.discard(sock)
        self._taken.socket = None
        super().return_socket(sock)

    def release_socket(self, sock: socket) -> None:
        """Close a socket that can't be used again."""
        self._in_use.discard(sock)
        self._taken.socket = None
        super().release_socket(sock)


def open_client(
    endpoint: Endpoint, timeout: Millis, size: int
) -> tuple[HTTPClient, TrackedPool]:
    """Return a client of `endpoint` and its pool of at most `size` connections.

    Parameters
    ----------
    timeout : Millis
        Longest silence while connecting, sending or receiving.
    """
    client = HTTPClient(endpoint.host, endpoint.port)
    pool = TrackedPool(endpoint, timeout / MILLIS_PER_SECOND, size)
    client._connection_pool = pool
    return client, pool


class Connections:
    """Keep-alive connections to one HTTP server.

    Parameters
    ----------
    endpoint : Endpoint
        The server.
    timeout : Millis
        Longest time from the start of a call to its whole answer.
    size : int
        Connections open at once; further calls wait within their timeout.
    """

    def __init__(
        self, endpoint: Endpoint, timeout: Millis, size: int = DEFAULT_CONNECTIONS
    ) -> None:
        self._seconds = timeout / MILLIS_PER_SECOND
        self._client, self._pool = open_client(endpoint, timeout, size)

    def call(
        self, method: str, path: str, body: bytes = b"", timeout: Millis | None = None
    ) -> Result[Answer, CallFailed]:
        """Send one request and return its whole answer.

        A connection that fails or is too late is closed, never used again.

        Parameters
        ----------
        timeout : Millis, optional
            For this call in place of the longest one.
        """
        self._pool.begin_call()
        longest = self._seconds if timeout is None else timeout / MILLIS_PER_SECOND
        deadline = gevent.Timeout(longest)
        deadline.start()
        try:
            response = self._client.request(method, path, body, JSON_HEADERS)
            body = _read_whole(response)
            if not is_final_status(response.status_code):
                return self._failed(f"invalid status {response.status_code}")
            return Success(Answer(response.status_code, body, _headers_of(response)))
        except (OSError, HTTPParseError) as error:
            return self._failed(_describe(error))
        except gevent.Timeout as error:
            if error is not deadline:
                raise
            return self._failed(f"no answer within {longest:g} s")
        finally:
            deadline.close()
            self._pool.end_call()

    def interrupt(self) -> None:
        """Let the calls under way fail."""
        self._pool.interrupt()

    def _failed(self, reason: str) -> Result[Answer, CallFailed]:
        self._pool.drop_idle()
        return Failure(CallFailed(reason, self._pool.was_sent()))

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()


def _headers_of(response: HTTPSocketPoolResponse) -> dict[str, str]:
    """Return the values by field name in lower case; those of one field are joined."""
    values_by_name: dict[str, list[str]] = defaultdict(list)
    for name, value in response.items():
        values_by_name[name.lower()].append(value)
    return {name: ", ".join(values) for name, values in values_by_name.items()}


def _read_whole(response: HTTPSocketPoolResponse) -> bytes:
    return bytes(response.read())


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
