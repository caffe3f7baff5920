"""Tests allowances on several VMs: what callers get and what all VMs admit in total."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.allowances import UNUSED_LOAN_LIFETIME, Allowances
from lagoonlatch.steering.holders import Share
from tests.steering.samples import make_organisation


def equal_share_of(count):
    return lambda organisation: Share(1.0 / count, True)


def make_vms(count, clock, rate=100.0, burst=100.0, starts_full=True):
    vms = [Allowances(equal_share_of(count), starts_full, clock) for _ in range(count)]
    for vm in vms:
        vm.configure({"dojo": make_organisation(rate=rate, burst=burst)})
    return vms


def borrow_once(vms, borrower):
    """Let one VM borrow from the VM that can lend the most tokens."""
    shortfall = vms[borrower].shortfall("dojo")
    lenders = [vm for index, vm in enumerate(vms) if index != borrower]
    lender = max(lenders, key=lambda vm: vm.lendable("dojo"))
    vms[borrower].receive_loan("dojo", lender.lend("dojo", shortfall))


def count_admitted_at_one_vm(vms, clock, per_second, seconds, with_lending):
    """Send all requests to the first VM; return the number of admitted requests."""
    admitted = 0
    for _ in range(int(per_second * seconds)):
        clock.advance(1_000.0 / per_second)
        if with_lending:
            borrow_once(vms, 0)
        admitted += vms[0].consume("dojo") is None
    return admitted


def test_callers_of_a_single_vm_get_their_rate_through_loans():
    """All callers use one VM of ten, at 80% of the organisation's rate."""
    clock = ManualClock()
    without_loans = count_admitted_at_one_vm(
        make_vms(10, clock), clock, 80, 10, with_lending=False
    )
    with_loans = count_admitted_at_one_vm(
        make_vms(10, clock), clock, 80, 10, with_lending=True
    )
    assert without_loans < 200
    assert with_loans >= 0.98 * 800


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(
                ["consume", "lend", "lost loan", "wait", "restart", "configure"]
            ),
            st.integers(1, 400),
        ),
        max_size=150,
    )
)
def test_all_vms_together_never_exceed_the_allowance(steps):
    clock = ManualClock()
    rate, burst, count = 40.0, 40.0, 4
    vms = make_vms(count, clock, rate, burst)
    admitted, started, tokens_of_restarts = 0, clock.now(), 0.0
    for index, action, amount in steps:
        if action == "consume":
            admitted += sum(
                vms[index].consume("dojo") is None for _ in range(amount % 30)
            )
        elif action == "lend":
            borrow_once(vms, index)
        elif action == "lost loan":
            vms[index].lend("dojo", amount)
        elif action == "wait":
            clock.advance(amount)
        elif action == "restart":
            vms[index] = Allowances(equal_share_of(count), False, clock)
            vms[index].configure({"dojo": make_organisation(rate=rate, burst=burst)})
            # `INITIAL_REFILL` is 100 ms.
            tokens_of_restarts += rate * 0.1 / count
        else:
            vms[index].configure({"dojo": make_organisation(rate=rate, burst=burst)})
    allowed = burst + rate * (clock.now() - started) / 1_000.0 + tokens_of_restarts
    assert admitted <= allowed + 1e-6


def test_lower_burst_removes_tokens_at_once():
    clock = ManualClock()
    (vm,) = make_vms(1, clock, burst=100.0)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    assert sum(vm.consume("dojo") is None for _ in range(100)) == 10


def test_refusal_returns_the_time_until_the_next_token():
    clock = ManualClock()
    (vm,) = make_vms(1, clock, rate=10.0, burst=1.0)
    assert vm.consume("dojo") is None
    wait = vm.consume("dojo")
    assert wait == 100.0
    clock.advance(wait)
    assert vm.consume("dojo") is None


def test_token_is_refunded_if_the_request_reached_no_upstream():
    (vm,) = make_vms(1, ManualClock(), rate=1.0, burst=1.0)
    assert vm.consume("dojo") is None
    vm.refund("dojo")
    assert vm.consume("dojo") is None


