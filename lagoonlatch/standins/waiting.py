"""Waiting for processes and calling their JSON interfaces."""

from __future__ import annotations

import contextlib
import json
import socket
import time
import urllib.request
from collections.abc import Callable
from typing import Any

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

START_TIMEOUT: Millis = 30_000.0
POLL_INTERVAL: Millis = 20.0


def wait_for_port(
    host: str, port: int, timeout: Millis = START_TIMEOUT, listening: bool = True
) -> None:
    """Wait until something listens at an address, or nothing does any more.

    Raises
    ------
    TimeoutError
        If that takes longer than `timeout`.
    """
    deadline = time.monotonic() + timeout / MILLIS_PER_SECOND
    while listens(host, port) is not listening:
        if time.monotonic() > deadline:
            raise TimeoutError(f"{host}:{port} after {timeout} ms")
        time.sleep(POLL_INTERVAL / MILLIS_PER_SECOND)


def wait_until(condition: Callable[[], Any], timeout: Millis = START_TIMEOUT) -> bool:
    """Poll `condition` until it is true; return whether that was in time."""
    deadline = time.monotonic() + timeout / MILLIS_PER_SECOND
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if condition():
                return True
        time.sleep(POLL_INTERVAL / MILLIS_PER_SECOND)
    return False


def call_json(method: str, url: str, body: Any = None) -> Any:
    """Send a JSON request and return the JSON answer.

    Raises
    ------
    OSError
        If there is no answer or an error.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, data=data, method=method, headers=headers)
    with urllib.request.urlopen(request, timeout=10) as answer:
        text = answer.read()
    return json.loads(text) if text else None


def listens(host: str, port: int) -> bool:
    """Return whether something listens at an address."""
    try:
        socket.create_connection((host, port), timeout=1).close()
    except OSError:
        return False
    return True
