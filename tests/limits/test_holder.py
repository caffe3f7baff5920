import pytest
from returns.result import Failure

from lagoonlatch.limits import BucketSpec, FleetLimiter
from lagoonlatch.ownership import Owner
from lagoonlatch.standins.manual_clock import ManualClock

SPEC = BucketSpec("tested", 1.0, 4, {"near": 1.0, "far": 1.0})


class Ownership:
    def __init__(self, owner):
        self._owner = owner

    def slot_of(self, _key):
        return 0

    def owner_of(self, _slot):
        return self._owner

    def owned_since(self, _slot):
        return None


class RecordingTransport:
    """A transport that records the called VMs and never replies."""

    def __init__(self):
        self.called_vms = []

    def grant(self, vm_id, _request, _deadline):
        self.called_vms.append(vm_id)
        return Failure("no answer")


@pytest.mark.parametrize("own_scope", ["elsewhere", "near"])
def test_nearest_shard_is_asked_first_and_the_others_if_it_does_not_reply(own_scope):
    transport = RecordingTransport()
    owner_by_scope = {name: Owner(f"{name}-vm", 1) for name in ("near", "far")}
    limiter = FleetLimiter(
        Owner("me", 1),
        own_scope,
        {scope: Ownership(owner) for scope, owner in owner_by_scope.items()},
        transport,
        {SPEC.id: SPEC}.get,
        ManualClock(),
        {"near": 1.0, "far": 2.0}.get,
    )
    limiter.admit(SPEC.id)
    assert transport.called_vms == ["near-vm", "far-vm"]
