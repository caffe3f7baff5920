"""Entry VMs behind a fault proxy, and callers that keep their connections."""

from __future__ import annotations

import random
import signal
import struct
import sys
import time
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent import socket

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.platform.registrations import UPSTREAM_PREFIX
from lagoonlatch.standins.entry_fleet import HOST, EntryFleet
from lagoonlatch.standins.faults import ANY_GROUP, Fault, FaultProxy, Forward, Rule
from lagoonlatch.standins.instance import (
    LARGE_PREFIX,
    InstanceStandin,
    answer_body,
)

DEADLINE: Millis = 2_500.0
"""How long a caller waits; the route's timeout is longer."""

ANSWER_MARGIN: Millis = 1_000.0
"""How much later than the deadline a final answer may come on a busy machine."""

PAUSE: Millis = 40.0
"""Between two requests of a caller, on average."""

EQUAL_SHARE = 0.4
"""Default share of the safe requests that ask for the same thing as others."""

EQUAL_PATH = "/once/shared"
"""On a route without retries, whose answers would show that the requests are sound."""

EQUAL_AFFINITY = 100

RECEIVE_BYTES = 65_536
"""Size of a slow caller's receive buffer."""

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

GHOST_LIFETIME: Millis = 3_000.0
"""After this the platform removes an entry that its upstream doesn't renew."""

DATA_CENTRES = ("n-a", "n-b", "s-a")


def now() -> Millis:
    """Return the steady clock of the oracle."""
    return time.monotonic() * MILLIS_PER_SECOND


@dataclass
class Asked:
    """One request as its caller saw it; status 0: the connection ended.

    `is_patient` asks on a route whose requests wait long for a slot. `left` is when the
    caller closed the connection without waiting for the answer.
    """

    id: str
    vm: str
    key: str
    is_unsafe: bool
    is_equal: bool
    sent: Millis
    is_large: bool = False
    ended: Millis = 0.0
    status: int = 0
    has_stamp: bool = False
    problem: str = ""
    is_patient: bool = False
    left: Millis | None = None

    @property
    def path(self) -> str:
        """The requested path."""
        if self.is_equal:
            return EQUAL_PATH
        if self.is_patient:
            return f"/reserve/{self.id}"
        if self.is_large:
            return f"{LARGE_PREFIX}{self.id}"
        return f"/book/{self.id}" if self.is_unsafe else f"/look/{self.id}"

    @property
    def expected_body(self) -> bytes:
        """The body of a success."""
        return self.id.encode() if self.is_unsafe else answer_body(self.path)


@dataclass(frozen=True)
class Span:
    """A time in which something was disturbed; `subject` is a VM or an upstream."""

    subject: str
    kind: str
    start: Millis
    end: Millis


@dataclass
class History:
    """All that happened, for the oracle."""

    asked: list[Asked] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    keys: list[tuple[Millis, str]] = field(default_factory=list)
    rates: list[tuple[Millis, float]] = field(default_factory=list)
    evacuated: list[tuple[Millis, Millis, str]] = field(default_factory=list)
    limits: list[tuple[Millis, str, float | None]] = field(default_factory=list)

    def disturbed(self, subjects: set[str], start: Millis, end: Millis) -> bool:
        """Return whether any of `subjects` was disturbed between two instants."""
        return any(
            span.subject in subjects and span.start <= end and span.end >= start
            for span in self.spans
        )


