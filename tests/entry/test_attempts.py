"""Attempts at scripted connections."""

from dataclasses import replace

import pytest

from lagoonlatch.entry.attempts import AttemptRunner
from lagoonlatch.entry.exchange import AnswerMemoryLimit
from lagoonlatch.entry.messages import Answered, NotRun, UpstreamAnswer, UpstreamRequest
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.platform.headers import read_answer_fields
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.admission import Admission
from lagoonlatch.upstreams.quarantine import Quarantine
from tests.steering.samples import make_record, make_upstream_table

REQUEST = UpstreamRequest(
    method=b"GET", target=b"/", headers=[], body=b"", has_body=False, request_id=b"r1"
)


class Connection:
    """Answers with `fields` after `on_exchange` was called."""

    def __init__(self, world):
        self._world = world
        self.is_reusable = True
        self.is_open = True

    def exchange(self, request, _time_left):
        self._world.sent.append(request)
        status, fields = self._world.answer
        answer = UpstreamAnswer(
            status=status,
            headers=fields,
            body=b"",
            fields=read_answer_fields(fields, status),
            has_stamp=True,
        )
        if answer.fields.not_run:
            return NotRun(f"turned away with {status}", True, False, answer)
        return Answered(answer)

    def has_no_input(self):
        return self.is_open

    def is_expired(self):
        return False

    def close(self):
        self.is_open = False


class Pool(ConnectionPool):
    """Opens scripted connections."""

    def __init__(self, world):
        super().__init__(AnswerMemoryLimit(1_000), world.clock)
        self._world = world
        self.on_open = lambda: None
        self.opened = []

    def take(self, upstream, timeout):
        if self._idle_by_id[upstream.id]:
            return self._idle_by_id[upstream.id].pop()
        self.on_open()
        self.opened.append(Connection(self._world))
        return self.opened[-1]


class Prober:
    def suspect(self, upstream, _reason, _on_dead=None):
        upstream.is_suspect = True


class World:
    def __init__(self):
        self.clock = ManualClock()
        self.fleet = make_upstream_table(self.clock)
        self.fleet.put(make_record("i-1"), was_running=True)
        self.upstream = self.fleet.find("i-1")
        self.sent = []
        self.told = []
        self.answer = (200, [])
        self.pool = Pool(self)
        self.attempts = AttemptRunner(
            self.fleet,
            self.pool,
            Prober(),
            Admission(),
            Quarantine(self.clock, death_limit=3),
            self.told.append,
            UpstreamNotices(self.fleet, self.pool, self.told.append),
            EntryMetrics("vm-0", "n-a"),
            self.clock,
        )

    def run(self):
        return self.attempts.run(self.upstream, REQUEST, 1_000.0, "route", "f")


@pytest.fixture
def world():
    return World()


def test_nothing_is_sent_to_an_upstream_that_left_while_a_connection_was_opened(world):
    """DRAIN: the place was checked before, not right before the request was sent."""
    record = replace(world.upstream.record, is_draining=True)
    world.pool.on_open = lambda: world.fleet.put(record)
    outcome = world.run()
    assert outcome == NotRun("not to be used any more", reached=False)
    assert world.sent == []
    assert not world.pool.opened[0].is_open


def test_nothing_is_sent_to_a_data_centre_evacuated_while_a_connection_was_opened(
    world,
):
    centre = world.upstream.record.data_centre
    world.pool.on_open = lambda: world.fleet.evacuate(frozenset({centre}))
    assert isinstance(world.run(), NotRun)
    assert world.sent == []


LEAVING = [(b"server-leaving", b"1")]
RESTS = [(b"not-run", b"1"), (b"retry-after", b"2.5")]


def test_an_upstream_that_says_it_leaves_gets_nothing_more_and_others_are_told(world):
    world.answer = (200, LEAVING)
    assert isinstance(world.run(), Answered)
    assert not world.fleet.is_usable(world.upstream)
    assert world.told == [world.upstream.record]
    assert not world.pool.opened[0].is_open
    world.answer = (200, LEAVING)
    assert isinstance(world.run(), NotRun)
    assert len(world.sent) == 1
    assert len(world.told) == 1


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_every_answer_of_a_leaving_upstream_counts(world, status):
    world.answer = (status, LEAVING)
    world.run()
    assert not world.fleet.is_usable(world.upstream)


def test_an_upstream_that_wants_nothing_for_a_while_gets_nothing_for_so_long(world):
    world.answer = (503, RESTS)
    world.run()
    world.answer = (200, [])
    world.clock.advance(2_400.0)
    assert isinstance(world.run(), NotRun)
    world.clock.advance(100.0)
    assert isinstance(world.run(), Answered)
    assert not world.told


def test_an_answer_of_an_earlier_run_says_nothing_of_the_new_one(world):
    """The answer comes on a request that was sent before the upstream started again."""
    started_again = replace(world.upstream.record, born=2.0)
    world.pool.on_open = lambda: None
    old = world.upstream

    class Slow(Connection):
        def exchange(self, request, time_left):
            world.fleet.put(started_again)
            return super().exchange(request, time_left)

    world.pool._idle_by_id["i-1"] = [Slow(world)]
    world.answer = (503, [*LEAVING, *RESTS])
    world.run()
    assert old.is_removed
    assert world.fleet.is_usable(world.fleet.find("i-1"))
