"""Catching up of a VM that lacks changes which other VMs have."""

import itertools
import struct
import tracemalloc

import gevent
import pytest
import zstandard
from gevent import socket
from returns.result import Failure, Success

from lagoonlatch.entry import catch_up
from lagoonlatch.entry.catch_up import (
    CHECK_INTERVAL,
    MAX_CONCURRENT_CALLS,
    QUERIES_PER_ROUND,
    QUERY_INTERVAL,
    ROUNDS_PER_CALL,
    CatchUpClient,
    CatchUpServer,
)
from lagoonlatch.entry.codec import encode_batch
from lagoonlatch.entry.generated import ttypes as wire
from tests.entry.test_facts import config
from tests.entry.test_replica import Vm, added, batch, configuration_change, removed


class FakeSync:
    def __init__(self):
        self.is_failing = False
        self.is_pausing = False

    def failing_for(self):
        return 0.0


class Querier:
    """A client whose queries are passed to `answer`, a function of the address."""

    def __init__(self, vm, ahead, answer=lambda peer: None):
        self.vm = vm
        self.queried = []
        self.called = []
        self._answer = answer
        self.client = CatchUpClient(
            vm.replica,
            FakeSync(),
            lambda: ahead,
            lambda *_known: ahead,
            self._send_query,
            vm.clock,
        )
        self.client.call = self.called.append

    def _send_query(self, peer, _datagram):
        self.queried.append(peer)
        self._answer(peer)

    def run_until(self, condition, max_rounds=20):
        for number in range(max_rounds):
            self.client._check()
            if condition():
                return number * QUERY_INTERVAL
            self.vm.clock.advance(QUERY_INTERVAL)
        return None


def test_a_vm_that_lacks_changes_gets_them_by_a_query():
    vm = Vm()
    catch_up = batch(10, 12, removed("i-1", 12))
    querier = Querier(vm, ["a"], lambda _peer: vm.replica.apply_batch(catch_up))
    elapsed = querier.run_until(lambda: vm.replica.revision == 12)
    assert elapsed <= QUERY_INTERVAL
    assert vm.upstream_ids() == set()


def test_two_vms_are_queried_at_once_and_then_others():
    """Load: some VMs with later changes have just been cut off, but not all of them."""
    querier = Querier(Vm(), ["a", "b", "c", "d"])
    querier.run_until(lambda: len(querier.queried) >= 4)
    assert set(querier.queried[:QUERIES_PER_ROUND]) != set(
        querier.queried[QUERIES_PER_ROUND:]
    )
    assert set(querier.queried) == {"a", "b", "c", "d"}


def test_three_rounds_suffice_if_a_third_of_the_vms_is_cut_off():
    """Load: 25 VMs have later changes; 9 are cut off, which is not yet known."""
    for _ in range(200):
        vm = Vm()
        ahead = [f"vm-{number}" for number in range(25)]
        cut = set(ahead[::3])
        catch_up = batch(10, 12, removed("i-1", 12))

        def answer(peer, vm=vm, cut=cut, catch_up=catch_up):
            if peer not in cut:
                vm.replica.apply_batch(catch_up)

        querier = Querier(vm, ahead, answer)
        assert (
            querier.run_until(lambda vm=vm: vm.replica.revision == 12)
            <= 3 * QUERY_INTERVAL
        )


def test_queries_without_effect_are_followed_by_a_call():
    querier = Querier(Vm(), ["a", "b", "c"])
    querier.run_until(
        lambda: len(querier.queried) >= QUERIES_PER_ROUND * ROUNDS_PER_CALL
    )
    assert len(querier.called) == 1


def test_a_configuration_known_only_by_revision_is_queried():
    """Load: the patch was lost, and no VM has reported a later revision yet."""
    vm = Vm()
    vm.replica.apply_batch(batch(10, 12, configuration_version=4))
    querier = Querier(vm, ["a"])
    client = CatchUpClient(
        vm.replica,
        FakeSync(),
        lambda: ["a"],
        lambda *_known: [],
        querier._send_query,
        vm.clock,
    )
    client._check()
    vm.clock.advance(CHECK_INTERVAL)
    client._check()
    assert querier.queried == ["a"]


def test_a_watching_vm_queries_a_configuration_that_its_watch_missed():
    """CONFIG: changes from other VMs had advanced its replica, but not the patch."""
    vm = Vm()
    vm.replica.apply_batch(batch(10, 12, configuration_version=4))
    querier = Querier(vm, ["a"])
    querier.client._sync.is_pausing = True
    querier.run_until(lambda: querier.queried)
    assert querier.queried == ["a"]


