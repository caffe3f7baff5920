import gevent
from returns.result import Success

from lagoonlatch.clock import HybridClock, Stamp
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.upstreams import (
    InstanceKey,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from lagoonlatch.upstreams.outcomes import fingerprint_of
from lagoonlatch.upstreams.owned import OwnerSettings
from lagoonlatch.upstreams.owner import UpstreamOwner
from tests.upstreams.processes import CLOCK, kinds, make_request, run_all, wait_until


def test_many_requests_stay_within_slots_and_connections(start_instance, start_owner):
    instances = [start_instance() for _ in range(2)]
    owner = start_owner(instances)
    requests = [make_request(f"r-{number}") for number in range(60)]
    outcomes = run_all(owner, requests)
    for request, outcome in zip(requests, outcomes, strict=True):
        assert f'"{request.request_id}"'.encode() in outcome.unwrap().body
    for instance in instances:
        peaks = instance.get("/standin/peaks")
        assert peaks["in_flight"] == 3
        assert peaks["shed"] == 0
        assert peaks["connections"] <= 10
    runs = [run["request_id"] for i in instances for run in i.executions()]
    assert sorted(runs) == sorted(request.request_id for request in requests)


def test_request_that_would_wait_too_long_is_refused_at_once(
    start_instance, start_owner
):
    owner = start_owner([start_instance("--slots", "1", "--work-ms", "200")], slots=1)
    assert isinstance(owner.execute(make_request("first")), Success)
    begun = CLOCK.now()
    requests = [make_request(f"r-{n}", deadline=1_000.0) for n in range(20)]
    greenlets = [gevent.spawn(owner.execute, request) for request in requests]
    gevent.sleep(0.1)
    refused = [g.value.failure() for g in greenlets if g.ready()]
    assert CLOCK.now() - begun < 1_000.0
    assert len(refused) >= 14
    assert all(r.reason is NotRunReason.NO_CAPACITY for r in refused)
    assert all(r.retry_after >= 200.0 for r in refused)
    gevent.joinall(greenlets)


def test_waiting_request_whose_caller_left_is_not_run(start_instance, start_owner):
    instance = start_instance("--slots", "1", "--work-ms", "300")
    owner = start_owner([instance], slots=1)
    first = gevent.spawn(owner.execute, make_request("first"))
    gevent.sleep(0.15)
    waiting = gevent.spawn(owner.execute, make_request("waiting"))
    gevent.sleep(0.02)
    owner.cancel("waiting")
    assert waiting.get().failure() == NotRun(NotRunReason.CANCELLED, 0.0)
    assert isinstance(first.get(), Success)
    assert [run["request_id"] for run in instance.executions()] == ["first"]


def test_killed_caller_cancels_its_running_request(start_instance, start_owner):
    instance = start_instance()
    owner = start_owner([instance])
    running = gevent.spawn(
        owner.execute, make_request("gone", "/x?behaviour=slow:4000")
    )
    gevent.sleep(0.2)
    running.kill()
    gevent.sleep(0.1)
    assert instance.get("/load")["in_flight"] == 0
    assert not owner.busy([InstanceKey("ledger", "u0")])


def test_dead_instance_is_ejected_and_restored(start_instance, start_owner):
    instances = [start_instance() for _ in range(2)]
    owner = start_owner(instances)
    gevent.sleep(0.1)
    instances[0].kill()
    outcomes = run_all(owner, [make_request(f"r-{n}") for n in range(20)])
    assert all(isinstance(outcome, Success) for outcome in outcomes)
    assert EventKind.UPSTREAM_EJECTED in kinds(owner)
    instances[0].start()
    wait_until(lambda: EventKind.UPSTREAM_RESTORED in kinds(owner))
    run_all(owner, [make_request(f"s-{n}") for n in range(20)])
    runs = {run["request_id"] for run in instances[0].executions()}
    assert any(request_id.startswith("s-") for request_id in runs)


def test_lost_instance_gets_no_new_request_and_finishes_its_own(
    start_instance, start_owner
):
    instance = start_instance("--work-ms", "300")
    owner = start_owner([instance])
    running = gevent.spawn(owner.execute, make_request("running"))
    gevent.sleep(0.15)
    owner.set_owned([])
    assert owner.busy([InstanceKey("ledger", "u0")])
    refused = owner.execute(make_request("late")).failure()
    assert refused.reason is NotRunReason.NOT_OWNED
    assert isinstance(running.get(), Success)
    gevent.sleep(0.0)
    assert not owner.busy([InstanceKey("ledger", "u0")])


def test_drain_ends_when_accepted_requests_have_ended(start_instance, start_owner):
    owner = start_owner([start_instance("--work-ms", "200")])
    running = [
        gevent.spawn(owner.execute, make_request(f"r-{number}")) for number in range(6)
    ]
    gevent.sleep(0.1)
    owner.drain()
    assert all(isinstance(greenlet.value, Success) for greenlet in running)
    refused = owner.execute(make_request("late")).failure()
    assert refused.reason is NotRunReason.LEAVING


def test_poison_resent_ends_two_instances_at_most(start_instance, start_owner):
    instances = [start_instance() for _ in range(4)]
    owner = start_owner(instances)
    gevent.sleep(0.1)
    outcomes = [
        owner.execute(make_request(f"p-{number}", body=b"poison")).failure()
        for number in range(6)
    ]
    assert outcomes[:2] == [Unknown(UnknownReason.CLOSED, upstream_died=True)] * 2
    assert all(o.reason is NotRunReason.QUARANTINED for o in outcomes[2:])
    wait_until(lambda: sum(i.process.poll() is not None for i in instances) >= 2)
    assert sum(i.process.poll() is not None for i in instances) == 2
    assert isinstance(owner.execute(make_request("innocent")), Success)


def test_request_that_is_already_running_is_not_run_twice(start_instance, start_owner):
    instance = start_instance("--work-ms", "300")
    owner = start_owner([instance])
    running = gevent.spawn(owner.execute, make_request("same"))
    gevent.sleep(0.1)
    outcome = owner.execute(make_request("same"))
    assert outcome.failure() == Unknown(UnknownReason.DUPLICATE)
    assert isinstance(running.get(), Success)
    assert len(instance.executions()) == 1


def test_draining_instance_gets_no_new_request(start_instance, start_owner):
    instances = [start_instance() for _ in range(2)]
    owner = start_owner(instances)
    run_all(owner, [make_request(f"r-{n}") for n in range(12)])
    instances[0].switch(draining=True, drain_grace=60_000.0)
    gevent.sleep(1.0)
    before = len(instances[0].executions())
    outcomes = run_all(owner, [make_request(f"s-{n}") for n in range(12)])
    assert all(isinstance(outcome, Success) for outcome in outcomes)
    assert len(instances[0].executions()) == before


def test_quarantine_of_a_request_is_an_event():
    event_log = EventLog("vm", HybridClock(CLOCK))
    reports = []
    settings = OwnerSettings(data_centre="norte-1")
    owner = UpstreamOwner(settings, CLOCK, event_log, reports.append)
    for _ in range(2):
        owner._note_death(owner.quarantine.count_death("request", CLOCK.now()))
    (event,) = event_log.since(Stamp(0, 0))
    assert event.kind is EventKind.REQUEST_QUARANTINED
    assert [report.deaths for report in reports] == [1, 2]


def test_equal_requests_that_one_death_ended_are_not_quarantined(
    start_instance, start_owner
):
    """One death must not be counted once for each request that it ended."""
    instance = start_instance("--work-ms", "200")
    owner = start_owner([instance])
    run_all(owner, [make_request(f"first-{n}", body=b"other") for n in range(6)])
    running = [
        gevent.spawn(owner.execute, make_request(f"r-{number}")) for number in range(3)
    ]
    gevent.sleep(0.1)
    instance.kill()
    failures = [greenlet.get().failure() for greenlet in running]
    died = [f for f in failures if isinstance(f, Unknown) and f.upstream_died]
    assert len(died) >= 2
    fingerprint = fingerprint_of(make_request("r"))
    assert owner.quarantine.deaths(fingerprint) == 1
    assert owner.quarantine.refused_for(fingerprint) == 0.0
