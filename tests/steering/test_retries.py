from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.retries import RetryBudget


def make_budget(clock, vms=10):
    return RetryBudget(0.2, 60.0, 10_000.0, lambda: vms, clock)


def test_retries_for_a_failing_service_are_limited():
    """Every request fails, and each VM tries to retry it at once."""
    clock = ManualClock()
    budgets = [make_budget(clock) for _ in range(10)]
    used_retries = 0
    for _ in range(100):
        for budget in budgets:
            clock.advance(10.0)
            budget.note_request("ledger")
            used_retries += budget.consume("ledger")
    assert 0 < used_retries <= 0.2 * 1_000 + 60.0


def test_retries_are_counted_for_each_service():
    # The extra retries of one VM are 60 * 0.8 / 60, less than one.
    budget = make_budget(ManualClock(), vms=60)
    assert not budget.consume("docs")
    for _ in range(10):
        budget.note_request("ledger")
    assert budget.consume("ledger")
    assert not budget.consume("docs")


def test_retries_are_allowed_again_after_the_window():
    clock = ManualClock()
    # The extra retries of one VM are 60 * 0.8 / 24 = 2.
    budget = make_budget(clock, vms=24)
    assert budget.consume("ledger")
    assert budget.consume("ledger")
    assert not budget.consume("ledger")
    clock.advance(10_001.0)
    assert budget.consume("ledger")


def test_retry_that_reached_no_upstream_can_be_used_again():
    clock = ManualClock()
    budget = make_budget(clock)
    while budget.consume("ledger"):
        clock.advance(1.0)
    budget.refund("ledger")
    assert budget.consume("ledger")
    assert not budget.consume("ledger")


def test_refund_after_the_window_changes_nothing():
    """The retry has left the window, and so has its count."""
    clock = ManualClock()
    budget = make_budget(clock)
    assert budget.consume("ledger")
    clock.advance(10_001.0)
    assert budget.consume("docs")
    budget.refund("ledger")
    budget.refund("ledger")
    assert budget.consume("ledger")
