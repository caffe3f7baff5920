"""A bucket that counts over several VMs, embedded without the daemon.

Run from the root: ``python -m examples.embed_limits``. Three VMs in two regions stand
in one process; your own program supplies a transport and the owners instead.
"""

from __future__ import annotations

import gevent
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.limits import BucketSpec, FleetLimiter, GrantReply, GrantRequest
from lagoonlatch.ownership import Owner

REGION_BY_VM = {"north-1": "north", "north-2": "north", "south-1": "south"}
OWNER_BY_REGION = {"north": Owner("north-1", 1), "south": Owner("south-1", 1)}
BUCKET = BucketSpec("organisation/dojo", 5.0, 5, {"north": 1.0, "south": 1.0})


class FixedOwnership:
    """The owner of a region's only slot, as one VM knows it."""

    def __init__(self, owner: Owner, me: str) -> None:
        self._owner = owner
        self._me = me

    def slot_of(self, key: str) -> int:
        """Return the only slot."""
        return 0

    def owner_of(self, slot: int) -> Owner:
        """Return the owner."""
        return self._owner

    def owners(self) -> frozenset[Owner]:
        """Return all owners."""
        return frozenset({self._owner})

    def owned_since(self, slot: int) -> Millis | None:
        """Return a time long past on the owner itself."""
        return 0.0 if self._owner.vm == self._me else None


class LocalTransport:
    """Carries grant calls within the process, 20 ms each way between regions."""

    def __init__(self, me: str, limiter_by_vm: dict[str, FleetLimiter]) -> None:
        self._me = me
        self._limiter_by_vm = limiter_by_vm

    def grant(
        self, vm_id: str, request: GrantRequest, deadline: Millis
    ) -> Result[GrantReply, str]:
        """Return the answer of another VM's limiter."""
        far = REGION_BY_VM[self._me] != REGION_BY_VM[vm_id]
        gevent.sleep(0.020 if far else 0.0005)
        reply = self._limiter_by_vm[vm_id].serve_grant(request)
        gevent.sleep(0.020 if far else 0.0005)
        return Success(reply)


def build_fleet() -> dict[str, FleetLimiter]:
    """Return the limiter of each VM."""
    limiter_by_vm: dict[str, FleetLimiter] = {}
    for vm, region in REGION_BY_VM.items():
        ownership_by_scope = {
            scope: FixedOwnership(owner, vm) for scope, owner in OWNER_BY_REGION.items()
        }
        limiter_by_vm[vm] = FleetLimiter(
            Owner(vm, 1),
            region,
            ownership_by_scope,
            LocalTransport(vm, limiter_by_vm),
            {BUCKET.id: BUCKET}.get,
            Clock(),
        )
        limiter_by_vm[vm].configure([BUCKET])
        gevent.spawn(limiter_by_vm[vm].run)
    return limiter_by_vm


def main() -> None:
    """Send 16 requests at once through all VMs; the burst is 5, the rate 5 a second."""
    limiter_by_vm = build_fleet()
    names = [name for _round in range(6) for name in REGION_BY_VM][:16]
    calls = [gevent.spawn(limiter_by_vm[name].admit, BUCKET.id) for name in names]
    gevent.joinall(calls)
    for name, call in zip(names, calls, strict=True):
        match call.value:
            case Success(_):
                print(f"{name}: admitted")
            case Failure(refusal):
                wait = refusal.retry_after
                print(f"{name}: refused ({refusal.reason.value}), in {wait:.0f} ms")


if __name__ == "__main__":
    main()
