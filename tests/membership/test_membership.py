import random

import pytest

from lagoonlatch.clock import Stamp
from lagoonlatch.events import EventKind
from lagoonlatch.membership import LoadSummary
from lagoonlatch.platform.store import VmState
from tests.membership.network import (
    PORT,
    REGIONS,
    Network,
    VmStatus,
    alive_ids,
    fleet,
    statuses,
)

SETTLED = 8
# A heartbeat of two rounds missed, the answer to another missed, then up to three
# hops: between watchers, to the watchers of other data centres, to their VMs.
DETECTED = 8

DATA_CENTRES = [f"{region}-{n}" for region in REGIONS for n in (1, 2)]


@pytest.fixture
def network():
    return Network()


def everyone_sees(network, expected):
    return all(alive_ids(vm) == expected for vm in network.vms_by_id.values())


def silences(network):
    return sum(
        event.kind is EventKind.PEER_SILENT
        for vm in network.vms_by_id.values()
        for event in vm.event_log.since(Stamp(0, 0))
    )


@pytest.mark.parametrize("vms_per_data_centre", [1, 2, 7])
def test_all_vms_come_to_know_each_other(network, vms_per_data_centre):
    fleet(network, vms_per_data_centre)
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_dead_vm_falls_silent_everywhere(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.stop("norte-1-2")
    network.rounds(DETECTED)
    assert everyone_sees(network, set(network.vms_by_id))
    assert set(statuses(network, "norte-1-2").values()) == {VmStatus.SILENT}


def test_both_watchers_killed_at_once_leave_the_others_known(network):
    fleet(network, 6)
    network.rounds(SETTLED)
    killed = network.vms_by_id["sul-1-1"].watchers("norte-1")
    for vm in killed:
        network.stop(vm)
    others = set(network.vms_by_id)
    for _ in range(20):
        network.rounds(1)
        for vm in network.vms_by_id.values():
            assert others <= alive_ids(vm)
    assert everyone_sees(network, others)


def test_restart_with_the_same_address_is_a_new_incarnation(network):
    fleet(network)
    network.rounds(SETTLED)
    old = network.stop("norte-1-1").member
    new = network.start("norte-1-1", old.address, "norte-1", "norte").member
    network.rounds(SETTLED)
    for vm in network.vms_by_id.values():
        assert vm.incarnation_of("norte-1-1") == new.incarnation
        assert vm.record_at(old.address).incarnation == new.incarnation


def test_new_vm_at_an_old_address_replaces_the_old_vm(network):
    fleet(network)
    network.rounds(SETTLED)
    address = network.stop("norte-1-1").member.address
    network.start("norte-1-9", address, "norte-1", "norte")
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))
    assert network.vms_by_id["sul-1-1"].record_at(address).id == "norte-1-9"


def test_old_incarnation_that_wakes_is_told_and_ignored(network):
    told = []
    fleet(network)
    network.start(
        "old", "10.1.1.9", "norte-1", "norte", superseded=lambda: told.append(1)
    )
    network.rounds(SETTLED)
    old = network.stop("old")
    new = network.start("old", "10.1.1.9", "norte-1", "norte")
    network.rounds(SETTLED)
    for greenlet in old.round():
        greenlet.join()
    network.rounds(2)
    assert told
    assert network.vms_by_id["sul-2-1"].incarnation_of("old") == new.member.incarnation


def test_leaving_is_heard_everywhere_and_keeps_no_watcher(network):
    fleet(network, 4)
    network.rounds(SETTLED)
    leaver = network.vms_by_id["norte-1-1"].watchers("norte-1")[0]
    network.vms_by_id[leaver].leave()
    network.rounds(4)
    for vm in network.vms_by_id.values():
        assert vm.record(leaver).leaving
        assert leaver not in vm.watchers("norte-1")


def test_platform_says_leaving_before_the_vm_does(network):
    fleet(network)
    network.rounds(SETTLED)
    network.list_vm(network.vms_by_id["norte-1-1"].member, VmState.LEAVING)
    network.rounds(SETTLED)
    assert network.vms_by_id["sul-1-1"].record("norte-1-1").leaving


