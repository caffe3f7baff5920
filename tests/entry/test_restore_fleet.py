"""A fleet in virtual time whose store is restored from a copy."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lagoonlatch.entry import propagation
from lagoonlatch.entry.facts import MISSING_ENTRY_HOLD_TIME, OLDER_ENTRY_HOLD_TIME
from lagoonlatch.entry.sync import MAX_RETRY_DELAY
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from tests.entry.test_facts import upstream
from tests.entry.test_propagation import Network, make_config
from tests.entry.test_replica import batch

UPSTREAMS_PER_VM = 5
"""About as many as the large deployment has."""

MAX_DELAY_MS_BY_COUNT = {10: 1_200.0, 77: 1_200.0, 195: 1_500.0}
"""As for a change of the store without a restore."""

SETTLE_INTERVAL_MS = 250.0


class RestorableStore:
    """Content of the store, and the fleet that follows it."""

    def __init__(self, count, seed=0, loss=0.0):
        self.network = Network(count, seed=seed, loss=loss)
        self.era = 1
        self.revision = 10
        self.version = 3
        self.value_by_key = {"op/config": (make_config(3), 8)}
        for number in range(count * UPSTREAMS_PER_VM):
            self.value_by_key[f"servers/i-{number}"] = (upstream(seq=1), 9)
        self.sequence = 1
        self.network.entries = self.entries()
        for member in self.network.members:
            member.start()
            member.replica.apply_snapshot(self.entries(), self.revision, self.era)
        self._schedule_settling()

    def entries(self):
        return [Entry(key, *value) for key, value in self.value_by_key.items()]

    def _schedule_settling(self):
        for member in self.network.members:
            member.replica.settle()
        self.network.schedule(SETTLE_INTERVAL_MS, self._schedule_settling)

    def write(self, key, value):
        """Write or remove a key; the watching VMs learn of it at once."""
        self.revision += 1
        if value is None:
            self.value_by_key.pop(key, None)
        else:
            self.value_by_key[key] = (value, self.revision)
        change = Change(key, value, self.revision)
        changes = batch(self.revision - 1, self.revision, change, era=self.era)
        self.network.started = self.network.clock.now()
        for watcher in self._working_watchers():
            if watcher.replica.apply_batch(changes):
                watcher.record_revisions()
                watcher.propagator.propagate(changes)
            else:
                self._read_snapshot(watcher)

    def _working_watchers(self):
        return [w for w in self.network.watchers() if not w.is_cut_off]

    def _read_snapshot(self, member):
        member.replica.apply_snapshot(self.entries(), self.revision, self.era)
        member.record_revisions()

    def reconnect(self, member):
        """Let a VM reach the store and the other VMs again.

        The watch of a VM that was cut off has failed, so that VM reads a snapshot.
        """
        if not member.is_cut_off:
            return
        member.is_cut_off = False
        if member in self.network.watchers():
            self.network.schedule(
                MAX_RETRY_DELAY, lambda: self._read_if_reachable(member)
            )

    def _read_if_reachable(self, member):
        if not member.is_cut_off:
            self._read_snapshot(member)

    def configure(self):
        self.version += 1
        self.write("op/config", make_config(self.version))

    def register(self, number, state="ready"):
        self.sequence += 1
        value = upstream(seq=self.sequence, state=state)
        self.write(f"servers/i-{number}", value)

    def copy(self):
        return dict(self.value_by_key), self.revision

    def restore(self, copy):
        """Return to a copy; the watching VMs read a snapshot."""
        self.value_by_key, self.revision = dict(copy[0]), copy[1]
        self.era += 1
        self.network.started = self.network.clock.now()
        for watcher in self._working_watchers():
            self._read_snapshot(watcher)


@pytest.fixture
def make_store(monkeypatch):
    """Return a factory of stores, and run delayed tasks on the newest one's clock."""
    stores = []

    def spawn_later(seconds, task):
        stores[-1].network.schedule(seconds * 1e3, task)

    monkeypatch.setattr(propagation.gevent, "spawn_later", spawn_later)

    def make(*args, **options):
        stores.append(RestorableStore(*args, **options))
        return stores[-1]

    return make


@pytest.mark.parametrize("count", MAX_DELAY_MS_BY_COUNT)
@pytest.mark.parametrize("loss", [0.0, 0.03])
def test_all_vms_follow_a_restored_store_as_fast_as_a_change(count, loss, make_store):
    store = make_store(count, loss=loss)
    network = store.network
    network.send_heartbeats()
    network.run(500.0)
    copy = store.copy()
    for _ in range(3):
        store.configure()
    store.register(0, "draining")
    network.run(3_000.0)
    store.restore(copy)
    restored_at = network.clock.now()
    network.run(300.0)
    store.configure()
    network.run(4_000.0)
    _, worst = network.propagation_delays(("configuration", store.version))
    assert worst <= MAX_DELAY_MS_BY_COUNT[count]
    assert {m.replica.era for m in network.members} == {2}
    worst_era = max(m.known_at["era", 2] for m in network.members) - restored_at
    assert worst_era <= MAX_DELAY_MS_BY_COUNT[count]
    print(
        f"{count} VMs, loss {loss}: restore {worst_era:.0f} ms, change {worst:.0f} ms"
    )


