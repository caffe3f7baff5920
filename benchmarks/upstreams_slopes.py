"""What owning instances costs while nothing is sent: processor, memory and bytes.

``python -m benchmarks.upstreams_slopes`` polls one stand-in as if it were 10, 40 and
160 instances and prints JSON: processor time a second, resident memory and bytes on
the wire a second (both ways, without TCP/IP headers), each with its slope.
"""

from __future__ import annotations

import contextlib
import json
import tempfile
import time

import gevent
import psutil

from benchmarks.upstreams_fairness import start
from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.upstreams import connections
from tests.upstreams.processes import build_owner

COUNTS = (10, 40, 160)
SECONDS = 10.0
KILOBYTE = 1024.0


def main() -> None:
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        instance = start(stack, directory, 0)
        traffic = count_bytes()
        points = [measure(instance, count, traffic) for count in COUNTS]
    first, last = points[0], points[-1]
    span = last["instances"] - first["instances"]
    slopes = {
        name: round((last[name] - first[name]) / span, 4)
        for name in first
        if name != "instances"
    }
    print(json.dumps({"points": points, "per_instance": slopes}, indent=2))


def measure(instance, count, traffic):
    owner = build_owner([instance] * count)
    gevent.sleep(2.0)
    processor, sent = time.process_time(), sum(traffic)
    gevent.sleep(SECONDS)
    processor = time.process_time() - processor
    moved = sum(traffic) - sent
    memory = psutil.Process().memory_info().rss
    owner.stop()
    return {
        "instances": count,
        "processor_ms_per_second": round(processor * MILLIS_PER_SECOND / SECONDS, 2),
        "memory_kb": round(memory / KILOBYTE),
        "bytes_per_second": round(moved / SECONDS),
    }


def count_bytes():
    """Count what the sockets of all connections carry from now on."""
    traffic = [0]
    plain = connections.gevent.socket.socket

    class CountingSocket(plain):
        def send(self, *arguments):
            count = super().send(*arguments)
            traffic[0] += count
            return count

        def recv(self, *arguments):
            data = super().recv(*arguments)
            if len(arguments) == 1:
                traffic[0] += len(data)
            return data

    connections.gevent.socket.socket = CountingSocket
    return traffic


if __name__ == "__main__":
    main()
