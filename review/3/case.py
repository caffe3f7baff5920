"""An unsafe request that has run must not be answered with a promise that it hasn't."""

import random
import sys
from pathlib import Path

import bed as b
import gevent
from bed import socket

FAILING_SHARE = 0.45
REQUESTS = 140
INSTANCES = 8
PROMISES = (408, 421, 429, 503)


def send(bed, port, name, path):
    """Send one request; return its status and Retry-After."""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(8.0)
        sock.sendall(b.request(name, path, "POST", b"belt=green", 6000))
        bed.record.note(f"sent {name} {path}")
        try:
            status, fields, _ = b.Reader(sock).answer()
        except (EOFError, OSError) as error:
            bed.record.note(f"{name}: no answer, {error!r}")
            return 0, 0.0
    wait = float(fields.get("retry-after", "0"))
    bed.record.note(f"{name}: {status} Retry-After {wait:g}")
    return status, wait


def promote(bed, port, number, statuses):
    """Record one promotion, as a client does: once more after a promise."""
    name, path = f"p{number}", f"/book/student-{number}"
    statuses[name], wait = send(bed, port, name, path)
    if statuses[name] in PROMISES:
        gevent.sleep(min(wait, 2.0))
        statuses[f"{name}-again"], _ = send(bed, port, f"{name}-again", path)


def run():
    """Run the case and return its exit code."""
    random.seed(7)
    statuses = {}
    with b.Bed(Path(__file__).parent, {"norte-a": "norte"}) as bed:
        for i in range(INSTANCES):
            bed.add_instance(
                f"i-{i}", "ledger", "norte-a", slots=9, work=lambda _: 0.05
            )
        bed.configure(
            {"book": b.route("/book/", "unsafe", "ledger", timeout_s=6.0, goal_s=0.8)},
            {"ledger": {"health_path": b.HEALTH_PATH, "max_conns": 360}},
        )
        vm = bed.start_vm("vm-0", "norte-a")
        bed.await_ready()
        gevent.sleep(1.0)
        if b.TROUBLE:
            grey = bed.instances["i-0"]
            grey.fails = lambda _path: 503 if random.random() < FAILING_SHARE else 0
            bed.record.note(
                "i-0 fails part of its requests with 503 after it has run them"
            )
        callers = []
        for number in range(REQUESTS):
            callers.append(gevent.spawn(promote, bed, vm.front, number, statuses))
            gevent.sleep(0.04)
        gevent.joinall(callers)
        ran = {}
        for instance in bed.instances.values():
            for name, count in instance.runs.items():
                ran[name] = ran.get(name, 0) + count
        broken = [n for n, s in statuses.items() if s in PROMISES and ran.get(n)]
        twice = [n for n in statuses if ran.get(n) and ran.get(f"{n}-again")]
        for name in broken:
            bed.record.note(f"{name} has run and was answered {statuses[name]}")
        for name in twice:
            bed.record.note(f"the promotion {name} was entered twice")
        if not any(status == 200 for status in statuses.values()):
            raise RuntimeError(f"nothing was served: {statuses}")
        text = (
            f"{len(broken)} of {len(statuses)} unsafe requests had run and were"
            f" answered with a promise; promotions entered twice: {len(twice)}"
        )
        return b.finish(bed, bool(broken), text)


b.main(run)
sys.exit(0)