class World(EntryFleet):
    """Real entry VMs whose ways to the store and upstreams can be broken."""

    def __init__(self, vms: int, instances: int, planted: str = "") -> None:
        super().__init__(vms=vms, instances=instances)
        if planted:
            self.command = [sys.executable, "-m", "tests.soak.planted", planted]
        self.proxy = FaultProxy()
        self.history = History()
        self.equal_share = EQUAL_SHARE
        self.data_centre_by_instance: dict[str, str] = {}
        self._addresses: dict[str, str] = {}

    def __exit__(self, *exception: object) -> None:
        """End the VMs, then the proxy before they give their ports to others."""
        self.proxy.stop()
        super().__exit__(*exception)

    def configure(self, keys=("key-0",), rate: float = 400.0, timeout_s: float = 4.0):
        """Write a configuration and remember when the store had it."""
        version = super().configure(keys, rate, timeout_s)
        self.history.keys.append((now(), keys[0]))
        self.history.rates.append((now(), rate))
        return version

    def register(
        self, instance: InstanceStandin, data_centre: str, state: str = "ready"
    ) -> None:
        """Write an upstream's entry, reached through the proxy."""
        self.data_centre_by_instance[instance.id] = data_centre
        super().register(instance, data_centre, state)

    def write_lost_entries_again(self, rng: random.Random) -> None:
        """Let operators and upstreams write again what a restored store has lost.

        The platform removes entries of upstreams that have left some seconds later.
        """
        start = now()
        for key in [*self.store.find_lost_writes("op/"), *self.instances_by_id]:
            gevent.sleep(rng.uniform(0.0, 0.2))
            key = f"{UPSTREAM_PREFIX}{key}" if key in self.instances_by_id else key
            self._write_again(key)
        gevent.sleep(max(GHOST_LIFETIME - (now() - start), 0.0) / MILLIS_PER_SECOND)
        for key in self.store.find_lost_writes(UPSTREAM_PREFIX):
            self._write_again(key, is_removal=True)

    def _write_again(self, key: str, is_removal: bool = False) -> None:
        lost = self.store.find_lost_writes(key)
        if key not in lost:
            return
        value = lost[key]
        if value is None and (is_removal or not key.startswith(UPSTREAM_PREFIX)):
            self.store.remove(key)
        elif value is not None and key.startswith(UPSTREAM_PREFIX):
            instance = self.instances_by_id[key.removeprefix(UPSTREAM_PREFIX)]
            state = msgspec.json.decode(value)["state"]
            self.register(instance, self.data_centre_by_instance[instance.id], state)
        elif value is not None:
            self.store.put(key, value)

    def equal_arrivals(self, instance: str, since: Millis) -> int:
        """Return how many equal requests have arrived at an upstream."""
        equal = self._equal_requests()
        arrivals = self.instances_by_id[instance].arrivals
        return sum(at >= since and request in equal for at, request in arrivals)

    def equal_running(self, instance: InstanceStandin) -> int:
        """Return how many equal requests an upstream is running."""
        return len(instance.running & self._equal_requests())

    def _equal_requests(self) -> set[str]:
        return {asked.id for asked in self.history.asked if asked.is_equal}

    def name_limit(self, instance: InstanceStandin, rate: float | None) -> None:
        """Let an upstream name a rate limit in its answers, or none."""
        self.history.limits.append((now(), instance.id, rate))
        instance.rate_limit = rate

    def upstream_address(self, instance: InstanceStandin) -> str:
        """Return the proxy's address of an upstream."""
        return self._forward(instance.id, instance.address)

    def store_address(self, vm: str) -> str:
        """Return the proxy's address of the store for one VM."""
        return self._forward(f"store-{vm}", super().store_address(vm))

    def cut_from_store(self, vm: str) -> None:
        """Cut a VM off from the store until the end of the run."""
        rule = Rule(source=ANY_GROUP, target=f"store-{vm}", fault=Fault(cut=True))
        self.proxy.set_rule(f"{vm}-without-store", rule)
        self.history.spans.append(Span(vm, "store_cut", now(), float("inf")))

    def restart(self, vm: str) -> None:
        """Start a VM again after its end."""
        self.start_vm(vm, self.vms_by_id[vm].data_centre, first=False)

    def stop_in_order(self, vm: str, patience: Millis) -> int | None:
        """Send SIGTERM and return the exit status, None if it doesn't end in time."""
        self.signal(vm, signal.SIGTERM)
        end = now() + patience
        while now() < end:
            status = self.vms_by_id[vm].process.poll()
            if status is not None:
                return status
            gevent.sleep(0.02)
        return None

    def _forward(self, name: str, target: str) -> str:
        if name not in self._addresses:
            (port,) = self._ports.take(1)
            self._addresses[name] = f"127.0.0.1:{port}"
            forward = Forward(listen=self._addresses[name], target=target, group=name)
            self.proxy.set_forward(name, forward)
        return self._addresses[name]


