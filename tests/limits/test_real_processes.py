"""Check rate limits of a whole fleet of daemons by the executions at the upstreams."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import product

import pytest

from lagoonlatch.callers.authentication import key_digest
from lagoonlatch.clock import Clock
from lagoonlatch.config.model import (
    Configuration,
    DataCentre,
    Link,
    Organisation,
    Route,
    Service,
    Upstream,
)
from lagoonlatch.config.publish import Publisher
from lagoonlatch.platform import HttpStore
from lagoonlatch.standins.caller import Caller
from lagoonlatch.standins.fleet import CALLERS_PORT, LocalFleet
from lagoonlatch.standins.waiting import wait_until

REGIONS = ("luzon", "mindanao", "visayas")
BURST_RATE, BURST = 0.5, 5
STEADY_RATE, STEADY_BURST = 20.0, 20
WORKERS = 8
FAULT_TEST_SECONDS = 14.0
"""The test under faults has three phases, each a quarter of this time."""

FILL_SECONDS = BURST / BURST_RATE + 2.0
"""Seconds until the burst is available, since the shards of new owners start empty."""

START_SPREAD_SECONDS = 0.5
"""Seconds by which executions may start after their admission."""


def configuration():
    centres = {
        f"{region}-{number}": DataCentre(region=region)
        for region, number in product(REGIONS, (1, 2))
    }
    upstreams = {
        f"desk-{centre}": Upstream(
            data_centre=centre, address="127.0.0.1:1", slots=9, connections=200
        )
        for centre in centres
    }
    links = tuple(
        Link(regions=pair, capacity_mbit=4000, delay=35.0)
        for pair in (REGIONS[:2], REGIONS[1:], (REGIONS[0], REGIONS[2]))
    )
    return Configuration(
        data_centres_by_id=centres,
        links=links,
        organisations_by_id={
            "small": Organisation(
                key_digests=(key_digest("key-small"),), rate=BURST_RATE, burst=BURST
            ),
            "steady": Organisation(
                key_digests=(key_digest("key-steady"),),
                rate=STEADY_RATE,
                burst=STEADY_BURST,
            ),
        },
        services_by_id={
            "desk": Service(
                routes=(Route(method="GET", path_prefix="/", idempotent=False),),
                upstreams_by_id=upstreams,
            )
        },
    )


@pytest.fixture(scope="module")
def fleet():
    flags = {"upstream_flags": {"desk": ("--work-ms", "5")}}
    running = LocalFleet.from_configuration(
        configuration(), vms=10, faulty=True, **flags
    )
    with running:
        store = HttpStore.from_address(running.platform)
        Publisher(store, Clock()).publish(running.configuration, "first", 0).unwrap()
        assert wait_until(lambda: all_serve(running), 30_000)
        for source, target in product(running.vms_by_id.values(), repeat=2):
            if source.region < target.region:
                running.faults.delay(source.data_centre, target.data_centre, 35.0)
        yield running


def address(fleet, vm):
    return f"{fleet.vms_by_id[vm].address}:{CALLERS_PORT}"


def send(fleet, vm, organisation):
    caller = Caller([], "desk", f"key-{organisation}")
    return caller.request("GET", f"/{organisation}", vm=address(fleet, vm))


def all_serve(fleet):
    return all(send(fleet, vm, "steady").ok for vm in fleet.vms_by_id)


def starts_of(fleet, organisation):
    """Return the sorted start times of the executions of an organisation.

    The times are in Unix seconds.
    """
    return sorted(
        item["start"] / 1_000.0
        for item in fleet.executions()
        if item["path"] == f"/{organisation}"
    )


def overrun(starts, rate, burst):
    """Return by how much the worst window exceeded the limits.

    Rate and burst are raised for executions that start up to `START_SPREAD_SECONDS`
    late.
    """
    allowed = burst + rate * START_SPREAD_SECONDS
    level = worst = allowed
    last = starts[0]
    for start in starts:
        level = min(level + rate * (start - last), allowed) - 1.0
        worst = min(worst, level)
        last = start
    return max(-worst, 0.0)


def test_burst_of_five_is_shared_by_ten_vms(fleet):
    vms = list(fleet.vms_by_id)
    time.sleep(FILL_SECONDS)
    with ThreadPoolExecutor(len(vms)) as pool:
        replies = list(pool.map(lambda vm: send(fleet, vm, "small"), vms[::2]))
        assert [reply.status for reply in replies] == [200] * BURST
        more = list(pool.map(lambda vm: send(fleet, vm, "small"), vms))
    assert [reply.status for reply in more] == [429] * len(vms)
    assert all(int(reply.headers["retry-after"]) >= 1 for reply in more)
    assert len(starts_of(fleet, "small")) == BURST


class Load:
    """Threads that send requests of one organisation through the given VMs.

    Each thread sends its next request 20 ms after the last reply.
    """

    def __init__(self, fleet, vms):
        self._fleet = fleet
        self._vms = vms
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(number,))
            for number in range(WORKERS)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exception):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _work(self, number):
        while not self._stopped.is_set():
            vm = self._vms[number % len(self._vms)]
            number += 1
            send(self._fleet, vm, "steady")
            time.sleep(0.02)


def test_no_window_exceeds_rate_and_burst_under_faults(fleet):
    """One VM is paused, one is restarted, two regions are cut and the store is down."""
    vms = list(fleet.vms_by_id)
    paused, killed = vms[0], vms[3]
    load_through = [vm for vm in vms if vm not in (paused, killed)]
    began = time.time()
    with Load(fleet, load_through):
        time.sleep(2.0)
        fleet.pause(paused)
        fleet.faults.cut("luzon-1", "visayas-1")
        fleet.faults.cut("luzon-2", "visayas-2")
        time.sleep(FAULT_TEST_SECONDS / 4)
        fleet.switch(outage=True)
        fleet.kill(killed)
        fleet.start_vm(killed)
        time.sleep(FAULT_TEST_SECONDS / 4)
        fleet.resume(paused)
        fleet.switch(outage=False)
        fleet.faults.heal("luzon-1", "visayas-1")
        fleet.faults.heal("luzon-2", "visayas-2")
        time.sleep(FAULT_TEST_SECONDS / 4)
    starts = [start for start in starts_of(fleet, "steady") if start >= began]
    assert overrun(starts, STEADY_RATE, STEADY_BURST) == 0.0
    assert len(starts) >= 0.5 * STEADY_RATE * (starts[-1] - starts[0])
