"""Tests which VM is asked for tokens when holders have some or none."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.lenders import LENDABLE_MAX_AGE, Lenders

REGION_BY_VM = {f"{region}-{n}": region for region in "nms" for n in range(30)}


class LendersScenario:
    """Lenders as seen by a VM of the region "n" that holds no share."""

    def __init__(self):
        self.clock = ManualClock()
        self.absent = set()
        self.holders = Holders("n-0", "n")
        self.holders.set_vms(REGION_BY_VM)
        self.organisation = next(
            f"dojo-{number}"
            for number in range(100)
            if not self.holders.share(f"dojo-{number}").is_holder
        )
        self.near = self.holders.other_holders_in_region(self.organisation)
        self.others = self.holders.other_holders(self.organisation)
        self.lenders = Lenders(
            self.holders, lambda vm: vm not in self.absent, self.clock
        )

    def choose(self, requested=1, tried=()):
        return self.lenders.choose(self.organisation, requested, tried)

    def note_lendable(self, vm, tokens):
        self.lenders.note_lendable(vm, self.organisation, tokens)


def test_holders_of_the_same_region_are_asked_before_all_others():
    scenario = LendersScenario()
    asked = []
    while (vm := scenario.choose(tried=asked)) is not None:
        asked.append(vm)
    assert set(asked[: len(scenario.near)]) == set(scenario.near)
    assert set(asked) == set(scenario.others)


def test_holder_known_to_have_enough_tokens_is_asked_first():
    scenario = LendersScenario()
    scenario.note_lendable(scenario.near[-1], 3)
    assert {scenario.choose(requested=3) for _ in range(20)} == {scenario.near[-1]}
    assert scenario.choose(requested=4) != scenario.near[-1]


def test_holder_that_reported_no_tokens_is_not_asked_for_some_time():
    scenario = LendersScenario()
    for vm in scenario.others:
        scenario.note_lendable(vm, 0)
    assert scenario.choose() is None
    scenario.clock.advance(LENDABLE_MAX_AGE)
    assert scenario.choose() in scenario.near


def test_requested_tokens_are_subtracted_from_the_reported_ones():
    scenario = LendersScenario()
    for vm in scenario.others:
        scenario.note_lendable(vm, 0)
    scenario.note_lendable(scenario.near[0], 2)
    scenario.lenders.note_asked(scenario.near[0], scenario.organisation, 2)
    assert scenario.choose() is None


@pytest.mark.parametrize("count", [1, 2])
def test_absent_holders_are_skipped(count):
    scenario = LendersScenario()
    scenario.absent = set(scenario.near[:count])
    assert scenario.choose() not in scenario.absent