class Caller:
    """Sends one request after another to a VM on a connection that it keeps."""

    def __init__(self, world: World, vm: str, number: int, rng: random.Random) -> None:
        self._world = world
        self._vm = vm
        self._number = number
        self._rng = rng
        self._count = 0
        self._sock: socket.socket | None = None
        self._read = b""

    def run(self, until: Millis) -> None:
        """Send requests until an instant."""
        while now() < until:
            self._ask()
            pause = self._rng.expovariate(1.0) * PAUSE
            gevent.sleep(pause / MILLIS_PER_SECOND)

    def _ask(self) -> None:
        asked = self._next()
        try:
            if self._sock is None:
                port = self._world.vms_by_id[self._vm].caller_port
                self._sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
                self._read = b""
        except OSError:
            gevent.sleep(0.05)
            return
        self._world.history.asked.append(asked)
        self._sock.settimeout((DEADLINE + ANSWER_MARGIN) / MILLIS_PER_SECOND)
        asked.sent = now()
        try:
            self._sock.sendall(self._encode(asked))
            self._take_answer(asked)
        except TimeoutError:
            asked.problem = "no final answer in time"
            self._close()
        except OSError:
            self._close()
        asked.ended = now()

    def _next(self) -> Asked:
        self._count += 1
        is_unsafe = self._rng.random() < 0.4
        return Asked(
            id=f"{self._vm}.{self._number}.{self._count}",
            vm=self._vm,
            key=self._rng.choice([key for _, key in self._world.history.keys[-2:]]),
            is_unsafe=is_unsafe,
            is_equal=not is_unsafe and self._rng.random() < self._world.equal_share,
            sent=now(),
        )

    def _encode(self, asked: Asked) -> bytes:
        method = "POST" if asked.is_unsafe else "GET"
        body = asked.id.encode() if asked.is_unsafe else b""
        affinity = EQUAL_AFFINITY if asked.is_equal else self._rng.randrange(30)
        return (
            f"{method} {asked.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {asked.id}\r\nDeadline-Ms: {int(DEADLINE)}\r\n"
            f"Authorization: Token {asked.key}\r\n"
            f"Cookie: Affinity-Key={affinity}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _take_answer(self, asked: Asked) -> None:
        head, headers = self._read_head()
        asked.status = int(head.split()[1])
        length = int(headers.get("content-length", "0"))
        body = self._read_bytes(length)
        asked.has_stamp = "server-stamp" in headers
        if asked.status == 200:
            if body != asked.expected_body or headers.get("request-id") != asked.id:
                asked.problem = f"another answer: {headers} {body[:80]!r}"
            elif "server-stamp" not in headers:
                asked.problem = "success without the upstream's stamp"
        if headers.get("connection", "").lower() == "close":
            self._close()

    def _read_head(self) -> tuple[str, dict[str, str]]:
        while b"\r\n\r\n" not in self._read:
            self._receive()
        head, _, self._read = self._read.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return first, {name.lower(): value.strip() for name, _, value in pairs}

    def _read_bytes(self, count: int) -> bytes:
        while len(self._read) < count:
            self._receive()
        data, self._read = self._read[:count], self._read[count:]
        return data

    def _receive(self) -> None:
        data = self._sock.recv(65_536)
        if not data:
            raise ConnectionResetError("closed")
        self._read += data

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None


class LeavingCaller(Caller):
    """Sends requests ahead and closes the connection without reading an answer.

    Parameters
    ----------
    label : str
        Part of the ids of its requests.
    is_unsafe : bool
        Whether its requests may run only once.
    """

    def __init__(
        self, world: World, vm: str, label: str, is_unsafe: bool, rng: random.Random
    ) -> None:
        super().__init__(world, vm, rng.randrange(2**32), rng)
        self._label = label
        self._is_unsafe = is_unsafe

    def run(self, count: int, stay: Millis, is_reset: bool) -> None:
        """Send `count` requests and leave after `stay`, by a FIN or by a reset."""
        asked = [self._next_left() for _ in range(count)]
        port = self._world.vms_by_id[self._vm].caller_port
        try:
            sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        except OSError:
            # The VM is down or has stopped listening.
            return
        self._world.history.asked += asked
        try:
            sock.sendall(b"".join(map(self._encode, asked)))
            gevent.sleep(stay / MILLIS_PER_SECOND)
        except OSError:
            # The VM has ended meanwhile.
            return
        finally:
            for one in asked:
                one.left = one.ended = now()
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            sock.close()

    def _next_left(self) -> Asked:
        self._count += 1
        return Asked(
            id=f"{self._vm}.{self._label}.{self._number}.{self._count}",
            vm=self._vm,
            key=self._world.history.keys[-1][1],
            is_unsafe=self._is_unsafe,
            is_equal=False,
            is_patient=self._is_unsafe,
            sent=now(),
        )


class SlowCaller(Caller):
    """Sends requests with large answers ahead, and reads the answers late."""

    def run(self, count: int, stall: Millis) -> None:
        """Send `count` requests at once and read nothing for a time."""
        asked = [self._next_large() for _ in range(count)]
        port = self._world.vms_by_id[self._vm].caller_port
        try:
            self._sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            self._sock.settimeout((DEADLINE + ANSWER_MARGIN) / MILLIS_PER_SECOND)
            self._sock.sendall(b"".join(map(self._encode, asked)))
        except OSError:
            # A VM that is down or has stopped listening reads none of them.
            return
        self._world.history.asked += asked
        gevent.sleep(stall / MILLIS_PER_SECOND)
        self._read_answers(asked)
        self._close()

    def _read_answers(self, asked: list[Asked]) -> None:
        for number, one in enumerate(asked):
            try:
                self._take_answer(one)
            except (ValueError, IndexError):
                one.problem = f"bytes that are no answer: {self._read[:80]!r}"
            except TimeoutError:
                one.problem = "no final answer in time"
            except OSError:
                self._close()
            one.ended = now()
            if one.problem or self._sock is None:
                self._end_rest(asked[number + 1 :], is_unread=bool(one.status))
                return

    def _end_rest(self, rest: list[Asked], is_unread: bool) -> None:
        """Record requests behind the last answer; after its close they are unread."""
        for one in rest:
            one.ended = now()
            if is_unread:
                self._world.history.asked.remove(one)

    def _next_large(self) -> Asked:
        self._count += 1
        return Asked(
            id=f"{self._vm}.slow.{self._number}.{self._count}",
            vm=self._vm,
            key=self._world.history.keys[-1][1],
            is_unsafe=False,
            is_equal=False,
            is_large=True,
            sent=now(),
        )
