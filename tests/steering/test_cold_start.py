from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.cold_start import ColdStartLimiter
from tests.steering.samples import make_record, make_service, make_upstream_table


def make_upstream(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"))
    return upstream_table.find("u1")


def make_limiters(names, clock, rate=8.6):
    limiters = [ColdStartLimiter(name, lambda: names, clock) for name in names]
    for limiter in limiters:
        limiter.configure({"ledger": make_service(cold_rate=rate)})
    return limiters


def test_all_vms_together_stay_within_the_cold_rate():
    """Ten VMs always have requests for one upstream that has just started."""
    clock = ManualClock()
    limiters = make_limiters([f"vm{i}" for i in range(10)], clock)
    upstream = make_upstream(clock)
    sent = []
    for _ in range(600):
        clock.advance(5.0)
        sent += [clock.now() for limiter in limiters if limiter.consume(upstream)]
    max_per_second = max(
        sum(start <= t < start + 1_000.0 for t in sent) for start in sent
    )
    assert 0 < max_per_second <= 8.6
    assert len(sent) >= 8


def test_rate_is_bounded_if_vms_know_different_vms():
    """Each half of the VMs assumes that the other half is gone."""
    clock = ManualClock()
    halves = [f"vm{i}" for i in range(5)], [f"vm{i}" for i in range(5, 10)]
    limiters = [limiter for half in halves for limiter in make_limiters(half, clock)]
    upstream = make_upstream(clock)
    sent = []
    for _ in range(600):
        clock.advance(5.0)
        sent += [clock.now() for limiter in limiters if limiter.consume(upstream)]
    max_per_second = max(
        sum(start <= t < start + 1_000.0 for t in sent) for start in sent
    )
    # Each of the 8 senders sends a request every 930 ms, so at most 2 in a second.
    assert max_per_second <= 8.6 * 1.5 + 5.0


def test_few_vms_send_to_one_cold_upstream():
    clock = ManualClock()
    limiters = make_limiters([f"vm{i}" for i in range(80)], clock)
    upstream = make_upstream(clock)
    assert sum(limiter.consume(upstream) for limiter in limiters) == 4


def test_no_requests_are_sent_at_a_cold_rate_of_zero():
    clock = ManualClock()
    (limiter,) = make_limiters(["vm0"], clock, rate=0.0)
    assert not limiter.consume(make_upstream(clock))
