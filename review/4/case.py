"""A cold instance must get no more requests in one second than all VMs may send it."""

import sys
from pathlib import Path

import bed as b
import gevent
from bed import socket

COLD_PER_S, COLD_EXCESS, COLD_SLACK, COLD_S = 8.6, 1.5, 5, 3.0
MOST = COLD_PER_S * COLD_EXCESS + COLD_SLACK
OUTAGES = 3
BETWEEN_S = 8.0
OUTAGE_S = 4.5
DOWN_S = 2.0
BACK_BEFORE_S = 1.0
PACE_S = 0.05
CALLERS = 4
ZONES = {
    "norte-a": "norte", "centro-a": "centro", "sul-a": "sul",
    "norte-b": "norte", "centro-b": "centro", "sul-b": "sul",
}  # fmt: skip
VM_ZONES = [
    "norte-a", "norte-a", "norte-b", "norte-b", "centro-a", "centro-a", "centro-b",
    "sul-a", "sul-a", "sul-b",
]  # fmt: skip


def call(bed, vm, caller, sent, statuses):
    """Look up one thing after the other on a kept connection."""
    number = 0
    sock = reader = None
    while True:
        gevent.sleep(PACE_S)
        number += 1
        name = f"{vm.name}-{caller}-{number}"
        try:
            if sock is None:
                sock = socket.create_connection(("127.0.0.1", vm.front))
                reader = b.Reader(sock)
            sent[name] = b.now()
            sock.sendall(b.request(name, f"/look/{name}", deadline_ms=4000))
            status, _, _ = reader.answer()
        except (EOFError, OSError):
            status, sock = 0, None
        statuses[status] = statuses.get(status, 0) + 1
        if status != 200:
            bed.record.note(f"{name}: {status}")


def busiest(instants):
    """Return the most instants in one second."""
    instants = sorted(instants)
    return max(
        (sum(start <= x < start + 1.0 for x in instants) for start in instants),
        default=0,
    )


def outage(bed, sent):
    """Let the store be away once; return the most requests in a second."""
    back = [bed.instances[name] for name in ("i-1", "i-2")]
    if b.TROUBLE:
        bed.store.refuse_with = 503
        bed.record.note("the store is down (busy); leases run out meanwhile")
    gevent.sleep(OUTAGE_S - BACK_BEFORE_S - DOWN_S)
    for instance in back:
        instance.stop()
    bed.record.note("the instances of norte-b, i-1 and i-2, have crashed")
    gevent.sleep(DOWN_S)
    for instance in back:
        instance.restart(COLD_S)
    bed.record.note("they are back; they are cold")
    gevent.sleep(BACK_BEFORE_S)
    if b.TROUBLE:
        bed.store.lapse()
        bed.store.refuse_with = None
        bed.record.note("the store is back")
    gevent.sleep(COLD_S - BACK_BEFORE_S + 0.5)
    most = 0
    for instance in back:
        instants = []
        for at, name in instance.arrivals:
            left = instance.cold_until - at
            # Only requests that were sent and arrived inside the second count.
            if 0 < left <= COLD_S and at - sent.get(name, 0) < 1.0:
                instants.append(at)
                bed.record.note(
                    f"{instance.name} got {name} while cold for {left:.3f} s more"
                )
        found = busiest(instants)
        bed.record.note(f"most requests in a second at {instance.name}: {found}")
        most = max(most, found)
    return most


def run():
    """Run the case and return its exit code."""
    sent, statuses = {}, {}
    with b.Bed(Path(__file__).parent, ZONES) as bed:
        for i in range(3):
            bed.add_instance(
                f"i-{i}",
                "ledger",
                "norte-a" if i < 1 else "norte-b",
                slots=60,
                work=lambda _: 0.1,
            )
        bed.configure(
            {"look": b.route("/look/", "safe", "ledger", timeout_s=4.0, goal_s=0.6)},
            {
                "ledger": {
                    "health_path": b.HEALTH_PATH, "max_conns": 360,
                    "cold_start_s": COLD_S, "cold_per_s": COLD_PER_S,
                }
            },
        )  # fmt: skip
        for number, zone in enumerate(VM_ZONES):
            bed.start_vm(f"vm-{number}", zone)
        bed.await_ready()
        gevent.sleep(5.0)
        callers = [
            gevent.spawn(call, bed, vm, caller, sent, statuses)
            for vm in bed.vms.values()
            for caller in range(CALLERS)
        ]
        gevent.sleep(3.0)
        most = 0
        for _ in range(OUTAGES):
            most = max(most, outage(bed, sent))
            gevent.sleep(BETWEEN_S)
        gevent.killall(callers)
        if statuses.get(200, 0) < 100:
            print(bed.log("vm-0")[-3000:])
            raise RuntimeError(f"too little was served: {statuses}")
        text = f"most requests in a second at a cold instance {most}, allowed {MOST:g};"
        return b.finish(bed, most > MOST, f"{text} answers {statuses}")


b.main(run)
sys.exit(0)
