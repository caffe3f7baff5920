from lagoonlatch.entry.outage import OUTAGE, OutageDetector
from lagoonlatch.standins.manual_clock import ManualClock


def test_a_long_outage_is_noted_while_it_lasts_and_at_its_end():
    clock, noted = ManualClock(), []
    meter = OutageDetector(lambda: noted.append(clock.now()), clock)
    sent = clock.now()
    clock.advance(OUTAGE + 500.0)
    meter.note_failure(sent)
    assert len(noted) == 1
    clock.advance(1_000.0)
    meter.note_success()
    assert len(noted) == 2
    meter.note_success()
    assert len(noted) == 2


def test_a_short_failure_is_no_outage():
    clock, noted = ManualClock(), []
    meter = OutageDetector(lambda: noted.append(clock.now()), clock)
    meter.note_failure(clock.now())
    clock.advance(OUTAGE / 2)
    meter.note_success()
    assert not noted


def test_a_call_that_hung_in_the_outage_does_not_prolong_it():
    """Load: a VM was cut off; one call is answered, an older one times out later."""
    clock, noted = ManualClock(), []
    meter = OutageDetector(lambda: noted.append(clock.now()), clock)
    first = clock.now()
    clock.advance(9_000.0)
    hung = clock.now()
    meter.note_failure(first)
    clock.advance(500.0)
    meter.note_success()
    ended = clock.now()
    clock.advance(1_000.0)
    meter.note_failure(hung)
    clock.advance(500.0)
    meter.note_success()
    assert noted[-1] == ended


def test_calls_that_fail_while_the_store_answers_others_are_no_outage():
    """DRAIN: a VM that was cut from the store held upstreams that had left."""
    clock, noted = ManualClock(), []
    meter = OutageDetector(lambda: noted.append(clock.now()), clock)
    for _ in range(40):
        sent = clock.now()
        clock.advance(200.0)
        meter.note_peer_success(150.0)
        meter.note_failure(sent)
    meter.note_success()
    assert not noted
    assert not meter.outage_is_possible()


def test_an_outage_counts_from_the_last_answer_to_anybody():
    clock, noted = ManualClock(), []
    meter = OutageDetector(lambda: noted.append(clock.now()), clock)
    meter.note_failure(clock.now())
    clock.advance(3_000.0)
    meter.note_peer_success(OUTAGE / 2)
    meter.note_failure(clock.now())
    assert not noted
    clock.advance(OUTAGE)
    meter.note_failure(clock.now())
    assert len(noted) == 1


def test_an_answer_in_the_future_is_none():
    clock = ManualClock()
    meter = OutageDetector(lambda: None, clock)
    meter.note_peer_success(-5_000.0)
    assert meter.last_success_age() is None


def test_what_others_say_of_an_outage_is_believed_while_there_may_have_been_one():
    clock = ManualClock()
    meter = OutageDetector(lambda: None, clock)
    assert meter.outage_is_possible()
    for _ in range(100):
        clock.advance(100.0)
        meter.note_peer_success(50.0)
    assert not meter.outage_is_possible()
    clock.advance(OUTAGE + 100.0)
    assert meter.outage_is_possible()
    meter.note_peer_success(0.0)
    assert meter.outage_is_possible()
