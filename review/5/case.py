"""A tenant must be served again after one instance has crashed and come back."""

import sys
from pathlib import Path

import bed as b
import gevent
from bed import socket

INSTANCES = 8
CALLERS_BY_TENANT = {"dojo-1": 4, "dojo-2": 2, "dojo-3": 2}
PAUSE_S = 0.1
WORK_S = 0.6
CALM_S = 3.0
DOWN_S = 4.5
SETTLE_S = 6.0
JUDGED_S = 40.0
KEY_BY_TENANT = {"dojo-1": "key-one", "dojo-2": "key-two", "dojo-3": "key-three"}


def call(bed, vm, tenant, caller, seen, is_over):
    """Look up one thing after the other on a kept connection."""
    number = 0
    sock = reader = None
    while not is_over[0]:
        number += 1
        name = f"{tenant}-{vm.name}-{caller}-{number}"
        # All clients of dojo-1 look at one roster; the others at many records.
        thing = "roster" if tenant == "dojo-1" else f"{caller}-{number % 40}"
        sent = b.now()
        try:
            if sock is None:
                sock = socket.create_connection(("127.0.0.1", vm.front))
                sock.settimeout(4.0)
                reader = b.Reader(sock)
            text = b.request(
                name, f"/look/{thing}", deadline_ms=4000,
                more=f"Cookie: Affinity-Key={thing}\r\n",
            )  # fmt: skip
            sock.sendall(text.replace(b.KEY.encode(), KEY_BY_TENANT[tenant].encode()))
            status, fields, _ = reader.answer()
        except (EOFError, OSError):
            status, fields, sock = 0, {}, None
        seen.append((sent, tenant, status))
        if status != 200:
            again = fields.get("retry-after", "-")
            bed.record.note(f"{name} /look/{thing}: {status} Retry-After {again}")
        # A client honours Retry-After up to a third of the time that it has left.
        gevent.sleep(max(PAUSE_S, min(float(fields.get("retry-after", 0)), 1.3)))


def share_of(seen, tenant, start):
    """Return the share of the requests since `start` that were served."""
    statuses = [s for sent, t, s in seen if sent >= start and tenant in ("", t)]
    return sum(status == 200 for status in statuses) / max(len(statuses), 1)


def run():
    """Run the case and return its exit code."""
    seen, is_over = [], [False]
    with b.Bed(Path(__file__).parent, {"norte-a": "norte", "norte-b": "norte"}) as bed:
        for i in range(INSTANCES):
            bed.add_instance(
                f"i-{i}", "ledger", ("norte-a", "norte-b")[i % 2], slots=9,
                work=lambda _: WORK_S,
            )  # fmt: skip
        bed.configure(
            {
                "look": b.route(
                    "/look/", "safe", "ledger", timeout_s=4.0, goal_s=0.6, sticky=True,
                    max_attempts=1,
                )
            },
            {"ledger": {"health_path": b.HEALTH_PATH, "max_conns": 360}},
            {
                name: {"api_keys": [key], "rate_per_s": 0, "burst": 0}
                for name, key in KEY_BY_TENANT.items()
            },
        )  # fmt: skip
        for number, zone in enumerate(("norte-a", "norte-b")):
            bed.start_vm(f"vm-{number}", zone)
        bed.await_ready()
        gevent.sleep(3.0)
        callers = [
            gevent.spawn(call, bed, vm, tenant, caller, seen, is_over)
            for vm in bed.vms.values()
            for tenant in KEY_BY_TENANT
            for caller in range(CALLERS_BY_TENANT[tenant])
        ]
        gevent.sleep(CALM_S)
        before = share_of(seen, "dojo-1", 0)
        bed.record.note(f"dojo-1 served so far: {before:.2f}")
        if b.TROUBLE:
            first = max(bed.instances.values(), key=lambda i: _rosters(i))
            first.stop()
            bed.record.note(f"{first.name}, one of {INSTANCES} instances, has crashed")
        gevent.sleep(DOWN_S)
        if b.TROUBLE:
            first.restart(0.0)
            bed.record.note(f"{first.name} is back")
        gevent.sleep(SETTLE_S)
        start = b.now()
        gevent.sleep(JUDGED_S)
        is_over[0] = True
        gevent.joinall(callers, timeout=5)
        one, every = share_of(seen, "dojo-1", 0), share_of(seen, "", 0)
        later = share_of(seen, "dojo-1", start)
        if before < 0.8:
            raise RuntimeError(f"dojo-1 was not served before: {before:.2f}")
        text = (
            f"whole run: dojo-1 served {one:.3f}, all {every:.3f}; dojo-1 from"
            f" {SETTLE_S:g} s after the instance was back: {later:.3f}"
        )
        return b.finish(bed, one < every / 4, text)


def _rosters(instance):
    return sum(n for name, n in instance.runs.items() if name.startswith("dojo-1"))


b.main(run)
sys.exit(0)
