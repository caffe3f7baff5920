"""Scripted upstream on real sockets."""

import struct

import gevent
from gevent import socket
from gevent.server import StreamServer

OK = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)

INVALID_STATUSES = (
    *("000", "099", "100", "600", "999"),
    *("-1", "abc", "2000", "0200", "20", ""),
)
"""Statuses that no final answer may have."""


def make_answer_bytes(status, has_id=True, has_stamp=True):
    """Return an answer with a body and the given status."""
    fields = "Request-Id: r1\r\n" * has_id + "Server-Stamp: s\r\n" * has_stamp
    head = f"HTTP/1.1 {status} X\r\n{fields}Content-Length: 5\r\n\r\n"
    return head.encode() + b"hello"


def reset_connection(sock):
    """Close the connection with a TCP reset instead of a FIN."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ScriptedUpstream:
    """Runs one step of a script for each request.

    A step is called with the socket and the request.

    Attributes
    ----------
    requests : list of bytes
        Received requests in order.
    closed : list of bool
        Whether the client closed the connection, for each connection that ended.
    """

    def __init__(self, *steps):
        self._steps = list(steps)
        self.requests = []
        self.closed = []
        self.connections = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop()

    def _serve(self, sock, _address):
        self.connections += 1
        try:
            while True:
                request = self._read(sock)
                if not request:
                    self.closed.append(True)
                    return
                self.requests.append(request)
                step = self._steps.pop(0)
                if step(sock, request) == "end":
                    return
        except OSError:
            self.closed.append(True)

    @staticmethod
    def _read(sock):
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = sock.recv(65_536)
            if not chunk:
                return b""
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                while len(body) < int(line.split(b":")[1]):
                    body += sock.recv(65_536)
        return head + b"\r\n\r\n" + body


def send_answer(data=OK, then=None):
    """Return a step that sends `data`; `then` may be "end" or "reset"."""

    def step(sock, _request):
        sock.sendall(data)
        if then == "end":
            sock.shutdown(socket.SHUT_WR)
            gevent.sleep(0.05)
            sock.close()
        elif then == "reset":
            gevent.sleep(0.02)
            reset_connection(sock)
        return "end" if then else None

    return step


def stay_silent(seconds=5.0):
    """Return a step that sends nothing until the other side closes."""

    def step(sock, _request):
        sock.settimeout(seconds)
        if not sock.recv(1):
            raise OSError("closed by the other side")

    return step
