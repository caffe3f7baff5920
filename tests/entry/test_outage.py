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
