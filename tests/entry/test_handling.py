"""The way of one request with scripted outcomes at the upstreams."""

import gevent
import pytest

from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.handling import RequestHandler, SlotWaiter
from lagoonlatch.entry.messages import (
    Answered,
    CallerRequest,
    FailureKind,
    NotRun,
    Unknown,
    UpstreamAnswer,
)
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.slots import SlotClient
from lagoonlatch.platform.headers import read_answer_fields, read_request_fields
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.holders import Share
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.model import RouteKind, TrafficRules
from lagoonlatch.steering.placement import Placement, PlacementRequest
from lagoonlatch.steering.queueing import WaitingQueue
from lagoonlatch.steering.retries import RetryBudget
from lagoonlatch.steering.slots import SlotAllocator
from lagoonlatch.upstreams.quarantine import Quarantine
from tests.steering.samples import (
    make_organisation,
    make_record,
    make_route,
    make_service,
    make_upstream_table,
)


def make_answer(status=200, body=b"hello"):
    headers = [(b"Server-Stamp", b"s"), (b"Request-Id", b"r1")]
    return UpstreamAnswer(
        status=status,
        headers=headers,
        body=body,
        fields=read_answer_fields([]),
        has_stamp=True,
    )


RESET = Unknown(FailureKind.RESET, "reset")
SHED = NotRun("turned away", reached=True)
REFUSED = NotRun("connection refused", reached=False)
MALFORMED = Unknown(FailureKind.MALFORMED, "spoilt")
SILENT = Unknown(FailureKind.OUT_OF_TIME, "silent")


class Script:
    """Stands for the attempts; plays outcomes in order."""

    def __init__(self, clock, *outcomes):
        self._clock = clock
        self._outcomes = list(outcomes)
        self.sent = []
        self.fingerprints = set()

    def run(self, upstream, request, time_left, _route, fingerprint):
        self.fingerprints.add(fingerprint)
        self.sent.append((upstream.record.id, request, time_left))
        outcome = self._outcomes.pop(0)
        if outcome is SILENT:
            self._clock.advance(time_left)
        return outcome


class World:
    """A handler with three upstreams."""

    def __init__(self, *outcomes, kind=RouteKind.SAFE, rate=100.0, **fields):
        self.clock = ManualClock()
        self.fleet = make_upstream_table(self.clock)
        for name in ("u1", "u2", "u3"):
            self.fleet.put(make_record(name), was_running=True)
        self.script = Script(self.clock, *outcomes)
        self.facts = Facts(self.fleet, self.clock)
        dojo = make_organisation("dojo", rate=rate, burst=rate)
        route = make_route("a", kind=kind, **fields)
        self.facts.rules = TrafficRules(
            version=3,
            routes_by_host={"h.example": (route, make_route("open", is_open=True))},
            organisation_by_key={"secret": dojo},
            organisations_by_id={"dojo": dojo},
            services_by_id={"ledger": make_service()},
        )
        self.allowances = Allowances(
            lambda organisation: Share(1.0, True), True, self.clock
        )
        self.allowances.configure(self.facts.rules.organisations_by_id)
        self.quarantine = Quarantine(self.clock, death_limit=3)
        placement = Placement(self.fleet, "north", ["north"], lambda _: True)
        self.slots = SlotClient(
            "vm",
            self.fleet,
            SlotAllocator(self.fleet.slots_of, self.clock),
            SlotHomes(list, {}, self.clock),
            lambda vm, datagram: None,
            lambda: None,
            self.clock,
        )
        self.handler = RequestHandler(
            self.facts,
            placement,
            Admission(),
            self.allowances,
            RetryBudget(0.2, 60.0, 10_000.0, lambda: 1, self.clock),
            self.script,
            WaitingQueue(placement, self.clock),
            self.slots,
            lambda _: False,
            self.quarantine,
            EntryMetrics("vm", "n-a"),
            self.clock,
        )

    def ask(self, path=b"/a/1?q=2", key=b"Token secret", host="h.example", **headers):
        raw = [(b"Host", host.encode()), (b"Request-Id", b"r1")]
        raw += [(b"Cookie", b"Affinity-Key=7"), (b"Tenant", b"forged")]
        raw += [(b"Connection", b"keep-alive, X-Hop"), (b"X-Hop", b"1")]
        raw += [(name.encode(), value) for name, value in headers.items()]
        if key is not None:
            raw.append((b"Authorization", key))
        lower = [(name.lower(), value) for name, value in raw]
        return self.handler.handle(
            CallerRequest(
                method=b"GET",
                target=path,
                host=host,
                headers=raw,
                body=b"",
                has_body=False,
                fields=read_request_fields(lower),
                received=self.clock.now(),
            )
        )

    def used(self):
        return [name for name, _, _ in self.script.sent]


