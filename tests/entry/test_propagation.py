"""Propagation of store changes through a fleet, simulated in virtual time.

The simulated links have a bandwidth, a delay and a queue, datagrams are lost and VMs
are cut off. Each VM runs the real replica, propagator and catch-up client.
"""

import heapq
import itertools
import random
import statistics
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.entry import propagation
from lagoonlatch.entry.catch_up import (
    QUERY_INTERVAL,
    CatchUpClient,
    CatchUpServer,
    _apply_answer,
)
from lagoonlatch.entry.codec import encode_behind
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.peers import MAX_DATAGRAM_BYTES, _decode_tell
from lagoonlatch.entry.propagation import ChangePropagator
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.model import VmRecord
from tests.entry.test_catch_up import FakeSync
from tests.entry.test_facts import upstream
from tests.entry.test_replica import batch, configuration_change, removed
from tests.steering.samples import make_upstream_table

REGIONS = ("north", "centre", "south")
FAR_DELAY_MS = 20.0
NEAR_DELAY_MS = 1.4
LINK_BYTES_PER_MS = 10_000_000 / 8 / MILLIS_PER_SECOND
"""Bandwidth of 10 Mbit/s, which most VMs of the large fleets have."""

MAX_QUEUE_DELAY_MS = 500.0
"""A link drops packets that would wait longer in its queue."""

HEARTBEAT_INTERVAL_MS = 250.0
PROTOCOL = TCompactProtocolAcceleratedFactory()


def make_config(version, organisations=81):
    """Return a configuration of typical size, about 18 KB."""
    generator = random.Random(1)
    resources = [
        {
            "resource_kind": "tenants",
            "metadata": {"name": f"o-{number}"},
            "spec": {
                "api_keys": [f"{generator.getrandbits(80):x}" for _ in range(3)],
                "rate_per_s": generator.randrange(1, 400),
                "burst": generator.randrange(1, 400),
                "home_regions": [],
            },
        }
        for number in range(organisations)
    ]
    resources[version % organisations]["spec"]["api_keys"].pop()
    return msgspec.json.encode({"version": f"r{version}", "resources": resources})


class Member:
    """One VM of the fleet."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.region = REGIONS[number % len(REGIONS)]
        self.record = VmRecord(
            id=f"vm-{number}",
            data_centre=self.region,
            caller_address="",
            peer_address=f"vm-{number}:1",
            run=1,
            is_ready=True,
        )
        self.is_cut_off = False
        self.link_free_at = 0.0
        self.sent = Counter()
        self.bytes = Counter()
        self.known_at = {}
        self.knowledge_by_peer = {}
        self.start()

    @property
    def near(self):
        return tuple(
            m.record for m in self.fleet.members_by_region[self.region] if m is not self
        )

    def ready(self):
        return [m.record for m in self.fleet.members if m is not self]

    def ready_far_by_region(self):
        return {
            region: [m.record for m in members]
            for region, members in self.fleet.members_by_region.items()
            if region != self.region
        }

    def start(self):
        """Start with a snapshot of the store, as a new process does."""
        clock = self.fleet.clock
        facts = Facts(make_upstream_table(clock), clock)
        self.facts = facts
        self.replica = StoreReplica(facts, clock)
        self.replica.apply_snapshot(self.fleet.entries, self.fleet.first_revision)
        self.knowledge_by_peer = {}
        self.propagator = ChangePropagator(
            self.replica, self, self.send_all, lambda: self.note_behind()
        )
        self.client = CatchUpClient(
            self.replica, FakeSync(), self.addresses, self.ahead, self.ask, clock
        )
        self.client.call = self.call
        self.client_is_running = False

    def note_behind(self):
        if not self.client_is_running:
            self.client_is_running = True
            self.run_client()

    def run_client(self):
        self.client._check()
        self.client_is_running = self.client._behind_since is not None
        if self.client_is_running:
            self.fleet.schedule(QUERY_INTERVAL, self.run_client)

    def addresses(self):
        return [vm.id for vm in self.near]

    def ahead(self, knowledge):
        found = [
            vm
            for vm, reported in self.knowledge_by_peer.items()
            if knowledge.lacks(reported)
        ]
        near = {vm.id for vm in self.near}
        return sorted(found, key=lambda vm: vm not in near)

    def send_all(self, vms, datagram):
        for vm in vms:
            self.fleet.send(self, vm.id, datagram)

    def ask(self, peer, datagram):
        self.fleet.send(self, peer, datagram)

    def call(self, peer):
        """Read by a call; the answer comes after the connection's round trips."""
        other = self.fleet.members_by_id[peer]
        if self.is_cut_off or other.is_cut_off:
            return
        behind = encode_behind(self.replica)

        def send_answer():
            found = CatchUpServer(other.replica).read_since(
                behind.revision, behind.configuration, behind.era, behind.version
            )
            size = len(serialize(found, PROTOCOL))
            self.fleet.carry(
                other, self, size, lambda: self.apply_call_answer(found, peer)
            )

        self.fleet.schedule(4 * self.fleet.delay(self, other), send_answer)

    def apply_call_answer(self, found, peer):
        _apply_answer(found, self.replica, peer)
        self.record_revisions()

    def receive(self, sender, datagram):
        if datagram.batch is not None:
            self.propagator.handle_batch(datagram.batch, datagram.spread)
        if datagram.patch is not None:
            self.propagator.handle_patch(datagram.patch, datagram.spread)
        if datagram.behind is not None:
            for answer in self.propagator.answer(datagram.behind):
                self.fleet.send(self, sender.record.id, answer)
        if datagram.large is not None:
            self.call(sender.record.id)
        if datagram.tell is not None:
            reported = _decode_tell(datagram.tell).knowledge
            self.knowledge_by_peer[sender.record.id] = reported
            if self.replica.knowledge.lacks(reported):
                self.note_behind()
        self.record_revisions()

    def record_revisions(self):
        now = self.fleet.clock.now()
        self.known_at.setdefault(("era", self.replica.era), now)
        self.known_at.setdefault(("revision", self.replica.revision), now)
        self.known_at.setdefault(
            ("configuration", self.replica.configuration_version), now
        )


