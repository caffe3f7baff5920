"""Attempts at scripted connections."""

from dataclasses import replace

import pytest

from lagoonlatch.entry.attempts import Attempts
from lagoonlatch.entry.exchange import HeldBytes
from lagoonlatch.entry.messages import Answered, NotRun, UpstreamAnswer, UpstreamRequest
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.platform.headers import read_answer_fields
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.admission import Admission
from lagoonlatch.upstreams.quarantine import Quarantine
from tests.steering.samples import make_fleet, make_record

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
            fields=read_answer_fields(fields),
            has_stamp=True,
        )
        if answer.fields.not_run:
            return NotRun(f"turned away with {status}", True, False, answer)
        return Answered(answer)

    def is_quiet(self):
        return self.is_open

    def is_expired(self):
        return False

    def close(self):
        self.is_open = False


class Pool(ConnectionPool):
    """Opens scripted connections."""

    def __init__(self, world):
        super().__init__(HeldBytes(1_000), world.clock)
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
        self.fleet = make_fleet(self.clock)
        self.fleet.put(make_record("i-1"), was_running=True)
        self.upstream = self.fleet.find("i-1")
        self.sent = []
        self.told = []
        self.answer = (200, [])
        self.pool = Pool(self)
        self.attempts = Attempts(
            self.fleet,
            self.pool,
            Prober(),
            Admission(),
            Quarantine(self.clock, death_limit=3),
            self.told.append,
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
