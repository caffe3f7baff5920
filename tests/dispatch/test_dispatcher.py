import random

import pytest
from returns.result import Failure, Success

from lagoonlatch.config.model import Configuration, Move
from lagoonlatch.dispatch.dispatcher import Dispatcher
from lagoonlatch.dispatch.moves import MovePlanner
from lagoonlatch.dispatch.request import CallerRequest
from lagoonlatch.dispatch.retries import RetryBudget
from lagoonlatch.routing.selection import Nearest, Place
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.upstreams.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)

ANSWERED = Success(Answered(200, (), b"ok"))
NOT_RUN = Failure(NotRun(NotRunReason.NO_CAPACITY, 500.0))
ANSWER_LOST = Failure(Unknown(UnknownReason.CLOSED))
UPSTREAM_DIED = Failure(Unknown(UnknownReason.CLOSED, upstream_died=True))


def _place(vm, region="north", distance=0.0):
    return Place(
        vm=vm,
        data_centre=region + "-1",
        region=region,
        slots=3,
        distance=distance,
        latency=20.0,
    )


class _Fleet:
    """Returns listed outcomes per place and quarantines after two upstream deaths."""

    def __init__(self, outcomes_by_vm, places):
        self._outcomes_by_vm = {vm: list(items) for vm, items in outcomes_by_vm.items()}
        self._places = places
        self.calls = []
        self.deaths = 0

    def places(self, service):
        return self._places

    def load_of(self, service):
        return lambda place: 0.0

    def execute(self, place, request):
        self.calls.append((place.vm, request.move))
        outcome = self._outcomes_by_vm[place.vm].pop(0)
        self.deaths += outcome is UPSTREAM_DIED
        return outcome

    def remaining_quarantine(self, fingerprint):
        return 60_000.0 if self.deaths >= 2 else 0.0


MOVE = Move(
    service="ledger",
    source="north",
    destination="south",
    rate_cap=10.0,
    share_cap=1.0,
)


def _dispatch(fleet, **options):
    dispatcher, request = _prepare(fleet, **options)
    return dispatcher.dispatch(request)


def _prepare(fleet, idempotent=True, budget=None, moves=None):
    clock = ManualClock()
    planner = MovePlanner(clock)
    planner.configure(Configuration(moves_by_id=moves or {}))
    dispatcher = Dispatcher(
        "north", fleet, Nearest(random.Random(1)), planner, clock, budget
    )
    request = CallerRequest(
        request_id="r",
        organisation="org",
        service="ledger",
        method="GET",
        target="/ranks",
        headers=(),
        body=b"",
        deadline=clock.now() + 1_000.0,
        idempotent=idempotent,
    )
    return dispatcher, request


NEAR_AND_FAR = (_place("near"), _place("far", "south", 40.0))


def test_request_that_was_not_run_goes_to_the_next_place():
    fleet = _Fleet({"near": [NOT_RUN], "far": [ANSWERED]}, NEAR_AND_FAR)
    assert _dispatch(fleet, idempotent=False).unwrap().body == b"ok"


def test_refusal_of_all_places_is_returned_to_the_caller():
    fleet = _Fleet({"near": [NOT_RUN], "far": [NOT_RUN]}, NEAR_AND_FAR)
    refusal = _dispatch(fleet).failure()
    assert (refusal.kind, refusal.retry_after) == ("no-capacity", 500.0)


def test_lost_answer_is_retried_once_if_idempotent():
    fleet = _Fleet({"near": [ANSWER_LOST], "far": [ANSWERED]}, NEAR_AND_FAR)
    assert isinstance(_dispatch(fleet), Success)


def test_lost_answer_is_not_retried_twice():
    places = (*NEAR_AND_FAR, _place("farther", "east", 70.0))
    fleet = _Fleet(
        {"near": [ANSWER_LOST], "far": [ANSWER_LOST], "farther": [ANSWERED]}, places
    )
    assert _dispatch(fleet).failure().kind == "outcome-unknown"
    assert len(fleet.calls) == 2


def test_lost_answer_is_never_retried_if_not_idempotent():
    fleet = _Fleet({"near": [ANSWER_LOST], "far": [ANSWERED]}, NEAR_AND_FAR)
    refusal = _dispatch(fleet, idempotent=False).failure()
    assert (refusal.kind, refusal.retry_after) == ("outcome-unknown", None)
    assert fleet.calls == [("near", "")]


@pytest.mark.parametrize("second_outcome", [NOT_RUN, ANSWER_LOST])
def test_outcome_of_a_request_that_may_have_run_is_unknown(second_outcome):
    fleet = _Fleet({"near": [ANSWER_LOST], "far": [second_outcome]}, NEAR_AND_FAR)
    assert _dispatch(fleet).failure().kind == "outcome-unknown"


def test_empty_retry_budget_allows_no_retry():
    budget = RetryBudget(share=0.0, max_burst=0.0)
    fleet = _Fleet({"near": [ANSWER_LOST], "far": [ANSWERED]}, NEAR_AND_FAR)
    assert _dispatch(fleet, budget=budget).failure().kind == "outcome-unknown"


def test_request_that_kills_two_upstreams_is_not_sent_to_a_third():
    places = (*NEAR_AND_FAR, _place("farther", "east", 70.0))
    fleet = _Fleet(
        {"near": [UPSTREAM_DIED], "far": [UPSTREAM_DIED], "farther": [UPSTREAM_DIED]},
        places,
    )
    assert _dispatch(fleet).failure().kind == "outcome-unknown"
    assert _dispatch(fleet).failure().kind == "quarantined"
    assert len(fleet.calls) == 2


def test_request_refused_by_the_cap_of_a_move_is_served_in_its_region():
    cap_refusal = Failure(NotRun(NotRunReason.MOVE_CAP, 100.0))
    fleet = _Fleet({"near": [ANSWERED] * 30, "far": [cap_refusal]}, NEAR_AND_FAR)
    dispatcher, request = _prepare(fleet, moves={"m": MOVE})
    for _ in range(30):
        assert isinstance(dispatcher.dispatch(request), Success)
    assert [call for call in fleet.calls if call[1]] == [("far", "m")]
