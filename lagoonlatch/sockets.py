"""Options of TCP connections."""

from __future__ import annotations

import socket

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

KEEP_ALIVE_INTERVAL: Millis = 1_000.0
"""Between probes of a connection on which nothing moves; the system counts seconds."""


_STATES_CLOSED_BY_PEER = frozenset({6, 7, 8, 9, 11})
"""Linux's numbers of TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING."""


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


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer of a TCP connection has closed or reset it.

    Unlike a read, this also notices a close behind bytes that haven't been read yet.

    Raises
    ------
    OSError
        If the socket is closed.
    """
    (state,) = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state in _STATES_CLOSED_BY_PEER


def _seconds(duration: Millis) -> int:
    return int(duration / MILLIS_PER_SECOND)
