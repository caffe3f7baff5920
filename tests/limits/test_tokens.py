import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.limits import BucketSpec, Share
from lagoonlatch.limits.tokens import TOKEN_QUANTUM, floor_tokens, split_tokens

weights = st.dictionaries(
    st.sampled_from("abcdefg"), st.floats(0.0, 10.0), min_size=1
).filter(lambda found: sum(found.values()) > 0.1)


@settings(derandomize=True)
@given(amount=st.floats(0.0, 1e6), weight_by_scope=weights)
def test_parts_add_up_exactly(amount, weight_by_scope):
    parts = split_tokens(amount, weight_by_scope)
    assert sum(parts.values()) == floor_tokens(amount)
    assert all(part >= 0.0 for part in parts.values())
    assert all(part % TOKEN_QUANTUM == 0.0 for part in parts.values())


def test_whole_amounts_have_whole_parts():
    assert sorted(split_tokens(5, dict.fromkeys("abc", 1.0)).values()) == [1, 2, 2]
    assert split_tokens(5, {"a": 1.0, "b": 0.0}) == {"a": 5.0, "b": 0.0}


def test_shares_of_a_small_burst_add_up_to_the_whole_rate():
    for burst in (0.5, 1, 2, 5, 100):
        spec = BucketSpec.spread("tested", 6.0, burst, "abc")
        shares = [spec.share_of(scope) for scope in "abc"]
        assert sum(share.rate for share in shares) == pytest.approx(6.0)
        assert sum(share.burst for share in shares) == burst


def test_scope_without_weight_gets_nothing():
    spec = BucketSpec("tested", 6.0, 2.5, {"a": 0.0, "b": 1.0})
    assert spec.share_of("a") == Share(0.0, 0.0)


def test_remaining_tokens_go_to_different_regions():
    holders = {
        scope
        for number in range(20)
        for scope in "abc"
        if BucketSpec.spread(f"{number}", 1.0, 1, "abc").share_of(scope).burst
    }
    assert holders == set("abc")
