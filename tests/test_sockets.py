"""What a socket says of its peer."""

import socket

import pytest

from lagoonlatch.sockets import is_closed_by_peer
from tests.entry.scripted import reset_connection


@pytest.fixture
def pair():
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    with client, server:
        yield client, server


@pytest.mark.parametrize("unread", [b"", b"bytes that nobody reads"])
@pytest.mark.parametrize("end", [socket.socket.close, reset_connection])
def test_close_by_the_peer_is_noticed_behind_unread_bytes(pair, unread, end):
    client, server = pair
    client.sendall(unread)
    assert not is_closed_by_peer(server)
    end(client)
    assert is_closed_by_peer(server)


def test_own_end_of_the_stream_is_no_close_by_the_peer(pair):
    client, server = pair
    server.shutdown(socket.SHUT_WR)
    assert not is_closed_by_peer(server)
    client.close()
    assert is_closed_by_peer(server)
