"""Test that a VM handles valid and invalid datagrams."""

import os
import random
from dataclasses import replace

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lagoonlatch.entry import peers
from lagoonlatch.entry.codec import encode_batch, encode_behind, encode_patch
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.peers import PeerLink
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.crashes import Crash, CrashQuarantine
from lagoonlatch.steering.demand import (
    MAX_REPORTED_DEMAND,
    DemandMeter,
    DemandTable,
    encode_demand,
)
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.peers import PeerTable
from lagoonlatch.steering.watchers import Standing
from tests.entry.test_replica import Vm, added, batch, removed
from tests.entry.test_slots import Network
from tests.steering.samples import make_record
from tests.steering.test_homes import make_vm

SOURCE = ("127.0.0.1", 9)
PROTOCOL = TCompactProtocolAcceleratedFactory()


class NoNeighbours:
    """Neighbours of a VM that is alone."""

    near = far = ()

    def all(self):
        return list(self.near)

    def ready(self):
        return list(self.near)

    def ready_far_by_region(self):
        return {}

    def forget(self):
        pass


class OneNearNeighbour(NoNeighbours):
    """Neighbours of a VM with one other VM in its region."""

    near = (make_vm("vm-1", "n-a"),)


REGION_BY_VM = {"vm-0": "north", "vm-1": "north", "vm-9": "south"}


def make_link(neighbours=None, replica=None):
    clock = ManualClock()
    neighbours = neighbours or NoNeighbours()
    demand_table = DemandTable(
        "north",
        DemandMeter("north", clock),
        REGION_BY_VM.get,
        lambda: [vm.id for vm in neighbours.near],
        clock,
    )
    holders = Holders("vm-0", "north")
    return PeerLink(
        make_vm("vm-0", "n-a"),
        neighbours,
        lambda: False,
        lambda: Standing.LISTENS,
        replica or Vm().replica,
        holders,
        Allowances(holders.share, True, clock),
        CrashQuarantine(clock),
        Network().vm_by_id["vm-0"],
        lambda: None,
        lambda _peer: None,
        lambda *_left: None,
        OutageDetector(lambda: None, clock),
        PeerTable(clock),
        demand_table,
        clock,
    )


def encode(datagram):
    return serialize(datagram, PROTOCOL)


MALFORMED_DATAGRAMS = {
    "an unknown standing": wire.Datagram(
        tell=wire.Tell(vm="v", run=1, leaving=False, standing=99, interval=1)
    ),
    "a store that answers in the future": wire.Datagram(
        tell=wire.Tell(vm="v", run=1, leaving=False, interval=1, store_age=-(2**31))
    ),
    "a tell without fields": wire.Datagram(tell=wire.Tell()),
    "an ask without tokens": wire.Datagram(ask=wire.Ask(organisation="o")),
    "a loan without tokens": wire.Datagram(loan=wire.Loan(number=1)),
    "a batch without changes": wire.Datagram(batch=wire.Batch(since=1, until=2, era=0)),
    "a suspect without deaths": wire.Datagram(suspect=wire.Suspect(fingerprint="f")),
    "a crash without ages": wire.Datagram(
        suspect=wire.Suspect("f", 1, 1.0, crashes=[wire.Crash(upstream="u1")])
    ),
    "a claim without a count": wire.Datagram(claim=wire.Claim(vm="v", upstream="u1")),
    "counts of nothing": wire.Datagram(counts=wire.Counts(vm="v")),
    "room without an upstream": wire.Datagram(room=wire.Room()),
    "a patch without pieces": wire.Datagram(
        patch=wire.Patch(revision=1, data=b"x", version=9)
    ),
    "a patch with too many pieces": wire.Datagram(
        patch=wire.Patch(1, 0, b"x", b"", piece=0, pieces=2**31 - 1, version=9)
    ),
    "a patch with invalid data": wire.Datagram(
        patch=wire.Patch(99, 0, b"x", b"", piece=0, pieces=1, version=99)
    ),
    "a behind without revisions": wire.Datagram(behind=wire.Behind()),
    "a large without a revision": wire.Datagram(large=wire.Large()),
    "a left upstream without a run": wire.Datagram(left=wire.Left(upstream="i-1")),
    "a spread alone": wire.Datagram(spread=wire.Spread()),
    "no field": wire.Datagram(),
}


@pytest.mark.parametrize("name", MALFORMED_DATAGRAMS)
def test_malformed_datagram_does_not_raise(name):
    """Guard against an error that ends the receiving task, and with it the VM."""
    make_link().handle(encode(MALFORMED_DATAGRAMS[name]), SOURCE)


