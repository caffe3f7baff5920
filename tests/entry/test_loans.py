"""Borrowing of tokens by a VM that has no share of an allowance."""

import gevent

from lagoonlatch.clock import Clock
from lagoonlatch.entry.loans import Borrower
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.lenders import Lenders
from tests.steering.samples import make_organisation

REGION_BY_VM = {f"vm-{number}": "north" for number in range(5)}


def make_holders(me):
    holders = Holders(me, "north")
    holders.set_vms(REGION_BY_VM)
    return holders


class VmWithoutShare:
    """A VM without a share of the allowance, and four VMs with one."""

    def __init__(self):
        clock = Clock()
        self.tokens_by_vm = {}
        self.loan_requests = []
        self.holders = make_holders("vm-0").holders_of("dojo")
        (me,) = set(REGION_BY_VM) - set(self.holders)
        holders = make_holders(me)
        lenders = Lenders(holders, lambda _: True, clock)
        self.allowances = Allowances(holders.share, True, clock)
        self.allowances.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
        self.borrower = Borrower(
            me, self.allowances, holders, lenders, self.send_loan_request, clock
        )

    def send_loan_request(self, vm, loan_request):
        self.loan_requests.append((vm, loan_request.tokens))
        lent = min(self.tokens_by_vm.get(vm, 0), loan_request.tokens)
        gevent.spawn(self.borrower.handle_loan, loan_request.number, lent)

    def consume_token(self):
        if self.allowances.consume("dojo") is None:
            return True
        has_token = self.borrower.borrow("dojo")
        return has_token and self.allowances.consume_counted("dojo") is None


def test_holders_are_asked_in_turn_until_one_lends():
    vm = VmWithoutShare()
    vm.tokens_by_vm = {vm.holders[-1]: 1}
    assert vm.consume_token()
    asked_vms = [name for name, _ in vm.loan_requests]
    assert len(set(asked_vms)) == len(asked_vms)
    assert asked_vms[-1] == vm.holders[-1]


def test_each_holder_of_the_region_is_asked_once_if_none_has_tokens():
    vm = VmWithoutShare()
    assert not vm.consume_token()
    assert sorted(name for name, _ in vm.loan_requests) == sorted(vm.holders)


def test_concurrent_requests_borrow_enough_tokens_together():
    vm = VmWithoutShare()
    vm.tokens_by_vm = dict.fromkeys(vm.holders, 100)
    waiting = [gevent.spawn(vm.consume_token) for _ in range(5)]
    assert all(done.get() for done in gevent.joinall(waiting))
    assert sum(tokens for _, tokens in vm.loan_requests) >= 5
    assert len(vm.loan_requests) <= 5
