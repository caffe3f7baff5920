"""A stand-in upstream instance: slots, connections, drain and misbehaviour on demand.

``python -m lagoonlatch.standins.upstream --listen 127.0.0.1:9001 --slots 3``

Work is any path outside ``/standin/``, ``/health`` and ``/load``. The query
parameter ``behaviour`` (``name`` or ``name:argument``) makes one request misbehave;
`BEHAVIOURS` names them. A path or body that contains ``poison`` ends the process.

==============================  ==========================================
``GET /standin/executions``     every execution, in the order of starting
``GET /standin/peaks``          highest in-flight and connection counts
``GET /standin/headers``        names and values of all headers received
``PUT /standin/switches``       fields of `Switches`, as a JSON object
==============================  ==========================================
"""

from __future__ import annotations

import errno
import json
import os
import socket
import time
from dataclasses import asdict, dataclass, replace
from urllib.parse import parse_qs

import gevent
import gevent.event
import gevent.pool
import gevent.pywsgi
from gevent.socket import wait_read

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.standins.upstream_behaviours import BEHAVIOURS, Call, Execution

NOT_RUN_HEADER = ("Lagoonlatch-Not-Run", "true")
REQUEST_ID_HEADER = "Lagoonlatch-Request-Id"

_POISON = b"poison"
_JSON_HEADER = ("Content-Type", "application/json")
_OWN_PATHS = ("/standin/", "/health", "/load")
_LONGEST_WORK: Millis = 600_000.0


@dataclass(frozen=True, kw_only=True)
class Switches:
    """What tests change while the instance runs.

    Parameters
    ----------
    draining : bool
        New work is refused, "not run", once `drain_grace` has passed.
    drain_grace : Millis
        Time for which a draining instance still takes new work.
    load_lag : Millis
        Age of what ``/load`` reports.
    load_lie : int or None
        In-flight count that ``/load`` reports instead of the true one.
    health_lie : bool
        Whether ``/health`` answers 200 whatever the state.
    mute : bool
        Whether ``/health`` and ``/load`` never answer.
    failing : bool
        Whether all work is answered 500.
    work_ms : Millis or None
        Replaces the flag ``--work-ms``.
    """

    draining: bool = False
    drain_grace: Millis = 0.0
    load_lag: Millis = 0.0
    load_lie: int | None = None
    health_lie: bool = False
    mute: bool = False
    failing: bool = False
    work_ms: Millis | None = None


class _Handler(gevent.pywsgi.WSGIHandler):
    """Counts connections and hands the socket to the application."""

    def handle(self):
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        instance = self.server.application.__self__
        with instance.connection():
            super().handle()

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ


