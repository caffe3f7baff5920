"""Upstream connections with complete, incomplete, malformed and missing answers."""

import ctypes
import errno
import struct
from dataclasses import replace

import gevent
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch import sockets
from lagoonlatch.clock import Clock
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.exchange import UNACKNOWLEDGED_TIMEOUT, UpstreamConnection
from lagoonlatch.entry.messages import (
    Answered,
    FailureKind,
    NotRun,
    Unknown,
    UpstreamRequest,
)
from tests.entry.scripted import (
    INVALID_STATUSES,
    OK,
    ScriptedUpstream,
    make_answer_bytes,
    reset_connection,
    send_answer,
    stay_silent,
)

REQUEST = UpstreamRequest(
    method=b"GET",
    target=b"/a/x?y=1",
    headers=[(b"Host", b"h.example"), (b"Request-Id", b"r1")],
    body=b"",
    has_body=False,
    request_id=b"r1",
)
POST = UpstreamRequest(
    method=b"POST",
    target=b"/a",
    headers=REQUEST.headers,
    body=b"x" * 300_000,
    has_body=True,
    request_id=b"r1",
)


class _SilentSocket:
    """A socket whose peer acknowledges nothing any more."""

    def __init__(self, sock):
        self._sock = sock

    def recv(self, _size):
        raise TimeoutError(errno.ETIMEDOUT, "timed out")

    def __getattr__(self, name):
        return getattr(self._sock, name)


@pytest.fixture
def start_upstream():
    """Return a function that starts a scripted upstream and connects to it."""
    upstreams = []

    def start(*steps):
        upstream = ScriptedUpstream(*steps)
        upstreams.append(upstream)
        connection = UpstreamConnection.open(
            upstream.address, 500.0, AnswerMemoryLimit(10_000_000, Clock()), Clock()
        )
        return upstream, connection

    yield start
    for upstream in upstreams:
        upstream.stop()


def test_complete_answer_is_returned_and_connection_is_reusable(start_upstream):
    upstream, connection = start_upstream(send_answer(), send_answer())
    for _ in range(2):
        outcome = connection.exchange(REQUEST, 1_000.0)
        assert isinstance(outcome, Answered)
        assert outcome.answer.body == b"hello"
        assert connection.is_reusable
    assert upstream.connections == 1
    assert upstream.requests[0].startswith(b"GET /a/x?y=1 HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("data", "then", "kind"),
    [
        (OK[:-2], "end", FailureKind.MALFORMED),
        (OK[:-2], "reset", FailureKind.RESET),
        (OK[:30], "end", FailureKind.CLOSED),
        (OK[:30], "reset", FailureKind.RESET),
        (b"", "end", FailureKind.CLOSED),
        (b"", "reset", FailureKind.RESET),
        (b"\x00\x01 nonsense\r\n\r\n", "end", FailureKind.MALFORMED),
        (OK.replace(b"Server-Stamp: s\r\n", b""), None, FailureKind.MALFORMED),
        (
            OK.replace(b"Server-Stamp", b"Content-Encoding: gzip\r\nServer-Stamp"),
            None,
            FailureKind.MALFORMED,
        ),
        (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
            None,
            FailureKind.MALFORMED,
        ),
        (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            "end",
            FailureKind.MALFORMED,
        ),
        (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\nhel",
            "reset",
            FailureKind.RESET,
        ),
    ],
)
def test_incomplete_answer_is_not_returned(start_upstream, data, then, kind):
    _, connection = start_upstream(send_answer(data, then))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, Unknown)
    assert outcome.kind is kind
    assert not connection.is_reusable


@pytest.mark.parametrize("has_stamp", [True, False])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_with_an_invalid_status_is_not_returned(
    start_upstream, status, has_id, has_stamp
):
    # Answers with the statuses 600 to 999 were returned as if they were valid.
    data = make_answer_bytes(status, has_id, has_stamp)
    _, connection = start_upstream(send_answer(data), stay_silent())
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, Unknown)
    assert outcome.kind is FailureKind.MALFORMED
    assert not connection.is_reusable


def test_answer_without_length_ends_with_connection(start_upstream):
    data = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\nhello"
    _, connection = start_upstream(send_answer(data, "end"))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, Answered)
    assert outcome.answer.body == b"hello"
    assert not connection.is_reusable


def test_answer_to_another_request_is_skipped(start_upstream):
    other = OK.replace(b"r1", b"r0").replace(b"hello", b"WRONG")
    _, connection = start_upstream(send_answer(other + OK))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert outcome.answer.body == b"hello"
    assert connection.is_reusable


