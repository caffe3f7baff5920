import gevent
import pytest
from returns.result import Failure, Success

from lagoonlatch.clock import Clock
from lagoonlatch.upstreams.connections import (
    Connection,
    ConnectionPool,
    ConnectionSettings,
)
from lagoonlatch.upstreams.http import Exchange
from lagoonlatch.upstreams.outcomes import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    UpstreamRequest,
)
from tests.entry.scripted import (
    INVALID_STATUSES,
    ScriptedUpstream,
    make_answer_bytes,
    send_answer,
)

CLOCK = Clock()


def make_pool(address, limit=4):
    return ConnectionPool(address, limit, CLOCK, ConnectionSettings())


def make_request(target="/ledger/x", request_id="r-1", **fields):
    fields = {"method": "GET", "deadline": 5_000.0, "idempotent": True} | fields
    return UpstreamRequest(
        request_id=request_id,
        organisation="dojo",
        service_id="ledger",
        target=target,
        **fields,
    )


def exchange(pool, request):
    begun = Exchange(request, pool, CLOCK, CLOCK.now() + request.deadline)
    outcome = begun.perform()
    return outcome, begun.settle()


def test_answer_is_whole_and_connection_is_used_again(start_instance):
    instance = start_instance()
    pool = make_pool(instance.address)
    for number in range(3):
        outcome, _ = exchange(pool, make_request(request_id=f"r-{number}"))
        assert f'"r-{number}"'.encode() in outcome.unwrap().body
    assert pool.open_count == 1


@pytest.mark.parametrize(
    ("behaviour", "reason"),
    [
        ("cut", UnknownReason.NOT_WHOLE),
        ("length-long", UnknownReason.NOT_WHOLE),
        ("length-short", UnknownReason.MALFORMED_ANSWER),
        ("twice", UnknownReason.MALFORMED_ANSWER),
        ("crossed", UnknownReason.CROSSED),
        ("close", UnknownReason.CLOSED),
    ],
)
def test_faulty_answer_is_unknown_and_its_connection_closed(
    shared_instance, behaviour, reason
):
    pool = make_pool(shared_instance.address)
    outcome, _ = exchange(pool, make_request(f"/ledger/x?behaviour={behaviour}"))
    assert outcome == Failure(Unknown(reason))
    assert pool.open_count == 0


@pytest.mark.parametrize("later_answer", [b"", make_answer_bytes("200")])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_with_an_invalid_status_is_unknown_and_its_connection_closed(
    status, later_answer
):
    # Statuses 600 to 999 were returned, and 000 to 099 taken for interim answers.
    upstream = ScriptedUpstream(send_answer(make_answer_bytes(status) + later_answer))
    pool = make_pool(upstream.address)
    outcome, _ = exchange(pool, make_request(request_id="r1", deadline=1_000.0))
    upstream.stop()
    assert outcome == Failure(Unknown(UnknownReason.MALFORMED_ANSWER))
    assert pool.open_count == 0


def test_late_answer_never_reaches_the_next_request(shared_instance):
    pool = make_pool(shared_instance.address)
    late = make_request("/ledger/x?behaviour=late:300", "late", deadline=100.0)
    outcome, ended = exchange(pool, late)
    assert outcome == Failure(Unknown(UnknownReason.TIMED_OUT))
    assert ended
    outcome, _ = exchange(pool, make_request(request_id="next"))
    assert b'"next"' in outcome.unwrap().body


@pytest.mark.parametrize("delay", [0, 10, 30])
def test_surplus_answer_never_reaches_the_next_request(shared_instance, delay):
    pool = make_pool(shared_instance.address)
    exchange(pool, make_request(f"/ledger/x?behaviour=surplus:{delay}"))
    for number in range(3):
        outcome, _ = exchange(pool, make_request(request_id=f"next-{number}"))
        own = f'"next-{number}"'.encode()
        assert isinstance(outcome, Failure) or own in outcome.unwrap().body


def test_refusal_by_upstream_is_not_run(start_instance):
    instance = start_instance("--slots", "1")
    pool = make_pool(instance.address)
    slow = gevent.spawn(
        exchange, pool, make_request("/x?behaviour=slow:400", request_id="slow")
    )
    gevent.sleep(0.1)
    outcome, _ = exchange(pool, make_request(request_id="shed"))
    assert outcome.failure() == NotRun(NotRunReason.REFUSED_BY_UPSTREAM, 1_000.0)
    assert isinstance(slow.get()[0], Success)
    assert [run["request_id"] for run in instance.executions()] == ["slow"]


