from lagoonlatch.limits.bucket import ShardBucket
from lagoonlatch.limits.lost_refill import MAX_SPANS, LostRefill
from lagoonlatch.limits.spec import Share

RATE = 10.0
"""Tokens a second."""


def test_refill_lost_since_a_time_is_reclaimed_only_once():
    lost = LostRefill()
    lost.add(0.0, 1_000.0)
    assert lost.reclaim(900.0, 5.0, RATE) == 1.0
    assert lost.reclaim(900.0, 5.0, RATE) == 0.0
    assert lost.reclaim(800.0, 0.5, RATE) == 0.5
    assert lost.reclaim(0.0, 100.0, RATE) == 8.5


def test_number_of_recorded_spans_is_bounded():
    lost = LostRefill()
    for index in range(1_000):
        lost.add(index * 10.0, index * 10.0 + 5.0)
    assert len(lost._spans) <= MAX_SPANS


def test_full_bucket_without_lent_tokens_records_no_lost_refill():
    bucket = ShardBucket(Share(RATE, 4.0), fill_start=-10_000.0)
    for millis in range(1_000):
        bucket.refill(float(millis))
    assert bucket._lost._spans == []


def test_late_settlement_of_a_spent_token_loses_no_refill():
    bucket = ShardBucket(Share(RATE, 4.0), fill_start=-10_000.0)
    bucket.refill(0.0)
    bucket.lend(1.0)
    for millis in range(0, 501, 100):
        bucket.refill(float(millis))
    bucket.confirm_spent(1.0, spent_at=10.0)
    assert bucket.level == 4.0
    assert bucket.outstanding == 0.0
