"""Test the log lines of an entry VM and their limits."""

import fcntl
import os
import re
from dataclasses import fields
from pathlib import Path

import gevent
import pytest
import structlog

from lagoonlatch.clock import Clock
from lagoonlatch.entry import events
from lagoonlatch.entry.events import Reloaded, Stopping, describe_events
from lagoonlatch.entry.journal import LINES_PER_SECOND, Journal, LineQueue
from lagoonlatch.standins.entry_fleet import KEY, EntryFleet, ask
from lagoonlatch.standins.manual_clock import ManualClock

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    flags = fcntl.fcntl(writer, fcntl.F_GETFL)
    fcntl.fcntl(writer, fcntl.F_SETFL, flags | os.O_NONBLOCK)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_are_dropped_and_counted_while_a_pipe_is_not_read(pipe):
    reader, writer = pipe
    queue = LineQueue(writer, capacity=100)
    for _ in range(50):
        for _ in range(100):
            queue.write("x" * 200 + "\n")
        queue.drain()
    assert queue.dropped > 0
    received = os.read(reader, 1_000_000)
    queue.drain()
    assert len(received) >= 4_096


def test_slow_reader_receives_whole_lines(pipe):
    reader, writer = pipe
    queue = LineQueue(writer)
    lines = [f"line {number} " + "x" * 500 for number in range(1_000)]
    received = b""
    for line in lines:
        queue.write(line + "\n")
        queue.drain()
        if len(lines) % 7 == 0:
            received += os.read(reader, 300)
    while len(received.splitlines()) < len(lines):
        received += os.read(reader, 10_000)
        queue.drain()
    assert received.decode().splitlines() == lines


def test_finish_stops_waiting_for_the_reader_after_its_timeout(pipe):
    _, writer = pipe
    queue = LineQueue(writer)
    for _ in range(1_000):
        queue.write("x" * 500 + "\n")
    started = Clock().now()
    queue.finish(100.0)
    assert Clock().now() - started < 1_000.0


def test_lines_of_one_kind_are_limited_and_dropped_lines_counted():
    clock = ManualClock()
    journal = Journal(clock)
    with structlog.testing.capture_logs() as lines:
        for _ in range(LINES_PER_SECOND + 300):
            journal.write(Stopping(connections=1))
        journal.write(Reloaded(store="s"))
        clock.advance(1_000.0)
        journal.write(Reloaded(store="s"))
    names = [line["event"] for line in lines]
    assert names.count("stopping") == LINES_PER_SECOND
    assert names.count("reloaded") == 2
    (summary,) = [line for line in lines if line["event"] == "lines_left_out"]
    assert (summary["kind"], summary["count"]) == ("stopping", 300)


def test_operations_page_lists_all_log_events_with_their_fields():
    rows = re.findall(r"^\| `(\w+)` \| (.*) \| (.*) \|$", PAGE.read_text(), re.M)
    assert rows == list(describe_events())


def test_no_log_event_has_a_field_for_a_key():
    classes = [c for c in vars(events).values() if isinstance(c, type)]
    for class_ in classes:
        if issubclass(class_, events.LogEvent) and class_ is not events.LogEvent:
            names = {field.name for field in fields(class_)}
            assert not names & {"key", "authorization", "token", "headers", "body"}


def test_requests_are_served_while_standard_output_is_full():
    reader, writer = os.pipe()
    os.write(writer, b"x" * fcntl.fcntl(writer, 1032))
    with EntryFleet(vms=1, output=writer) as fleet:
        (vm,) = fleet.vms_by_id.values()
        for number in range(300):
            assert ask(vm, f"full-{number}") == 200
    os.close(reader)
    os.close(writer)


def test_no_log_line_contains_a_key(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as log, EntryFleet(vms=1, output=log) as fleet:
        (vm,) = fleet.vms_by_id.values()
        assert ask(vm, "good") == 200
        assert ask(vm, "bad", Authorization="Token another-secret") == 401
        fleet.instances_by_id["i-0"].stop()
        for number in range(10):
            ask(vm, f"n-{number}")
        gevent.sleep(0.3)
    text = path.read_text()
    assert '"request":"good"' in text
    assert '"request":"bad"' in text
    assert KEY not in text
    assert "another-secret" not in text
