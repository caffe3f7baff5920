"""The counting of slots, played against VMs that claim, lose messages and vanish."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.slots import (
    COUNT_LIFETIME,
    OFFER_LIFETIME,
    REFUSED_CLAIM_LIFETIME,
    UPSTREAM_QUEUE_DEPTH,
    Claim,
    SlotAllocator,
    counts_to_send,
)

USUAL = (1, 2)
URGENT = (1, 0)


def make_desk(slots=2):
    """Return the desk of an upstream that is sent up to `slots` requests."""
    clock = ManualClock()
    return SlotAllocator({"u1": slots - UPSTREAM_QUEUE_DEPTH}.get, clock), clock


def claim(vm, held=1, ticket=1, priority=USUAL, waited=0.0, upstream="u1"):
    return Claim(
        vm=vm,
        upstream=upstream,
        held=held,
        ticket=ticket,
        priority=priority,
        waited=waited,
    )


def test_slots_are_granted_once():
    desk, _ = make_desk(slots=2)
    assert desk.claim(claim("a")).granted
    assert desk.claim(claim("b")).granted
    verdict = desk.claim(claim("c"))
    assert not verdict.granted
    assert verdict.others == 2
    desk.set_count("a", "u1", 0)
    assert desk.claim(claim("c")).granted


def test_a_claim_that_is_sent_twice_takes_one_slot():
    desk, _ = make_desk(slots=2)
    for _ in range(2):
        assert desk.claim(claim("a", held=1)).granted
    assert desk.claim(claim("b")).granted


def test_a_free_slot_is_offered_to_the_most_urgent_and_then_to_the_first():
    """Load: a full upstream, and more requests at several VMs than slots."""
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    for vm, priority in [("late", USUAL), ("urgent", URGENT), ("last", USUAL)]:
        clock.advance(10.0)
        assert not desk.claim(claim(vm, priority=priority)).granted
    assert desk.offer_free_slots("u1") == []
    order = []
    for holder in ("a", "urgent", "late"):
        desk.set_count(holder, "u1", 0)
        ((told, _),) = desk.offer_free_slots("u1")
        order.append(told)
        assert desk.offer_free_slots("u1") == []
        assert desk.claim(claim(told)).granted
    assert order == ["urgent", "late", "last"]


def test_who_waited_longer_goes_first_though_it_asks_later():
    desk, _ = make_desk(slots=1)
    desk.claim(claim("a"))
    desk.claim(claim("b", waited=100.0))
    assert desk.claim(claim("c", waited=300.0)).ahead == 0
    desk.set_count("a", "u1", 0)
    assert desk.offer_free_slots("u1") == [("c", 1)]


def test_tickets_of_two_vms_are_two_requests():
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    assert desk.claim(claim("b", ticket=7)).ahead == 0
    clock.advance(1.0)
    assert desk.claim(claim("c", ticket=7, waited=0.0)).ahead == 1


def test_an_offered_slot_is_kept_for_a_moment():
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    desk.claim(claim("b"))
    desk.set_count("a", "u1", 0)
    assert desk.offer_free_slots("u1") == [("b", 1)]
    refused = desk.claim(claim("new"))
    assert not refused.granted
    assert refused.others == 1
    clock.advance(OFFER_LIFETIME)
    assert desk.claim(claim("new")).granted


def test_one_that_declines_is_passed_over_at_once():
    """Load: requests that were served elsewhere, or whose callers have left."""
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    for vm in ("b", "c", "d"):
        clock.advance(1.0)
        desk.claim(claim(vm))
    desk.decline("c", "u1", 1)
    desk.set_count("a", "u1", 0)
    assert desk.offer_free_slots("u1") == [("b", 1)]
    desk.decline("b", "u1", 1)
    assert desk.offer_free_slots("u1") == [("d", 1)]


def test_who_asks_no_more_is_not_offered_a_slot():
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    desk.claim(claim("b"))
    clock.advance(REFUSED_CLAIM_LIFETIME)
    desk.set_count("a", "u1", 0)
    assert desk.offer_free_slots("u1") == []


def test_the_slots_of_a_vm_that_vanished_are_free_again():
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    clock.advance(COUNT_LIFETIME - 1.0)
    assert not desk.claim(claim("b")).granted
    clock.advance(1.0)
    assert desk.claim(claim("b")).granted


def test_a_new_home_learns_from_what_the_vms_repeat():
    old, _ = make_desk(slots=2)
    old.claim(claim("a"))
    old.claim(claim("b"))
    new, _ = make_desk(slots=2)
    for vm in ("a", "b"):
        new.set_count(vm, "u1", 1)
    assert not new.claim(claim("c")).granted


def test_an_upstream_that_the_home_does_not_know_yet_is_not_refused():
    desk, _ = make_desk()
    assert desk.claim(claim("a", upstream="new")).granted


def test_what_has_ended_is_told_as_none():
    assert counts_to_send({"u1": 2}, {"u1": 1, "u2": 1}) == {"u1": 2, "u2": 0}


def test_nothing_is_kept_of_upstreams_that_nobody_uses():
    desk, clock = make_desk()
    desk.claim(claim("a"))
    clock.advance(COUNT_LIFETIME)
    desk.prune()
    assert desk.in_flight_of_others("u1", "") == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "end", "vanish", "repeat", "wait"]),
        st.integers(0, 4),
        st.booleans(),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None)
@given(slots=st.integers(1, 4), steps=STEPS)
def test_one_home_never_grants_more_than_the_slots(slots, steps):
    """Over kills and lost ends, slots that VMs really use stay within the bound.

    A VM repeats its counts within the time that the home remembers them; one that
    vanished uses nothing, and what it had is free in the end.
    """
    desk, clock = make_desk(slots)
    used = dict.fromkeys("abcde", 0)
    for step, index, is_lost in steps:
        vm = "abcde"[index]
        if step == "start":
            if desk.claim(claim(vm, held=used[vm] + 1)).granted:
                used[vm] += 1
        elif step == "end" and used[vm]:
            used[vm] -= 1
            if not is_lost:
                desk.set_count(vm, "u1", used[vm])
        elif step == "vanish":
            used[vm] = 0
        elif step == "wait":
            clock.advance(COUNT_LIFETIME / 2.0)
        if step in ("repeat", "wait"):
            for name, held in used.items():
                if held:
                    desk.set_count(name, "u1", held)
        assert sum(used.values()) <= slots
    used = dict.fromkeys(used, 0)
    clock.advance(COUNT_LIFETIME)
    assert desk.claim(claim("f", held=slots)).granted


@pytest.mark.parametrize("rank", [USUAL, URGENT])
def test_a_lower_rank_never_hides_a_free_slot(priority):
    desk, _ = make_desk(slots=2)
    desk.claim(claim("a"))
    assert desk.claim(claim("b", priority=priority)).granted


@pytest.mark.parametrize("slots", [3, 9])
def test_an_upstream_under_load_never_waits_for_the_messages_of_a_hand_over(slots):
    """Load: more requests than slots; a slot's way to the next VM takes 10 ms.

    Each request runs for 150 ms. Plays what callers get beside a desk that sends no
    more than there are slots: rounds of 160 ms against ones of 150 ms.
    """
    served = {}
    for queued in (0, UPSTREAM_QUEUE_DEPTH):
        clock = ManualClock()
        desk = SlotAllocator({"u1": slots + queued - UPSTREAM_QUEUE_DEPTH}.get, clock)
        sent, running, done, number, begun = [], [], 0, 0, 0
        for _ in range(2_560):
            clock.advance(1.0)
            now = clock.now()
            ended = [end for end in running if end <= now]
            running = [end for end in running if end > now]
            done += len(ended)
            for _ in ended:
                desk.set_count("a", "u1", len(running) + len(sent))
            while desk.claim(claim("a", len(running) + len(sent) + 1, number)).granted:
                number += 1
                sent.append(now + 10.0)
            while len(running) < slots and sent and sent[0] <= now:
                sent.pop(0)
                # The first ones end one after the other, as in a steady load.
                begun += 1
                running.append(now + 150.0 * min(begun / slots, 1.0))
        served[queued] = done
    assert served[UPSTREAM_QUEUE_DEPTH] >= served[0] * 1.05
    unfinished = slots
    assert served[UPSTREAM_QUEUE_DEPTH] >= (2_560.0 - 10.0) / 150.0 * slots - unfinished


def test_only_those_at_least_as_urgent_count_as_ahead():
    desk, clock = make_desk(slots=1)
    desk.claim(claim("a"))
    later = (1, 3)
    for number, priority in enumerate([USUAL, later]):
        desk.claim(claim("b", ticket=number, priority=priority))
        clock.advance(1.0)
    assert desk.claim(claim("c", priority=URGENT)).ahead == 0
    desk.decline("c", "u1", 1)
    assert desk.claim(claim("c", priority=USUAL)).ahead == 1
    desk.decline("c", "u1", 1)
    assert desk.claim(claim("c", priority=later)).ahead == 2
