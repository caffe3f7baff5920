"""A caller: asks which VM to use, keeps the answer, sends requests."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

DEFAULT_TIMEOUT: Millis = 5_000.0


@dataclass(frozen=True)
class Reply:
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no whole answer.
    problem : str
        Name of the refusal, or what went wrong without an answer.
    not_run : bool
        Whether the request is known not to have run.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    vm: str = ""
    problem: str = ""
    not_run: bool = False

    @property
    def ok(self) -> bool:
        """Whether an upstream answered."""
        return 200 <= self.status < 300

    def json(self) -> Any:
        """Return the value of the JSON body."""
        return json.loads(self.body)


class Caller:
    """One caller with one key.

    Parameters
    ----------
    vms : sequence of str
        ``IP:port`` of the VMs that it knows from the start.
    service : str
        The service that it calls.
    key : str
        Its organisation's key, or empty.
    """

    def __init__(
        self,
        vms: Sequence[str],
        service: str,
        key: str = "",
        port: int = 8080,
        timeout: Millis = DEFAULT_TIMEOUT,
    ) -> None:
        self._known = list(vms)
        self._service = service
        self._key = key
        self._port = port
        self._timeout = timeout
        self._vms: list[str] = []
        self._expires = 0.0

    def look_up(self) -> list[str]:
        """Return the VMs to use, asking one of those known if the answer is old."""
        if self._vms and time.monotonic() < self._expires:
            return self._vms
        for vm in [*self._vms, *self._known]:
            reply = self._send(vm, "GET", f"/v1/lookup?service={self._service}")
            if reply.ok:
                found = reply.json()
                self._expires = time.monotonic() + found["ttl_ms"] / MILLIS_PER_SECOND
                self._vms = [f"{item['address']}:{self._port}" for item in found["vms"]]
                break
        return self._vms or self._known

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        idempotent: bool = False,
        vm: str = "",
    ) -> Reply:
        """Send a request to the first VM that takes it.

        A request that can't have reached a VM is sent to the next one; one that may
        have is sent again only if it is idempotent.
        """
        reply = Reply(0, problem="no VM known")
        target = f"/v1/services/{self._service}{path}"
        for candidate in [vm] if vm else self.look_up():
            reply = self._send(candidate, method, target, body, headers)
            may_go_on = reply.not_run or idempotent
            if reply.status or not may_go_on:
                break
            self._expires = 0.0
        return reply

    def issue_key(self, vm: str = "") -> str:
        """Return a new idempotency key."""
        for candidate in [vm] if vm else self.look_up():
            reply = self._send(candidate, "POST", "/v1/idempotency-keys")
            if reply.ok:
                return reply.json()["idempotency_key"]
        return ""

    def _send(self, vm, method, target, body=b"", headers=None) -> Reply:
        host, _, port = vm.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=self._timeout / MILLIS_PER_SECOND
        )
        sent = dict(headers or {})
        if self._key:
            sent["Authorization"] = f"Bearer {self._key}"
        try:
            connection.connect()
        except OSError as error:
            return Reply(0, vm=vm, problem=type(error).__name__, not_run=True)
        try:
            connection.request(method, target, body or None, sent)
            return _read(vm, connection.getresponse())
        except (OSError, http.client.HTTPException) as error:
            return Reply(0, vm=vm, problem=type(error).__name__)
        finally:
            connection.close()


def _read(vm: str, response: http.client.HTTPResponse) -> Reply:
    body = response.read()
    headers = {name.lower(): value for name, value in response.getheaders()}
    problem = ""
    not_run = False
    if headers.get("content-type") == "application/problem+json":
        found = json.loads(body)
        problem = found["type"].rpartition(":")[2]
        not_run = found.get("outcome") == "not run"
    return Reply(response.status, body, headers, vm, problem, not_run)
