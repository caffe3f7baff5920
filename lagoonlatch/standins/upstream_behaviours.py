"""What the stand-in upstream does wrong on demand; see `BEHAVIOURS`."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import gevent.event
import xxhash

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.registry import Registry


@dataclass(kw_only=True)
class Execution:
    """One request that took a slot; instants are Unix time in milliseconds."""

    request_id: str
    idempotency_key: str
    organisation: str
    method: str
    path: str
    start: Millis
    end: Millis | None = None
    result: str = "running"


@dataclass(frozen=True, kw_only=True)
class Call:
    """One request and how to answer it."""

    environ: dict
    body: bytes
    execution: Execution
    cancelled: gevent.event.Event
    argument: str

    def answer(self) -> bytes:
        """Return the whole answer, by which a caller can tell its own."""
        document = {
            "request_id": self.execution.request_id,
            "organisation": self.execution.organisation,
            "method": self.execution.method,
            "path": self.execution.path,
            "body_digest": xxhash.xxh64_hexdigest(self.body),
        }
        return json.dumps(document).encode()

    def send_raw(self, length: int, body: bytes) -> None:
        """Send an answer that claims `length` bytes, and close the connection."""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
        connection = self.environ["standin.socket"]
        connection.sendall(head.encode() + body)
        connection.shutdown(socket.SHUT_RDWR)


Behaviour = Callable[[Any, Call], bytes | None]
BEHAVIOURS: Registry[Behaviour] = Registry("behaviour")


@BEHAVIOURS.register("slow")
def _slow(instance, call: Call) -> bytes | None:
    instance.work(call, float(call.argument))
    return call.answer()


@BEHAVIOURS.register("late")
def _late(instance, call: Call) -> bytes | None:
    gevent.sleep(float(call.argument) / MILLIS_PER_SECOND)
    return call.answer()


@BEHAVIOURS.register("cut")
def _cut(instance, call: Call) -> bytes | None:
    body = call.answer()
    call.send_raw(len(body), body[: len(body) // 2])


@BEHAVIOURS.register("length-short")
def _length_short(instance, call: Call) -> bytes | None:
    body = call.answer()
    call.send_raw(len(body) // 2, body)


@BEHAVIOURS.register("length-long")
def _length_long(instance, call: Call) -> bytes | None:
    body = call.answer()
    call.send_raw(len(body) * 2, body)


@BEHAVIOURS.register("close")
def _close(instance, call: Call) -> bytes | None:
    call.environ["standin.socket"].shutdown(socket.SHUT_RDWR)


@BEHAVIOURS.register("crossed")
def _crossed(instance, call: Call) -> bytes | None:
    call.environ["standin.request_id"] = "another-request"
    return call.answer().replace(call.execution.request_id.encode(), b"another-request")


@BEHAVIOURS.register("twice")
def _twice(instance, call: Call) -> bytes | None:
    body = call.answer()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    call.environ["standin.socket"].sendall((head + body) * 2)


@BEHAVIOURS.register("surplus")
def _surplus(instance, call: Call) -> bytes | None:
    body = b"{}"
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    connection = call.environ["standin.socket"]
    delay = float(call.argument) / MILLIS_PER_SECOND
    gevent.spawn_later(delay, connection.sendall, head + body)
    return call.answer()


@BEHAVIOURS.register("status")
def _status(instance, call: Call) -> bytes | None:
    call.environ["standin.status"] = f"{call.argument} as asked"
    return call.answer()