def test_the_number_of_concurrent_calls_is_bounded(monkeypatch):
    spawned = []
    monkeypatch.setattr(catch_up.gevent, "spawn", lambda *call: spawned.append(call))
    vm = Vm()
    client = CatchUpClient(vm.replica, FakeSync(), list, list, print, vm.clock)
    for peer in ("a", "a", "b", "c", "d"):
        client.call(peer)
    assert len(spawned) == MAX_CONCURRENT_CALLS


def call_server(server_vm, vm, monkeypatch):
    """Apply the answer of `server_vm` to a call of `vm`."""
    server = CatchUpServer(server_vm.replica)
    monkeypatch.setattr(
        catch_up,
        "_read_since",
        lambda _peer, behind: Success(
            server.read_since(
                behind.revision, behind.configuration, behind.era, behind.version
            )
        ),
    )
    CatchUpClient(vm.replica, FakeSync(), list, list, print, vm.clock)._call("a")


def test_a_call_returns_changes_and_the_configuration(monkeypatch):
    ahead, vm = Vm(), Vm()
    ahead.replica.apply_batch(
        batch(10, 12, configuration_change(config(4), 11), removed("i-1", 12))
    )
    call_server(ahead, vm, monkeypatch)
    assert (vm.replica.revision, vm.facts.rules.version) == (12, 4)
    assert vm.upstream_ids() == set()


def test_a_call_returns_a_snapshot_to_a_vm_that_lacks_old_changes(monkeypatch):
    ahead, vm = Vm(), Vm()
    ahead.replica.apply_batch(
        batch(10, 12, configuration_change(config(4), 11), added("i-2", 12))
    )
    ahead.replica.apply_snapshot(ahead.replica.entries(), 20)
    call_server(ahead, vm, monkeypatch)
    assert (vm.replica.revision, vm.facts.rules.version) == (20, 4)
    assert vm.upstream_ids() == {"i-1", "i-2"}


MALFORMED_ANSWERS = {
    "bytes that are no snapshot": wire.Reading(snapshot=b"x"),
    "a snapshot of nothing": wire.Reading(
        snapshot=zstandard.ZstdCompressor().compress(b"\0")
    ),
    "a snapshot without end": wire.Reading(
        snapshot=zstandard.ZstdCompressor().compress(b"\0" * 40_000_000)
    ),
}


@pytest.mark.parametrize("name", MALFORMED_ANSWERS)
def test_a_malformed_answer_is_ignored(name, monkeypatch):
    vm = Vm()
    monkeypatch.setattr(
        catch_up, "_read_since", lambda *_call: Success(MALFORMED_ANSWERS[name])
    )
    CatchUpClient(vm.replica, FakeSync(), list, list, print, vm.clock)._call("a")
    assert vm.replica.revision == 10


def test_a_vm_may_be_called_again_after_a_failed_call(monkeypatch):
    vm = Vm()
    monkeypatch.setattr(catch_up, "_read_since", lambda *_call: Failure("no answer"))
    client = CatchUpClient(vm.replica, FakeSync(), list, list, print, vm.clock)
    client._addresses_being_called.add("a")
    client._call("a")
    assert client._addresses_being_called == set()


def test_a_call_of_an_up_to_date_vm_returns_nothing():
    vm = Vm()
    answer = CatchUpServer(vm.replica).read_since(10, 8, 0, 3)
    assert answer == wire.Reading()
    assert encode_batch(vm.replica.batch_since(10)).changes == []


MAX_MEMORY_BYTES = 8 * 1024 * 1024
"""Memory limit; beyond it, memory use counts as growing with the data sent."""


def test_endless_calls_of_other_vms_use_little_memory():
    """Guards against a VM that keeps the bytes of any number of faulty VMs."""
    server = CatchUpServer(Vm().replica).serve("127.0.0.1:0")

    def send():
        with socket.create_connection(("127.0.0.1", server.server_port)) as sock:
            try:
                sock.sendall(struct.pack("!i", 30 * 1024 * 1024))
                for _ in itertools.count():
                    sock.sendall(b"x" * 65_536)
            except OSError:
                # The VM has closed the connection.
                return

    tracemalloc.start()
    senders = [gevent.spawn(send) for _ in range(6)]
    gevent.joinall(senders, timeout=2.0)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    server.stop()
    assert all(sender.ready() for sender in senders)
    assert peak < MAX_MEMORY_BYTES
