"""A stand-in of an upstream instance that speaks the platform's protocol."""

from __future__ import annotations

import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.sockets import is_closed_by_peer

HEALTH_PATH = "/healthz"

LARGE_PREFIX = "/look/large-"
LARGE_ANSWER_BYTES = 400_000
"""Size of the answers to requests whose path begins with `LARGE_PREFIX`."""


CLOSE_CHECK_INTERVAL: Millis = 50.0
"""Interval at which it checks whether the connection of a request has been closed."""


_SOCKET_KEY = "lagoonlatch.socket"


class _SocketHandler(WSGIHandler):
    """Adds the socket to the environment."""

    def get_environ(self) -> dict[str, Any]:
        return super().get_environ() | {_SOCKET_KEY: self.socket}


class InstanceStandin:
    """Runs requests and counts them; drops those whose connections are closed.

    Parameters
    ----------
    instance_id : str
        What it is registered as; other ids are answered with 421.
    work : Millis
        How long a request takes.
    slots : int
        Requests at once; more are turned away.

    Attributes
    ----------
    work : Millis
        How long a request takes.
    runs_by_request : Counter
        How often each request id has run.
    runs : list of tuple
        Instant on the steady clock in milliseconds, and id of each run request.
    organisations : set of str
        The organisations that were named to it.
    seen_keys : int
        Requests that came with a key, which must not happen.
    born : int
        Names its run; to be raised when it starts again under its id.
    cold_spans : list of tuple
        Start and end of each time in which it is cold.
    is_leaving : bool
        Whether it says in all its answers that it leaves.
    rest : Millis or None
        Requests are turned away while it is set; it is what they are told to wait.
    failure_status : int or None
        Status of the answers to the requests that fail after they have run; None if
        none fails.
    failing_share : float
        Share of the requests that fail while `failure_status` is set.
    status_by_request : dict
        Status of the answer to each request that has run.
    rate_limit : float or None
        Requests a second that it says in all its answers that it takes.
    work_percent : int
        How long it says that work takes, as a percentage of the usual duration.
    arrivals : list of tuple
        Instant and id of each request that was meant for it.
    running : set of str
        Ids of the requests that it is running.
    work_by_request : dict
        Instants at which its work on each request ended, and would have ended if the
        connection had stayed open.
    find_work : callable
        Returns how long the request with an id takes; None if it takes `work`.
    find_refusal_delay : callable
        Returns after how long the request with an id is turned away; None if it is
        run.
    leaving_told, rest_told, limit_told : list of tuple
        Instant, id of the request, and for a rest how long, or which limit, of each
        answer with one.
    """

    def __init__(self, instance_id: str, work: Millis = 20.0, slots: int = 9) -> None:
        self.id = instance_id
        self.address = ""
        self.runs_by_request: Counter[str] = Counter()
        self.runs: list[tuple[Millis, str]] = []
        self.organisations: set[str] = set()
        self.seen_keys = 0
        self.born = 1
        self.cold_spans: list[tuple[Millis, Millis]] = []
        self.is_leaving = False
        self.rest: Millis | None = None
        self.failure_status: int | None = None
        self.failing_share = 0.5
        self.status_by_request: dict[str, int] = {}
        self.rate_limit: float | None = None
        self.work_percent = 100
        self.arrivals: list[tuple[Millis, str]] = []
        self.leaving_told: list[tuple[Millis, str]] = []
        self.rest_told: list[tuple[Millis, str, Millis]] = []
        self.limit_told: list[tuple[Millis, str, float]] = []
        self.work = work
        self._slots = slots
        self.running: set[str] = set()
        self.work_by_request: dict[str, tuple[Millis, Millis]] = {}
        self.find_work: Callable[[str], Millis | None] = lambda request: None
        self.find_refusal_delay: Callable[[str], Millis | None] = lambda request: None
        self._sequence = 0
        self._connections = Pool()
        self._server: WSGIServer | None = None

    def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening, at any free port if `port` is 0."""
        self._connections = Pool()
        server = WSGIServer(
            (host, port),
            self._respond,
            log=None,
            error_log=None,
            spawn=self._connections,
            handler_class=_SocketHandler,
        )
        server.start()
        self._server = server
        self.address = f"{host}:{server.server_port}"

    def stop(self) -> None:
        """Stop listening; running requests end."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End at once, and with it all connections."""
        if self._server is not None:
            self._server.close()
            self._connections.kill()
            self._server = None
        self.running.clear()

    def start_again(self, cold: Millis = 0.0) -> None:
        """Start a new run under the same id and address, cold for a while."""
        self.born += 1
        self.cold_spans.append((_now(), _now() + cold))
        host, _, port = self.address.rpartition(":")
        self.start(host, int(port))

    def entry(self, service: str, data_centre: str, state: str = "ready") -> dict:
        """Return what it writes to the store of itself."""
        return {
            "service": service,
            "addr": self.address,
            "zone": data_centre,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold_left_s": round(self.cold_left() / MILLIS_PER_SECOND, 3),
            "seq": self._next_sequence(),
            "born": self.born,
        }

    def cold_left(self) -> Millis:
        """Return how long it stays cold."""
        return max([end - _now() for _, end in self.cold_spans[-1:]] + [0.0])

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _respond(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        headers = [("Instance-Id", self.id), ("Content-Type", "text/plain")]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        if self.rate_limit is not None:
            headers.append(("Server-Limit", f"{self.rate_limit:g}"))
        if environ["PATH_INFO"] == HEALTH_PATH:
            headers.append(("Cold-Ms", str(round(self.cold_left()))))
            headers.append(self._load_field())
            start("503 Leaving" if self.is_leaving else "200 OK", headers)
            return [b"ok"]
        request = environ.get("HTTP_REQUEST_ID", "")
        headers.append(("Request-Id", request))
        if environ.get("HTTP_EXPECT_INSTANCE", self.id) != self.id:
            start("421 Misdirected Request", headers)
            return [b""]
        self.arrivals.append((_now(), request))
        if self.is_leaving:
            self.leaving_told.append((_now(), request))
        if self.rate_limit is not None:
            self.limit_told.append((_now(), request, self.rate_limit))
        if self.rest is not None:
            self.rest_told.append((_now(), request, self.rest))
            seconds = f"{self.rest / MILLIS_PER_SECOND:g}"
            headers += [("Not-Run", "1"), ("Retry-After", seconds)]
            start("503 Service Unavailable", headers)
            return [b""]
        refusal_delay = self.find_refusal_delay(request)
        if refusal_delay is not None:
            gevent.sleep(refusal_delay / MILLIS_PER_SECOND)
            start("503 Service Unavailable", [*headers, ("Not-Run", "1")])
            return [b""]
        if len(self.running) >= self._slots:
            start("503 Service Unavailable", [*headers, ("Not-Run", "1")])
            return [b""]
        return self._run(request, environ, headers, start)

    def _run(
        self,
        request: str,
        environ: dict[str, Any],
        headers: list[tuple[str, str]],
        start: Callable[..., Any],
    ) -> Iterable[bytes]:
        self.runs_by_request[request] += 1
        self.runs.append((_now(), request))
        self.organisations.add(environ.get("HTTP_TENANT", ""))
        self.seen_keys += "HTTP_AUTHORIZATION" in environ
        body = environ["wsgi.input"].read()
        self.running.add(request)
        try:
            is_finished = self._work_on(request, environ[_SOCKET_KEY])
        finally:
            self.running.discard(request)
        if not is_finished:
            start("500 Dropped", headers)
            return [b""]
        headers.append(("Server-Stamp", f"stamp-{self.id}-{request}"))
        headers.append(self._load_field())
        if self.failure_status and random.random() < self.failing_share:
            self.status_by_request[request] = self.failure_status
            start(f"{self.failure_status} Failed", headers)
            return [b"failed"]
        self.status_by_request[request] = 200
        start("200 OK", headers)
        return [body or answer_body(environ["PATH_INFO"])]

    def _load_field(self) -> tuple[str, str]:
        load = f"{len(self.running)},0,{self._slots},{self.work_percent}"
        return "Server-Load", load

    def _work_on(self, request: str, sock: socket.socket) -> bool:
        """Return whether the work has been finished before the connection's close."""
        work = self.find_work(request)
        end = _now() + (self.work if work is None else work)
        is_dropped = False
        while _now() < end and not is_dropped:
            time_left = min(end - _now(), CLOSE_CHECK_INTERVAL)
            gevent.sleep(max(time_left, 0.0) / MILLIS_PER_SECOND)
            is_dropped = is_closed_by_peer(sock)
        self.work_by_request[request] = (_now(), max(_now(), end))
        return not is_dropped


def answer_body(path: str) -> bytes:
    """Return the answer to a request without a body, which belongs to its path."""
    if not path.startswith(LARGE_PREFIX):
        return path.encode()
    line = f"{path}\n".encode()
    return line * (LARGE_ANSWER_BYTES // len(line))


def _now() -> Millis:
    return time.monotonic() * MILLIS_PER_SECOND
