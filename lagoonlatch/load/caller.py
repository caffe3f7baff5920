"""Callers of one address: look-ups, kept-alive connections, one resend."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.load.plan import Stream

CALLERS_PORT = 8080
PROBLEM_TYPE = "application/problem+json"
LOOKUP_AGAIN: Millis = 500.0
"""Time between look-ups while none is answered."""


@dataclass(frozen=True)
class Reply:
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status; 0 without a whole answer.
    problem : str
        Name of the refusal, or the error without an answer; empty if served.
    whole : bool
        Whether the answer was the whole answer to this request.
    """

    status: int
    problem: str
    whole: bool = True

    @property
    def served(self) -> bool:
        """Whether an upstream answered."""
        return not self.problem


class LoadCaller:
    """The callers of a service at one address.

    They keep a look-up's answer for its time, use the first VM of it, and go to the
    next VM when one can't be connected to. A request without an answer is sent once
    more if it is idempotent.

    Parameters
    ----------
    known : tuple of str
        Addresses of VMs asked first.
    service : str
        The service called.
    source : str
        IP address to send from, or empty.
    clock : Clock
        Ages look-ups.
    timeout : Millis
        Longest wait for an answer.
    """

    def __init__(
        self,
        known: tuple[str, ...],
        service: str,
        source: str,
        clock: Clock,
        timeout: Millis,
    ) -> None:
        self._known = known
        self._service = service
        self._source = (source, 0) if source else None
        self._clock = clock
        self._timeout = timeout
        self._vms: tuple[str, ...] = ()
        self._look_up_at: Millis = 0.0
        self._idle_by_vm: dict[str, list[http.client.HTTPConnection]] = {}

    def request(self, stream: Stream, number: int) -> Reply:
        """Send one request and return what came of it."""
        path = stream.path.format(number)
        target = f"/v1/services/{stream.service}{path}"
        headers = {"Authorization": f"Bearer {stream.key}"} if stream.key else {}
        reply = Reply(0, "no-vm-known")
        tries_left = 2 if stream.idempotent else 1
        for vm in self._choices():
            reply, sent = self._try(vm, stream.method, target, headers)
            if reply.status:
                break
            self._look_up_at = 0.0
            tries_left -= sent
            if not tries_left:
                break
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_vm.values():
            while idle:
                idle.pop().close()

    def _choices(self) -> tuple[str, ...]:
        if self._clock.now() >= self._look_up_at:
            # Others go on with the old answer while this one is on its way.
            self._look_up_at = self._clock.now() + LOOKUP_AGAIN
            self._look_up()
        return self._vms or self._known

    def _look_up(self) -> None:
        for vm in dict.fromkeys((*self._vms, *self._known)):
            connection = self._connect(vm)
            if connection is None:
                continue
            try:
                connection.request("GET", f"/v1/lookup?service={self._service}")
                response = connection.getresponse()
                found = json.loads(response.read())
            except (OSError, http.client.HTTPException, ValueError):
                connection.close()
                continue
            self._keep(vm, connection, response)
            if response.status == 200 and found["vms"]:
                self._vms = tuple(item["address"] for item in found["vms"])
                self._look_up_at = self._clock.now() + found["ttl_ms"]
                return

    def _try(self, vm, method, target, headers) -> tuple[Reply, bool]:
        """Return the reply and whether the request may have reached the VM."""
        connection = self._connect(vm)
        if connection is None:
            return Reply(0, "unreachable"), False
        try:
            connection.request(method, target, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return Reply(0, f"no-answer-{type(error).__name__}"), True
        self._keep(vm, connection, response)
        return _reply_of(response, body, target), True

    def _connect(self, vm: str) -> http.client.HTTPConnection | None:
        idle = self._idle_by_vm.setdefault(vm, [])
        while idle:
            connection = idle.pop()
            if not _is_closed(connection):
                return connection
            connection.close()
        connection = http.client.HTTPConnection(
            vm,
            CALLERS_PORT,
            timeout=self._timeout / MILLIS_PER_SECOND,
            source_address=self._source,
        )
        try:
            connection.connect()
        except OSError:
            return None
        return connection

    def _keep(self, vm, connection, response) -> None:
        if response.will_close:
            connection.close()
        else:
            self._idle_by_vm[vm].append(connection)


def _reply_of(response: http.client.HTTPResponse, body: bytes, target: str) -> Reply:
    if response.getheader("Content-Type") == PROBLEM_TYPE:
        problem = json.loads(body)["type"].rpartition(":")[2]
        return Reply(response.status, problem)
    if response.status >= 400:
        return Reply(response.status, f"status-{response.status}")
    path = "/" + target.split("/", 4)[4]
    return Reply(response.status, "", whole=_echoes(body, path))


def _echoes(body: bytes, path: str) -> bool:
    """Return whether a stand-in upstream's answer belongs to `path`."""
    try:
        return json.loads(body).get("path") == path
    except (ValueError, AttributeError):
        return False


def _is_closed(connection: http.client.HTTPConnection) -> bool:
    """Return whether the other side has closed an idle connection."""
    sock = connection.sock
    if sock is None:
        return True
    sock.setblocking(False)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(connection.timeout)
