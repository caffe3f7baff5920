"""Options of TCP connections."""

from __future__ import annotations

import socket

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

KEEP_ALIVE_INTERVAL: Millis = 1_000.0
"""Between probes of a connection on which nothing moves; the system counts seconds."""


def detect_silence(sock: socket.socket, timeout: Millis) -> None:
    """Fail a connection whose peer acknowledges nothing for about `timeout`.

    It covers bytes that are under way and, by probes, an idle connection that
    something between the two ends has lost track of.
    """
    interval = int(KEEP_ALIVE_INTERVAL / MILLIS_PER_SECOND)
    probes = max(int(timeout / KEEP_ALIVE_INTERVAL), 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout))
