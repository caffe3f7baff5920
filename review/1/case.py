"""Safe requests that are pipelined over a slow link must get their own answers."""

import sys
import zlib
from pathlib import Path

import bed as b
import gevent
from bed import socket

MBPS = 20.0 if b.TROUBLE else 1000.0
CONNECTIONS = 6
DEPTH = 16
SIZE = 400_000
READ_TIMEOUT_S = 25.0


def body_of(path):
    """Return the bytes that belong to a path alone."""
    line = f"{path} {zlib.crc32(path.encode()):08x}\n".encode()
    return (line * (SIZE // len(line) + 1))[:SIZE]


def call(bed, port, number, found):
    """Pipeline requests on one connection and check each answer."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.settimeout(READ_TIMEOUT_S)
    names = [f"c{number}-{i}" for i in range(DEPTH)]
    for name in names:
        sock.sendall(b.request(name, f"/look/{name}", deadline_ms=21120))
        bed.record.note(f"sent {name}")
    reader = b.Reader(sock)
    for name in names:
        try:
            status, fields, body = reader.answer()
        except (EOFError, OSError) as error:
            bed.record.note(f"{name}: connection ended, {error!r}")
            found["cut"].append(name)
            break
        except (ValueError, KeyError) as error:
            bed.record.note(f"{name}: bytes that are no answer, {error!r}")
            found["odd"].append(name)
            break
        right = body == body_of(f"/look/{name}")
        owner = fields.get("request-id", "")
        bed.record.note(
            f"{name}: {status} Request-Id {owner} {fields.get('server-stamp', '-')}"
            f" {len(body)} bytes, {'right' if right else 'WRONG BYTES'}"
        )
        if status == 200 and (owner != name or not right):
            pairs = zip(body, body_of(f"/look/{name}"), strict=True)
            at = next((i for i, (x, y) in enumerate(pairs) if x != y), -1)
            bed.record.note(f"{name}: differs from byte {at}: {body[at : at + 120]!r}")
            found["wrong"].append(name)
        else:
            found["right"].append(name)
    sock.close()


def run():
    """Run the case and return its exit code."""
    found = {"right": [], "wrong": [], "odd": [], "cut": []}
    with b.Bed(Path(__file__).parent, {"norte-a": "norte"}, MBPS) as bed:
        for i in range(2):
            bed.add_instance(
                f"i-{i}",
                "ledger",
                "norte-a",
                slots=50,
                work=lambda _: 0.02,
                body=body_of,
            )
        bed.configure(
            {"look": b.route("/look/", "safe", "ledger", timeout_s=20.0, goal_s=2.64)},
            {"ledger": {"health_path": b.HEALTH_PATH, "max_conns": 360}},
        )
        vm = bed.start_vm("vm-0", "norte-a")
        bed.await_ready()
        gevent.sleep(1.0)
        link = b.SlowLink(vm.front, MBPS)
        bed.record.note(f"link of {MBPS} Mbit/s for all connections")
        callers = [
            gevent.spawn(call, bed, link.port, i, found) for i in range(CONNECTIONS)
        ]
        gevent.joinall(callers)
        link.stop()
        counts = {kind: len(names) for kind, names in found.items()}
        is_broken = bool(found["wrong"] or found["odd"])
        if not (is_broken or found["right"]):
            raise RuntimeError(f"nothing was answered: {counts}")
        return b.finish(bed, is_broken, f"answers {counts}")


b.main(run)
sys.exit(0)
