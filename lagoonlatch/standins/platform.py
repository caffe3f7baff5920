"""A process that stands in for the platform: its store, its VM list, its faults.

Run ``python -m lagoonlatch.standins.platform --listen 127.0.0.1:PORT``. Beside the
platform's own calls it answers ``PUT /standin/vms``, ``PUT /standin/switches``,
``GET /standin/calls``, ``POST /standin/snapshot`` and ``POST /standin/restore``.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from math import inf
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

import defopt
import gevent
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer
from returns.result import Failure

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.platform import gateway
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.standins.store_gateway import (
    BAD_REQUEST,
    NOT_FOUND,
    is_write,
    run_call,
    stream_watch,
)
from lagoonlatch.standins.store_state import StoreState

PROGRESS_INTERVAL: Millis = 1_000.0
LEASE_CHECK_INTERVAL: Millis = 100.0

_UNAVAILABLE = 503
_GRPC_UNAVAILABLE = 14
_REASON_BY_STATUS = {
    200: "OK",
    BAD_REQUEST: "Bad Request",
    NOT_FOUND: "Not Found",
    _UNAVAILABLE: "Service Unavailable",
}
_SOCKET_KEY = "lagoonlatch.socket"


class Switches(msgspec.Struct, forbid_unknown_fields=True):
    """The faults that are on.

    Parameters
    ----------
    outage : bool
        Every call is refused without effect; open watches end.
    delay : Millis
        Every call waits this long before it runs.
    lose_answers : int
        So many writes take effect and lose their answers.
    list_lag : Millis
        The VM list shows the state of so long ago.
    drop_watches : bool
        Watches send nothing more, progress notices included.
    """

    outage: bool = False
    delay: Millis = 0.0
    lose_answers: int = 0
    list_lag: Millis = 0.0
    drop_watches: bool = False


class PlatformApp:
    """The stand-in as a WSGI application.

    Parameters
    ----------
    clock : Clock
        Decides when leases end and what the lagging list shows.
    """

    def __init__(self, clock: Clock) -> None:
        self.state = StoreState(clock)
        self.switches = Switches()
        self.calls_by_kind: Counter[str] = Counter()
        self._clock = clock
        self._vms_by_time: deque[tuple[Millis, tuple[gateway.VmRecord, ...]]] = deque()
        self._vms_by_time.append((-inf, ()))
        self._snapshot = self.state.snapshot()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path.startswith("/standin/"):
            return _answer(start_response, *self._control(path, body))
        self.calls_by_kind[path.rsplit("/", 1)[1]] += 1
        gevent.sleep(self.switches.delay / MILLIS_PER_SECOND)
        if self.switches.outage:
            error = gateway.GatewayError(_GRPC_UNAVAILABLE, gateway.NO_LEADER)
            return _answer(start_response, _UNAVAILABLE, error)
        if path == gateway.WATCH_PATH:
            return self._watch(body, start_response)
        if path == gateway.VMS_PATH:
            return _answer(start_response, 200, self._listed())
        return self._run(path, body, environ, start_response)

    def end_leases(self) -> None:
        """End leases as their time comes, for ever."""
        while True:
            gevent.sleep(LEASE_CHECK_INTERVAL / MILLIS_PER_SECOND)
            self.state.end_leases()

    def _run(
        self, path: str, body: bytes, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        reply = run_call(self.state, path, body)
        if is_write(path) and self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            environ[_SOCKET_KEY].shutdown(SHUT_RDWR)
        return _answer(start_response, *reply)

    def _watch(self, body: bytes, start_response: Callable) -> Iterator[bytes]:
        request = gateway.decode_message(body, gateway.WatchRequest)
        if isinstance(request, Failure):
            error = gateway.GatewayError(message=request.failure())
            return iter(_answer(start_response, BAD_REQUEST, error))
        start_response("200 OK", [("Content-Type", "application/json")])
        return self._watch_lines(request.unwrap().create_request.key)

    def _watch_lines(self, prefix: bytes) -> Iterator[bytes]:
        queue = self.state.open_watch(prefix.rstrip(b"\0").decode())
        try:
            for message in stream_watch(queue, PROGRESS_INTERVAL):
                if self.switches.outage:
                    return
                if not self.switches.drop_watches:
                    yield gateway.encode_message(message) + b"\n"
        finally:
            self.state.close_watch(queue)

    def _listed(self) -> tuple[gateway.VmRecord, ...]:
        horizon = self._clock.now() - self.switches.list_lag
        while len(self._vms_by_time) > 1 and self._vms_by_time[1][0] <= horizon:
            self._vms_by_time.popleft()
        return self._vms_by_time[0][1]

    def _control(self, path: str, body: bytes) -> tuple[int, object]:
        try:
            return 200, self._set(path, body)
        except msgspec.DecodeError as error:
            return BAD_REQUEST, gateway.GatewayError(message=str(error))

    def _set(self, path: str, body: bytes) -> object:
        if path == "/standin/vms":
            vms = msgspec.json.decode(body, type=tuple[gateway.VmRecord, ...])
            self._vms_by_time.append((self._clock.now(), vms))
        elif path == "/standin/switches":
            changed = msgspec.json.decode(body, type=dict)
            merged = msgspec.to_builtins(self.switches) | changed
            self.switches = msgspec.convert(merged, Switches, strict=False)
        elif path == "/standin/snapshot":
            self._snapshot = self.state.snapshot()
        elif path == "/standin/restore":
            self.state.restore(self._snapshot)
        elif path != "/standin/calls":
            raise msgspec.DecodeError(f"no switch {path}")
        return dict(self.calls_by_kind)


class _SocketHandler(WSGIHandler):
    """Gives the application its socket, so that it can lose an answer.

    The server writes head and body of an answer one by one; sent at once, the body
    doesn't wait for the client's delayed acknowledgement.
    """

    def __init__(self, sock, *arguments, **options) -> None:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().__init__(sock, *arguments, **options)

    def get_environ(self) -> dict:
        return super().get_environ() | {_SOCKET_KEY: self.socket}


def start_server(listen: Endpoint, clock: Clock) -> WSGIServer:
    """Start the stand-in on `listen` and return its server."""
    app = PlatformApp(clock)
    server = WSGIServer(
        (listen.host, listen.port), app, log=None, handler_class=_SocketHandler
    )
    server.start()
    gevent.spawn(app.end_leases)
    return server


def main(*, listen: str) -> None:
    """Stand in for the platform until killed.

    Parameters
    ----------
    listen : str
        ``IP:port``; port 0 takes a free one, which is printed.
    """
    server = start_server(Endpoint.from_address(listen), Clock())
    print(f"listening on {server.server_host}:{server.server_port}", flush=True)
    server.serve_forever()


def _answer(start_response: Callable, status: int, message: object) -> Iterable[bytes]:
    body = gateway.encode_message(message)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(f"{status} {_REASON_BY_STATUS[status]}", headers)
    return [body]


if __name__ == "__main__":
    defopt.run(main)
