"""Options of TCP connections."""

from __future__ import annotations

import errno
import os
import socket
import struct
from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis

KEEP_ALIVE_INTERVAL: Millis = 1_000.0
"""Between probes of a connection on which nothing moves; the system counts seconds."""

ACKNOWLEDGEMENT_CHECK_INTERVAL: Millis = 50.0
"""Between checks of a connection that has sent bytes which the peer has not read."""

PROBE_INTERVAL: Millis = 570.0
"""Longest time between probes of a closed window. A peer acknowledges at most one probe
in 500 ms."""

CLOSED_WINDOW_SILENCE: Millis = 1_200.0
"""A peer with a closed window that acknowledges nothing for so long is out of reach;
allows for the loss of one probe."""

_TCP_INFO_BYTES = 256
_BACKOFF_OFFSET = 4
_UNACKED_OFFSET, _LAST_ACK_OFFSET, _NOT_SENT_OFFSET = 24, 56, 144
"""Offsets in Linux's `struct tcp_info`: doublings of the time until the next probe, one
byte; packets under way, milliseconds since the last acknowledgement and bytes that have
not been sent, 32 bits each."""

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


@dataclass(frozen=True)
class _Progress:
    """What a peer has acknowledged.

    Parameters
    ----------
    unacknowledged : int
        Packets under way.
    not_sent : int
        Bytes that have not been sent, since the window doesn't permit it.
    silence : Millis
        Time since the last acknowledgement.
    is_probing : bool
        Whether the closed window has been probed.
    """

    unacknowledged: int
    not_sent: int
    silence: Millis
    is_probing: bool

    @classmethod
    def read(cls, sock: socket.socket) -> _Progress | None:
        """Return the progress of a connection; None if the system doesn't tell it."""
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            fields = [
                struct.unpack_from("I", info, offset)[0]
                for offset in (_UNACKED_OFFSET, _NOT_SENT_OFFSET, _LAST_ACK_OFFSET)
            ]
        except (OSError, struct.error):
            return None
        return cls(*fields, is_probing=info[_BACKOFF_OFFSET] > 0)


class ClosedWindowGuard:
    """Keeps a connection whose peer acknowledges everything but reads late.

    Linux applies TCP_USER_TIMEOUT also to a closed window, although the peer
    acknowledges each probe of the window. While it does, `check` extends the option.
    Without a check, or if the system tells nothing of the connection, the option ends
    the connection. As a side effect, Linux probes a window before the option's time is
    up, so that the peer is probed every `PROBE_INTERVAL`.

    Parameters
    ----------
    silence : Millis
        TCP_USER_TIMEOUT of the connection while the window is open.
    """

    def __init__(self, sock: socket.socket, silence: Millis, clock: Clock) -> None:
        self._sock = sock
        self._silence = silence
        self._clock = clock
        self._closed_since: Millis | None = None

    def check(self) -> bool:
        """Return whether the connection needs further checks.

        Raises
        ------
        TimeoutError
            If the window is closed and the peer acknowledges nothing.
        """
        progress = _Progress.read(self._sock)
        if progress is None:
            self.reset()
            return False
        if progress.unacknowledged or not progress.not_sent:
            self.reset()
            return progress.unacknowledged > 0
        if not progress.is_probing:
            # Linux counts from the first probe.
            self.reset()
            return True
        if progress.silence >= CLOSED_WINDOW_SILENCE:
            raise TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))
        now = self._clock.now()
        if self._closed_since is None:
            self._closed_since = now
        self._set_timeout(now - self._closed_since + PROBE_INTERVAL)
        return True

    def reset(self) -> None:
        """Set the option to its value for an open window."""
        if self._closed_since is not None:
            self._closed_since = None
            self._set_timeout(self._silence)

    def _set_timeout(self, timeout: Millis) -> None:
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(max(timeout, 1.0))
        )


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
