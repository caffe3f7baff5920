from collections import Counter

import pytest

from lagoonlatch.steering.splits import Splitter
from tests.steering.samples import make_route


@pytest.mark.parametrize("weights", [(90, 10), (1, 1), (70, 20, 10), (5, 0)])
def test_services_get_requests_exactly_by_weight(weights):
    route = make_route(parts=[(f"s{i}", w) for i, w in enumerate(weights)])
    splitter = Splitter()
    counts = Counter(splitter.choose(route) for _ in range(sum(weights) * 10))
    assert [counts[f"s{i}"] for i in range(len(weights))] == [w * 10 for w in weights]


def test_changed_weights_apply_at_once():
    splitter = Splitter()
    for _ in range(37):
        splitter.choose(make_route(parts=[("a", 90), ("b", 10)]))
    changed = make_route(parts=[("a", 10), ("b", 90)])
    counts = Counter(splitter.choose(changed) for _ in range(100))
    assert counts["b"] >= 88
