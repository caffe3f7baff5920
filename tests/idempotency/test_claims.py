from returns.result import Success

from lagoonlatch.idempotency.claims import ClaimStore, KeyHolder
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.standins.memory_store import MemoryStore

A = KeyHolder("a", 1)
B = KeyHolder("b", 1)


def _store_and_claims():
    clock = ManualClock()
    store = MemoryStore(clock)
    return store, ClaimStore(store, A, clock), ClaimStore(store, B, clock)


def test_every_vm_returns_the_first_claim():
    _, claims_of_a, claims_of_b = _store_and_claims()
    assert claims_of_a.claim("org", "k") == Success(A)
    assert claims_of_b.claim("org", "k") == Success(A)
    assert claims_of_a.claim("org", "k") == Success(A)


def test_same_key_of_two_organisations_is_claimed_separately():
    _, claims_of_a, claims_of_b = _store_and_claims()
    claims_of_a.claim("one", "k")
    assert claims_of_b.claim("two", "k") == Success(B)


def test_claim_is_read_back_after_a_lost_answer():
    store, claims_of_a, claims_of_b = _store_and_claims()
    claims_of_a.claim("org", "warm-up")
    store.lose_answers = 1
    assert claims_of_a.claim("org", "k") == Success(A)
    assert claims_of_b.claim("org", "k") == Success(A)


def test_claim_is_refused_during_an_outage():
    store, claims_of_a, _ = _store_and_claims()
    store.outage = True
    refusal = claims_of_a.claim("org", "k").failure()
    assert refusal.kind == "idempotency-store-unavailable"
    assert refusal.retry_after
