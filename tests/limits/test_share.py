from lagoonlatch.limits import BucketSpec, Share
from lagoonlatch.limits.share import WEIGHT_DELAY, DelayedShares

EVEN = BucketSpec("tested", 10.0, 10, {"a": 1.0, "b": 1.0})
ALL_A = BucketSpec("tested", 10.0, 10, {"a": 1.0})


def test_rate_and_burst_change_at_once():
    shares = DelayedShares(EVEN)
    shares.update(BucketSpec("tested", 20.0, 40, EVEN.weight_by_scope), 0.0)
    assert shares.share_of("a") == Share(10.0, 20.0)
    shares.update(EVEN, 1.0)
    assert shares.share_of("a") == Share(5.0, 5.0)


def test_lost_weight_applies_at_once_and_gained_weight_after_the_delay():
    shares = DelayedShares(EVEN)
    shares.update(ALL_A, 0.0)
    assert shares.share_of("b") == Share(0.0, 0.0)
    assert shares.share_of("a") == Share(5.0, 5.0)
    shares.update(ALL_A, WEIGHT_DELAY - 1.0)
    assert shares.share_of("a") == Share(5.0, 5.0)
    shares.update(ALL_A, WEIGHT_DELAY)
    assert shares.share_of("a") == Share(10.0, 10.0)


def test_restored_weights_wait_for_all_versions_in_between():
    shares = DelayedShares(EVEN)
    change_back = WEIGHT_DELAY - 1.0
    shares.update(ALL_A, 0.0)
    for now in (change_back, WEIGHT_DELAY):
        shares.update(EVEN, now)
        assert shares.share_of("b") == Share(0.0, 0.0)
    shares.update(EVEN, change_back + WEIGHT_DELAY)
    assert shares.share_of("b") == Share(5.0, 5.0)
    assert shares.is_settled()
