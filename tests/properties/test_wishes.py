"""Upstreams that leave or rest get nothing, whatever else is told and in what order."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.replica import Batch, StoreReplica
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from tests.entry.test_facts import upstream
from tests.steering.samples import make_upstream_table

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "says it leaves",
                "others say it leaves",
                "wants rest",
                "entry written",
                "entry gone",
                "old snapshot",
                "old batch",
                "starts again",
                "time passes",
                "time of day jumps",
            ]
        ),
        st.integers(0, 40),
    ),
    max_size=30,
)

NAME = "i-1"
KEY = f"servers/{NAME}"


class Clock(ManualClock):
    """A manual clock whose time of day jumps on its own."""

    jump = 0.0

    def wall(self):
        return super().wall() + self.jump


class World:
    def __init__(self):
        self.clock = Clock()
        self.fleet = make_upstream_table(self.clock)
        self.facts = Facts(self.fleet, self.clock)
        self.replica = StoreReplica(self.facts, self.clock)
        self.born = 1
        self.revision = 10
        self.leaves = set()
        self.rests_until = {}
        self.history = []
        self.entries = [Entry(KEY, self.value(), 9)]
        self.replica.apply_snapshot(self.entries, 10)
        self.old = (list(self.entries), 10)

    def value(self):
        return upstream(born=self.born)

    def state(self):
        return self.fleet.find(NAME)

    def change(self, value):
        self.revision += 1
        change = Change(KEY, value, self.revision)
        batch = Batch(since=self.revision - 1, until=self.revision, changes=(change,))
        self.history.append(batch)
        self.replica.apply_batch(batch)

    def check(self):
        state = self.state()
        if state is None or not self.fleet.is_usable(state):
            return
        run = state.record.born
        assert run not in self.leaves
        assert self.rests_until.get(run, 0.0) <= self.clock.now()


@settings(max_examples=300, deadline=None, print_blob=True)
@given(steps=STEPS)
def test_an_upstream_that_leaves_or_rests_gets_nothing_in_its_run(steps):
    world = World()
    for step, number in steps:
        play(world, step, number)
        world.check()
    # A run that has said nothing is used once the store knows it as ready.
    world.born += 1
    world.change(world.value())
    assert world.fleet.is_usable(world.state())


def play(world, step, number):
    state = world.state()
    if step == "says it leaves" and state is not None:
        world.fleet.note_leaving(NAME, state.record.born)
        world.leaves.add(state.record.born)
    elif step == "others say it leaves":
        # Word from others may come before the store has told of the upstream.
        world.fleet.note_leaving(NAME, float(world.born))
        world.leaves.add(float(world.born))
    elif step == "wants rest" and state is not None:
        state.set_rest(number * 100.0)
        run = state.record.born
        until = world.clock.now() + number * 100.0
        world.rests_until[run] = max(until, world.rests_until.get(run, 0.0))
    elif step == "entry written":
        world.change(world.value())
    elif step == "entry gone":
        world.change(None)
    elif step == "old snapshot":
        world.replica.apply_snapshot(*world.old)
    elif step == "old batch" and world.history:
        world.replica.apply_batch(world.history[number % len(world.history)])
    elif step == "starts again":
        world.born += 1
        world.change(world.value())
    elif step == "time passes":
        world.clock.advance(number * 50.0)
        world.facts.remove_missing_upstreams()
    elif step == "time of day jumps":
        world.clock.jump = (number - 20) * 1_000.0
