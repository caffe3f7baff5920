"""The HTTP server for callers."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.sockets import is_closed_by_peer

MAX_CONNECTIONS = 10_000
DRAIN_POLL: Millis = 20.0

CLOSE_CHECK_INTERVAL: Millis = 100.0
"""Interval of the checks whether a caller that has sent data ahead has left."""

SOCKET_KEY = "lagoonlatch.socket"
TARGET_KEY = "lagoonlatch.target"
HEADERS_KEY = "lagoonlatch.headers"

_READABLE = 1


class CallerGone(gevent.GreenletExit):
    """Raised in the greenlet of a request whose caller closed its connection."""


class _Handler(WSGIHandler):
    """Adds the socket, the raw target and the raw headers to the environment."""

    def handle(self) -> None:
        # Headers and body are sent apart: with Nagle's algorithm the body would wait
        # for the caller's delayed acknowledgement of the headers.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = tuple(self.headers.items())
        return environ

    def handle_one_response(self) -> None:
        self.server.in_flight += 1
        try:
            super().handle_one_response()
        except CallerGone:
            self.close_connection = True
        finally:
            self.server.in_flight -= 1

    def log_request(self) -> None:
        """Log nothing: the application logs each request with its outcome."""


class _Server(WSGIServer):
    """Counts the requests whose answers are not yet wholly handed to the kernel."""

    in_flight = 0


class CallerServer:
    """Serves a WSGI application to callers, one greenlet for each connection."""

    def __init__(self, address: str, port: int, application: Callable) -> None:
        self._server = _Server(
            (address, port),
            application,
            spawn=Pool(MAX_CONNECTIONS),
            handler_class=_Handler,
            log=None,
            error_log=None,
        )

    def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address or port can't be had.
        """
        self._server.start()

    def in_flight(self) -> int:
        """Return the number of requests that are not wholly answered yet."""
        return self._server.in_flight

    @property
    def port(self) -> int:
        """The port listened on, once started."""
        return self._server.server_port

    def close_listener(self) -> None:
        """Accept no more connections; open ones go on."""
        self._server.close()

    def stop(self) -> None:
        """Close what is still open."""
        self._server.stop(timeout=0)


class CallerWatch:
    """Raises `CallerGone` in the current greenlet when the caller disconnects.

    Use as a context manager around the work for one request.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._greenlet = gevent.getcurrent()
        loop = gevent.get_hub().loop
        self._watcher = loop.io(sock.fileno(), _READABLE)
        interval = CLOSE_CHECK_INTERVAL / MILLIS_PER_SECOND
        self._timer = loop.timer(interval, interval)

    def __enter__(self) -> CallerWatch:
        self._watcher.start(self._readable)
        return self

    def __exit__(self, *_exception: object) -> None:
        for watcher in (self._watcher, self._timer):
            watcher.stop()
            watcher.close()

    def _readable(self) -> None:
        self._watcher.stop()
        # Data are the caller's next request, read after this one's answer. They hide a
        # close from this watcher.
        self._timer.start(self._check)
        self._check()

    def _check(self) -> None:
        if is_closed_by_peer(self._sock):
            self._timer.stop()
            self._greenlet.kill(CallerGone, block=False)


def wait_until_idle(in_flight: Callable[[], int], deadline: Millis) -> bool:
    """Wait until no request is in flight; return whether that was in time."""
    with gevent.Timeout(deadline / MILLIS_PER_SECOND, False):
        while in_flight():
            gevent.sleep(DRAIN_POLL / MILLIS_PER_SECOND)
        return True
    return False
