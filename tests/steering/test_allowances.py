"""Allowances over several VMs, as callers and the sum of all VMs see them."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.allowances import IDLE, Allowances
from lagoonlatch.steering.holders import Share
from tests.steering.samples import make_organisation


def even(count):
    return lambda organisation: Share(1.0 / count, True)


def make_vms(count, clock, rate=100.0, burst=100.0, starts_full=True):
    vms = [Allowances(even(count), starts_full, clock) for _ in range(count)]
    for vm in vms:
        vm.configure({"dojo": make_organisation(rate=rate, burst=burst)})
    return vms


def lend_once(vms, needy):
    """Let one VM borrow from the one with most to spare."""
    shortfall = vms[needy].shortfall("dojo")
    lenders = [vm for index, vm in enumerate(vms) if index != needy]
    lender = max(lenders, key=lambda vm: vm.lendable("dojo"))
    vms[needy].receive_loan("dojo", lender.lend("dojo", shortfall))


def play_lopsided(vms, clock, per_second, seconds, lends):
    """Send all requests to the first VM; return how many were let through."""
    passed = 0
    for _ in range(int(per_second * seconds)):
        clock.advance(1_000.0 / per_second)
        if lends:
            lend_once(vms, 0)
        passed += vms[0].consume("dojo") is None
    return passed


def test_lopsided_callers_get_their_rate_by_loans():
    """Load: callers of an organisation at 80% of its rate ask one VM of ten."""
    clock = ManualClock()
    alone = play_lopsided(make_vms(10, clock), clock, 80, 10, lends=False)
    with_loans = play_lopsided(make_vms(10, clock), clock, 80, 10, lends=True)
    assert alone < 200
    assert with_loans >= 0.98 * 800


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(["take", "lend", "lost loan", "wait", "restart", "change"]),
            st.integers(1, 400),
        ),
        max_size=150,
    )
)
def test_sum_of_all_vms_never_passes_the_allowance(steps):
    clock = ManualClock()
    rate, burst, count = 40.0, 40.0, 4
    vms = make_vms(count, clock, rate, burst)
    passed, started, refills = 0, clock.now(), 0.0
    for index, action, amount in steps:
        if action == "take":
            passed += sum(
                vms[index].consume("dojo") is None for _ in range(amount % 30)
            )
        elif action == "lend":
            lend_once(vms, index)
        elif action == "lost loan":
            vms[index].lend("dojo", amount)
        elif action == "wait":
            clock.advance(amount)
        elif action == "restart":
            vms[index] = Allowances(even(count), False, clock)
            vms[index].configure({"dojo": make_organisation(rate=rate, burst=burst)})
            refills += rate * 0.1 / count
        else:
            vms[index].configure({"dojo": make_organisation(rate=rate, burst=burst)})
    allowed = burst + rate * (clock.now() - started) / 1_000.0 + refills
    assert passed <= allowed + 1e-6


def test_a_lower_burst_takes_tokens_away_at_once():
    clock = ManualClock()
    (vm,) = make_vms(1, clock, burst=100.0)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    assert sum(vm.consume("dojo") is None for _ in range(100)) == 10


def test_a_refusal_tells_when_the_next_token_comes():
    clock = ManualClock()
    (vm,) = make_vms(1, clock, rate=10.0, burst=1.0)
    assert vm.consume("dojo") is None
    wait = vm.consume("dojo")
    assert wait == 100.0
    clock.advance(wait)
    assert vm.consume("dojo") is None


def test_a_token_of_a_request_that_reached_nobody_comes_back():
    (vm,) = make_vms(1, ManualClock(), rate=1.0, burst=1.0)
    assert vm.consume("dojo") is None
    vm.refund("dojo")
    assert vm.consume("dojo") is None


def test_a_vm_that_restarts_does_not_bring_the_burst_again():
    (vm,) = make_vms(1, ManualClock(), rate=100.0, burst=100.0, starts_full=False)
    assert sum(vm.consume("dojo") is None for _ in range(100)) == 10


def test_without_a_limit_everything_passes():
    (vm,) = make_vms(1, ManualClock(), rate=0.0, burst=0.0)
    assert all(vm.consume("dojo") is None for _ in range(1_000))


def test_a_lender_keeps_what_its_own_callers_need():
    clock = ManualClock()
    vms = make_vms(2, clock, rate=100.0, burst=100.0)
    for _ in range(40):
        clock.advance(25.0)
        vms[1].consume("dojo")
    spare = vms[1].lendable("dojo")
    vms[1].lend("dojo", 1_000)
    assert spare <= 45
    assert vms[1].consume("dojo") is None


def play_small(part_of_vm, clock, seconds):
    """Send 6 requests a second to one of 77 VMs after the other; return the share."""
    vms = [Allowances(part_of_vm(index), True, clock) for index in range(77)]
    for vm in vms:
        vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    passed = 0
    for number in range(6 * seconds):
        clock.advance(1_000.0 / 6.0)
        caller = vms[number * 31 % 77]
        if caller.consume("dojo") is None:
            passed += 1
            continue
        lender = max(vms, key=lambda vm: vm.lendable("dojo"))
        shortfall = caller.shortfall("dojo", waiting=1)
        caller.receive_loan("dojo", lender.lend("dojo", shortfall, for_callers=True))
        passed += caller.consume_counted("dojo") is None
    return passed / (6 * seconds)


def test_nothing_is_borrowed_ahead_for_rare_requests_by_a_vm_without_a_part():
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


def test_a_small_allowance_is_found_by_callers_of_any_of_many_vms():
    """Load: an organisation at 60% of 10 requests a second asks 77 VMs in turn."""
    by_all = play_small(lambda index: even(77), ManualClock(), 60)
    by_few = play_small(
        lambda index: lambda organisation: Share(1.0 / 12.0, index < 12),
        ManualClock(),
        60,
    )
    assert by_few >= 0.99
    assert by_all < by_few


def test_a_vm_that_holds_no_part_drops_what_it_borrowed_and_did_not_use():
    clock = ManualClock()
    vm = Allowances(lambda organisation: Share(0.25, False), True, clock)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    assert vm.consume("dojo") is not None
    vm.receive_loan("dojo", 5)
    assert vm.consume("dojo") is None
    clock.advance(IDLE + 1.0)
    assert vm.consume("dojo") is not None


def test_a_holder_borrows_for_vms_without_a_part_that_ask_it():
    """Load: all callers of an organisation ask VMs of one region."""
    clock = ManualClock()
    near, far = make_vms(2, clock, rate=100.0, burst=100.0)
    for _ in range(40):
        clock.advance(20.0)
        near.receive_loan("dojo", far.lend("dojo", near.shortfall("dojo")))
        assert near.lend("dojo", 1, for_callers=True) == 1
    # What holders lend each other is no demand of callers.
    assert far.shortfall("dojo") == 0


def test_as_many_are_borrowed_as_wait():
    clock = ManualClock()
    vm = Allowances(lambda organisation: Share(0.25, False), True, clock)
    vm.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
    for _ in range(5):
        vm.consume("dojo")
    assert vm.shortfall("dojo", waiting=5) == 5
