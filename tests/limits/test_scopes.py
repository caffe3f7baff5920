"""A VM may own shards of other scopes, as when a data centre has no VM of its own."""

import pytest
from returns.result import Failure, Success

from lagoonlatch.limits import BucketSpec, FleetLimiter
from lagoonlatch.ownership import Owner
from lagoonlatch.standins.manual_clock import ManualClock

SPEC = BucketSpec("tested", 0.001, 4, {"a-1": 1.0, "a-2": 1.0})
X, Y = Owner("x", 1), Owner("y", 1)


class Ownership:
    """A scope whose only slot is owned by `X`."""

    def __init__(self, this_vm):
        self._this_vm = this_vm

    def slot_of(self, _key):
        return 0

    def owner_of(self, _slot):
        return X

    def owned_since(self, _slot):
        return -1e9 if self._this_vm == X else None


class Transport:
    def __init__(self, limiter_by_vm):
        self._limiter_by_vm = limiter_by_vm

    def grant(self, vm_id, request, _deadline):
        if vm_id not in self._limiter_by_vm:
            return Failure("no such VM")
        return Success(self._limiter_by_vm[vm_id].serve_grant(request))


@pytest.fixture
def limiter_by_vm():
    limiters = {}
    for this_vm in (X, Y):
        limiters[this_vm.vm] = FleetLimiter(
            this_vm,
            "a-1",
            {scope: Ownership(this_vm) for scope in ("a-1", "a-2")},
            Transport(limiters),
            {SPEC.id: SPEC}.get,
            ManualClock(),
        )
    return limiters


@pytest.mark.parametrize("vm", ["x", "y"])
def test_whole_burst_is_admitted_with_both_shards_on_one_vm(limiter_by_vm, vm):
    admitted = [
        isinstance(limiter_by_vm[vm].admit(SPEC.id), Success) for _request in range(6)
    ]
    assert admitted == [True] * 4 + [False] * 2
