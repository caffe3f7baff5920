"""A short seeded run, and the seeds that once found something."""

import pytest

from tests.soak.run import play

SEEDS = {
    1: "overlapping changes of the store's entries",
    101: "callers in the queue of a leaving VM were reset at its end (also 103, 203)",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults(seed):
    verdict = play(seed, duration=10_000.0)
    assert not verdict.problems
    assert verdict.served > 100


def test_a_known_fault_is_found():
    """The oracle itself: a VM that ends without answering is noticed."""
    verdict = play(3, 6_000.0, planted="cut_at_stop", kinds=("vm_stop",))
    assert verdict.problems
