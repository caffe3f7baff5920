import socket

import gevent
import pytest

from lagoonlatch.callers.server import SOCKET_KEY as SOCKET
from lagoonlatch.callers.server import CallerServer, CallerWatch, wait_until_idle

LARGE = 30_000_000


@pytest.fixture
def serve():
    servers = []

    def start(application):
        server = CallerServer("127.0.0.1", 0, application)
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


def _connect(server):
    client = gevent.socket.create_connection(("127.0.0.1", server.port))
    client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    return client


def test_request_is_in_flight_until_its_whole_answer_is_sent(serve):
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", str(LARGE))])
        return [b"x" * LARGE]

    server = serve(application)
    client = _connect(server)
    received = len(client.recv(65_536))
    assert not wait_until_idle(server.in_flight, 200.0)
    while received < LARGE:
        received += len(client.recv(1 << 20))
    assert wait_until_idle(server.in_flight, 5_000.0)
    assert server.in_flight() == 0


@pytest.mark.parametrize("requests_ahead", [0, 1, 20])
def test_caller_that_leaves_ends_its_request(serve, requests_ahead):
    ended = []

    def application(environ, start_response):
        with CallerWatch(environ[SOCKET]):
            try:
                gevent.sleep(60)
            finally:
                ended.append(True)

    server = serve(application)
    client = _connect(server)
    while not server.in_flight():
        gevent.sleep(0.01)
    client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * requests_ahead)
    gevent.sleep(0.05)
    assert ended == []
    client.shutdown(socket.SHUT_RDWR)
    assert wait_until_idle(server.in_flight, 5_000.0)
    assert ended == [True]
