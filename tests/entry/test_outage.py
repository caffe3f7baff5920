"""Detecting outages of the store from calls of this VM and reports of others."""

from lagoonlatch.entry.outage import MIN_OUTAGE, OutageDetector
from lagoonlatch.standins.manual_clock import ManualClock


def test_a_long_outage_is_reported_during_it_and_at_its_end():
    clock, noted = ManualClock(), []
    detector = OutageDetector(lambda: noted.append(clock.now()), clock)
    sent = clock.now()
    clock.advance(MIN_OUTAGE + 500.0)
    detector.note_failure(sent)
    assert len(noted) == 1
    clock.advance(1_000.0)
    detector.note_success()
    assert len(noted) == 2
    detector.note_success()
    assert len(noted) == 2


def test_a_short_failure_is_not_an_outage():
    clock, noted = ManualClock(), []
    detector = OutageDetector(lambda: noted.append(clock.now()), clock)
    detector.note_failure(clock.now())
    clock.advance(MIN_OUTAGE / 2)
    detector.note_success()
    assert not noted


def test_a_call_that_times_out_after_an_outage_does_not_prolong_it():
    """Load: after a VM was cut off, a call succeeds before an older one times out."""
    clock, noted = ManualClock(), []
    detector = OutageDetector(lambda: noted.append(clock.now()), clock)
    first = clock.now()
    clock.advance(9_000.0)
    hung = clock.now()
    detector.note_failure(first)
    clock.advance(500.0)
    detector.note_success()
    ended = clock.now()
    clock.advance(1_000.0)
    detector.note_failure(hung)
    clock.advance(500.0)
    detector.note_success()
    assert noted[-1] == ended


def test_failures_while_the_store_answers_others_are_not_an_outage():
    """DRAIN: a VM that was cut off from the store held upstreams that had left."""
    clock, noted = ManualClock(), []
    detector = OutageDetector(lambda: noted.append(clock.now()), clock)
    for _ in range(40):
        sent = clock.now()
        clock.advance(200.0)
        detector.note_peer_success(150.0)
        detector.note_failure(sent)
    detector.note_success()
    assert not noted
    assert not detector.is_outage_possible()


def test_an_outage_starts_at_the_last_answer_to_any_vm():
    clock, noted = ManualClock(), []
    detector = OutageDetector(lambda: noted.append(clock.now()), clock)
    detector.note_failure(clock.now())
    clock.advance(3_000.0)
    detector.note_peer_success(MIN_OUTAGE / 2)
    detector.note_failure(clock.now())
    assert not noted
    clock.advance(MIN_OUTAGE)
    detector.note_failure(clock.now())
    assert len(noted) == 1


def test_an_answer_in_the_future_is_ignored():
    clock = ManualClock()
    detector = OutageDetector(lambda: None, clock)
    detector.note_peer_success(-5_000.0)
    assert detector.last_success_age() is None


def test_an_outage_is_possible_unless_recent_answers_rule_it_out():
    clock = ManualClock()
    detector = OutageDetector(lambda: None, clock)
    assert detector.is_outage_possible()
    for _ in range(100):
        clock.advance(100.0)
        detector.note_peer_success(50.0)
    assert not detector.is_outage_possible()
    clock.advance(MIN_OUTAGE + 100.0)
    assert detector.is_outage_possible()
    detector.note_peer_success(0.0)
    assert detector.is_outage_possible()
