"""Explanations of placements, without a network."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.cold_start import ColdStartLimiter
from lagoonlatch.steering.explanation import PlacementExplainer, PlacementQuestion
from lagoonlatch.steering.holders import Share
from lagoonlatch.steering.model import TrafficRules
from lagoonlatch.steering.placement import Placement
from tests.steering.samples import (
    make_organisation,
    make_record,
    make_route,
    make_service,
    make_upstream_table,
)


class Harness:
    """An explainer with two upstreams in the north and one in the south."""

    def __init__(self, rate=2.0):
        self.clock = ManualClock()
        self.table = make_upstream_table(self.clock)
        for name, data_centre in (("u1", "n-a"), ("u2", "n-b"), ("u3", "s-a")):
            record = make_record(name, data_centre=data_centre)
            self.table.put(record, was_running=True)
        organisation = make_organisation("dojo", rate=rate, burst=rate)
        self.rules = TrafficRules(
            version=3,
            routes_by_host={
                "h.example": (
                    make_route("a", home_regions=frozenset({"north"})),
                    make_route("open", is_open=True),
                )
            },
            organisation_by_key={"secret": organisation},
            organisations_by_id={"dojo": organisation},
            services_by_id={"ledger": make_service()},
        )
        self.allowances = Allowances(lambda _: Share(1.0, True), True, self.clock)
        self.allowances.configure(self.rules.organisations_by_id)
        self.limiter = ColdStartLimiter("vm", list, list, lambda: False, self.clock)
        self.limiter.configure(self.rules.services_by_id)
        self.placement = Placement(self.table, "north", ["north"], self.limiter.consume)
        self.explainer = PlacementExplainer(
            "vm",
            lambda: self.rules,
            self.table,
            self.placement,
            Admission(),
            self.allowances,
            self.limiter,
            1_000.0,
        )

    def explain(self, path="/a/1", key="secret", host="h.example", name="7"):
        return self.explainer.explain(
            PlacementQuestion(host=host, path=path, object_name=name, key=key)
        )

    def explain_service(self, **question):
        (service,) = self.explain(**question).services
        return service


def states_by_id(upstreams):
    return {upstream.id: "; ".join(upstream.states) for upstream in upstreams}


@pytest.mark.parametrize(
    ("question", "status", "reason"),
    [
        ({"host": "x"}, 404, "no route of host 'x'; valid: h.example"),
        ({"path": "/b/"}, 404, "no route of path '/b/'; valid prefixes: /a/, /open/"),
        ({"key": "wrong"}, 401, "the key isn't valid"),
        ({"key": None}, 401, "no key given"),
    ],
)
def test_early_refusals_are_explained(question, status, reason):
    refusal = Harness().explain(**question).refusal
    assert (refusal.status, refusal.reason) == (status, reason)


def test_a_vm_without_configuration_refuses():
    harness = Harness()
    harness.rules = None
    refusal = harness.explain().refusal
    assert (refusal.status, refusal.retry_after_ms) == (503, 1_000)


def test_the_upstream_that_a_request_would_get_is_named():
    harness = Harness()
    service = harness.explain_service()
    first, second = service.candidates
    assert service.decision.action == "send"
    assert service.decision.upstream == first.id
    assert first.states == ("first choice",)
    (skipped,) = service.skipped
    assert skipped.states == ("region 'south' isn't allowed; allowed: north",)
    harness.table.find(second.id).note_object("a/7")
    harness.table.find(first.id).in_flight = 3
    service = harness.explain_service()
    assert service.decision.upstream == second.id
    assert [upstream.states for upstream in service.candidates] == [
        ("first choice", "full: 3 of 3 slots"),
        ("remembers the object",),
    ]


def test_a_wait_names_the_upstream_that_may_be_used_later():
    harness = Harness()
    first, second = harness.explain_service().candidates
    harness.table.find(first.id).in_flight = 3
    decision = harness.explain_service().decision
    assert (decision.action, decision.upstream) == ("wait", first.id)
    assert (decision.fallback, decision.fallback_after_ms) == (second.id, 1_200)
    assert decision.max_wait_ms == 600


def test_every_obstacle_is_named():
    harness = Harness()
    for number in range(1, 5):
        harness.table.put(make_record(f"n{number}"), was_running=True)
    harness.table.put(make_record("n1", is_draining=True))
    harness.table.find("n2").is_leaving = True
    harness.table.find("n3").is_suspect = True
    harness.table.find("n4").set_rest(500.0)
    harness.table.evacuate(frozenset({"n-b"}))
    assert states_by_id(harness.explain_service().skipped) == {
        "n1": "draining",
        "n2": "leaving",
        "n3": "suspect until it answers a health check",
        "n4": "resting for 500 ms",
        "u2": "data centre 'n-b' is evacuated",
        "u3": "region 'south' isn't allowed; allowed: north",
    }


def test_a_refusal_for_lack_of_upstreams_states_when_to_retry():
    harness = Harness()
    for name in ("u1", "u2"):
        harness.table.find(name).set_rest(500.0)
    decision = harness.explain_service().decision
    assert (decision.status, decision.reason) == (503, "upstreams rest")
    assert 500 <= decision.retry_after_ms <= 1_500


def test_an_explanation_consumes_nothing():
    """Guards against questions that use up what requests need."""
    harness = Harness(rate=1.0)
    harness.table.put(make_record("cold"))
    cold = harness.table.find("cold")
    for name in ("u1", "u2"):
        harness.table.find(name).set_rest(500.0)
    for _ in range(3):
        explanation = harness.explain()
        assert explanation.allowance == "has a token"
        assert explanation.services[0].decision.upstream == "cold"
        states = states_by_id(explanation.services[0].candidates)
        assert states == {"cold": "cold for 3000 ms: may get a request now"}
    assert (cold.in_flight, cold.remembers("a/7")) == (0, False)
    assert harness.limiter.consume(cold)
    assert harness.allowances.consume("dojo") is None
    explanation = harness.explain()
    assert explanation.refusal.status == 429
    assert explanation.refusal.retry_after_ms == 1_000
    states = states_by_id(explanation.services[0].candidates)
    assert states == {"cold": "cold for 3000 ms: next request in 250 ms"}


def test_a_limited_upstream_says_how_long_its_limit_is_spent():
    harness = Harness()
    first = harness.explain_service().candidates[0].id
    harness.table.find(first).name_limit(2.0, 1_000_000.0)
    harness.table.find(first).set_limit_wait(400.0)
    service = harness.explain_service()
    assert service.decision.upstream != first
    state = states_by_id(service.candidates)[first]
    assert state == "limited to 2 requests a second, spent for 400 ms"


def test_the_key_is_never_shown():
    question = PlacementQuestion(host="h", path="/", key="secret")
    assert "secret" not in repr(question)
    assert "secret" not in repr(Harness().explain())
