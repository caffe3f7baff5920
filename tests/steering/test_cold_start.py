from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.cold_start import ColdStartLimiter
from tests.steering.samples import make_record, make_service, make_upstream_table


def make_upstream(clock):
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1"))
    return fleet.find("u1")


def make_ramps(names, clock, rate=8.6):
    ramps = [ColdStartLimiter(name, lambda: names, clock) for name in names]
    for ramp in ramps:
        ramp.configure({"ledger": make_service(cold_rate=rate)})
    return ramps


def test_all_vms_together_stay_within_the_cold_rate():
    """Load: ten VMs have requests all the time for one upstream that has started."""
    clock = ManualClock()
    ramps = make_ramps([f"vm{i}" for i in range(10)], clock)
    upstream = make_upstream(clock)
    sent = []
    for _ in range(600):
        clock.advance(5.0)
        sent += [clock.now() for ramp in ramps if ramp.consume(upstream)]
    most = max(sum(start <= t < start + 1_000.0 for t in sent) for start in sent)
    assert 0 < most <= 8.6
    assert len(sent) >= 8


def test_vms_that_differ_in_their_view_stay_within_the_bound():
    """Each half of the fleet takes the other half for gone."""
    clock = ManualClock()
    halves = [f"vm{i}" for i in range(5)], [f"vm{i}" for i in range(5, 10)]
    ramps = [ramp for half in halves for ramp in make_ramps(half, clock)]
    upstream = make_upstream(clock)
    sent = []
    for _ in range(600):
        clock.advance(5.0)
        sent += [clock.now() for ramp in ramps if ramp.consume(upstream)]
    most = max(sum(start <= t < start + 1_000.0 for t in sent) for start in sent)
    assert most <= 8.6 * 1.5 + 5.0


def test_few_vms_send_to_one_cold_upstream():
    clock = ManualClock()
    ramps = make_ramps([f"vm{i}" for i in range(80)], clock)
    upstream = make_upstream(clock)
    assert sum(ramp.consume(upstream) for ramp in ramps) == 4


def test_a_service_that_bears_nothing_cold_gets_nothing():
    clock = ManualClock()
    (ramp,) = make_ramps(["vm0"], clock, rate=0.0)
    assert not ramp.consume(make_upstream(clock))
