from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.retries import RetryBudget


def make_budget(clock, vms=10):
    return RetryBudget(0.2, 60.0, 10_000.0, lambda: vms, clock)


def test_failing_service_gets_no_more_than_its_part_of_repeats():
    """Load: every request fails and each VM would repeat it at once."""
    clock = ManualClock()
    budgets = [make_budget(clock) for _ in range(10)]
    repeats = 0
    for _ in range(100):
        for budget in budgets:
            clock.advance(10.0)
            budget.note_request("ledger")
            repeats += budget.consume("ledger")
    assert 0 < repeats <= 0.2 * 1_000 + 60.0


def test_repeats_of_one_service_leave_another_alone():
    budget = make_budget(ManualClock(), vms=60)
    assert not budget.consume("docs")
    for _ in range(10):
        budget.note_request("ledger")
    assert budget.consume("ledger")
    assert not budget.consume("docs")


def test_the_window_slides():
    clock = ManualClock()
    budget = make_budget(clock, vms=24)
    assert budget.consume("ledger")
    assert budget.consume("ledger")
    assert not budget.consume("ledger")
    clock.advance(10_001.0)
    assert budget.consume("ledger")