def test_the_upstreams_answer_is_passed_on():
    world = World(Answered(make_answer()))
    answer = world.ask()
    assert (answer.status, answer.body) == (200, b"hello")
    assert (b"Server-Stamp", b"s") in answer.headers


def test_an_upstream_sees_the_organisation_and_never_the_key():
    world = World(Answered(make_answer()))
    world.ask()
    _, request, _ = world.script.sent[0]
    names = {name.lower(): value for name, value in request.headers}
    assert names[b"tenant"] == b"dojo"
    assert [n for n, _ in request.headers].count(b"Tenant") == 1
    assert b"authorization" not in names
    assert b"x-hop" not in names
    assert b"connection" not in names
    assert request.target == b"/a/1?q=2"
    assert names[b"request-id"] == b"r1"


def test_a_public_route_passes_no_key_and_no_organisation():
    world = World(Answered(make_answer()))
    assert world.ask(b"/open/1").status == 200
    names = {name.lower() for name, _ in world.script.sent[0][1].headers}
    assert not names & {b"tenant", b"authorization"}


@pytest.mark.parametrize("key", [None, b"Token wrong", b"Basic secret", b"Token "])
def test_without_a_valid_key_nothing_runs(key):
    world = World()
    assert world.ask(key=key).status == 401
    assert world.used() == []


def test_without_a_route_nothing_runs():
    world = World()
    assert world.ask(b"/b/1").status == 404
    assert world.ask(host="other.example").status == 404


def test_without_a_configuration_the_caller_is_told_to_come_back():
    world = World()
    world.facts.rules = None
    answer = world.ask()
    assert answer.status == 503
    assert b"Retry-After" in dict(answer.headers)


def test_over_the_allowance_the_caller_is_told_when_to_come_back():
    world = World(*[Answered(make_answer())] * 2, rate=2.0)
    assert [world.ask().status for _ in range(3)] == [200, 200, 429]
    assert dict(world.ask().headers)[b"Retry-After"] == b"0.5"


def test_a_request_that_reached_nobody_costs_no_allowance():
    world = World(*[REFUSED] * 3, Answered(make_answer()), rate=1.0)
    assert world.ask().status == 503
    assert world.ask().status == 200


@pytest.mark.parametrize("failure", [RESET, MALFORMED, SHED])
def test_a_repeatable_request_goes_to_another_upstream(failure):
    world = World(failure, Answered(make_answer()))
    assert world.ask().status == 200
    assert len(set(world.used())) == 2


@pytest.mark.parametrize("failure", [RESET, MALFORMED])
def test_what_may_have_run_is_not_sent_again_and_not_said_not_to_have_run(failure):
    world = World(failure, kind=RouteKind.UNSAFE)
    assert world.ask().status == 502
    assert len(world.used()) == 1


def test_what_has_not_run_may_go_to_another_upstream_though_unsafe():
    world = World(SHED, Answered(make_answer()), kind=RouteKind.UNSAFE)
    assert world.ask().status == 200
    world = World(REFUSED, REFUSED, Answered(make_answer()), kind=RouteKind.UNSAFE)
    assert world.ask().status == 200


def test_turned_away_by_all_is_a_promise_that_it_has_not_run():
    world = World(SHED, SHED, SHED, kind=RouteKind.UNSAFE)
    answer = world.ask()
    assert answer.status == 503
    assert b"Retry-After" in dict(answer.headers)
    assert len(world.used()) == 2


def test_no_promise_after_one_attempt_that_may_have_run():
    world = World(RESET, SHED, max_attempts=3)
    world.script._outcomes.append(SHED)
    assert world.ask().status == 502


def test_no_more_upstreams_than_the_route_allows():
    world = World(RESET, RESET, RESET, max_attempts=2)
    assert world.ask().status == 502
    assert len(world.used()) == 2


def test_a_failure_of_the_upstream_is_repeated_and_then_passed_on_as_it_was():
    world = World(Answered(make_answer(500, b"e1")), Answered(make_answer()))
    assert world.ask().status == 200
    world = World(Answered(make_answer(500, b"e1")), Answered(make_answer(500, b"e2")))
    answer = world.ask()
    assert (answer.status, answer.body) == (500, b"e2")
    world = World(Answered(make_answer(500, b"e1")), RESET)
    answer = world.ask()
    assert (answer.status, answer.body) == (500, b"e1")
    world = World(Answered(make_answer(500, b"e1")), kind=RouteKind.UNSAFE)
    assert world.ask().status == 500


def test_at_the_timeout_the_answer_comes_at_once():
    world = World(SILENT, timeout=1_200.0)
    started = world.clock.now()
    assert world.ask().status == 504
    assert world.clock.now() - started == 1_200.0
    assert len(world.used()) == 1


def test_the_callers_deadline_goes_before_a_longer_timeout():
    world = World(SILENT, timeout=5_000.0)
    assert world.ask(**{"Deadline-Ms": b"700"}).status == 504
    _, request, left = world.script.sent[0]
    assert left == 700.0
    assert dict(request.headers)[b"Deadline-Ms"] == b"700"