def test_exchange_fails_after_only_an_answer_to_another_request(start_upstream):
    other = OK.replace(b"r1", b"r0")
    _, connection = start_upstream(send_answer(other, "end"))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Unknown)
    _, connection = start_upstream(send_answer(other))
    outcome = connection.exchange(REQUEST, 100.0)
    assert outcome.kind is FailureKind.OUT_OF_TIME


def test_bytes_after_an_answer_prevent_reuse(start_upstream):
    _, connection = start_upstream(send_answer(OK + OK))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)
    assert not connection.is_reusable


def test_bytes_that_arrive_later_are_noticed_before_reuse(start_upstream):
    def send_extra_bytes_later(sock, _request):
        sock.sendall(OK)
        gevent.sleep(0.05)
        sock.sendall(OK)

    _, connection = start_upstream(send_extra_bytes_later)
    connection.exchange(REQUEST, 1_000.0)
    assert connection.has_no_input()
    gevent.sleep(0.1)
    assert not connection.has_no_input()


def test_interim_answers_are_skipped(start_upstream):
    _, connection = start_upstream(send_answer(b"HTTP/1.1 102 Processing\r\n\r\n" + OK))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)


@pytest.mark.parametrize("status", [b"503 X", b"429 X", b"400 X"])
def test_request_counts_as_not_run_only_if_the_answer_states_it(start_upstream, status):
    refusal = OK.replace(b"200 OK", status)
    not_run_refusal = refusal.replace(b"Server-Stamp", b"Not-Run: 1\r\nServer-Stamp")
    _, connection = start_upstream(send_answer(not_run_refusal), send_answer(refusal))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, NotRun)
    assert outcome.reached
    assert connection.is_reusable
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)


def test_not_run_in_an_answer_to_another_request_is_ignored(start_upstream):
    refusal = OK.replace(b"200 OK", b"503 X").replace(b"r1", b"Not-R")
    refusal = refusal.replace(b"Server-Stamp", b"Not-Run: 1\r\nServer-Stamp")
    _, connection = start_upstream(send_answer(refusal, "end"))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Unknown)


def test_misdirected_request_is_reported(start_upstream):
    _, connection = start_upstream(send_answer(OK.replace(b"200 OK", b"421 X")))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, NotRun)
    assert outcome.misdirected


def test_silent_upstream_times_out_and_connection_is_closed(start_upstream):
    upstream, connection = start_upstream(stay_silent())
    outcome = connection.exchange(REQUEST, 150.0)
    assert outcome == Unknown(FailureKind.OUT_OF_TIME, outcome.reason)
    gevent.sleep(0.05)
    assert upstream.closed == [True]


def test_answer_before_the_end_of_a_long_body_is_accepted(start_upstream):
    def answer_early(sock, _request):
        sock.sendall(OK.replace(b"200 OK", b"413 X"))

    upstream = ScriptedUpstream()
    upstream._read = lambda sock: sock.recv(100)
    upstream._steps = [answer_early]
    connection = UpstreamConnection.open(
        upstream.address, 500.0, AnswerMemoryLimit(10_000_000, Clock()), Clock()
    )
    outcome = connection.exchange(POST, 2_000.0)
    assert isinstance(outcome, Answered | Unknown)
    if isinstance(outcome, Answered):
        assert outcome.answer.status == 413
    upstream.stop()


def test_long_body_arrives_complete(start_upstream):
    upstream, connection = start_upstream(send_answer())
    assert isinstance(connection.exchange(POST, 2_000.0), Answered)
    assert upstream.requests[0].endswith(b"\r\n\r\n" + POST.body)


def test_cancelled_exchange_closes_its_connection(start_upstream):
    upstream, connection = start_upstream(stay_silent())
    task = gevent.spawn(connection.exchange, REQUEST, 5_000.0)
    gevent.sleep(0.05)
    task.kill()
    gevent.sleep(0.05)
    assert upstream.closed == [True]


def test_connection_reset_while_idle_is_noticed(start_upstream):
    def reset_when_idle(sock, _request):
        sock.sendall(OK)
        gevent.sleep(0.02)
        reset_connection(sock)
        return "end"

    _, connection = start_upstream(reset_when_idle)
    connection.exchange(REQUEST, 1_000.0)
    gevent.sleep(0.1)
    assert not connection.has_no_input()


def test_connection_expires_before_the_announced_idle_limit(start_upstream):
    kept = OK.replace(b"Server-Stamp", b"Keep-Alive: timeout=1\r\nServer-Stamp")
    _, connection = start_upstream(send_answer(kept))
    connection.exchange(REQUEST, 1_000.0)
    gevent.sleep(0.01)
    assert connection.is_expired()


CHUNKED_OK = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nX-Sum: 7\r\n\r\n"
)


