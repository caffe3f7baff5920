"""Whom a VM asks for tokens, played against holders that have some or none."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.lenders import LEFT_AGE, Lenders

REGION_BY_VM = {f"{region}-{n}": region for region in "nms" for n in range(30)}


class World:
    """A VM of the north that holds no part."""

    def __init__(self):
        self.clock = ManualClock()
        self.gone = set()
        self.holders = Holders("n-0", "n")
        self.holders.set_vms(REGION_BY_VM)
        self.organisation = next(
            f"dojo-{number}"
            for number in range(100)
            if not self.holders.share(f"dojo-{number}").is_holder
        )
        self.near = self.holders.near(self.organisation)
        self.others = self.holders.others(self.organisation)
        self.lenders = Lenders(self.holders, lambda vm: vm not in self.gone, self.clock)

    def choose(self, wanted=1, tried=()):
        return self.lenders.choose(self.organisation, wanted, tried)

    def note_lendable(self, vm, tokens):
        self.lenders.note_lendable(vm, self.organisation, tokens)


def test_nearby_holders_are_asked_first_and_all_others_after_them():
    world = World()
    asked = []
    while (vm := world.choose(tried=asked)) is not None:
        asked.append(vm)
    assert set(asked[: len(world.near)]) == set(world.near)
    assert set(asked) == set(world.others)


def test_one_that_is_known_to_have_enough_is_asked_first():
    world = World()
    world.note_lendable(world.near[-1], 3)
    assert {world.choose(wanted=3) for _ in range(20)} == {world.near[-1]}
    assert world.choose(wanted=4) != world.near[-1]


def test_one_that_has_told_that_it_has_none_is_left_alone_for_a_moment():
    world = World()
    for vm in world.others:
        world.note_lendable(vm, 0)
    assert world.choose() is None
    world.clock.advance(LEFT_AGE)
    assert world.choose() in world.near


def test_what_it_was_asked_for_is_not_asked_for_again():
    world = World()
    for vm in world.others:
        world.note_lendable(vm, 0)
    world.note_lendable(world.near[0], 2)
    world.lenders.note_asked(world.near[0], world.organisation, 2)
    assert world.choose() is None


@pytest.mark.parametrize("count", [1, 2])
def test_holders_that_are_gone_are_passed_over(count):
    world = World()
    world.gone = set(world.near[:count])
    assert world.choose() not in world.gone