def test_invalid_bytes_are_logged_and_ignored(monkeypatch):
    events = []
    monkeypatch.setattr(peers, "emit", events.append)
    link = make_link()
    generator = random.Random(7)
    valid = [encode(datagram) for datagram in MALFORMED_DATAGRAMS.values()]
    for _ in range(500):
        data = bytearray(generator.choice(valid) or b"\0")
        for _ in range(generator.randint(1, 4)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        link.handle(bytes(data[: generator.randint(0, len(data))]), SOURCE)
        link.handle(os.urandom(generator.randint(0, 40)), SOURCE)
    assert events


class CapturingNeighbours(NoNeighbours):
    """One other VM, whose datagrams are kept instead of sent."""

    def all(self):
        return [make_vm("vm-1", "n-a")]


def report_suspect(link, fingerprint):
    """Return the bytes of the report that a VM sends."""
    sent = []
    link._send_bytes = lambda data, _address: sent.append(data)
    link.report_suspect(fingerprint)
    (data,) = sent
    return data


def add_crash(link, upstream, fingerprint="f"):
    sent_at = link._clock.now()
    link._clock.advance(10.0)
    crash = Crash(
        upstream=upstream, born=7.0, sent_at=sent_at, ended_at=link._clock.now()
    )
    link._quarantine.add(fingerprint, [crash])


def test_reported_crash_counts_once_however_often_it_is_reported():
    """Each VM that noticed a crash reports it."""
    links = [make_link(CapturingNeighbours()) for _ in range(3)]
    for link in links:
        add_crash(link, "u1")
    for link in links:
        for other in links:
            other.handle(report_suspect(link, "f"), SOURCE)
    assert [link._quarantine.count("f") for link in links] == [1, 1, 1]


def test_crashes_that_several_vms_report_add_up():
    here, there = make_link(CapturingNeighbours()), make_link(CapturingNeighbours())
    for number in range(3):
        add_crash(there, f"u{number}")
    here._clock.advance(5_000.0)
    here.handle(report_suspect(there, "f"), SOURCE)
    assert here._quarantine.refused_for("f") == there._quarantine.refused_for("f") > 0.0


def test_report_of_a_whole_answer_clears_the_request():
    here, there = make_link(CapturingNeighbours()), make_link(CapturingNeighbours())
    add_crash(here, "u1")
    there._quarantine.clear("f")
    here.handle(report_suspect(there, "f"), SOURCE)
    assert here._quarantine.count("f") == 0


def test_reports_of_an_earlier_build_count_as_one_crash():
    """An earlier build counts one crash once for each request that it ended."""
    link = make_link()
    for deaths in (1, 2, 3, 3):
        report = wire.Suspect(fingerprint="f", deaths=deaths, duration=600_000.0)
        link.handle(encode(wire.Datagram(suspect=report)), SOURCE)
        link._clock.advance(10.0)
    assert link._quarantine.count("f") == 1


def test_each_kind_of_datagram_has_a_handler():
    fields = {spec[2] for spec in wire.Datagram.thrift_spec if spec is not None}
    assert set(peers._HANDLER_BY_KIND) | {"spread"} == fields


def test_changes_in_several_datagrams_reach_the_region_without_a_query(monkeypatch):
    """DRAIN: VMs learned only by queries that an upstream was leaving."""
    watcher, listener = Vm(), Vm()
    sent = []
    link = make_link(OneNearNeighbour(), watcher.replica)
    monkeypatch.setattr(link, "_send_bytes", lambda data, _address: sent.append(data))
    changes = batch(
        10, 111, *(added(f"i-{n}", n) for n in range(11, 111)), removed("i-1", 111)
    )
    watcher.replica.apply_batch(changes)
    link.changes.propagate(changes)
    assert all(len(data) <= peers.MAX_DATAGRAM_BYTES for data in sent)
    receiver = make_link(replica=listener.replica)
    for data in reversed(sent):
        receiver.handle(data, SOURCE)
    assert listener.replica.revision == 111
    assert "i-1" not in listener.upstream_ids()


def strip_era(datagram):
    """Return a datagram as a VM of a build without eras would send it."""
    for message in (datagram.tell, datagram.batch, datagram.behind, datagram.patch):
        for name in ("era", "version", "base_version"):
            if hasattr(message, name):
                setattr(message, name, None)
    return datagram


def make_store_datagrams():
    """Return one datagram of each kind that speaks of the store."""
    replica = Vm().replica
    replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    tell = wire.Tell(
        vm="vm-1",
        run=1,
        leaving=False,
        revision=99,
        standing=int(Standing.WATCHES),
        interval=250,
        configuration=90,
        era=0,
        version=3,
    )
    patch = next(encode_patch(replica.versions.patch_from(0)))
    return {
        "tell": wire.Datagram(tell=tell),
        "batch": wire.Datagram(batch=encode_batch(replica.batch_since(10))),
        "behind": wire.Datagram(behind=encode_behind(Vm().replica)),
        "patch": wire.Datagram(patch=patch),
    }


@pytest.mark.parametrize("kind", ["tell", "batch", "behind", "patch"])
def test_datagrams_of_builds_without_eras_are_not_rejected(kind, monkeypatch):
    events = []
    monkeypatch.setattr(peers, "emit", events.append)
    vm = Vm()
    link = make_link(OneNearNeighbour(), vm.replica)
    link.handle(encode(strip_era(make_store_datagrams()[kind])), SOURCE)
    assert not events
    assert vm.replica.revision == 10
    assert link._peer_table.standing_by_vm().get("vm-1") is not Standing.WATCHES


@pytest.mark.parametrize("kind", ["tell", "batch", "behind", "patch"])
def test_builds_without_eras_find_all_fields_that_they_use(kind):
    datagram = strip_era(make_store_datagrams()[kind])
    message = getattr(datagram, kind)
    optional = {"era", "version", "base_version", "store_age", "demand"}
    missing = {name for name, value in vars(message).items() if value is None}
    assert missing <= optional


def test_a_vm_of_a_build_without_eras_gets_the_changes_that_it_lacks():
    vm = Vm()
    vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    query = wire.Behind(revision=10, configuration=8)
    (answer,) = make_link(replica=vm.replica).changes.answer(query)
    assert (answer.batch.since, answer.batch.until) == (10, 12)


def test_leaving_upstream_is_reported_to_vms_of_the_region(monkeypatch):
    link, sent, reports = make_link(OneNearNeighbour()), [], []
    monkeypatch.setattr(link, "_send_bytes", lambda data, _address: sent.append(data))
    link.report_leaving_upstream(make_record("i-1", born=7.0))
    receiver = make_link()
    monkeypatch.setattr(
        receiver, "_on_upstream_leaving", lambda *left: reports.append(left)
    )
    receiver.handle(sent[0], SOURCE)
    assert reports == [("i-1", 7.0, "vm-0")]


def make_tell(vm, demand):
    tell = wire.Tell(vm=vm, run=1, leaving=False, interval=250, demand=demand)
    return wire.Datagram(tell=tell)


class NearAndFarNeighbours(OneNearNeighbour):
    """One other VM in each of two regions."""

    far = (replace(make_vm("vm-9", "s-a"), peer_address="10.0.0.9:1"),)


def test_near_vms_get_the_own_demand_and_far_vms_that_of_the_region(monkeypatch):
    link, sent = make_link(NearAndFarNeighbours()), []
    monkeypatch.setattr(link, "_send_bytes", lambda data, _address: sent.append(data))
    for vm, demand in [
        ("vm-1", {"ledger": 250, "odd": -5}),
        ("vm-9", {"ledger": 2**31 - 1}),
        ("vm-9", None),
        ("stranger", {"ledger": 900}),
    ]:
        link.handle(encode(make_tell(vm, demand)), SOURCE)
    link._round = 0
    link.send_heartbeats()
    link._clock.advance(1_000.0)
    link._round = 0
    link.send_heartbeats()
    tells = [deserialize(wire.Datagram(), data, PROTOCOL).tell for data in sent]
    first, extrapolated, own, total = (tell.demand for tell in tells)
    assert (first, extrapolated) == (None, {"ledger": 500})
    assert (own, total) == ({}, {"ledger": 250})
    far_demand = link._demand_table.demand_by_region("ledger")["south"]
    assert far_demand == MAX_REPORTED_DEMAND


def test_builds_without_demand_read_the_largest_heartbeat(monkeypatch):
    demand = encode_demand({f"{n:03}{'x' * 200}": 1e9 for n in range(40)})
    data = encode(make_tell("vm-1", demand).tell)
    assert len(data) < peers.MAX_DATAGRAM_BYTES / 2
    monkeypatch.setattr(wire.Tell, "thrift_spec", wire.Tell.thrift_spec[:13])
    tell = deserialize(wire.Tell(), data, PROTOCOL)
    assert (tell.vm, tell.interval, tell.demand) == ("vm-1", 250, None)
