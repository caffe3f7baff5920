from returns.result import Success

from lagoonlatch.idempotency.claims import ClaimStore, KeyHolder
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.standins.memory_store import MemoryStore

A = KeyHolder("a", 1)
B = KeyHolder("b", 1)


def _stores():
    clock = ManualClock()
    store = MemoryStore(clock)
    return store, ClaimStore(store, A, clock), ClaimStore(store, B, clock)


def test_first_claim_wins_on_every_vm():
    _, at_a, at_b = _stores()
    assert at_a.claim("org", "k") == Success(A)
    assert at_b.claim("org", "k") == Success(A)
    assert at_a.claim("org", "k") == Success(A)


def test_keys_of_two_organisations_differ():
    _, at_a, at_b = _stores()
    at_a.claim("one", "k")
    assert at_b.claim("two", "k") == Success(B)


def test_lost_answer_is_settled_by_reading():
    store, at_a, at_b = _stores()
    at_a.claim("org", "warm-up")
    store.lose_answers = 1
    assert at_a.claim("org", "k") == Success(A)
    assert at_b.claim("org", "k") == Success(A)


def test_outage_refuses_without_running():
    store, at_a, _ = _stores()
    store.outage = True
    refusal = at_a.claim("org", "k").failure()
    assert refusal.kind == "idempotency-store-unavailable"
    assert refusal.retry_after
