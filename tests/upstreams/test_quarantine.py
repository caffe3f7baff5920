from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.upstreams.quarantine import DEATH_LIMIT, Quarantine


def count_death(quarantine, fingerprint):
    """Count the death of an upstream that has just been given the request."""
    return quarantine.count_death(fingerprint, quarantine._clock.now())


def test_fingerprint_is_refused_at_the_limit_and_for_a_while():
    clock = ManualClock()
    quarantine = Quarantine(clock, duration=1_000.0)
    for _ in range(DEATH_LIMIT):
        assert quarantine.refused_for("f") == 0.0
        count_death(quarantine, "f")
    assert quarantine.refused_for("f") == 1_000.0
    clock.advance(1_000.0)
    assert quarantine.refused_for("f") == 0.0
    assert not quarantine.suspect("f")


def test_reports_of_other_vms_count():
    clock = ManualClock()
    here, there = Quarantine(clock), Quarantine(clock)
    report = count_death(there, "f")
    here.report(report.fingerprint, report.deaths, report.duration)
    assert here.suspect("f")
    assert count_death(here, "f").deaths == DEATH_LIMIT
    assert here.refused_for("f") > 0.0


def test_repeated_and_older_reports_change_nothing():
    quarantine = Quarantine(ManualClock())
    count_death(quarantine, "f")
    count_death(quarantine, "f")
    refused_for = quarantine.refused_for("f")
    quarantine.report("f", 1, 10.0)
    quarantine.report("f", 1, 10.0)
    assert quarantine.refused_for("f") == refused_for


def test_whole_answer_clears_a_suspect():
    quarantine = Quarantine(ManualClock())
    count_death(quarantine, "f")
    quarantine.clear("f")
    assert not quarantine.suspect("f")


def test_memory_is_bounded():
    quarantine = Quarantine(ManualClock(), capacity=2)
    for fingerprint in "abc":
        count_death(quarantine, fingerprint)
    assert [quarantine.suspect(f) for f in "abc"] == [False, True, True]


def test_one_death_counts_once_for_equal_requests_and_for_upstreams_that_die_together():
    """One crash must not be counted once for each request that it ended."""
    clock = ManualClock()
    quarantine = Quarantine(clock)
    starts = []
    for _ in range(2 * DEATH_LIMIT):
        clock.advance(10.0)
        starts.append(clock.now())
    clock.advance(10.0)
    reports = [quarantine.count_death("f", started) for started in starts]
    assert [report is not None for report in reports] == [True] + [False] * 3
    assert quarantine.deaths("f") == 1
    assert quarantine.refused_for("f") == 0.0


def test_death_that_another_vm_has_reported_counts_once():
    clock = ManualClock()
    here, there = Quarantine(clock), Quarantine(clock)
    started = clock.now()
    clock.advance(10.0)
    report = there.count_death("f", started)
    here.report(report.fingerprint, report.deaths, report.duration)
    assert here.count_death("f", started) is None
    assert here.deaths("f") == 1
    clock.advance(10.0)
    assert here.count_death("f", clock.now()).deaths == 2
