"""Options of TCP connections."""

from __future__ import annotations

import socket

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

KEEP_ALIVE_INTERVAL: Millis = 1_000.0
"""Between probes of a connection on which nothing moves; the system counts seconds."""


def tune_socket(
    sock: socket.socket, silence: Millis, idle: Millis = KEEP_ALIVE_INTERVAL
) -> None:
    """Send small messages at once, and notice a peer that is out of reach.

    Parameters
    ----------
    silence : Millis
        A connection whose peer acknowledges nothing for about so long fails. It covers
        bytes that are under way and, by probes, an idle connection that something
        between the two ends has lost track of.
    idle : Millis
        Until the first probe of an idle connection; whole seconds.
    """
    probes = max(int(silence / KEEP_ALIVE_INTERVAL), 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _seconds(idle))
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _seconds(KEEP_ALIVE_INTERVAL)
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence))


def _seconds(duration: Millis) -> int:
    return int(duration / MILLIS_PER_SECOND)
