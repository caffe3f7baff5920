"""The ownership scopes of a fleet, and this VM's keepers of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import gevent

from lagoonlatch.clock import Clock
from lagoonlatch.config.model import Configuration
from lagoonlatch.events import EventLog
from lagoonlatch.membership import Membership, VmRecord
from lagoonlatch.ownership import Candidate, Owner, OwnershipKeeper, PlatformView
from lagoonlatch.platform.store import Store, VmList
from lagoonlatch.upstreams.instance import InstanceKey

_OWN_DATA_CENTRE = 0
_OTHER_DATA_CENTRE = 1


class Scopes:
    """Keepers for the buckets' shards and the instances of each data centre.

    The scope of a data centre is its id. This VM takes part in the scopes of its own
    region and only learns the others. What belongs to a data centre is owned by its
    own VMs, or, if it has none, by others of its region.

    Parameters
    ----------
    on_change : callable
        Called when the slots change that this VM may act for.
    """

    def __init__(
        self,
        store: Store,
        vm_list: VmList,
        me: Owner,
        data_centre: str,
        region: str,
        membership: Membership,
        clock: Clock,
        event_log: EventLog,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._vm_list = vm_list
        self._me = me
        self._region = region
        self._membership = membership
        self._clock = clock
        self._event_log = event_log
        self._on_change = on_change
        self._running: list[gevent.Greenlet] = []
        self._own_keepers: list[OwnershipKeeper] = []
        self.keeper_by_scope: dict[str, OwnershipKeeper] = {}
        self._add(data_centre, region)

    def configure(self, configuration: Configuration) -> None:
        """Add keepers for the data centres that are new."""
        for data_centre, item in configuration.data_centres_by_id.items():
            if data_centre not in self.keeper_by_scope:
                self._add(data_centre, item.region)

    def owner_of(self, data_centre: str, key: InstanceKey) -> Owner | None:
        """Return the owner of an instance as far as known."""
        keeper = self.keeper_by_scope.get(data_centre)
        return keeper.owner_of(keeper.slot_of(str(key))) if keeper else None

    def owned_instances(self, configuration: Configuration) -> set[InstanceKey]:
        """Return the instances that this VM may act for."""
        return {
            InstanceKey(service_id, upstream_id)
            for service_id, service in configuration.services_by_id.items()
            for upstream_id, upstream in service.upstreams_by_id.items()
            if self._owns(upstream.data_centre, InstanceKey(service_id, upstream_id))
        }

    def revisions(self) -> Mapping[str, int]:
        """Return the newest revision held of each scope."""
        return {
            scope: keeper.revision() for scope, keeper in self.keeper_by_scope.items()
        }

    def owned_slots(self) -> dict[str, frozenset[int]]:
        """Return the slots of each scope that this VM may act for."""
        owned = {
            scope: keeper.owned_slots()
            for scope, keeper in self.keeper_by_scope.items()
        }
        return {scope: slots for scope, slots in owned.items() if slots}

    def hand_over(self) -> None:
        """Stop acting for all slots and give them away."""
        for keeper in self._own_keepers:
            keeper.hand_over()

    def stop(self) -> None:
        """End the keepers' rounds."""
        gevent.killall(self._running)

    def _owns(self, data_centre: str, key: InstanceKey) -> bool:
        keeper = self.keeper_by_scope.get(data_centre)
        return keeper is not None and keeper.owns(keeper.slot_of(str(key)))

    def _add(self, data_centre: str, region: str) -> None:
        view = PlatformView(
            self._store,
            self._vm_list,
            lambda: self._candidates(region, data_centre),
            self._membership.incarnation_of,
        )
        keeper = OwnershipKeeper(
            self._store,
            data_centre,
            self._me,
            view,
            self._clock,
            self._event_log,
            on_change=self._on_change,
        )
        self.keeper_by_scope[data_centre] = keeper
        if region == self._region:
            self._own_keepers.append(keeper)
            self._running.append(gevent.spawn(keeper.run))

    def _candidates(self, region: str, data_centre: str) -> Iterable[Candidate]:
        return tuple(
            Candidate(Owner(vm.id, vm.incarnation), _preference(vm, data_centre))
            for vm in self._membership.alive(region=region)
            if not vm.leaving and vm.incarnation
        )


def _preference(vm: VmRecord, data_centre: str) -> int:
    if vm.data_centre != data_centre:
        return _OTHER_DATA_CENTRE
    return _OWN_DATA_CENTRE
