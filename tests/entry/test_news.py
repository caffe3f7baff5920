"""What a VM does that is behind the others."""

from returns.result import Failure, Success

from lagoonlatch.entry import news
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.news import BEHIND, LOOK_INTERVAL, NewsReader, encode_batch
from tests.entry.test_reading import Vm, batch, gone


class Sync:
    is_failing = False
    is_gathering = False

    def failing_for(self):
        return 0.0


def make_reader(vm, ahead):
    return NewsReader(vm.reading, Sync(), list, lambda revision: ahead, vm.clock)


def look_until(reader, clock, condition, most=20):
    for number in range(most):
        reader._look()
        if condition():
            return number
        clock.advance(LOOK_INTERVAL)
    return most


def test_a_vm_that_is_behind_takes_what_it_misses_from_one_that_is_not(monkeypatch):
    vm = Vm()
    found = wire.Reading(
        revision=12, items=[], batch=encode_batch(batch(10, 12, gone("i-1", 12)))
    )
    monkeypatch.setattr(news, "_call", lambda peer, revision: Success(found))
    reader = make_reader(vm, ["a"])
    looks = look_until(reader, vm.clock, lambda: vm.reading.revision == 12)
    assert looks * LOOK_INTERVAL <= BEHIND + LOOK_INTERVAL
    assert vm.names() == set()


def test_one_that_does_not_answer_is_not_asked_twice_in_a_row(monkeypatch):
    """Load: the VM that is ahead has just been cut off, another is ahead too."""
    vm = Vm()
    asked = []

    def call(peer, revision):
        asked.append(peer)
        return Failure("no answer")

    monkeypatch.setattr(news, "_call", call)
    reader = make_reader(vm, ["a", "b"])
    look_until(reader, vm.clock, lambda: len(asked) == 8)
    assert all(first != second for first, second in zip(asked, asked[1:], strict=False))