def test_unreachable_upstream_is_not_run(start_instance):
    instance = start_instance()
    instance.kill()
    outcome, _ = exchange(make_pool(instance.address), make_request())
    assert outcome.failure().reason is NotRunReason.UNREACHABLE


def test_killed_upstream_leaves_the_outcome_unknown(start_instance):
    instance = start_instance()
    pool = make_pool(instance.address)
    slow = gevent.spawn(exchange, pool, make_request("/x?behaviour=slow:5000"))
    gevent.sleep(0.1)
    instance.kill()
    outcome, ended = slow.get()
    assert outcome == Failure(Unknown(UnknownReason.CLOSED))
    assert ended


def test_abandoned_request_is_cancelled_at_the_upstream(start_instance):
    instance = start_instance()
    pool = make_pool(instance.address)
    request = make_request("/x?behaviour=slow:5000")
    begun = Exchange(request, pool, CLOCK, CLOCK.now() + 5_000.0)
    running = gevent.spawn(begun.perform)
    gevent.sleep(0.1)
    assert begun.abandon(UnknownReason.CANCELLED) == Unknown(UnknownReason.CANCELLED)
    assert running.get() == Failure(Unknown(UnknownReason.CANCELLED))
    assert begun.settle()
    assert instance.get("/load")["in_flight"] == 0
    assert instance.get("/standin/executions")[0]["result"] == "cancelled"


def test_request_abandoned_before_sending_is_not_run(shared_instance):
    pool = make_pool(shared_instance.address)
    begun = Exchange(make_request(), pool, CLOCK, CLOCK.now() + 5_000.0)
    assert begun.abandon(UnknownReason.CANCELLED).reason is NotRunReason.CANCELLED
    assert begun.perform().failure().reason is NotRunReason.CANCELLED


class _ResettingPool:
    """Hands out connections that take no byte."""

    address = "127.0.0.1:1"
    echoes_request_ids = False

    def __init__(self):
        self.acquired = 0

    def acquire(self, repeatable, left):
        self.acquired += 1
        return Success(Connection(_ResettingSocket(), CLOCK.now()))

    def discard(self, connection):
        pass


class _ResettingSocket:
    def settimeout(self, seconds):
        pass

    def send(self, data):
        raise ConnectionResetError


def test_connections_that_take_no_byte_are_not_tried_for_ever():
    pool = _ResettingPool()
    outcome, _ = exchange(pool, make_request())
    assert outcome.failure().reason is NotRunReason.UNREACHABLE
    assert pool.acquired == 2


def test_no_connection_closed_while_idle_is_used(start_instance):
    instance = start_instance()
    pool = make_pool(instance.address)
    exchange(pool, make_request(method="POST", idempotent=False))
    instance.kill()
    instance.start()
    outcome, _ = exchange(pool, make_request(method="POST", idempotent=False))
    assert isinstance(outcome, Success)


def test_upstream_sees_no_key_and_no_forged_header(start_instance):
    instance = start_instance()
    headers = (
        ("Authorization", "Bearer secret"),
        ("X-Api-Key", "secret"),
        ("Lagoonlatch-Organisation", "forged"),
        ("Connection", "X-Hop"),
        ("X-Hop", "secret"),
        ("Accept-Language", "pt"),
    )
    exchange(make_pool(instance.address), make_request(headers=headers))
    seen = instance.get("/standin/headers")
    assert "secret" not in str(seen) and "forged" not in str(seen)
    assert seen["ACCEPT_LANGUAGE"] == ["pt"]


@pytest.mark.parametrize(
    "fields",
    [
        {"target": "/x HTTP/1.1\r\nA: b"},
        {"target": "http://other/"},
        {"method": "GET /"},
        {"headers": (("A", "b\r\nC: d"),)},
    ],
)
def test_malformed_request_is_not_run(shared_instance, fields):
    outcome, _ = exchange(make_pool(shared_instance.address), make_request(**fields))
    assert outcome.failure().reason is NotRunReason.MALFORMED
