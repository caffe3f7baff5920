"""A demonstration of entry VMs: served while one is killed and an upstream leaves.

``python -m lagoonlatch.standins.entry_demo`` exits with 0 only if no answer was wrong
and no booking ran twice.
"""

from gevent import monkey

monkey.patch_all()

import signal
import sys
from collections import Counter

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.standins.entry_fleet import EntryFleet, EntryVm, ask

DURATION: Millis = 6_000.0
PACE: Millis = 25.0
RIGHT_STATUSES = frozenset({0, 200, 502, 503, 504})
"""Callers of a VM that is killed get no answer or a failure that promises nothing."""

LEAST_SERVED = 0.9


def main() -> int:
    """Run the demonstration and print what callers got."""
    statuses: Counter[int] = Counter()
    with EntryFleet(vms=3, instances=6) as fleet:
        clock = Clock()
        end = clock.now() + DURATION
        bookings: list[str] = []

        def call(vm_id: str) -> None:
            number = 0
            while clock.now() < end:
                gevent.sleep(PACE / MILLIS_PER_SECOND)
                number += 1
                name = f"{vm_id}-{number}"
                vm: EntryVm = fleet.vms_by_id[vm_id]
                if number % 3:
                    statuses[ask(vm, name)] += 1
                else:
                    bookings.append(name)
                    statuses[ask(vm, name, "POST", "/book/1")] += 1

        callers = [gevent.spawn(call, vm_id) for vm_id in fleet.vms_by_id]
        gevent.sleep(1.5)
        fleet.signal("vm-1", signal.SIGTERM)
        gevent.sleep(1.0)
        fleet.store.remove("servers/i-0")
        fleet.signal("vm-2", signal.SIGKILL)
        fleet.vms_by_id["vm-2"].process.wait()
        fleet.start_vm("vm-2", "s-a", first=False)
        gevent.joinall(callers)
        twice = [name for name in bookings if fleet.runs(name) > 1]
    # Callers of the two VMs that end don't look for another one here.
    answered = sum(count for status, count in statuses.items() if status)
    served = statuses[200] / max(answered, 1)
    wrong = {status for status in statuses if status not in RIGHT_STATUSES}
    print(f"statuses {dict(statuses)}; served {served:.1%} of the answered")
    print(f"bookings {len(bookings)}, run twice {len(twice)}; wrong answers {wrong}")
    return 0 if not wrong and not twice and served >= LEAST_SERVED else 1


if __name__ == "__main__":
    sys.exit(main())