def test_cut_regions_lose_each_other_and_find_each_other_again(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.cut("norte", "sul")
    network.rounds(2 * DETECTED)
    assert not alive_ids(network.vms_by_id["norte-1-1"], region="sul")
    assert len(alive_ids(network.vms_by_id["centro-1-1"], region="sul")) == 6
    assert len(alive_ids(network.vms_by_id["norte-1-1"], region="norte")) == 6
    network.heal()
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_cut_within_a_region(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.cut("norte-1", "norte-2")
    network.rounds(2 * DETECTED)
    assert not alive_ids(network.vms_by_id["norte-1-1"], data_centre="norte-2")
    assert len(alive_ids(network.vms_by_id["sul-1-2"], region="norte")) == 6


def test_vms_the_list_misses_are_heard(network):
    fleet(network)
    network.start("sul-1-8", "10.3.1.8", "sul-1", "sul", listed=False)
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_vms_the_list_still_names_are_not_alive(network):
    fleet(network)
    gone = network.stop("sul-1-1").member
    network.rounds(2 * DETECTED)
    assert gone.vm in network.vm_list.vms_by_id
    assert everyone_sees(network, set(network.vms_by_id))


def test_start_from_a_seed_while_the_list_is_out(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.vm_list.out = True
    network.start(
        "norte-2-7", "10.1.2.7", "norte-2", "norte", seeds=(("10.3.1.1", PORT),)
    )
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_list_out_and_vm_replaced_at_once(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.vm_list.out = True
    address = network.stop("norte-1-1").member.address
    network.start("norte-1-9", address, "norte-1", "norte", seeds=(("10.2.1.2", PORT),))
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


@pytest.mark.parametrize("vm", [f"{d}-{n}" for d in DATA_CENTRES for n in (1, 2)])
def test_replaced_vm_hears_of_vms_that_its_predecessor_had_heard_of(network, vm):
    """A heartbeat for the earlier run, with changes only, may come first."""
    fleet(network)
    network.rounds(SETTLED)
    network.vm_list.out = True
    network.vm_list.vms_by_id.clear()
    old = network.stop(vm).member
    seed = next(iter(network.vms_by_id.values())).member
    network.start(
        vm, old.address, old.data_centre, old.region, seeds=((seed.address, PORT),)
    )
    network.rounds(1, skip=set(network.vms_by_id) - {vm, seed.vm})
    network.rounds(DETECTED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_paused_vm_suspects_nobody_when_it_wakes(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.rounds(60, skip=("norte-1-1",))
    paused = network.vms_by_id["norte-1-1"]
    before = len(paused.event_log.since(Stamp(0, 0)))
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))
    woken = paused.event_log.since(Stamp(0, 0))[before:]
    assert not [event for event in woken if event.kind is EventKind.PEER_SILENT]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_loss_of_a_tenth_of_the_messages_brings_no_storm(network, seed):
    fleet(network, 4)
    network.rounds(SETTLED)
    before = silences(network)
    lottery = random.Random(seed)
    network.lost = lambda source, target: lottery.random() < 0.1
    network.rounds(100)
    # A request or its answer is lost in 19 of 100 tries, and each is tried twice.
    assert silences(network) - before <= len(network.vms_by_id)
    network.lost = lambda source, target: False
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_newer_configuration_is_announced_until_all_have_it(network):
    held = {}

    def options(vm):
        def heard(version, record):
            held[vm] = version

        return {
            "config_version": lambda: held.get(vm, 1),
            "heard_config_version": heard,
        }

    for region, r in (("norte", 1), ("sul", 3)):
        for n in range(1, 6):
            vm = f"{region}-1-{n}"
            network.start(vm, f"10.{r}.1.{n}", f"{region}-1", region, **options(vm))
    network.rounds(SETTLED)
    held["norte-1-3"] = 2
    network.rounds(6)
    assert set(held) == set(network.vms_by_id)
    assert set(held.values()) == {2}


def test_exchanges_of_a_vm_do_not_grow_with_its_data_centre(network):
    fleet(network, 20)
    network.rounds(SETTLED)
    before = network.exchanges
    network.rounds(10)
    watchers, others = 6 * 2, 6 * 18
    of_watchers = 1 + 1 + 4
    assert network.exchanges - before <= 10 * (others + watchers * of_watchers)


def test_list_is_read_by_watchers_mostly(network):
    fleet(network, 10)
    network.rounds(SETTLED)
    before = network.vm_list.reads
    network.rounds(60)
    watchers, others = 6 * 2, 6 * 8
    assert network.vm_list.reads - before <= watchers * 60 / 5 + others


def test_loads_are_summed_up_and_reach_every_vm(network):
    def loads_of(data_centre):
        return lambda: (
            LoadSummary(
                service_id="ledger",
                data_centre=data_centre,
                slots=9,
                in_flight=2,
                queued=1,
                latency=20.0,
            ),
        )

    for r, region in enumerate(("norte", "sul"), start=1):
        for n in range(1, 5):
            network.start(
                f"{region}-1-{n}",
                f"10.{r}.1.{n}",
                f"{region}-1",
                region,
                loads=loads_of(f"{region}-1"),
            )
    network.rounds(2 * SETTLED)
    for vm in network.vms_by_id.values():
        found = {load.data_centre: load for load in vm.loads()}
        assert set(found) == {"norte-1", "sul-1"}
        for load in found.values():
            assert (load.slots, load.in_flight, load.queued) == (36, 8, 4)
            assert load.latency == 20.0


def test_heartbeats_leave_out_what_the_receiver_knows(network):
    fleet(network)
    network.rounds(SETTLED)
    sent = []
    vm = network.vms_by_id["norte-1-1"]
    answer = vm.answer
    vm.answer = lambda heartbeat: sent.append(heartbeat) or answer(heartbeat)
    network.rounds(2)
    assert sent
    assert not any(heartbeat.member.address for heartbeat in sent)
    assert not any(heartbeat.members for heartbeat in sent)


def test_vm_that_forgot_a_sender_is_told_who_it_is(network):
    fleet(network)
    network.rounds(SETTLED)
    old = network.stop("norte-1-1").member
    network.vm_list.out = True
    network.start("norte-1-1", old.address, "norte-1", "norte")
    network.rounds(SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_newer_ownership_is_announced_once(network):
    held = {}
    calls = []

    def options(vm):
        def heard(scope, revision, record):
            calls.append(vm)
            held[vm] = {**held[vm], scope: revision}

        held[vm] = {"norte": 1, "sul": 1}
        return {
            "ownership_revisions": lambda: held[vm],
            "heard_ownership_revision": heard,
        }

    for region, r in (("norte", 1), ("sul", 3)):
        for n in range(1, 4):
            vm = f"{region}-1-{n}"
            network.start(vm, f"10.{r}.1.{n}", f"{region}-1", region, **options(vm))
    network.rounds(SETTLED)
    held["norte-1-3"] = {"norte": 2, "sul": 1}
    network.rounds(8)
    assert all(revisions == {"norte": 2, "sul": 1} for revisions in held.values())
    assert sorted(calls) == sorted(set(held) - {"norte-1-3"})


def test_vm_forgotten_during_a_long_cut_is_not_alive_afterwards(network):
    fleet(network, 2)
    network.rounds(SETTLED)
    network.cut("norte", "sul")
    dead = network.stop("norte-1-1").member.vm
    del network.vm_list.vms_by_id[dead]
    # Its own region forgets it; the other side still holds that it was alive.
    network.rounds(650)
    assert network.vms_by_id["norte-1-2"].record(dead) is None
    network.heal()
    network.rounds(2 * SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


def test_vm_replaced_during_a_cut_is_not_alive_afterwards(network):
    fleet(network, 3)
    network.rounds(SETTLED)
    network.cut("norte", "sul")
    network.cut("centro", "sul")
    address = network.stop("norte-1-1").member.address
    network.start("norte-1-9", address, "norte-1", "norte")
    network.rounds(SETTLED)
    network.stop("norte-1-9")
    network.heal()
    network.rounds(3 * SETTLED)
    assert everyone_sees(network, set(network.vms_by_id))


@pytest.mark.parametrize(("first", "second"), [("norte", "sul"), ("sul", "norte")])
def test_connections_that_come_through_one_way_only_bring_no_silence(
    network, first, second
):
    fleet(network, 3)
    network.rounds(SETTLED)
    before = silences(network)
    network.refused = lambda source, target: (
        source.region == first and target.region == second
    )
    network.rounds(40)
    assert silences(network) == before
    assert everyone_sees(network, set(network.vms_by_id))
