"""Requests whose callers leave, from their connections to the attempts."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from lagoonlatch.entry import connection, handling
from lagoonlatch.entry.body_memory import BodyMemoryLimit
from lagoonlatch.entry.connection import MAX_PIPELINED_REQUESTS, CallerConnection
from lagoonlatch.entry.events import AnswerDiscarded
from lagoonlatch.entry.messages import CALLER_LEFT_STATUS, Answered, NotRun
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.model import CallerLimits, RouteKind
from tests.entry.scripted import reset_connection
from tests.entry.test_handling import TURNED_AWAY, HandlerHarness, make_answer
from tests.steering.test_homes import make_vm

REQUEST = (
    b"POST /a/%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %d\r\n"
    b"Authorization: Token secret\r\nContent-Length: 0\r\n\r\n"
)
NOTICE_SECONDS = 0.3
"""The rule allows half a second until requests of a caller that left reach nobody."""

UPSTREAMS = ("u1", "u2", "u3")

OTHER_TICKET = -1
"""Ticket of the requests of other callers."""


def make_homes(clock):
    """Let the VM be the home of all upstreams."""
    homes = SlotHomes(lambda: [make_vm("vm", "n-a")], {"n-a": "north"}, clock)
    homes.refresh()
    return homes


class DepartureHarness(HandlerHarness):
    """A caller on a TCP connection, and attempts that end when `finish` is set."""

    def __init__(self, outcome=TURNED_AWAY, kind=RouteKind.UNSAFE, **fields):
        super().__init__(kind=kind, max_attempts=3, **fields)
        self.outcome = outcome
        self.finish = Event()
        self.sent = []
        self.occupied = []
        self.attempts.run = self._run_attempt
        self.slots._homes = make_homes(self.clock)
        self.slots._on_slot_free = self.handler._waiting_queue.offer_slots
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.caller = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        listener.close()
        self.connection = CallerConnection(
            server,
            self.handler,
            CallerLimits,
            lambda: False,
            self.answer_memory_limit,
            BodyMemoryLimit(10_000_000, self.clock),
            self.clock,
        )
        self.task = gevent.spawn(self.connection.run)

    def _run_attempt(self, upstream, request, *_rest):
        self.sent.append(request.request_id)
        self.finish.wait()
        return self.outcome

    def send(self, count=1):
        self.caller.sendall(b"".join(REQUEST % (n, n) for n in range(count)))
        gevent.sleep(0.05)

    def leave(self, how):
        if how == "reset":
            reset_connection(self.caller)
        else:
            self.caller.close()
        gevent.sleep(NOTICE_SECONDS)

    def occupy_slots(self, names=UPSTREAMS):
        """Let other requests occupy all that the upstreams accept."""
        for name in names:
            upstream = self.upstream_table.find(name)
            while self.slots.claim(upstream, (0, 0), OTHER_TICKET, 0.0):
                self.occupied.append(upstream)
        self.slots.stop_waiting(OTHER_TICKET)

    def free_slots(self):
        while self.occupied:
            self.slots.release(self.occupied.pop())
        gevent.sleep(0.05)

    def slots_in_use(self):
        return sum(self.upstream_table.find(name).in_flight for name in UPSTREAMS)

    def waiting_count(self):
        return len(self.handler._waiting_queue)


@pytest.fixture
def lines(monkeypatch):
    """The lines that the handler logs."""
    lines = []
    monkeypatch.setattr(handling, "emit", lines.append)
    return lines


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.SAFE])
def test_request_turned_away_after_its_caller_left_is_not_sent_again(how, kind):
    harness = DepartureHarness(kind=kind)
    harness.send()
    harness.leave(how)
    harness.finish.set()
    gevent.sleep(0.05)
    assert harness.sent == [b"0"]
    assert harness.slots_in_use() == 0


@pytest.mark.parametrize("how", ["close", "reset"])
def test_request_that_was_turned_away_stops_waiting_when_its_caller_leaves(how, lines):
    harness = DepartureHarness()
    harness.send()
    harness.occupy_slots()
    harness.finish.set()
    gevent.sleep(0.05)
    assert harness.waiting_count() == 1
    harness.leave(how)
    assert harness.waiting_count() == 0
    harness.free_slots()
    assert harness.sent == [b"0"]
    assert harness.slots_in_use() == 0
    assert [(line.status, line.why) for line in lines] == [
        (CALLER_LEFT_STATUS, "caller left")
    ]


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("count", [1, MAX_PIPELINED_REQUESTS, 18, 40])
def test_requests_sent_ahead_stop_waiting_when_their_caller_leaves(how, count):
    """The connection reads no further while it handles so many."""
    harness = DepartureHarness(Answered(make_answer()))
    harness.occupy_slots()
    harness.send(count)
    harness.leave(how)
    harness.finish.set()
    harness.free_slots()
    assert harness.sent == []
    assert harness.slots_in_use() == 0
    assert harness.task.ready()


@pytest.mark.parametrize("how", ["close", "reset"])
def test_requests_ahead_of_an_expected_body_stop_waiting(how):
    """The connection reads nothing until it may ask for the body."""
    harness = DepartureHarness(Answered(make_answer()))
    harness.occupy_slots()
    harness.send()
    harness.caller.sendall(
        b"POST /a/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 1\r\n"
        b"Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"
    )
    gevent.sleep(0.05)
    harness.leave(how)
    harness.finish.set()
    harness.free_slots()
    assert harness.sent == []
    assert harness.task.ready()


@pytest.mark.parametrize("wait", ["claim", "loan"])
def test_request_is_not_sent_if_its_caller_leaves_during_a_claim_or_loan(
    wait, monkeypatch
):
    harness = DepartureHarness(Answered(make_answer()), rate=1.0)
    granted = Event()
    if wait == "claim":
        claim = harness.slots.claim

        def claim_late(*request):
            granted.wait()
            return claim(*request)

        monkeypatch.setattr(harness.slots, "claim", claim_late)
    else:
        assert harness.allowances.consume("dojo") is None

        def borrow(_organisation):
            granted.wait()
            return True

        monkeypatch.setattr(harness.handler, "_borrow", borrow)
    harness.send()
    harness.leave("close")
    granted.set()
    harness.finish.set()
    gevent.sleep(0.05)
    assert harness.sent == []
    assert harness.slots_in_use() == 0


def test_request_that_may_run_only_once_is_not_broken_off(lines, monkeypatch):
    """Its answer is still read, and its slot is used until then."""
    discarded = []
    monkeypatch.setattr(connection, "emit", discarded.append)
    harness = DepartureHarness(Answered(make_answer()))
    harness.send()
    harness.leave("close")
    assert harness.slots_in_use() == 1
    harness.finish.set()
    gevent.sleep(0.05)
    assert harness.slots_in_use() == 0
    assert [(line.status, line.why) for line in lines] == [(200, "")]
    assert discarded == [AnswerDiscarded(request="0", status=200)]


def test_caller_that_leaves_while_its_request_waits_uses_no_allowance():
    harness = DepartureHarness(Answered(make_answer()), rate=1.0)
    harness.occupy_slots()
    harness.send()
    harness.leave("close")
    assert harness.allowances.consume("dojo") is None


def test_caller_that_leaves_after_its_request_was_sent_uses_the_allowance():
    harness = DepartureHarness(Answered(make_answer()), rate=1.0)
    harness.send()
    harness.leave("close")
    harness.finish.set()
    gevent.sleep(0.05)
    assert harness.allowances.consume("dojo") is not None


def test_retry_that_is_not_sent_uses_no_retry_budget(monkeypatch):
    """The caller leaves while the connection for the retry is opened."""
    harness = DepartureHarness()
    outcomes = [TURNED_AWAY, NotRun("the caller has left", reached=False)]
    used = []
    budget = harness.handler._retry_budget
    consume, refund = budget.consume, budget.refund
    monkeypatch.setattr(budget, "consume", lambda s: used.append(1) or consume(s))
    monkeypatch.setattr(budget, "refund", lambda s: used.append(-1) or refund(s))

    def run_attempt(*_attempt):
        if len(outcomes) == 1:
            harness.leave("close")
        return outcomes.pop(0)

    harness.attempts.run = run_attempt
    harness.send()
    gevent.sleep(2 * NOTICE_SECONDS)
    assert outcomes == []
    assert used == [1, -1]