class Network:
    """A fleet whose VMs are connected by simulated links."""

    def __init__(self, count, seed=0, loss=0.0):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.loss = loss
        self._tasks = []
        self._numbers = itertools.count()
        self.first_revision = 10
        self.entries = [
            Entry("op/config", make_config(3), 8),
            Entry("servers/i-1", upstream(), 9),
        ]
        self.members_by_region = {region: [] for region in REGIONS}
        self.members = []
        self.members = [Member(self, number) for number in range(count)]
        for member in self.members:
            self.members_by_region[member.region].append(member)
        self.members_by_id = {member.record.id: member for member in self.members}

    def schedule(self, delay, task):
        heapq.heappush(
            self._tasks, (self.clock.now() + delay, next(self._numbers), task)
        )

    def run(self, duration):
        end = self.clock.now() + duration
        while self._tasks and self._tasks[0][0] <= end:
            at, _, task = heapq.heappop(self._tasks)
            self.clock.advance(max(at - self.clock.now(), 0.0))
            task()
        self.clock.advance(max(end - self.clock.now(), 0.0))

    def delay(self, one, other):
        return NEAR_DELAY_MS if one.region == other.region else FAR_DELAY_MS

    def send(self, sender, vm, datagram):
        data = serialize(datagram, PROTOCOL)
        assert len(data) <= MAX_DATAGRAM_BYTES
        receiver = self.members_by_id[vm]
        sender.sent["datagrams"] += 1
        sender.sent["bytes"] += len(data)
        if sender.link_free_at - self.clock.now() > MAX_QUEUE_DELAY_MS:
            return
        if self.random.random() < self.loss:
            return
        found = deserialize(wire.Datagram(), data, PROTOCOL)
        self.carry(sender, receiver, len(data), lambda: receiver.receive(sender, found))

    def carry(self, sender, receiver, size, task):
        now = self.clock.now()
        sender.link_free_at = max(sender.link_free_at, now) + size / LINK_BYTES_PER_MS

        def arrive():
            if not (sender.is_cut_off or receiver.is_cut_off):
                task()

        self.schedule(sender.link_free_at - now + self.delay(sender, receiver), arrive)

    def send_heartbeats(self):
        """Send each VM's revisions to up to four others of its region, repeatedly."""
        for member in self.members:
            tell = wire.Tell(
                vm=member.record.id,
                run=1,
                leaving=False,
                revision=member.replica.revision,
                configuration=member.replica.configuration_revision,
                era=member.replica.era,
                version=member.replica.configuration_version,
                standing=0,
                interval=250,
            )
            near = [vm.id for vm in member.near]
            recipients = self.random.sample(near, min(4, len(near)))
            for vm in recipients:
                self.send(member, vm, wire.Datagram(tell=tell))
        self.schedule(HEARTBEAT_INTERVAL_MS, self.send_heartbeats)

    def watchers(self):
        """Return two VMs of each region."""
        return [m for members in self.members_by_region.values() for m in members[:2]]

    def change(self, store_changes, watchers=None):
        """Deliver changes of the store to `watchers`."""
        self.started = self.clock.now()
        for watcher in watchers if watchers is not None else self.watchers():
            if not watcher.is_cut_off:
                watcher.replica.apply_batch(store_changes)
                watcher.record_revisions()
                watcher.propagator.propagate(store_changes)

    def propagation_delays(self, name):
        """Return the median and longest delay until all reachable VMs knew."""
        start = self.started
        times = [m.known_at.get(name) for m in self.members if not m.is_cut_off]
        assert None not in times, f"{times.count(None)} of {len(times)} don't know"
        return statistics.median(times) - start, max(times) - start


