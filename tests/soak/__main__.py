"""``python -m tests.soak``: play seeds and print what each brought."""

from __future__ import annotations

import signal
import sys
import time

import defopt
import gevent

from tests.soak.run import play


def main(
    *,
    seed: int = 0,
    count: int = 1,
    seconds: float = 15.0,
    vms: int = 4,
    instances: int = 6,
    plant: str = "",
    stop_at_first: bool = False,
) -> int:
    """Play seeds one after the other; the exit status is 1 if a promise was broken.

    Parameters
    ----------
    seed : int
        The first seed; 0 for one from the clock.
    count : int
        How many seeds, each one more than the last.
    seconds : float
        How long faults are played; peace of some seconds follows.
    plant : str
        Name of a known fault to put into the program.
    stop_at_first : bool
        Whether to end with the first seed that finds something.
    """
    # So that a run that is ended ends the VMs that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    # What the proxy breaks is no error of the stand-ins.
    gevent.get_hub().NOT_ERROR += (ConnectionError,)
    first = seed or int(time.time())
    failed = 0
    for number in range(first, first + count):
        verdict = play(number, seconds * 1_000.0, vms, instances, plant)
        failed += bool(verdict.problems)
        state = "FAILED" if verdict.problems else "passed"
        print(
            f"seed {number}: {state}, {verdict.served} of {verdict.requests} served; "
            + ", ".join(verdict.kinds),
            flush=True,
        )
        for problem in verdict.problems[:10]:
            print(f"    {problem}")
        if verdict.problems and stop_at_first:
            break
    print(f"{count - failed} passed, {failed} failed")
    return int(failed > 0)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
