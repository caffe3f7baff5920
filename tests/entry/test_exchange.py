"""An upstream connection against every way in which an upstream may answer."""

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.clock import Clock
from lagoonlatch.entry.exchange import AnswerMemoryLimit, UpstreamConnection
from lagoonlatch.entry.messages import (
    Answered,
    FailureKind,
    NotRun,
    Unknown,
    UpstreamRequest,
)
from tests.entry.scripted import OK, ScriptedUpstream, answer, reset, silence

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


@pytest.fixture
def play():
    """Return a function that plays steps and returns upstream and connection."""
    upstreams = []

    def start(*steps):
        upstream = ScriptedUpstream(*steps)
        upstreams.append(upstream)
        connection = UpstreamConnection.open(
            upstream.address, 500.0, AnswerMemoryLimit(10_000_000), Clock()
        )
        return upstream, connection

    yield start
    for upstream in upstreams:
        upstream.stop()


def test_a_whole_answer_is_taken_and_the_connection_kept(play):
    upstream, connection = play(answer(), answer())
    for _ in range(2):
        outcome = connection.exchange(REQUEST, 1_000.0)
        assert isinstance(outcome, Answered)
        assert outcome.answer.body == b"hello"
        assert connection.is_reusable
    assert upstream.connections == 1
    assert upstream.requests[0].startswith(b"GET /a/x?y=1 HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("data", "then", "how"),
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
def test_no_part_of_an_answer_passes_for_a_whole_one(play, data, then, how):
    _, connection = play(answer(data, then))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, Unknown)
    assert outcome.how is how
    assert not connection.is_reusable


def test_an_answer_may_end_with_its_connection(play):
    data = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\nhello"
    _, connection = play(answer(data, "end"))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, Answered)
    assert outcome.answer.body == b"hello"
    assert not connection.is_reusable


def test_an_answer_to_another_request_is_skipped(play):
    other = OK.replace(b"r1", b"r0").replace(b"hello", b"WRONG")
    _, connection = play(answer(other + OK))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert outcome.answer.body == b"hello"
    assert connection.is_reusable


def test_only_an_answer_to_another_request_is_none(play):
    other = OK.replace(b"r1", b"r0")
    _, connection = play(answer(other, "end"))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Unknown)
    _, connection = play(answer(other))
    outcome = connection.exchange(REQUEST, 100.0)
    assert outcome.how is FailureKind.OUT_OF_TIME


def test_bytes_beyond_an_answer_end_the_connection(play):
    _, connection = play(answer(OK + OK))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)
    assert not connection.is_reusable


def test_bytes_that_come_later_are_noticed_before_reuse(play):
    def late(sock, _request):
        sock.sendall(OK)
        gevent.sleep(0.05)
        sock.sendall(OK)

    _, connection = play(late)
    connection.exchange(REQUEST, 1_000.0)
    assert connection.has_no_input()
    gevent.sleep(0.1)
    assert not connection.has_no_input()


def test_interim_answers_are_passed_over(play):
    _, connection = play(answer(b"HTTP/1.1 102 Processing\r\n\r\n" + OK))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)


@pytest.mark.parametrize("status", [b"503 X", b"429 X", b"400 X"])
def test_only_the_upstreams_own_word_says_not_run(play, status):
    refusal = OK.replace(b"200 OK", status)
    stated = refusal.replace(b"Server-Stamp", b"Not-Run: 1\r\nServer-Stamp")
    _, connection = play(answer(stated), answer(refusal))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, NotRun)
    assert outcome.reached
    assert connection.is_reusable
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Answered)


def test_not_run_in_an_answer_to_another_request_says_nothing(play):
    refusal = OK.replace(b"200 OK", b"503 X").replace(b"r1", b"Not-R")
    refusal = refusal.replace(b"Server-Stamp", b"Not-Run: 1\r\nServer-Stamp")
    _, connection = play(answer(refusal, "end"))
    assert isinstance(connection.exchange(REQUEST, 1_000.0), Unknown)


def test_another_upstream_at_the_address_is_told(play):
    _, connection = play(answer(OK.replace(b"200 OK", b"421 X")))
    outcome = connection.exchange(REQUEST, 1_000.0)
    assert isinstance(outcome, NotRun)
    assert outcome.misdirected


def test_silence_ends_with_the_time(play):
    upstream, connection = play(silence())
    outcome = connection.exchange(REQUEST, 150.0)
    assert outcome == Unknown(FailureKind.OUT_OF_TIME, outcome.reason)
    gevent.sleep(0.05)
    assert upstream.closed == [True]


def test_an_answer_before_the_end_of_a_long_body_is_taken(play):
    def early(sock, _request):
        sock.sendall(OK.replace(b"200 OK", b"413 X"))

    upstream = ScriptedUpstream()
    upstream._read = lambda sock: sock.recv(100)
    upstream._steps = [early]
    connection = UpstreamConnection.open(
        upstream.address, 500.0, AnswerMemoryLimit(10_000_000), Clock()
    )
    outcome = connection.exchange(POST, 2_000.0)
    assert isinstance(outcome, Answered | Unknown)
    if isinstance(outcome, Answered):
        assert outcome.answer.status == 413
    upstream.stop()


def test_a_long_body_arrives_whole(play):
    upstream, connection = play(answer())
    assert isinstance(connection.exchange(POST, 2_000.0), Answered)
    assert upstream.requests[0].endswith(b"\r\n\r\n" + POST.body)


def test_a_cancelled_exchange_closes_its_connection(play):
    upstream, connection = play(silence())
    task = gevent.spawn(connection.exchange, REQUEST, 5_000.0)
    gevent.sleep(0.05)
    task.kill()
    gevent.sleep(0.05)
    assert upstream.closed == [True]


def test_a_connection_that_was_reset_before_the_request_is_seen(play):
    def reset_when_idle(sock, _request):
        sock.sendall(OK)
        gevent.sleep(0.02)
        reset(sock)
        return "end"

    _, connection = play(reset_when_idle)
    connection.exchange(REQUEST, 1_000.0)
    gevent.sleep(0.1)
    assert not connection.has_no_input()


def test_the_idle_limit_that_the_upstream_tells_is_kept_with_a_margin(play):
    kept = OK.replace(b"Server-Stamp", b"Keep-Alive: timeout=1\r\nServer-Stamp")
    _, connection = play(answer(kept))
    connection.exchange(REQUEST, 1_000.0)
    gevent.sleep(0.01)
    assert connection.is_expired()


@settings(max_examples=60, deadline=None)
@given(
    cut=st.integers(0, len(OK) - 1),
    pieces=st.lists(st.integers(1, 40), max_size=4),
    with_reset=st.booleans(),
)
def test_any_early_end_is_no_answer(cut, pieces, with_reset):
    def step(sock, _request):
        rest = OK[:cut]
        for piece in pieces:
            sock.sendall(rest[:piece])
            rest = rest[piece:]
            gevent.sleep(0.0)
        sock.sendall(rest)
        if with_reset:
            reset(sock)
        else:
            sock.close()
        return "end"

    upstream = ScriptedUpstream(step)
    try:
        connection = UpstreamConnection.open(
            upstream.address, 500.0, AnswerMemoryLimit(10_000_000), Clock()
        )
        assert isinstance(connection.exchange(REQUEST, 1_000.0), Unknown)
    finally:
        upstream.stop()