class StandinUpstream:
    """The state of one instance and its WSGI application."""

    def __init__(
        self,
        *,
        slots: int,
        work: Millis,
        connection_cost: Millis,
        cold: Millis,
        cold_factor: float,
        log: str,
    ) -> None:
        self._slots = slots
        self._work = work
        self._connection_cost = connection_cost
        self._cold_until = _wall() + cold
        self._cold_factor = cold_factor
        self._log = open(log, "a", buffering=1) if log else None  # noqa: SIM115
        self._switches = Switches()
        self._draining_since: Millis | None = None
        self._executions: list[Execution] = []
        self._in_flight = 0
        self._connections = 0
        self._peak_in_flight = 0
        self._peak_connections = 0
        self._shed = 0
        self._values_by_header: dict[str, set[str]] = {}
        self._loads: list[tuple[Millis, int, int]] = []

    def connection(self) -> _Counted:
        """Return a context that counts a connection and charges its cost."""
        return _Counted(self)

    def application(self, environ, start_response):
        """Answer one request (WSGI)."""
        path = environ["PATH_INFO"]
        if path.startswith(_OWN_PATHS):
            return self._answer_own(path, environ, start_response)
        body = environ["wsgi.input"].read()
        if self._must_refuse():
            self._shed += 1
            request_id = environ.get("HTTP_LAGOONLATCH_REQUEST_ID", "")
            headers = [_JSON_HEADER, NOT_RUN_HEADER, ("Retry-After", "1")]
            headers.append((REQUEST_ID_HEADER, request_id))
            start_response("503 Service Unavailable", headers)
            return [b'{"refused": true}']
        return self._execute(environ, body, start_response)

    def work(self, call: Call, duration: Millis) -> None:
        """Hold the slot for `duration`; ends early when cancelled or past deadline."""
        if _wall() < self._cold_until:
            duration *= self._cold_factor
        left = call.environ.get("HTTP_LAGOONLATCH_DEADLINE")
        allowed = float(left) if left else _LONGEST_WORK
        if call.cancelled.wait(min(duration, allowed) / MILLIS_PER_SECOND):
            call.execution.result = "cancelled"
        elif allowed < duration:
            call.execution.result = "deadline"
            call.environ["standin.status"] = "504 Gateway Timeout"

    def _must_refuse(self) -> bool:
        if self._in_flight >= self._slots:
            return True
        if self._draining_since is None:
            return False
        return _wall() - self._draining_since >= self._switches.drain_grace

    def _execute(self, environ, body, start_response):
        execution = self._start(environ)
        cancelled = gevent.event.Event()
        watcher = gevent.spawn(_watch_peer, environ["standin.socket"], cancelled)
        try:
            name, _, argument = _behaviour(environ).partition(":")
            call = Call(
                environ=environ,
                body=body,
                execution=execution,
                cancelled=cancelled,
                argument=argument,
            )
            if _POISON in body or _POISON in environ["PATH_INFO"].encode():
                os._exit(1)
            answer = self._behave(name, call)
        finally:
            watcher.kill()
            self._finish(execution)
        if answer is None:
            environ["standin.socket"].close()
            raise BrokenPipeError(errno.EPIPE, "closed as asked")
        request_id = environ.get("standin.request_id", execution.request_id)
        headers = [_JSON_HEADER, (REQUEST_ID_HEADER, request_id)]
        headers.append(("Content-Length", str(len(answer))))
        start_response(environ.get("standin.status", "200 OK"), headers)
        return [answer]

    def _behave(self, name: str, call: Call) -> bytes | None:
        if name:
            return BEHAVIOURS.find(name).unwrap()(self, call)
        duration = self._switches.work_ms
        self.work(call, self._work if duration is None else duration)
        if self._switches.failing:
            call.environ["standin.status"] = "500 Internal Server Error"
        return call.answer()

    def _start(self, environ) -> Execution:
        self._remember_headers(environ)
        execution = Execution(
            request_id=environ.get("HTTP_LAGOONLATCH_REQUEST_ID", ""),
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            organisation=environ.get("HTTP_LAGOONLATCH_ORGANISATION", ""),
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            start=_wall(),
        )
        self._executions.append(execution)
        self._in_flight += 1
        self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
        self._note_load()
        self._write(execution)
        return execution

    def _finish(self, execution: Execution) -> None:
        execution.end = _wall()
        if execution.result == "running":
            execution.result = "done"
        self._in_flight -= 1
        self._note_load()
        self._write(execution)

    def _write(self, execution: Execution) -> None:
        if self._log is not None:
            self._log.write(json.dumps(asdict(execution)) + "\n")

    def _remember_headers(self, environ) -> None:
        for name, value in environ.items():
            if name.startswith("HTTP_"):
                self._values_by_header.setdefault(name[5:], set()).add(value)

    def _note_load(self) -> None:
        now = _wall()
        self._loads.append((now, self._in_flight, self._connections))
        horizon = now - self._switches.load_lag
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.pop(0)

    def _answer_own(self, path, environ, start_response):
        status, document = "200 OK", {}
        if self._switches.mute and not path.startswith("/standin/"):
            gevent.sleep(_LONGEST_WORK / MILLIS_PER_SECOND)
        if path == "/health":
            unwell = self._switches.draining and not self._switches.health_lie
            status = "503 Service Unavailable" if unwell else status
            document = {"draining": unwell}
        elif path == "/load":
            document = self._load()
        elif path == "/standin/switches":
            document = self._switch(json.loads(environ["wsgi.input"].read()))
        elif path == "/standin/executions":
            document = [asdict(execution) for execution in self._executions]
        elif path == "/standin/peaks":
            document = {
                "in_flight": self._peak_in_flight,
                "connections": self._peak_connections,
                "shed": self._shed,
            }
        elif path == "/standin/headers":
            document = {n: sorted(v) for n, v in self._values_by_header.items()}
        else:
            status = "404 Not Found"
        start_response(status, [_JSON_HEADER])
        return [json.dumps(document).encode()]

    def _load(self) -> dict:
        self._note_load()
        _, in_flight, connections = self._loads[0]
        if self._switches.load_lie is not None:
            in_flight = self._switches.load_lie
        return {
            "in_flight": in_flight,
            "connections": connections,
            "slots": self._slots,
            "draining": self._switches.draining,
        }

    def _switch(self, changes: dict) -> dict:
        self._switches = replace(self._switches, **changes)
        if self._switches.draining and self._draining_since is None:
            self._draining_since = _wall()
        if not self._switches.draining:
            self._draining_since = None
        return asdict(self._switches)

    def connected(self, change: int) -> None:
        """Count a connection in (1) or out (-1); a new one costs processor time."""
        self._connections += change
        self._peak_connections = max(self._peak_connections, self._connections)
        if change > 0:
            _burn(self._connection_cost)