@pytest.mark.parametrize("count", MAX_DELAY_MS_BY_COUNT)
def test_a_restore_in_the_midst_of_a_change_with_a_region_cut_off(count, make_store):
    """CONFIG: the version on its way is lost, and a region hears of neither."""
    store = make_store(count)
    network = store.network
    network.send_heartbeats()
    network.run(500.0)
    copy = store.copy()
    cut_off = network.members_by_region["south"]
    for member in cut_off:
        member.is_cut_off = True
    store.configure()
    network.run(5.0)
    store.restore(copy)
    network.run(MAX_DELAY_MS_BY_COUNT[count])
    reachable = [m for m in network.members if m not in cut_off]
    assert {m.replica.era for m in reachable} == {2}
    store.configure()
    network.run(MAX_DELAY_MS_BY_COUNT[count])
    assert {m.facts.rules.version for m in reachable} == {store.version}
    assert {m.facts.rules.version for m in cut_off} == {3}
    for member in cut_off:
        member.is_cut_off = False
    for watcher in store._working_watchers():
        store._read_snapshot(watcher)
    network.run(MAX_DELAY_MS_BY_COUNT[count])
    positions = {m.replica.knowledge.position for m in network.members}
    assert positions == {(store.era, store.revision)}
    assert {m.facts.rules.version for m in network.members} == {store.version}


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "config",
                "drain",
                "leave",
                "register",
                "copy",
                "restore",
                "cut",
                "heal",
                "restart",
                "wait",
            ]
        ),
        st.integers(0, 9),
    ),
    min_size=4,
    max_size=25,
)


VM_LEFT_BEHIND = [
    ("register", 2),
    ("wait", 7),
    ("register", 2),
    ("restart", 8),
    ("cut", 4),
    ("cut", 1),
    ("wait", 6),
    ("leave", 1),
    ("leave", 6),
    ("cut", 7),
    ("restore", 3),
    ("register", 2),
]


@settings(max_examples=30, deadline=None, print_blob=True)
@example(actions=VM_LEFT_BEHIND, seed=24137)
@given(actions=ACTIONS, seed=st.integers(0, 2**16))
def test_vms_follow_the_last_era_and_no_configuration_goes_back(actions, seed):
    play_restores(10, actions, seed)


@settings(max_examples=3, deadline=None, print_blob=True)
@given(actions=ACTIONS, seed=st.integers(0, 2**16))
@pytest.mark.parametrize("count", [77, 195])
def test_large_fleets_follow_the_last_era(count, actions, seed):
    play_restores(count, actions, seed)


def play_restores(count, actions, seed):
    original = propagation.gevent.spawn_later
    store = RestorableStore(count, seed=seed, loss=0.05)
    network = store.network
    propagation.gevent.spawn_later = lambda s, task: network.schedule(s * 1e3, task)
    try:
        network.send_heartbeats()
        play(store, actions)
    finally:
        propagation.gevent.spawn_later = original


def play(store, actions):
    network = store.network
    copy = store.copy()
    state_by_number = {}
    highest = {m: (m.replica.knowledge.position, 3) for m in network.members}
    for action, number in actions:
        member = network.members[number % len(network.members)]
        if action == "config":
            store.configure()
        elif action in ("drain", "register"):
            state_by_number[number] = "ready" if action == "register" else "draining"
            store.register(number, state_by_number[number])
        elif action == "leave":
            state_by_number[number] = None
            store.write(f"servers/i-{number}", None)
        elif action == "copy":
            copy = store.copy()
        elif action == "restore":
            store.restore(copy)
            copy = store.copy()
        elif action == "cut":
            member.is_cut_off = True
        elif action == "heal":
            store.reconnect(member)
        elif action == "restart":
            member.start()
            store._read_snapshot(member)
            highest[member] = ((0, 0), 0)
        else:
            network.run(number * 60.0)
        for m in network.members:
            known = (m.replica.knowledge.position, m.facts.rules.version)
            assert known[0] >= highest[m][0]
            assert known[1] >= highest[m][1]
            highest[m] = known
    # Owners write again what the store has lost, and the platform removes the rest.
    store.write("op/config", make_config(store.version))
    for number, state in state_by_number.items():
        if state is not None:
            store.register(number, state)
        else:
            store.write(f"servers/i-{number}", None)
    for m in network.members:
        store.reconnect(m)
    if not any(m.replica.era == store.era for m in network.watchers()):
        store._read_snapshot(network.members[0])
    network.run(4_000.0 + MISSING_ENTRY_HOLD_TIME + OLDER_ENTRY_HOLD_TIME)
    positions = {m.replica.knowledge.position for m in network.members}
    assert positions == {(store.era, store.revision)}
    assert {m.facts.rules.version for m in network.members} == {store.version}
    gone = {f"i-{n}" for n, state in state_by_number.items() if state != "ready"}
    for m in network.members:
        usable = {u.record.id for u in m.facts.fleet.usable("ledger")}
        stored = {key.removeprefix("servers/") for key in store.value_by_key}
        assert usable == (stored & usable) - gone
        assert len(usable) >= len(network.members) * UPSTREAMS_PER_VM - len(gone)
