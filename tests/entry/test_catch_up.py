"""What a VM does that is behind the others."""

import pytest
import zstandard
from returns.result import Failure, Success

from lagoonlatch.entry import catch_up
from lagoonlatch.entry.catch_up import (
    ASKED_AT_ONCE,
    CALL_EVERY,
    CALLS_AT_ONCE,
    LOOK_INTERVAL,
    ROUND,
    CatchUpClient,
    CatchUpServer,
)
from lagoonlatch.entry.codec import encode_batch
from lagoonlatch.entry.generated import ttypes as wire
from tests.entry.test_facts import config
from tests.entry.test_replica import Vm, added, batch, removed, written


class Sync:
    def __init__(self):
        self.is_failing = False
        self.is_gathering = False

    def failing_for(self):
        return 0.0


class Asker:
    """A reader whose questions are answered by `answer`, a function of the address."""

    def __init__(self, vm, ahead, answer=lambda peer: None):
        self.vm = vm
        self.asked = []
        self.called = []
        self._answer = answer
        self.reader = CatchUpClient(
            vm.replica,
            Sync(),
            lambda: ahead,
            lambda *_known: ahead,
            self._ask,
            vm.clock,
        )
        self.reader.call = self.called.append

    def _ask(self, peer, _datagram):
        self.asked.append(peer)
        self._answer(peer)

    def look_until(self, condition, most=20):
        for number in range(most):
            self.reader._look()
            if condition():
                return number * ROUND
            self.vm.clock.advance(ROUND)
        return None


def test_a_vm_that_is_behind_takes_what_it_misses_from_one_that_is_not():
    vm = Vm()
    catch_up = batch(10, 12, removed("i-1", 12))
    asker = Asker(vm, ["a"], lambda _peer: vm.replica.apply_batch(catch_up))
    took = asker.look_until(lambda: vm.replica.revision == 12)
    assert took <= ROUND
    assert vm.upstream_ids() == set()


def test_two_are_asked_at_once_and_then_others():
    """Load: the VMs that are ahead have just been cut off, others are ahead too."""
    asker = Asker(Vm(), ["a", "b", "c", "d"])
    asker.look_until(lambda: len(asker.asked) >= 4)
    assert set(asker.asked[:ASKED_AT_ONCE]) != set(asker.asked[ASKED_AT_ONCE:])
    assert set(asker.asked) == {"a", "b", "c", "d"}


def test_a_third_of_the_vms_cut_off_costs_three_rounds_at_most():
    """Load: 25 VMs are ahead, of which 8 are cut off and not yet known to be."""
    for _ in range(200):
        vm = Vm()
        ahead = [f"vm-{number}" for number in range(25)]
        cut = set(ahead[::3])
        catch_up = batch(10, 12, removed("i-1", 12))

        def answer(peer, vm=vm, cut=cut, catch_up=catch_up):
            if peer not in cut:
                vm.replica.apply_batch(catch_up)

        asker = Asker(vm, ahead, answer)
        assert asker.look_until(lambda vm=vm: vm.replica.revision == 12) <= 3 * ROUND


def test_questions_that_bring_nothing_are_followed_by_a_call():
    asker = Asker(Vm(), ["a", "b", "c"])
    asker.look_until(lambda: len(asker.asked) >= ASKED_AT_ONCE * CALL_EVERY)
    assert len(asker.called) == 1


def test_a_configuration_that_is_only_known_to_exist_is_asked_for():
    """Load: the patch was lost, and nobody has told a later revision yet."""
    vm = Vm()
    vm.replica.apply_batch(batch(10, 12, configuration=11))
    asker = Asker(vm, ["a"])
    reader = CatchUpClient(
        vm.replica, Sync(), lambda: ["a"], lambda *_known: [], asker._ask, vm.clock
    )
    reader._look()
    vm.clock.advance(LOOK_INTERVAL)
    reader._look()
    assert asker.asked == ["a"]


def test_a_watching_vm_asks_for_a_configuration_that_its_watch_will_not_bring():
    """CONFIG: its reading had advanced by what others passed on, without the patch."""
    vm = Vm()
    vm.replica.apply_batch(batch(10, 12, configuration=11))
    asker = Asker(vm, ["a"])
    asker.reader._sync.is_gathering = True
    asker.look_until(lambda: asker.asked)
    assert asker.asked == ["a"]


def test_calls_under_way_are_bounded(monkeypatch):
    spawned = []
    monkeypatch.setattr(catch_up.gevent, "spawn", lambda *call: spawned.append(call))
    vm = Vm()
    reader = CatchUpClient(vm.replica, Sync(), list, list, print, vm.clock)
    for peer in ("a", "a", "b", "c", "d"):
        reader.call(peer)
    assert len(spawned) == CALLS_AT_ONCE


def read(server_vm, vm, monkeypatch):
    """Let `vm` read from `server_vm` by a call."""
    server = CatchUpServer(server_vm.replica)
    monkeypatch.setattr(
        catch_up,
        "_read_since",
        lambda _peer, *known: Success(server.read_since(*known)),
    )
    CatchUpClient(vm.replica, Sync(), list, list, print, vm.clock)._call("a")


def test_a_call_brings_changes_and_the_configuration(monkeypatch):
    ahead, vm = Vm(), Vm()
    ahead.replica.apply_batch(batch(10, 12, written(config(4), 11), removed("i-1", 12)))
    read(ahead, vm, monkeypatch)
    assert (vm.replica.revision, vm.facts.rules.version) == (12, 4)
    assert vm.upstream_ids() == set()


def test_a_call_brings_all_to_a_vm_that_missed_too_much(monkeypatch):
    ahead, vm = Vm(), Vm()
    ahead.replica.apply_batch(batch(10, 12, written(config(4), 11), added("i-2", 12)))
    ahead.replica.apply_snapshot(ahead.replica.entries(), 20)
    read(ahead, vm, monkeypatch)
    assert (vm.replica.revision, vm.facts.rules.version) == (20, 4)
    assert vm.upstream_ids() == {"i-1", "i-2"}


ODD = {
    "bytes that are no snapshot": wire.Reading(snapshot=b"x"),
    "a snapshot of nothing": wire.Reading(
        snapshot=zstandard.ZstdCompressor().compress(b"\0")
    ),
    "a snapshot without end": wire.Reading(
        snapshot=zstandard.ZstdCompressor().compress(b"\0" * 40_000_000)
    ),
}


@pytest.mark.parametrize("name", ODD)
def test_an_answer_that_makes_no_sense_is_passed_over(name, monkeypatch):
    vm = Vm()
    monkeypatch.setattr(catch_up, "_read_since", lambda *_call: Success(ODD[name]))
    CatchUpClient(vm.replica, Sync(), list, list, print, vm.clock)._call("a")
    assert vm.replica.revision == 10


def test_a_vm_that_does_not_answer_a_call_may_be_called_again(monkeypatch):
    vm = Vm()
    monkeypatch.setattr(catch_up, "_read_since", lambda *_call: Failure("no answer"))
    reader = CatchUpClient(vm.replica, Sync(), list, list, print, vm.clock)
    reader._called.add("a")
    reader._call("a")
    assert reader._called == set()


def test_a_call_answers_a_vm_that_knows_all_with_nothing():
    vm = Vm()
    answer = CatchUpServer(vm.replica).read_since(10, 8)
    assert answer == wire.Reading()
    assert encode_batch(vm.replica.batch_since(10)).changes == []
