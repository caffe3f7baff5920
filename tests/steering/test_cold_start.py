import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.cold_start import ColdStartLimiter
from tests.steering.samples import make_record, make_service, make_upstream_table


def make_upstream(clock):
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1"))
    return upstream_table.find("u1")


def make_limiters(names, clock, rate=8.6):
    limiters = [
        ColdStartLimiter(name, lambda: names, list, lambda: False, clock)
        for name in names
    ]
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


COLD_RATE = 8.6
COLD_EXCESS, COLD_SLACK = 1.5, 5.0
"""Requests in a second that an upstream tolerates: rate x excess + slack."""


class FleetAfterOutage:
    """VMs whose entries have all lapsed and are written again one by one."""

    def __init__(self, size, clock, without_heartbeats=()):
        self.clock = clock
        self.roster = [f"vm{i}" for i in range(size)]
        self.registered = set()
        self.may_miss_vms = True
        self._without_heartbeats = frozenset(without_heartbeats)
        self.limiters = [self._make_limiter(vm) for vm in self.roster]

    def _make_limiter(self, vm):
        def list_present():
            heard = [] if vm in self._without_heartbeats else self.roster
            return {*self.registered, *heard} - {vm}

        limiter = ColdStartLimiter(
            vm, list_present, lambda: self.roster, lambda: self.may_miss_vms, self.clock
        )
        limiter.configure({"ledger": make_service(cold_rate=COLD_RATE)})
        return limiter

    def busiest_second(self, upstream, register_after):
        """Return the most requests in a second while the VMs register again."""
        sent = []
        started = self.clock.now()
        for _ in range(800):
            self.clock.advance(5.0)
            elapsed = self.clock.now() - started
            count = int(elapsed / register_after * len(self.roster))
            self.registered.update(self.roster[:count])
            self.may_miss_vms = elapsed < 2_300.0
            sent += [self.clock.now() for lim in self.limiters if lim.consume(upstream)]
        return max(sum(s <= t < s + 1_000.0 for t in sent) for s in sent)


@pytest.mark.parametrize("size", [1, 2, 10, 77, 195])
@pytest.mark.parametrize("restarted", ["none", "half", "all"])
def test_cold_rate_holds_after_an_outage_in_which_all_entries_lapsed(size, restarted):
    """VMs must not take themselves for the only sender while entries are missing.

    VMs that were restarted in the outage have heard no heartbeats.
    """
    clock = ManualClock()
    names = [f"vm{i}" for i in range(size)]
    without = {"none": [], "half": names[::2], "all": names}[restarted]
    fleet = FleetAfterOutage(size, clock, without)
    most = fleet.busiest_second(make_upstream(clock), register_after=1_750.0)
    assert 0 < most <= COLD_RATE * COLD_EXCESS + COLD_SLACK


def test_vms_that_are_gone_for_long_do_not_count_as_senders():
    clock = ManualClock()
    gone = [f"gone{i}" for i in range(40)]
    limiter = ColdStartLimiter("vm0", list, lambda: gone, lambda: False, clock)
    limiter.configure({"ledger": make_service(cold_rate=COLD_RATE)})
    assert limiter.consume(make_upstream(clock))
