from lagoonlatch.limits.grants import MAX_LEASE_DURATION, GrantRequest, Settlement
from lagoonlatch.limits.leases import HeldLease
from lagoonlatch.limits.pool import MIN_CROSS_REGION_SUBLEASE_DURATION, ShardPool
from lagoonlatch.limits.spec import Share
from lagoonlatch.limits.tokens import TOKEN_QUANTUM

SHARE = Share(rate=10.0, burst=4.0)


def full_pool():
    return ShardPool(SHARE, fill_start=-10_000.0)


def request(request_id, *settlements, wanted=1.0):
    return GrantRequest(
        "tested", "a", wanted, "x", 1, request_id, settlements=settlements
    )


def test_lent_amounts_are_exact():
    pool = full_pool()
    pool.available(0.0)
    reply = pool.lend(request(1), 1.0 / 3.0, 0.0)
    assert reply.granted % TOKEN_QUANTUM == 0.0
    pool.apply_settlements(request(2, Settlement(1, reply.granted)), 1.0)
    assert pool.bucket.outstanding == 0.0


def test_repeated_request_gets_the_first_reply_and_no_more_tokens():
    pool = full_pool()
    pool.available(0.0)
    first = pool.lend(request(1), 1.0, 0.0)
    assert pool.find_reply(request(1)) == first
    assert pool.bucket.level == 3.0


def test_lease_closed_twice_restores_its_tokens_once():
    pool = full_pool()
    pool.available(0.0)
    pool.lend(request(1), 4.0, 0.0)
    closing = Settlement(1, spent=1.0, closed=True)
    for _time in range(2):
        pool.apply_settlements(request(2, closing), 0.0)
    assert pool.bucket.level == 3.0
    assert pool.bucket.outstanding == 0.0


def test_late_settlement_never_lowers_the_spent_tokens():
    pool = full_pool()
    pool.available(0.0)
    pool.lend(request(1), 4.0, 0.0)
    pool.apply_settlements(request(2, Settlement(1, 3.0)), 0.0)
    pool.apply_settlements(request(3, Settlement(1, 2.0)), 0.0)
    assert pool.bucket.outstanding == 1.0


def test_shard_refills_only_tokens_whose_lease_has_certainly_ended():
    pool = full_pool()
    pool.available(0.0)
    pool.lend(request(1), 4.0, 0.0)
    assert pool.available(MAX_LEASE_DURATION) == 0.0
    assert pool.available(2 * MAX_LEASE_DURATION) == 4.0


def test_lease_about_to_end_is_spent_but_not_sublet():
    pool = ShardPool(Share(0.0, 0.0), fill_start=0.0)
    pool.held_leases.add(HeldLease("y", "b", 1, 2.0, ends_at=100.0, used_at=0.0))
    assert pool.available(90.0) == 2.0
    assert pool.lendable(90.0) == 0.0
    assert pool.lendable(10.0) == 2.0
    assert pool.lendable(10.0, MIN_CROSS_REGION_SUBLEASE_DURATION) == 0.0


def test_sublease_ends_with_the_borrowed_lease():
    pool = ShardPool(Share(0.0, 0.0), fill_start=0.0)
    pool.held_leases.add(HeldLease("y", "b", 1, 2.0, ends_at=100.0, used_at=0.0))
    assert pool.lend(request(1), 1.0, now=60.0).duration == 40.0