@settings(max_examples=120, deadline=None)
@given(
    answer=st.sampled_from([OK, CHUNKED_OK]),
    cut=st.integers(0, len(CHUNKED_OK) - 1),
    pieces=st.lists(st.integers(1, 40), max_size=4),
    with_reset=st.booleans(),
)
def test_connection_closed_early_yields_no_answer(answer, cut, pieces, with_reset):
    def step(sock, _request):
        rest = answer[: cut % len(answer)]
        for piece in pieces:
            sock.sendall(rest[:piece])
            rest = rest[piece:]
            gevent.sleep(0.0)
        sock.sendall(rest)
        if with_reset:
            reset_connection(sock)
        else:
            sock.close()
        return "end"

    upstream = ScriptedUpstream(step)
    try:
        connection = UpstreamConnection.open(
            upstream.address, 500.0, AnswerMemoryLimit(10_000_000, Clock()), Clock()
        )
        assert isinstance(connection.exchange(REQUEST, 1_000.0), Unknown)
    finally:
        upstream.stop()


REFUSAL = (
    b"HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize("pause", [0.0, 0.03])
def test_earlier_refusal_sent_again_is_not_the_answer_to_the_next_request(
    start_upstream, pause
):
    def send_refusal_again(sock, _request):
        sock.sendall(REFUSAL)
        gevent.sleep(pause)
        sock.sendall(OK.replace(b"r1", b"r2"))

    _, connection = start_upstream(send_answer(REFUSAL), send_refusal_again)
    assert isinstance(connection.exchange(REQUEST, 1_000.0), NotRun)
    assert connection.is_reusable
    outcome = connection.exchange(replace(REQUEST, request_id=b"r2"), 1_000.0)
    assert isinstance(outcome, Answered)
    assert outcome.answer.status == 200


@pytest.mark.parametrize("then", ["end", "reset"])
def test_earlier_refusal_does_not_state_that_a_later_request_has_not_run(
    start_upstream, then
):
    _, connection = start_upstream(send_answer(REFUSAL), send_answer(REFUSAL, then))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), NotRun)
    outcome = connection.exchange(replace(REQUEST, request_id=b"r2"), 1_000.0)
    assert isinstance(outcome, Unknown)


def test_connection_with_a_refusal_left_over_is_not_used_again(start_upstream):
    _, connection = start_upstream(send_answer(REFUSAL + REFUSAL))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), NotRun)
    assert not connection.is_reusable


def test_silent_upstream_was_last_heard_before_the_request(start_upstream):
    """Its crash is no evidence against a request that it has not acknowledged."""
    _, connection = start_upstream(send_answer(OK))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)
    gevent.sleep(0.02)
    sent_at = Clock().now()
    connection._sock = _SilentSocket(connection._sock)
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert outcome.kind is FailureKind.RESET
    assert 0.0 < sent_at - outcome.heard_at < 1_000.0


SO_ATTACH_FILTER = 26


def drop_all_packets(sock):
    """Make the system drop what arrives for `sock`, as a dead link does."""
    rejection = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(rejection))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


@pytest.fixture
def late_reader():
    """Return a connection to an upstream with a small window, and its socket."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        connection = UpstreamConnection.open(
            address, 500.0, AnswerMemoryLimit(10_000_000, Clock()), Clock()
        )
        sock, _ = listener.accept()
    with sock:
        yield connection, sock
    connection.close()


LONG_POST = replace(POST, body=b"x" * 6_000_000)


@pytest.mark.parametrize("request_", [POST, LONG_POST])
def test_upstream_that_reads_a_body_late_is_not_cut_off(late_reader, request_):
    """The limit of unacknowledged data also ended connections with closed windows."""
    connection, sock = late_reader

    def answer_late():
        gevent.sleep(3.0)
        ScriptedUpstream._read(sock)
        sock.sendall(OK)

    gevent.spawn(answer_late)
    outcome = connection.exchange(request_, 6_000.0)
    assert isinstance(outcome, Answered)
    limit = connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert limit == UNACKNOWLEDGED_TIMEOUT


@pytest.mark.parametrize("dead_after", [0.0, 1.5])
def test_dead_link_is_noticed_before_and_after_the_window_closes(
    late_reader, dead_after
):
    connection, sock = late_reader
    gevent.spawn_later(dead_after, drop_all_packets, sock)
    started = Clock().now()
    outcome = connection.exchange(POST, 6_000.0)
    assert outcome.kind is FailureKind.RESET
    assert Clock().now() - started < dead_after * 1_000.0 + 2_000.0


def test_late_reader_is_cut_off_if_the_system_tells_nothing(late_reader, monkeypatch):
    """Without TCP_INFO a dead link can't be told from a peer that reads late."""
    connection, _ = late_reader
    monkeypatch.setattr(sockets._Progress, "read", lambda _sock: None)
    outcome = connection.exchange(POST, 6_000.0)
    assert outcome.kind is FailureKind.RESET