def test_restarted_vm_does_not_start_with_the_whole_burst():
    (vm,) = make_vms(1, ManualClock(), rate=100.0, burst=100.0, starts_full=False)
    # `INITIAL_REFILL` is 100 ms at 100 requests a second.
    assert sum(vm.consume("dojo") is None for _ in range(100)) == 10


def test_all_requests_are_admitted_without_a_limit():
    (vm,) = make_vms(1, ManualClock(), rate=0.0, burst=0.0)
    assert all(vm.consume("dojo") is None for _ in range(1_000))


def test_lender_keeps_tokens_for_its_own_callers():
    clock = ManualClock()
    vms = make_vms(2, clock, rate=100.0, burst=100.0)
    for _ in range(40):
        clock.advance(25.0)
        vms[1].consume("dojo")
    lendable_tokens = vms[1].lendable("dojo")
    vms[1].lend("dojo", 1_000)
    # The VM has at most 50 tokens and keeps those for 200 ms (`LENDER_RESERVE`) of a
    # demand that averages about 25 requests a second.
    assert lendable_tokens <= 45
    assert vms[1].consume("dojo") is None


def admitted_fraction_of_small_allowance(share_of_by_vm, clock, seconds):
    """Send 6 requests a second to 77 VMs in turn; return the admitted fraction."""
    vms = [Allowances(share_of_by_vm(index), True, clock) for index in range(77)]
    for vm in vms:
        vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    admitted = 0
    for number in range(6 * seconds):
        clock.advance(1_000.0 / 6.0)
        vm = vms[number * 31 % 77]
        if vm.consume("dojo") is None:
            admitted += 1
            continue
        lender = max(vms, key=lambda other: other.lendable("dojo"))
        shortfall = vm.shortfall("dojo", waiting=1)
        vm.receive_loan("dojo", lender.lend("dojo", shortfall, to_non_holder=True))
        admitted += vm.consume_counted("dojo") is None
    return admitted / (6 * seconds)


def test_vm_without_a_share_borrows_nothing_ahead_of_rare_requests():
    clock = ManualClock()
    vm = Allowances(lambda organisation: Share(0.25, False), True, clock)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    vm.consume("dojo")
    assert vm.shortfall("dojo", waiting=1) == 1
    vm.receive_loan("dojo", 1)
    assert vm.consume_counted("dojo") is None
    assert vm.shortfall_by_organisation() == {}
    for _ in range(5):
        vm.consume("dojo")
    assert vm.shortfall_by_organisation()


def test_small_allowance_is_available_to_callers_of_many_vms():
    """Callers use 77 VMs in turn, at 60% of a rate of 10 requests a second."""
    with_77_holders = admitted_fraction_of_small_allowance(
        lambda index: equal_share_of(77), ManualClock(), 60
    )
    with_12_holders = admitted_fraction_of_small_allowance(
        lambda index: lambda organisation: Share(1.0 / 12.0, index < 12),
        ManualClock(),
        60,
    )
    assert with_12_holders >= 0.99
    assert with_77_holders < with_12_holders


def test_vm_without_a_share_drops_unused_borrowed_tokens():
    clock = ManualClock()
    vm = Allowances(lambda organisation: Share(0.25, False), True, clock)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    assert vm.consume("dojo") is not None
    vm.receive_loan("dojo", 5)
    assert vm.consume("dojo") is None
    clock.advance(UNUSED_LOAN_LIFETIME + 1.0)
    assert vm.consume("dojo") is not None


def test_holder_borrows_tokens_for_vms_without_a_share():
    """All callers of an organisation use VMs of one region."""
    clock = ManualClock()
    near, far = make_vms(2, clock, rate=100.0, burst=100.0)
    for _ in range(40):
        clock.advance(20.0)
        near.receive_loan("dojo", far.lend("dojo", near.shortfall("dojo")))
        assert near.lend("dojo", 1, to_non_holder=True) == 1
    # Loans between holders do not count as demand of callers.
    assert far.shortfall("dojo") == 0


def test_vm_borrows_a_token_for_each_waiting_request():
    clock = ManualClock()
    vm = Allowances(lambda organisation: Share(0.25, False), True, clock)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    for _ in range(5):
        vm.consume("dojo")
    assert vm.shortfall("dojo", waiting=5) == 5
