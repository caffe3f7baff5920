"""What both ends of a connection between two VMs have in common."""

from __future__ import annotations

from gevent import socket as gevent_socket
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from lagoonlatch.clock import Millis
from lagoonlatch.sockets import tune_socket

MAX_FRAME_BYTES = 32 * 1024 * 1024
"""A whole configuration document is the largest message."""

UNACKNOWLEDGED_TIMEOUT: Millis = 3_000.0
"""The kernel drops a connection whose data stay unacknowledged this long."""

FIRST_PROBE: Millis = 2_000.0
"""Until an idle connection is probed."""


def tune_peer_socket(sock: gevent_socket.socket) -> None:
    """Set what both ends of a connection between VMs need."""
    tune_socket(sock, UNACKNOWLEDGED_TIMEOUT, FIRST_PROBE)


def framed_transport(
    sock: gevent_socket.socket, max_frame_bytes: int = MAX_FRAME_BYTES
) -> TFramedTransport:
    """Return a framed thrift transport over `sock`.

    A receiver acts on a message only once its whole frame has arrived.
    """
    transport = TSocket()
    transport.setHandle(sock)
    return TFramedTransport(transport, max_frame_bytes)


class SequenceError(Exception):
    """An answer carries the sequence id or the name of another call."""


class PeerProtocol(TBinaryProtocolAccelerated):
    """The binary protocol, checking that an answer belongs to the call.

    Parameters
    ----------
    trans : TFramedTransport
        The transport.

    Attributes
    ----------
    expected : tuple of (str, int) or None
        Method and sequence id that the next message must carry; None: any.
    """

    def __init__(self, trans: TFramedTransport) -> None:
        super().__init__(trans)
        self.expected: tuple[str, int] | None = None

    def readMessageBegin(self):  # noqa: N802 - thrift's name
        """Read a message's header.

        Raises
        ------
        SequenceError
            If it is the answer to another call.
        """
        name, kind, sequence_id = super().readMessageBegin()
        if self.expected is not None and self.expected != (name, sequence_id):
            raise SequenceError(
                f"answer to {name!r} {sequence_id}, expected {self.expected}"
            )
        return name, kind, sequence_id