def test_repeats_end_with_their_budget():
    world = World(*[RESET] * 300)
    for _ in range(100):
        world.ask()
    repeats = len(world.used()) - 100
    assert repeats <= 0.2 * 100 + 60


def test_a_request_that_ended_three_upstreams_is_refused_until_the_ban_ends():
    world = World(*[RESET] * 4, Answered(make_answer()), kind=RouteKind.UNSAFE)
    for _ in range(3):
        world.ask()
        (name,) = world.script.fingerprints
        world.quarantine.count_death(name)
    answer = world.ask()
    assert answer.status == 503
    assert len(world.used()) == 3
    assert world.ask(b"/a/other").status == 502
    world.clock.advance(float(dict(answer.headers)[b"Retry-After"]) * 1_000.0)
    assert world.ask().status == 200


def test_a_slot_offered_to_a_caller_that_has_left_is_free_again():
    world = World()
    upstream = world.fleet.find("u1")
    for order in (["end", "offer"], ["offer", "end"], ["offer"]):
        seat = SlotWaiter()
        task = gevent.spawn(seat.await_offer, 5_000.0)
        gevent.sleep(0)
        for step in order:
            if step == "offer":
                seat.offer(upstream)
            else:
                task.kill(block=False)
        gevent.sleep(0.01)
        assert upstream.in_flight == 0, order


def test_a_vm_about_to_end_refuses():
    world = World()
    world.handler.close()
    assert world.ask().status == 503
    assert world.used() == []


def test_homes_of_route_and_organisation_both_bind():
    world = World(home_regions=frozenset({"south"}))
    assert world.ask().status == 503
    assert world.used() == []


def test_an_upstream_that_leaves_while_its_slot_is_asked_for_gets_nothing():
    world = World(Answered(make_answer()))
    claimed = []
    claim = world.slots.claim

    def leave_meanwhile(upstream, *rest):
        if not claimed:
            world.fleet.put(make_record(upstream.record.id, is_draining=True))
        claimed.append(upstream)
        return claim(upstream, *rest)

    world.slots.claim = leave_meanwhile
    assert world.ask().status == 200
    first = claimed[0]
    assert first.record.id not in world.used()
    assert first.in_flight == 0


def test_callers_are_refused_at_once_while_all_upstreams_rest():
    """Load: a service whose upstreams all want nothing for 1 to 3 s."""
    world = World()
    for number, name in enumerate(("u1", "u2", "u3"), start=1):
        world.fleet.find(name).set_rest(number * 1_000.0)
    started = world.clock.now()
    delays = []
    for _ in range(50):
        answer = world.ask()
        assert answer.status == 503
        delays.append(float(dict(answer.headers)[b"Retry-After"]))
    assert world.clock.now() == started
    assert world.script.sent == []
    assert 1.0 <= min(delays) < 2.0 < max(delays) <= 4.0


def test_callers_are_refused_at_once_when_all_upstreams_leave():
    """Load: a bad release; nothing that leaves is sent to, however many callers ask."""
    world = World()
    for name in ("u1", "u2", "u3"):
        world.fleet.note_leaving(name, 1.0)
    started = world.clock.now()
    answer = world.ask()
    assert answer.status == 503
    assert b"Retry-After" in dict(answer.headers)
    assert world.clock.now() == started
    assert world.script.sent == []


def test_a_request_that_waits_for_upstreams_that_leave_is_placed_again(monkeypatch):
    """DRAIN: it waited on for those of its object, though another one had room."""
    world = World(Answered(make_answer()))

    def claim(upstream, *_claim):
        is_free = upstream.in_flight < upstream.record.slots
        upstream.in_flight += is_free
        return is_free

    monkeypatch.setattr(world.slots, "claim", claim)
    wish = PlacementRequest(service="ledger", object_name="a/7")
    waited_for = world.handler._placement.candidates(wish, 0.0).upstreams
    for state in waited_for:
        state.in_flight = 3
    asking = gevent.spawn(world.ask)
    gevent.sleep(0.01)
    assert world.script.sent == []
    for state in waited_for:
        world.fleet.note_leaving(state.record.id, 1.0)
    world.handler._waiting.offer_slots()
    assert asking.get(timeout=0.3).status == 200
    ((name, _, _),) = world.script.sent
    assert name not in {state.record.id for state in waited_for}


def test_what_an_upstream_wants_of_this_vm_is_not_shown_to_callers():
    answer = make_answer(503)
    answer.headers.extend([(b"Retry-After", b"9"), (b"Server-Leaving", b"1")])
    world = World(Answered(answer), kind=RouteKind.UNSAFE)
    found = world.ask()
    assert found.status == 503
    names = {name for name, _ in found.headers}
    assert not names & {b"Retry-After", b"Server-Leaving"}