class _Counted:
    def __init__(self, instance: StandinUpstream) -> None:
        self._instance = instance

    def __enter__(self) -> None:
        self._instance.connected(1)

    def __exit__(self, *_exception) -> None:
        self._instance.connected(-1)


def _behaviour(environ) -> str:
    return parse_qs(environ["QUERY_STRING"]).get("behaviour", [""])[0]


def _watch_peer(connection: socket.socket, cancelled: gevent.event.Event) -> None:
    try:
        wait_read(connection.fileno())
        if connection.recv(1, socket.MSG_PEEK) == b"":
            cancelled.set()
    except OSError:
        cancelled.set()


def _burn(duration: Millis) -> None:
    end = time.perf_counter() + duration / MILLIS_PER_SECOND
    while time.perf_counter() < end:
        pass


def _wall() -> Millis:
    return time.time() * MILLIS_PER_SECOND


def main(
    *,
    listen: str,
    slots: int = 3,
    connections: int = 390,
    work_ms: float = 20.0,
    connection_ms: float = 1.0,
    cold_ms: float = 0.0,
    cold_factor: float = 5.0,
    log: str = "",
) -> None:
    """Run one stand-in upstream instance.

    Parameters
    ----------
    listen : str
        ``IP:port`` to serve on.
    slots : int
        Requests that run at once; further ones are refused, "not run".
    connections : int
        Connections held at once; further ones are not accepted.
    work_ms : float
        Time that a request takes.
    connection_ms : float
        Processor time that a new connection costs.
    cold_ms : float
        How long after the start requests are slower.
    cold_factor : float
        By how much they are slower.
    log : str
        File to which each start and end of an execution is appended.
    """
    instance = StandinUpstream(
        slots=slots,
        work=work_ms,
        connection_cost=connection_ms,
        cold=cold_ms,
        cold_factor=cold_factor,
        log=log,
    )
    host, _, port = listen.rpartition(":")
    server = gevent.pywsgi.WSGIServer(
        (host, int(port)),
        instance.application,
        handler_class=_Handler,
        spawn=gevent.pool.Pool(connections),
        log=None,
        error_log=None,
    )
    server.serve_forever()


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    import defopt

    defopt.run(main)
