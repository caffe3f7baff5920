"""A short seeded run, and the seeds that once found something."""

import pytest

from tests.soak.run import play

SEEDS = {
    1: "the first seed; overlapping changes of the store's entries",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults(seed):
    verdict = play(seed, duration=8_000.0)
    assert not verdict.problems
    assert verdict.served > 100


def test_a_known_fault_is_found():
    """The oracle itself: a VM that ends without answering is noticed."""
    verdict = play(3, 6_000.0, planted="cut_at_stop", kinds=("vm_stop",))
    assert verdict.problems