@pytest.fixture(autouse=True)
def make_network(monkeypatch):
    """Return a factory of networks, and run delayed tasks on the newest one's clock."""
    networks = []

    def spawn_later(seconds, task):
        networks[-1].schedule(seconds * MILLIS_PER_SECOND, task)

    monkeypatch.setattr(propagation.gevent, "spawn_later", spawn_later)

    def make(*args, **options):
        networks.append(Network(*args, **options))
        return networks[-1]

    return make


MAX_MEDIAN_DELAY_MS = 500.0
MAX_DELAY_MS_BY_COUNT = {10: 1_200.0, 77: 1_200.0, 195: 1_500.0}
"""Issue 24: limits of the delay from the first VM to the median and to the last one."""


def change_configurations(network, versions=4):
    """Change the configuration repeatedly, then remove an upstream."""
    revision = 10
    for version in range(4, 4 + versions):
        store_changes = batch(
            revision,
            revision + 1,
            configuration_change(make_config(version), revision + 1),
        )
        network.change(store_changes)
        revision += 1
    network.change(batch(revision, revision + 1, removed("i-1", revision + 1)))
    return revision


@pytest.mark.parametrize("count", MAX_DELAY_MS_BY_COUNT)
@pytest.mark.parametrize("loss", [0.0, 0.03])
def test_all_vms_learn_of_configurations_and_a_removal_in_time(
    count, loss, make_network
):
    """Load: four configurations of 81 organisations at once, links of 10 Mbit/s."""
    network = make_network(count, loss=loss)
    network.send_heartbeats()
    last = change_configurations(network)
    network.run(4_000.0)
    median, worst = network.propagation_delays(("configuration", 7))
    assert median <= MAX_MEDIAN_DELAY_MS
    assert worst <= MAX_DELAY_MS_BY_COUNT[count]
    median, worst = network.propagation_delays(("revision", last + 1))
    assert median <= MAX_MEDIAN_DELAY_MS
    assert worst <= MAX_DELAY_MS_BY_COUNT[count]
    assert {m.facts.rules.version for m in network.members} == {7}


@pytest.mark.parametrize("count", [77, 195])
def test_cutting_off_a_third_of_the_vms_delays_the_others_little(count, make_network):
    """DRAIN: one watcher of each region is cut off, and a third of all VMs."""
    network = make_network(count, loss=0.01)
    network.send_heartbeats()
    for members in network.members_by_region.values():
        for member in members[::3]:
            member.is_cut_off = True
    last = change_configurations(network)
    network.run(4_000.0)
    _, worst = network.propagation_delays(("revision", last + 1))
    assert worst <= MAX_DELAY_MS_BY_COUNT[count]
    _, worst = network.propagation_delays(("configuration", 7))
    assert worst <= MAX_DELAY_MS_BY_COUNT[count]
    for member in network.members:
        member.is_cut_off = False
    network.run(3_000.0)
    assert {m.replica.revision for m in network.members} == {last + 1}
    assert {m.facts.rules.version for m in network.members} == {7}


def test_a_region_without_working_watchers_gets_changes_from_others(make_network):
    network = make_network(77)
    connected = [m for m in network.watchers() if m.region != "south"]
    store_changes = batch(
        10, 12, configuration_change(make_config(4), 11), removed("i-1", 12)
    )
    network.change(store_changes, connected)
    network.run(1_000.0)
    _, worst = network.propagation_delays(("revision", 12))
    assert worst <= 500.0
    _, worst = network.propagation_delays(("configuration", 4))
    assert worst <= 500.0


