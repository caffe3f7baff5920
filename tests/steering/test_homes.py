"""Tests of the choice of an upstream's home VM."""

from collections import Counter

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.homes import EXCLUSION_TIME, SlotHomes
from lagoonlatch.steering.model import VmRecord
from tests.steering.samples import REGION_BY_DATA_CENTRE


def make_vm(name, data_centre):
    return VmRecord(
        id=name,
        data_centre=data_centre,
        caller_address="10.0.0.1:80",
        peer_address="10.0.0.1:81",
        run=1,
        is_ready=True,
    )


def make_homes(vms, clock=None):
    homes = SlotHomes(lambda: vms, REGION_BY_DATA_CENTRE, clock or ManualClock())
    homes.refresh()
    return homes


VMS = [make_vm(f"vm-{place}-{n}", place) for place in ("n-a", "n-b") for n in range(4)]


def test_all_vms_choose_the_same_home_in_the_upstreams_data_centre():
    views = [make_homes(VMS), make_homes(VMS)]
    for number in range(40):
        first, second = (homes.home_of(f"u{number}", "n-a") for homes in views)
        assert first is second
        assert first.data_centre == "n-a"


def test_homes_are_distributed_over_the_vms():
    homes = make_homes(VMS)
    count_by_vm = Counter(homes.home_of(f"u{n}", "n-a").id for n in range(400))
    assert len(count_by_vm) == 4
    assert max(count_by_vm.values()) < 2 * min(count_by_vm.values())


def test_home_is_in_the_region_if_the_data_centre_has_no_vms():
    homes = make_homes([vm for vm in VMS if vm.data_centre == "n-b"])
    assert homes.home_of("u1", "n-a").data_centre == "n-b"
    assert homes.home_of("u1", "s-a") is None


def test_only_upstreams_of_a_vm_that_left_change_their_home():
    left_vm = VMS[0]
    before = make_homes(VMS)
    after = make_homes(VMS[1:])
    for number in range(100):
        name = f"u{number}"
        if before.home_of(name, "n-a") is not left_vm:
            assert after.home_of(name, "n-a") is before.home_of(name, "n-a")


@pytest.mark.parametrize("sends_message", [True, False])
def test_unreachable_vm_is_excluded_until_it_sends_a_message(sends_message):
    clock = ManualClock()
    homes = make_homes(VMS, clock)
    unreachable_vm = homes.home_of("u1", "n-a")
    homes.mark_unreachable(unreachable_vm.id)
    assert homes.home_of("u1", "n-a") is not unreachable_vm
    if sends_message:
        homes.mark_reachable(unreachable_vm.id)
    else:
        clock.advance(EXCLUSION_TIME)
        homes.refresh()
    assert homes.home_of("u1", "n-a") is unreachable_vm
