"""Tests of the slot allocation, with lost messages and VMs that crash."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.rate_limits import UpstreamRateLimiter
from lagoonlatch.steering.slots import (
    COUNT_LIFETIME,
    OFFER_LIFETIME,
    REFUSED_CLAIM_LIFETIME,
    UPSTREAM_QUEUE_DEPTH,
    Claim,
    SlotAllocator,
    counts_to_send,
)

NORMAL = (1, 2)
URGENT = (1, 0)


def make_allocator(max_requests=2):
    """Return an allocator that grants up to `max_requests` requests at an upstream."""
    clock = ManualClock()
    limiter = UpstreamRateLimiter(lambda _: 1.0, clock)
    slots = {"u1": max_requests - UPSTREAM_QUEUE_DEPTH}
    return SlotAllocator(slots.get, limiter, clock), clock


def claim(vm, held=1, ticket=1, priority=NORMAL, waited=0.0, upstream="u1"):
    return Claim(
        vm=vm,
        upstream=upstream,
        held=held,
        ticket=ticket,
        priority=priority,
        waited=waited,
    )


def test_each_slot_is_granted_once():
    allocator, _ = make_allocator(max_requests=2)
    assert allocator.claim(claim("a")).granted
    assert allocator.claim(claim("b")).granted
    answer = allocator.claim(claim("c"))
    assert not answer.granted
    assert answer.others == 2
    allocator.set_count("a", "u1", 0)
    assert allocator.claim(claim("c")).granted


def test_claim_that_is_sent_twice_occupies_one_slot():
    allocator, _ = make_allocator(max_requests=2)
    for _ in range(2):
        assert allocator.claim(claim("a", held=1)).granted
    assert allocator.claim(claim("b")).granted


def test_free_slots_are_offered_by_priority_and_then_by_arrival():
    """An upstream is full, and requests of several VMs wait for it."""
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    for vm, priority in [("late", NORMAL), ("urgent", URGENT), ("last", NORMAL)]:
        clock.advance(10.0)
        assert not allocator.claim(claim(vm, priority=priority)).granted
    assert allocator.offer_free_slots("u1") == []
    order = []
    for serving_vm in ("a", "urgent", "late"):
        allocator.set_count(serving_vm, "u1", 0)
        ((offered_vm, _),) = allocator.offer_free_slots("u1")
        order.append(offered_vm)
        assert allocator.offer_free_slots("u1") == []
        assert allocator.claim(claim(offered_vm)).granted
    assert order == ["urgent", "late", "last"]


def test_longer_wait_goes_first_although_its_claim_is_later():
    allocator, _ = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    allocator.claim(claim("b", waited=100.0))
    assert allocator.claim(claim("c", waited=300.0)).ahead == 0
    allocator.set_count("a", "u1", 0)
    assert allocator.offer_free_slots("u1") == [("c", 1)]


def test_equal_tickets_of_two_vms_are_two_requests():
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    assert allocator.claim(claim("b", ticket=7)).ahead == 0
    clock.advance(1.0)
    assert allocator.claim(claim("c", ticket=7, waited=0.0)).ahead == 1


def test_offered_slot_is_reserved_for_the_offer_lifetime():
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    allocator.claim(claim("b"))
    allocator.set_count("a", "u1", 0)
    assert allocator.offer_free_slots("u1") == [("b", 1)]
    refused = allocator.claim(claim("new"))
    assert not refused.granted
    assert refused.others == 1
    clock.advance(OFFER_LIFETIME)
    assert allocator.claim(claim("new")).granted


def test_withdrawn_request_gets_no_offer():
    """The request was served by another upstream, or its caller has left."""
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    for vm in ("b", "c", "d"):
        clock.advance(1.0)
        allocator.claim(claim(vm))
    allocator.decline("c", "u1", 1)
    allocator.set_count("a", "u1", 0)
    assert allocator.offer_free_slots("u1") == [("b", 1)]
    allocator.decline("b", "u1", 1)
    assert allocator.offer_free_slots("u1") == [("d", 1)]


def test_refused_claim_that_expired_gets_no_offer():
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    allocator.claim(claim("b"))
    clock.advance(REFUSED_CLAIM_LIFETIME)
    allocator.set_count("a", "u1", 0)
    assert allocator.offer_free_slots("u1") == []


def test_slots_of_a_vm_without_reports_become_free():
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    clock.advance(COUNT_LIFETIME - 1.0)
    assert not allocator.claim(claim("b")).granted
    clock.advance(1.0)
    assert allocator.claim(claim("b")).granted


def test_new_home_uses_the_reported_counts():
    old, _ = make_allocator(max_requests=2)
    old.claim(claim("a"))
    old.claim(claim("b"))
    new, _ = make_allocator(max_requests=2)
    for vm in ("a", "b"):
        new.set_count(vm, "u1", 1)
    assert not new.claim(claim("c")).granted


def test_claim_for_an_unknown_upstream_is_granted():
    allocator, _ = make_allocator()
    assert allocator.claim(claim("a", upstream="new")).granted


def test_count_of_ended_requests_is_reported_as_zero():
    assert counts_to_send({"u1": 2}, {"u1": 1, "u2": 1}) == {"u1": 2, "u2": 0}


def test_unused_upstreams_are_pruned():
    allocator, clock = make_allocator()
    allocator.claim(claim("a"))
    clock.advance(COUNT_LIFETIME)
    allocator.prune()
    assert allocator.in_flight_of_others("u1", "") == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "end", "crash", "report", "wait"]),
        st.integers(0, 4),
        st.booleans(),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None)
@given(max_requests=st.integers(1, 4), steps=STEPS)
def test_home_never_grants_more_than_the_slots(max_requests, steps):
    """VMs never use more than the slots, even after crashes and lost reports.

    Each VM reports its counts again before they expire at the home. A VM that crashed
    uses no slots, and its slots become free after the lifetime of its counts.
    """
    allocator, clock = make_allocator(max_requests)
    used_slots = dict.fromkeys("abcde", 0)
    for step, index, is_report_lost in steps:
        vm = "abcde"[index]
        if step == "start":
            if allocator.claim(claim(vm, held=used_slots[vm] + 1)).granted:
                used_slots[vm] += 1
        elif step == "end" and used_slots[vm]:
            used_slots[vm] -= 1
            if not is_report_lost:
                allocator.set_count(vm, "u1", used_slots[vm])
        elif step == "crash":
            used_slots[vm] = 0
        elif step == "wait":
            clock.advance(COUNT_LIFETIME / 2.0)
        if step in ("report", "wait"):
            for name, held in used_slots.items():
                if held:
                    allocator.set_count(name, "u1", held)
        assert sum(used_slots.values()) <= max_requests
    used_slots = dict.fromkeys(used_slots, 0)
    clock.advance(COUNT_LIFETIME)
    assert allocator.claim(claim("f", held=max_requests)).granted


@pytest.mark.parametrize("priority", [NORMAL, URGENT])
def test_free_slot_is_granted_at_any_priority(priority):
    allocator, _ = make_allocator(max_requests=2)
    allocator.claim(claim("a"))
    assert allocator.claim(claim("b", priority=priority)).granted


@pytest.mark.parametrize("slots", [3, 9])
def test_queue_depth_keeps_upstreams_busy_under_load(slots):
    """There are more requests than slots, and each request runs for 150 ms.

    A granted request arrives at the upstream after 10 ms. Without the queue depth, each
    slot would serve one request in 160 ms instead of 150 ms.
    """
    served = {}
    for queued in (0, UPSTREAM_QUEUE_DEPTH):
        clock = ManualClock()
        allocator = SlotAllocator(
            {"u1": slots + queued - UPSTREAM_QUEUE_DEPTH}.get,
            UpstreamRateLimiter(lambda _: 1.0, clock),
            clock,
        )
        sent, running, done, number, begun = [], [], 0, 0, 0
        for _ in range(2_560):
            clock.advance(1.0)
            now = clock.now()
            ended = [end for end in running if end <= now]
            running = [end for end in running if end > now]
            done += len(ended)
            for _ in ended:
                allocator.set_count("a", "u1", len(running) + len(sent))
            while allocator.claim(
                claim("a", len(running) + len(sent) + 1, number)
            ).granted:
                number += 1
                sent.append(now + 10.0)
            while len(running) < slots and sent and sent[0] <= now:
                sent.pop(0)
                # The first requests end one after the other, as under steady load.
                begun += 1
                running.append(now + 150.0 * min(begun / slots, 1.0))
        served[queued] = done
    assert served[UPSTREAM_QUEUE_DEPTH] >= served[0] * 1.05
    unfinished = slots
    assert served[UPSTREAM_QUEUE_DEPTH] >= (2_560.0 - 10.0) / 150.0 * slots - unfinished


def test_only_requests_at_least_as_urgent_count_as_ahead():
    allocator, clock = make_allocator(max_requests=1)
    allocator.claim(claim("a"))
    low_priority = (1, 3)
    for number, priority in enumerate([NORMAL, low_priority]):
        allocator.claim(claim("b", ticket=number, priority=priority))
        clock.advance(1.0)
    assert allocator.claim(claim("c", priority=URGENT)).ahead == 0
    allocator.decline("c", "u1", 1)
    assert allocator.claim(claim("c", priority=NORMAL)).ahead == 1
    allocator.decline("c", "u1", 1)
    assert allocator.claim(claim("c", priority=low_priority)).ahead == 2