MAX_BYTES_PER_CHANGE = 60_000
MAX_DATAGRAMS_PER_CHANGE = 100
"""Limits of what the busiest VM sends for one change in a fleet of any size; the bytes
take 50 ms on a link of 10 Mbit/s."""


@pytest.mark.parametrize("count", [10, 77, 195, 1_000])
def test_the_traffic_of_a_vm_per_change_is_bounded(count, make_network):
    network = make_network(count)
    network.change(
        batch(10, 12, configuration_change(make_config(4), 11), removed("i-1", 12))
    )
    network.run(1_000.0)
    network.propagation_delays(("configuration", 4))
    assert max(m.sent["bytes"] for m in network.members) <= MAX_BYTES_PER_CHANGE
    assert max(m.sent["datagrams"] for m in network.members) <= MAX_DATAGRAMS_PER_CHANGE


def test_a_large_configuration_change_reaches_a_large_fleet(make_network):
    """Load: a configuration change that takes many datagrams, with 195 VMs."""
    network = make_network(195)
    network.send_heartbeats()
    generator = random.Random(3)
    document = msgspec.json.decode(make_config(4))
    document["resources"] += [
        {
            "resource_kind": "routes",
            "metadata": {"name": f"r-{generator.getrandbits(64):x}"},
            "spec": {
                "host": f"{generator.getrandbits(64):x}.example",
                "path_prefix": f"/{generator.getrandbits(64):x}/",
                "kind": "safe",
                "timeout_s": 4,
                "service": "ledger",
            },
        }
        for _ in range(1_400)
    ]
    network.change(
        batch(10, 11, configuration_change(msgspec.json.encode(document), 11))
    )
    network.run(6_000.0)
    _, worst = network.propagation_delays(("configuration", 4))
    assert worst <= 4_000.0


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["config", "leave", "cut", "heal", "restart", "wait", "return"]
        ),
        st.integers(0, 29),
    ),
    min_size=4,
    max_size=25,
)


@settings(max_examples=40, deadline=None, print_blob=True)
@given(actions=ACTIONS, seed=st.integers(0, 2**16))
def test_connected_vms_get_all_changes_and_never_revert_any(actions, seed):
    network = Network(30, seed=seed, loss=0.05)
    original = propagation.gevent.spawn_later
    propagation.gevent.spawn_later = lambda s, task: network.schedule(s * 1e3, task)
    try:
        network.send_heartbeats()
        run_actions(network, actions)
    finally:
        propagation.gevent.spawn_later = original


def run_actions(network, actions):
    revision, version = 10, 3
    is_registered = True
    highest = dict.fromkeys(network.members, (0, 0))
    for action, number in actions:
        member = network.members[number]
        if action == "config":
            version += 1
            store_changes = batch(
                revision,
                revision + 1,
                configuration_change(make_config(version), revision + 1),
            )
            config_revision = revision = revision + 1
            network.entries[0] = Entry(
                "op/config", make_config(version), config_revision
            )
            network.change(store_changes)
        elif action == "leave":
            revision += 1
            change = Change(
                "servers/i-1", None if is_registered else upstream(), revision
            )
            is_registered = not is_registered
            network.entries[1:] = (
                [Entry("servers/i-1", upstream(), revision)] if is_registered else []
            )
            network.change(batch(revision - 1, revision, change))
        elif action in ("cut", "heal"):
            member.is_cut_off = action == "cut"
        elif action == "restart":
            network.first_revision = revision
            member.start()
            highest[member] = (0, 0)
        else:
            network.run(number * 20.0)
        for m in network.members:
            known = (m.replica.revision, m.facts.rules.version)
            assert known[0] >= highest[m][0] and known[1] >= highest[m][1]
            highest[m] = known
    for m in network.members:
        m.is_cut_off = False
    if not any(m.replica.revision == revision for m in network.members):
        network.members[0].replica.apply_snapshot(network.entries, revision)
    network.run(3_000.0)
    assert {m.replica.revision for m in network.members} == {revision}
    assert {m.facts.rules.version for m in network.members} == {version}
    names = [
        {u.record.id for u in m.facts.fleet.usable("ledger")} for m in network.members
    ]
    assert all(n == ({"i-1"} if is_registered else set()) for n in names)
