"""An entry VM as a process before many large, unfinished and oversized bodies."""

import itertools
from pathlib import Path

import gevent
import pytest
from gevent import socket

from lagoonlatch.standins.entry_fleet import HOST, KEY, EntryFleet, exchange

MEMORY_MB = 64
"""What the settings allow the VM; also the bound of its private memory."""

MAX_BODY_BYTES = 4 * 1024 * 1024
CROWD = 30
"""Bodies at the same time, about twice as much as the VM's memory."""

FINISHING_EVERY = 6
"""One in so many bodies is sent to its end."""

MAX_DESCRIPTORS = 256
MISSING_BYTES = 16
"""How far before their end the other bodies stop."""

TINY_CHUNKS = 2_000
"""Chunks of one byte at the start of a body in small chunks."""

SMALL_CHUNK_BYTES = 256
PIECE_BYTES = 64 * 1024
FAR_OVER_BYTES = 100 * MAX_BODY_BYTES
SETTLE_SECONDS = 1.0
GIVE_UP_SECONDS = 60.0
"""Ends the test if a VM hangs; nothing is checked against it."""


def make_head(number, framing):
    return (
        f"POST /book/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-{number}\r\n"
        f"Authorization: Token {KEY}\r\nDeadline-Ms: 3000\r\n{framing}\r\n\r\n"
    ).encode()


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def in_pieces(total, size):
    return itertools.repeat(bytes(size), total // size)


def send_whole(_number):
    return f"Content-Length: {MAX_BODY_BYTES}", [
        bytes(MAX_BODY_BYTES - MISSING_BYTES),
        bytes(MISSING_BYTES),
    ]


def send_in_pieces(_number):
    pieces = list(in_pieces(MAX_BODY_BYTES - PIECE_BYTES, PIECE_BYTES))
    pieces.append(bytes(PIECE_BYTES - MISSING_BYTES))
    return f"Content-Length: {MAX_BODY_BYTES}", [*pieces, bytes(MISSING_BYTES)]


def send_large_chunks(_number):
    count = MAX_BODY_BYTES // PIECE_BYTES
    return "Transfer-Encoding: chunked", [chunk(PIECE_BYTES)] * count + [b"0\r\n\r\n"]


def send_small_chunks(_number):
    in_piece = PIECE_BYTES // SMALL_CHUNK_BYTES
    count = (MAX_BODY_BYTES - TINY_CHUNKS) // PIECE_BYTES
    pieces = [chunk(1) * TINY_CHUNKS]
    pieces += [chunk(SMALL_CHUNK_BYTES) * in_piece] * count
    return "Transfer-Encoding: chunked", [*pieces, b"0\r\n\r\n"]


def send_far_over_announced(_number):
    pieces = in_pieces(FAR_OVER_BYTES, PIECE_BYTES)
    return f"Content-Length: {FAR_OVER_BYTES}", pieces


def send_far_over_chunked(_number):
    pieces = itertools.repeat(chunk(PIECE_BYTES), FAR_OVER_BYTES // PIECE_BYTES)
    return "Transfer-Encoding: chunked", pieces


class Caller:
    """Sends a body, all but its last piece unless it finishes, and stays open."""

    def __init__(self, port, number, make_body):
        self._sock = socket.create_connection(("127.0.0.1", port))
        framing, self._pieces = make_body(number)
        self._head = make_head(number, framing)
        self._finishes = number % FINISHING_EVERY == 0

    def send(self):
        pieces = list(self._pieces)
        try:
            self._sock.sendall(self._head)
            for piece in pieces if self._finishes else pieces[:-1]:
                self._sock.sendall(piece)
                # All bodies grow at the same time.
                gevent.sleep(0)
        except OSError:
            # The VM has refused the body and closed the connection.
            pass

    def close(self):
        self._sock.close()


def private_bytes(vm):
    """Return the resident anonymous memory of a VM's process."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("RssAnon"))
    return int(line.split()[1]) * 1024


def count_descriptors(vm):
    return sum(1 for _ in Path(f"/proc/{vm.process.pid}/fd").iterdir())


def watch(vm, measures):
    while vm.process.poll() is None:
        measures.append((private_bytes(vm), count_descriptors(vm)))
        gevent.sleep(0.02)


def wait_until_read(vm):
    """Wait until the VM's memory stays, since the kernel holds bytes for it."""
    with gevent.Timeout(GIVE_UP_SECONDS, False):
        before = 0
        while (now := private_bytes(vm)) > before:
            before = now
            gevent.sleep(SETTLE_SECONDS)


def ask_with_small_body(vm):
    head = make_head("last", "Content-Length: 1000\r\nConnection: close")
    return exchange(vm.caller_port, head + bytes(1_000))


@pytest.mark.parametrize(
    "make_body",
    [
        send_whole,
        send_in_pieces,
        send_large_chunks,
        send_small_chunks,
        send_far_over_announced,
        send_far_over_chunked,
    ],
)
def test_crowd_of_hostile_bodies_neither_fills_the_memory_nor_ends_the_vm(make_body):
    """Unfinished and oversized bodies must not use more memory than a VM has."""
    limits = {"max_body_bytes": MAX_BODY_BYTES, "header_timeout_s": 2 * GIVE_UP_SECONDS}
    with EntryFleet(vms=1, instances=2, memory_mb=MEMORY_MB, limits=limits) as fleet:
        (vm,) = fleet.vms_by_id.values()
        callers = [Caller(vm.caller_port, n, make_body) for n in range(CROWD)]
        measures = []
        watcher = gevent.spawn(watch, vm, measures)
        tasks = [gevent.spawn(caller.send) for caller in callers]
        gevent.joinall(tasks, timeout=GIVE_UP_SECONDS)
        wait_until_read(vm)
        measures.append((private_bytes(vm), count_descriptors(vm)))
        answer = ask_with_small_body(vm)
        watcher.kill()
        for caller in callers:
            caller.close()
        gevent.killall(tasks)
        most_memory = max(memory for memory, _ in measures)
        most_descriptors = max(descriptors for _, descriptors in measures)
        print(f"peak {most_memory / 2**20:.0f} MB, {most_descriptors} descriptors")
        assert vm.process.poll() is None
        assert most_memory < MEMORY_MB * 1024 * 1024
        assert most_descriptors < MAX_DESCRIPTORS
        assert answer.startswith(b"HTTP/1.1 200"), answer[:100]
