"""How a change of the store travels through a fleet, on virtual time.

The network has links of a bandwidth and a delay; datagrams are lost, VMs are cut off
and full links queue. Each VM runs the program's own reading, passing and asking.
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
from lagoonlatch.entry.catch_up import ROUND, CatchUpClient, CatchUpServer, _take
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.peers import MAX_DATAGRAM_BYTES
from lagoonlatch.entry.propagation import ChangePropagator
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.model import VmRecord
from tests.entry.test_catch_up import Sync
from tests.entry.test_facts import upstream
from tests.entry.test_replica import batch, removed, written
from tests.steering.samples import make_upstream_table

REGIONS = ("north", "centre", "south")
FAR_DELAY = 20.0
NEAR_DELAY = 1.4
LINK_BYTES_A_MILLI = 10_000_000 / 8 / MILLIS_PER_SECOND
"""A link of 10 Mbit/s, as most VMs of the large fleets have."""

QUEUE = 500.0
"""A link whose packets would wait so long drops them."""

TELL = 250.0
PROTOCOL = TCompactProtocolAcceleratedFactory()


def make_config(version, organisations=81):
    """Return a configuration of a fleet's usual size, about 18 KB."""
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
        self.is_cut = False
        self.link_free = 0.0
        self.sent = Counter()
        self.bytes = Counter()
        self.known_at = {}
        self.told_by = {}
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
        """Begin with the store's first reading, as at the start of a process."""
        clock = self.fleet.clock
        facts = Facts(make_upstream_table(clock), clock)
        self.facts = facts
        self.replica = StoreReplica(facts, clock)
        self.replica.apply_snapshot(self.fleet.entries, self.fleet.first_revision)
        self.told_by = {}
        self.passer = ChangePropagator(
            self.replica, self, self.send_all, lambda: self.note_behind()
        )
        self.reader = CatchUpClient(
            self.replica, Sync(), self.addresses, self.ahead, self.ask, clock
        )
        self.reader.call = self.call
        self.is_looking = False

    def note_behind(self):
        if not self.is_looking:
            self.is_looking = True
            self.look()

    def look(self):
        self.reader._look()
        self.is_looking = self.reader._behind_since is not None
        if self.is_looking:
            self.fleet.later(ROUND, self.look)

    def addresses(self):
        return [vm.id for vm in self.near]

    def ahead(self, revision, configuration):
        found = [
            vm
            for vm, told in self.told_by.items()
            if told[0] > revision or told[1] > configuration
        ]
        near = {vm.id for vm in self.near}
        return sorted(found, key=lambda vm: vm not in near)

    def send_all(self, vms, datagram):
        for vm in vms:
            self.fleet.send(self, vm.id, datagram)

    def ask(self, peer, datagram):
        self.fleet.send(self, peer, datagram)

    def call(self, peer):
        """Read by a call; the connection's round trips come before the answer."""
        other = self.fleet.members_by_id[peer]
        if self.is_cut or other.is_cut:
            return

        def answer():
            found = CatchUpServer(other.replica).read_since(
                self.replica.revision, self.replica.configuration
            )
            size = len(serialize(found, PROTOCOL))
            self.fleet.carry(other, self, size, lambda: self.took(found))

        self.fleet.later(4 * self.fleet.delay(self, other), answer)

    def took(self, found):
        _take(found, self.replica)
        self.note()

    def receive(self, sender, datagram):
        if datagram.batch is not None:
            self.passer.apply_batch(datagram.batch, datagram.spread)
        if datagram.patch is not None:
            self.passer.apply_patch(datagram.patch, datagram.spread)
        if datagram.behind is not None:
            for answer in self.passer.answer(datagram.behind):
                self.fleet.send(self, sender.record.id, answer)
        if datagram.large is not None:
            self.call(sender.record.id)
        if datagram.tell is not None:
            told = (datagram.tell.revision, datagram.tell.configuration)
            self.told_by[sender.record.id] = told
            known = (self.replica.revision, self.replica.configuration)
            if told[0] > known[0] or told[1] > known[1]:
                self.note_behind()
        self.note()

    def note(self):
        now = self.fleet.clock.now()
        self.known_at.setdefault(("revision", self.replica.revision), now)
        self.known_at.setdefault(("configuration", self.replica.configuration), now)


