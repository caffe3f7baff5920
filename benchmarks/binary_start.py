"""What the binary costs: size, unpacked size, start-up time, memory, processes.

Run ``python benchmarks/binary_start.py``; prints JSON.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from lagoonlatch.binary import build
from lagoonlatch.standins.waiting import wait_for_port

ADDRESS = "127.16.0.10"
PLATFORM = "127.16.0.1:2379"
CALLERS_PORT = 8080
BASE_PYTHON = Path(sys.base_prefix, "bin", "python3")
SERVE = [
    *("serve", "--vm", "bench-a", "--address", ADDRESS, "--data-centre", "norte-1"),
    *("--region", "norte", "--platform", PLATFORM),
]
BYTES_PER_MB = 1e6
SETTLE_SECONDS = 3
REPEATS = 5


def main():
    with tempfile.TemporaryDirectory() as folder:
        binary = Path(folder, "lagoonlatch")
        build(binary)
        environment = {**os.environ, "SHIV_ROOT": str(Path(folder, "unpacked"))}
        environment.pop("PYTHONPATH", None)
        command = [str(BASE_PYTHON), str(binary)]
        source = [sys.executable, "-m", "lagoonlatch"]
        first = seconds_of([*command, "version"], environment)
        later = [seconds_of([*command, "version"], environment) for _ in range(REPEATS)]
        report = {
            "binary MB": binary.stat().st_size / BYTES_PER_MB,
            "unpacked MB": size_of(Path(folder, "unpacked")) / BYTES_PER_MB,
            "first start s": first,
            "later start s": min(later),
            "from source, later start s": min(
                seconds_of([*source, "version"], environment) for _ in range(REPEATS)
            ),
            "serve, binary": serve([*command, *SERVE], environment),
            "serve, source": serve([*source, *SERVE], environment),
        }
    print(json.dumps(report, indent=2, default=str))


def seconds_of(command, environment):
    began = time.monotonic()
    subprocess.run(command, env=environment, check=True, capture_output=True)
    return round(time.monotonic() - began, 3)


def size_of(folder):
    """Blocks in use, as a file system in memory charges them."""
    return sum(file.lstat().st_blocks * 512 for file in folder.rglob("*"))


def serve(command, environment):
    began = time.monotonic()
    process = subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL)
    try:
        wait_for_port(ADDRESS, CALLERS_PORT)
        listening = time.monotonic() - began
        time.sleep(SETTLE_SECONDS)
        seen = psutil.Process(process.pid)
        return {
            "listening after s": round(listening, 3),
            "resident MB": round(seen.memory_info().rss / BYTES_PER_MB, 1),
            "processor s until then": round(sum(seen.cpu_times()[:2]), 2),
            "threads": seen.num_threads(),
            "child processes": len(seen.children(recursive=True)),
        }
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    main()
