"""Which part of a limit a VM may grant."""

from dataclasses import replace

import pytest

from lagoonlatch.membership.rendezvous import ranked
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.rate_authority import (
    DEPUTY_FRACTION,
    MAX_FACTS_AGE,
    SETTLE_TIME,
    UNCERTAIN_FRACTION,
    RateAuthority,
)
from tests.steering.samples import REGION_BY_DATA_CENTRE
from tests.steering.test_homes import make_vm


class View:
    """The authority of the VM of a rank among those of the upstream's data centre."""

    def __init__(self, rank=0, data_centre="n-a"):
        self.clock = ManualClock()
        self.age = 0.0
        self.unknown = frozenset()
        self.is_leaving = False
        names = ranked("u1", [f"vm-{n}" for n in range(5)])
        self.vms = {name: make_vm(name, data_centre) for name in names}
        self.vms["far"] = make_vm("far", "s-a")
        self.own = self.vms[names[rank]]
        self.authority = RateAuthority(
            self.own,
            lambda: self.vms,
            lambda: self.unknown,
            REGION_BY_DATA_CENTRE,
            lambda: self.age,
            lambda: self.is_leaving,
            self.clock,
        )
        self.authority.note_vms_changed()
        self.clock.advance(SETTLE_TIME)

    def fraction(self, data_centre="n-a"):
        return self.authority.fraction("u1", data_centre)


def test_whole_limit_and_parts_stay_within_one_and_a_half():
    assert 1.0 + DEPUTY_FRACTION <= 1.5
    assert 1.0 + UNCERTAIN_FRACTION <= 1.5


def test_first_vm_grants_the_whole_limit_and_the_second_a_part():
    assert [View(rank).fraction() for rank in range(4)] == [
        1.0,
        DEPUTY_FRACTION,
        0.0,
        0.0,
    ]


def test_first_vm_with_old_knowledge_grants_a_part():
    view = View()
    view.age = MAX_FACTS_AGE
    assert view.fraction() == UNCERTAIN_FRACTION
    view = View(rank=1)
    view.age = MAX_FACTS_AGE
    assert view.fraction() == 0.0


def test_new_first_vm_grants_the_whole_limit_only_when_the_others_know_it():
    view = View()
    view.vms[view.own.id] = replace(view.own, run=view.own.run - 1)
    view.authority.note_vms_changed()
    view.clock.advance(SETTLE_TIME)
    assert view.fraction() == UNCERTAIN_FRACTION
    view.vms[view.own.id] = view.own
    view.authority.note_vms_changed()
    assert view.fraction() == UNCERTAIN_FRACTION
    view.clock.advance(SETTLE_TIME)
    assert view.fraction() == 1.0


def test_vm_without_its_entry_grants_a_part():
    view = View()
    del view.vms[view.own.id]
    view.authority.note_vms_changed()
    assert view.fraction() == UNCERTAIN_FRACTION


@pytest.mark.parametrize("count", [10, 77, 195])
def test_vms_that_know_no_other_grant_a_part_together(count):
    """LIMIT: after a restart in an outage each of them is the only VM that it knows."""
    names = frozenset(f"vm-{number}" for number in range(count))
    granted = 0.0
    for _ in names:
        view = View()
        view.vms = {}
        view.unknown = names - {view.own.id}
        view.authority.note_vms_changed()
        granted += view.fraction()
    assert granted == pytest.approx(UNCERTAIN_FRACTION)


def test_second_vm_takes_over_when_the_entry_of_the_first_is_gone():
    view = View(rank=1)
    del view.vms[next(name for name in view.vms if name != view.own.id)]
    view.authority.note_vms_changed()
    assert view.fraction() == 1.0


def test_leaving_vm_grants_nothing():
    view = View()
    view.is_leaving = True
    assert view.fraction() == 0.0


def test_upstream_whose_region_has_no_vm_has_a_home_elsewhere():
    view = View()
    order = ranked("u1", view.vms)
    rank = order.index(view.own.id)
    assert view.fraction("m-a") == (1.0, DEPUTY_FRACTION, 0.0)[min(rank, 2)]