class Network:
    """A fleet whose VMs reach each other over links."""

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

    def later(self, delay, task):
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
        return NEAR_DELAY if one.region == other.region else FAR_DELAY

    def send(self, sender, vm, datagram):
        data = serialize(datagram, PROTOCOL)
        assert len(data) <= MAX_DATAGRAM_BYTES
        receiver = self.members_by_id[vm]
        sender.sent["datagrams"] += 1
        sender.sent["bytes"] += len(data)
        if sender.link_free - self.clock.now() > QUEUE:
            return
        if self.random.random() < self.loss:
            return
        found = deserialize(wire.Datagram(), data, PROTOCOL)
        self.carry(sender, receiver, len(data), lambda: receiver.receive(sender, found))

    def carry(self, sender, receiver, size, task):
        now = self.clock.now()
        sender.link_free = max(sender.link_free, now) + size / LINK_BYTES_A_MILLI

        def arrive():
            if not (sender.is_cut or receiver.is_cut):
                task()

        self.later(sender.link_free - now + self.delay(sender, receiver), arrive)

    def tell(self):
        """Let every VM tell some others what it knows, as in a round."""
        for member in self.members:
            tell = wire.Tell(
                vm=member.record.id,
                run=1,
                leaving=False,
                revision=member.replica.revision,
                configuration=member.replica.configuration,
                standing=0,
                interval=250,
            )
            near = [vm.id for vm in member.near]
            told = self.random.sample(near, min(4, len(near)))
            for vm in told:
                self.send(member, vm, wire.Datagram(tell=tell))
        self.later(TELL, self.tell)

    def watchers(self):
        """Return two VMs of each region."""
        return [m for members in self.members_by_region.values() for m in members[:2]]

    def change(self, news, watchers=None):
        """Let the store tell `watchers` of changes."""
        self.started = self.clock.now()
        for watcher in watchers if watchers is not None else self.watchers():
            if not watcher.is_cut:
                watcher.replica.apply_batch(news)
                watcher.note()
                watcher.passer.propagate(news)

    def spread_of(self, name):
        """Return the median and the longest time until the VMs not cut off knew."""
        start = self.started
        times = [m.known_at.get(name) for m in self.members if not m.is_cut]
        assert None not in times, f"{times.count(None)} of {len(times)} don't know"
        return statistics.median(times) - start, max(times) - start


@pytest.fixture(autouse=True)
def on_virtual_time(monkeypatch):
    """Let what the passers do later run on the clock of the fleet that plays."""
    playing = []

    def spawn_later(seconds, task):
        playing[-1].later(seconds * MILLIS_PER_SECOND, task)

    monkeypatch.setattr(propagation.gevent, "spawn_later", spawn_later)

    def play(*args, **options):
        playing.append(Network(*args, **options))
        return playing[-1]

    return play


MEDIAN = 500.0
WORST_BY_COUNT = {10: 1_200.0, 77: 1_200.0, 195: 1_500.0}
"""Issue 24: from the first VM to the last, and to the median."""


def storm(network, versions=4):
    """Let configurations come in quick succession, and an upstream leave after them."""
    revision = 10
    for version in range(4, 4 + versions):
        news = batch(
            revision, revision + 1, written(make_config(version), revision + 1)
        )
        network.change(news)
        revision += 1
    network.change(batch(revision, revision + 1, removed("i-1", revision + 1)))
    return revision


@pytest.mark.parametrize("count", WORST_BY_COUNT)
@pytest.mark.parametrize("loss", [0.0, 0.03])
def test_configurations_and_a_leaving_upstream_reach_all_vms_in_time(
    count, loss, on_virtual_time
):
    """Load: four configurations of 81 organisations at once, links of 10 Mbit/s."""
    network = on_virtual_time(count, loss=loss)
    network.tell()
    last = storm(network)
    network.run(4_000.0)
    median, worst = network.spread_of(("configuration", last))
    assert median <= MEDIAN
    assert worst <= WORST_BY_COUNT[count]
    median, worst = network.spread_of(("revision", last + 1))
    assert median <= MEDIAN
    assert worst <= WORST_BY_COUNT[count]
    assert {m.facts.rules.version for m in network.members} == {7}


