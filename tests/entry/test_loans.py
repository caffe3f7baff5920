"""Borrowing by a VM that holds no part, as its waiting requests see it."""

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


class Vm:
    """The one of five VMs that holds no part, beside the four that do."""

    def __init__(self):
        clock = Clock()
        self.tokens_by_vm = {}
        self.asked = []
        self.holders = make_holders("vm-0").holders_of("dojo")
        (me,) = set(REGION_BY_VM) - set(self.holders)
        holders = make_holders(me)
        lenders = Lenders(holders, lambda _: True, clock)
        self.allowances = Allowances(holders.share, True, clock)
        self.allowances.configure({"dojo": make_organisation(rate=10.0, burst=10.0)})
        self.borrower = Borrower(
            me, self.allowances, holders, lenders, self.send_loan_request, clock
        )

    def send_loan_request(self, vm, ask):
        self.asked.append((vm, ask.tokens))
        lent = min(self.tokens_by_vm.get(vm, 0), ask.tokens)
        gevent.spawn(self.borrower.handle_loan, ask.number, lent)

    def request(self):
        if self.allowances.consume("dojo") is None:
            return True
        found = self.borrower.borrow("dojo")
        return found and self.allowances.consume_counted("dojo") is None


def test_one_holder_after_the_other_is_asked_until_one_lends():
    vm = Vm()
    vm.tokens_by_vm = {vm.holders[-1]: 1}
    assert vm.request()
    asked = [name for name, _ in vm.asked]
    assert len(set(asked)) == len(asked)
    assert asked[-1] == vm.holders[-1]


def test_without_any_token_all_holders_of_the_region_have_been_asked_once():
    vm = Vm()
    assert not vm.request()
    assert sorted(name for name, _ in vm.asked) == sorted(vm.holders)


def test_requests_that_wait_together_ask_for_as_many_tokens():
    vm = Vm()
    vm.tokens_by_vm = dict.fromkeys(vm.holders, 100)
    waiting = [gevent.spawn(vm.request) for _ in range(5)]
    assert all(done.get() for done in gevent.joinall(waiting))
    assert sum(tokens for _, tokens in vm.asked) >= 5
    assert len(vm.asked) <= 5
