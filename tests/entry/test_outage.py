from lagoonlatch.entry.outage import OUTAGE, OutageMeter
from lagoonlatch.standins.manual_clock import ManualClock


def test_a_long_outage_is_noted_while_it_lasts_and_at_its_end():
    clock, noted = ManualClock(), []
    meter = OutageMeter(lambda: noted.append(clock.now()), clock)
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
    meter = OutageMeter(lambda: noted.append(clock.now()), clock)
    meter.note_failure(clock.now())
    clock.advance(OUTAGE / 2)
    meter.note_success()
    assert not noted


def test_a_call_that_hung_in_the_outage_does_not_prolong_it():
    """Load: a VM was cut off; one call is answered, an older one times out later."""
    clock, noted = ManualClock(), []
    meter = OutageMeter(lambda: noted.append(clock.now()), clock)
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