@pytest.mark.parametrize("count", [77, 195])
def test_a_third_of_the_vms_cut_off_with_their_watchers_delays_the_others_little(
    count, on_virtual_time
):
    """DRAIN: one watcher of each region is cut off, and a third of all VMs."""
    network = on_virtual_time(count, loss=0.01)
    network.tell()
    for members in network.members_by_region.values():
        for member in members[::3]:
            member.is_cut = True
    last = storm(network)
    network.run(4_000.0)
    _, worst = network.spread_of(("revision", last + 1))
    assert worst <= WORST_BY_COUNT[count]
    _, worst = network.spread_of(("configuration", last))
    assert worst <= WORST_BY_COUNT[count]
    for member in network.members:
        member.is_cut = False
    network.run(3_000.0)
    assert {m.replica.revision for m in network.members} == {last + 1}
    assert {m.facts.rules.version for m in network.members} == {7}


def test_a_region_whose_watchers_hear_nothing_is_told_by_others(on_virtual_time):
    network = on_virtual_time(77)
    served = [m for m in network.watchers() if m.region != "south"]
    news = batch(10, 12, written(make_config(4), 11), removed("i-1", 12))
    network.change(news, served)
    network.run(1_000.0)
    _, worst = network.spread_of(("revision", 12))
    assert worst <= 500.0
    _, worst = network.spread_of(("configuration", 11))
    assert worst <= 500.0


BYTES_A_CHANGE = 60_000
DATAGRAMS_A_CHANGE = 100
"""Sent by the busiest VM for one change, whatever the size of the fleet: 50 ms of a
link of 10 Mbit/s."""


@pytest.mark.parametrize("count", [10, 77, 195, 1_000])
def test_what_a_vm_sends_for_a_change_has_one_bound(count, on_virtual_time):
    network = on_virtual_time(count)
    network.change(batch(10, 12, written(make_config(4), 11), removed("i-1", 12)))
    network.run(1_000.0)
    network.spread_of(("configuration", 11))
    assert max(m.sent["bytes"] for m in network.members) <= BYTES_A_CHANGE
    assert max(m.sent["datagrams"] for m in network.members) <= DATAGRAMS_A_CHANGE


def test_many_routes_added_at_once_reach_a_large_fleet(on_virtual_time):
    """Load: a configuration that can't be packed into few datagrams, at 195 VMs."""
    network = on_virtual_time(195)
    network.tell()
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
    network.change(batch(10, 11, written(msgspec.json.encode(document), 11)))
    network.run(6_000.0)
    _, worst = network.spread_of(("configuration", 11))
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
def test_vms_that_reach_one_that_knows_are_up_to_date_and_never_go_back(actions, seed):
    network = Network(30, seed=seed, loss=0.05)
    original = propagation.gevent.spawn_later
    propagation.gevent.spawn_later = lambda s, task: network.later(s * 1e3, task)
    try:
        network.tell()
        play_actions(network, actions)
    finally:
        propagation.gevent.spawn_later = original


def play_actions(network, actions):
    revision, version = 10, 3
    here = True
    highest = dict.fromkeys(network.members, (0, 0))
    for action, number in actions:
        member = network.members[number]
        if action == "config":
            version += 1
            news = batch(
                revision, revision + 1, written(make_config(version), revision + 1)
            )
            config_revision = revision = revision + 1
            network.entries[0] = Entry(
                "op/config", make_config(version), config_revision
            )
            network.change(news)
        elif action == "leave":
            revision += 1
            change = Change("servers/i-1", None if here else upstream(), revision)
            here = not here
            network.entries[1:] = (
                [Entry("servers/i-1", upstream(), revision)] if here else []
            )
            network.change(batch(revision - 1, revision, change))
        elif action in ("cut", "heal"):
            member.is_cut = action == "cut"
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
        m.is_cut = False
    if not any(m.replica.revision == revision for m in network.members):
        network.members[0].replica.apply_snapshot(network.entries, revision)
    network.run(3_000.0)
    assert {m.replica.revision for m in network.members} == {revision}
    assert {m.facts.rules.version for m in network.members} == {version}
    names = [
        {u.record.id for u in m.facts.fleet.usable("ledger")} for m in network.members
    ]
    assert all(n == ({"i-1"} if here else set()) for n in names)
