"""The decoded content of the store: configuration, evacuations, upstreams and VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from returns.result import Failure, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.events import (
    ConfigurationInForce,
    ConfigurationUnreadable,
    EntryFailed,
    EvacuationsChanged,
    FactsRead,
    LogEvent,
    RosterEntryOdd,
    UpstreamEntryOdd,
    UpstreamGone,
    UpstreamHeld,
    UpstreamKnown,
    VmEntryOdd,
    VmGone,
    VmKnown,
)
from lagoonlatch.entry.journal import emit
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.operator_keys import (
    CONFIGURATION_KEY,
    decode_configuration,
    evacuated_data_centre,
)
from lagoonlatch.platform.registrations import (
    ROSTER_PREFIX,
    UPSTREAM_PREFIX,
    VM_PREFIX,
    decode_roster,
    decode_upstream,
    decode_vm,
)
from lagoonlatch.platform.store import Entry
from lagoonlatch.steering.model import TrafficRules, VmRecord
from lagoonlatch.steering.upstreams import UpstreamTable

HOLD_TIME: Millis = 2_300.0
"""How long upstreams without entries are held after an outage. Upstreams whose entries
lapsed during the outage write them again within two seconds of its end."""


class Facts:
    """Keep the newest facts and notify listeners of changes.

    A fact is what an entry of the store says.

    Attributes
    ----------
    rules : TrafficRules or None
        None until a configuration is known.
    vms_by_id : dict of str to VmRecord
        The VMs that have an entry.
    known_vms_by_id : dict of str to VmRecord
        The newest record of each VM, including VMs whose entry is gone.
    roster : dict of str to str
        The data centres, by id, of all VMs that have a share of what is divided among
        VMs, such as organisations' allowances.
    """

    def __init__(self, fleet: UpstreamTable, clock: Clock) -> None:
        self.fleet = fleet
        self.rules: TrafficRules | None = None
        self.vms_by_id: dict[str, VmRecord] = {}
        self.known_vms_by_id: dict[str, VmRecord] = {}
        self.roster: dict[str, str] = {}
        self._clock = clock
        self._evacuated_data_centres: set[str] = set()
        self._rules_listeners: list[Callable[[TrafficRules], None]] = []
        self._roster_listeners: list[Callable[[Mapping[str, str]], None]] = []
        self._vm_listeners: list[Callable[[], None]] = []
        self._vms_have_changed = False
        self._upstream_gone_listeners: list[Callable[[str], None]] = []
        self._has_snapshot = False
        self._roster_has_changed = False
        self._entry_by_key: dict[str, Entry] = {}
        self._hold_until: Millis = 0.0
        self._current_at: Millis = clock.now()
        self._held_ids: set[str] = set()
        self._odd_keys: set[str] = set()

    def add_rules_listener(self, listener: Callable[[TrafficRules], None]) -> None:
        """Call `listener` with each new configuration."""
        self._rules_listeners.append(listener)

    def add_roster_listener(
        self, listener: Callable[[Mapping[str, str]], None]
    ) -> None:
        """Call `listener` with the data centres of the roster's VMs when it changes."""
        self._roster_listeners.append(listener)

    def add_vm_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each update that has changed the VMs' entries."""
        self._vm_listeners.append(listener)

    def add_upstream_gone_listener(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each upstream that is gone."""
        self._upstream_gone_listeners.append(listener)

    def note_current(self) -> None:
        """Record that no VM known to this one has newer facts."""
        self._current_at = self._clock.now()

    def age(self) -> Millis:
        """Return how long ago the facts were last confirmed to be current."""
        return self._clock.now() - self._current_at

    def entries(self) -> list[Entry]:
        """Return all entries as the store holds them."""
        return list(self._entry_by_key.values())

    def hold_missing_upstreams(self, duration: Millis = HOLD_TIME) -> None:
        """Keep using upstreams whose entries are gone for `duration`.

        Entries lapse in an outage of the store although their upstreams still work.
        """
        self._hold_until = max(self._hold_until, self._clock.now() + duration)

    def hold_left(self) -> Millis:
        """Return how long upstreams whose entries are gone are still held."""
        return max(self._hold_until - self._clock.now(), 0.0)

    def apply_snapshot(self, entries: Sequence[Entry]) -> None:
        """Replace all facts by `entries`."""
        present = {entry.key for entry in entries}
        for key in [key for key in self._entry_by_key if key not in present]:
            self._remove_entry(key)
        for entry in entries:
            self._apply_entry(entry)
        if not self._has_snapshot:
            self._has_snapshot = True
            emit(FactsRead(upstreams=len(self.fleet.ids()), vms=len(self.vms_by_id)))
        self._notify_listeners()

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in their order."""
        for change in changes:
            if change.value is None:
                known = self._entry_by_key.get(change.key)
                # The entry may be newer than a change that arrived by another path.
                if known is None or known.revision < change.revision:
                    self._remove_entry(change.key)
            else:
                self._apply_entry(Entry(change.key, change.value, change.revision))
        self._notify_listeners()

    def held_count(self) -> int:
        """Return how many upstreams are held although their entries are gone."""
        return len(self._held_ids)

    def odd_count(self) -> int:
        """Return how many entries can't be read or applied."""
        return len(self._odd_keys)

    def remove_missing_upstreams(self) -> None:
        """Remove the held upstreams once the hold time is over."""
        if self._held_ids and self._clock.now() >= self._hold_until:
            held, self._held_ids = self._held_ids, set()
            for upstream_id in held:
                self._drop_upstream(upstream_id)

    def _apply_entry(self, entry: Entry) -> None:
        key, value = entry.key, entry.value
        known = self._entry_by_key.get(key)
        if known is not None and known.revision >= entry.revision:
            return
        self._entry_by_key[key] = entry
        try:
            odd = self._apply_value(key, value)
        except Exception as error:
            # Any exception: one entry must not end the task that follows the store.
            odd = EntryFailed(entry=key, why=repr(error))
        if odd is None:
            self._odd_keys.discard(key)
        elif key not in self._odd_keys:
            # An entry that is written again at intervals is logged once.
            self._odd_keys.add(key)
            emit(odd)

    def _apply_value(self, key: str, value: bytes) -> LogEvent | None:
        """Apply the value of an entry; return an event if it can't be read."""
        if key == CONFIGURATION_KEY:
            return self._update_rules(value)
        if (data_centre := evacuated_data_centre(key)) is not None:
            self._set_evacuated(self._evacuated_data_centres | {data_centre})
        elif key.startswith(UPSTREAM_PREFIX):
            return self._update_upstream(key, value)
        elif key.startswith(VM_PREFIX):
            return self._update_vm(key, value)
        elif key.startswith(ROSTER_PREFIX):
            return self._update_roster(key, value)
        return None

    def _remove_entry(self, key: str) -> None:
        self._entry_by_key.pop(key, None)
        self._odd_keys.discard(key)
        if (data_centre := evacuated_data_centre(key)) is not None:
            self._set_evacuated(self._evacuated_data_centres - {data_centre})
        elif key.startswith(UPSTREAM_PREFIX):
            upstream_id = key.removeprefix(UPSTREAM_PREFIX)
            if self._clock.now() < self._hold_until:
                self._held_ids.add(upstream_id)
                if self.fleet.find(upstream_id) is not None:
                    hold = round(self.hold_left())
                    emit(UpstreamHeld(upstream=upstream_id, hold_ms=hold))
            else:
                self._drop_upstream(upstream_id)
        elif key.startswith(VM_PREFIX):
            vm = key.removeprefix(VM_PREFIX)
            if self.vms_by_id.pop(vm, None) is not None:
                self._vms_have_changed = True
                emit(VmGone(subject=vm))
        elif key.startswith(ROSTER_PREFIX):
            self.roster.pop(key.removeprefix(ROSTER_PREFIX), None)
            self._roster_has_changed = True

    def _update_roster(self, key: str, value: bytes) -> LogEvent | None:
        decoded = decode_roster(key, value)
        if isinstance(decoded, Failure):
            return RosterEntryOdd(why=decoded.failure())
        vm, data_centre = key.removeprefix(ROSTER_PREFIX), decoded.unwrap()
        # A VM writes its data centre at each start; the roster's listeners are only
        # notified if it has changed.
        if self.roster.get(vm) != data_centre:
            self.roster[vm] = data_centre
            self._roster_has_changed = True
        return None

    def _notify_listeners(self) -> None:
        """Call the listeners once an update, since each call rebuilds lists."""
        if self._vms_have_changed:
            self._vms_have_changed = False
            for listener in self._vm_listeners:
                listener()
        if not self._roster_has_changed:
            return
        self._roster_has_changed = False
        for listener in self._roster_listeners:
            listener(self.roster)

    def _update_rules(self, value: bytes) -> LogEvent | None:
        decoded = decode_configuration(value)
        if isinstance(decoded, Failure):
            return ConfigurationUnreadable(why=decoded.failure())
        rules = decoded.unwrap()
        if self.rules is not None and rules.version <= self.rules.version:
            return None
        self.rules = rules
        self.fleet.configure(rules.services_by_id)
        emit(
            ConfigurationInForce(
                version=rules.version,
                routes=sum(len(routes) for routes in rules.routes_by_host.values()),
                organisations=len(rules.organisations_by_id),
            )
        )
        for listener in self._rules_listeners:
            listener(rules)
        return None

    def _set_evacuated(self, data_centres: set[str]) -> None:
        self._evacuated_data_centres = data_centres
        self.fleet.evacuate(frozenset(data_centres))
        emit(EvacuationsChanged(data_centres=",".join(sorted(data_centres))))

    def _update_upstream(self, key: str, value: bytes) -> LogEvent | None:
        decoded = decode_upstream(key, value)
        upstream_id = key.removeprefix(UPSTREAM_PREFIX)
        self._held_ids.discard(upstream_id)
        if isinstance(decoded, Success):
            record = decoded.unwrap()
            self.fleet.put(record, was_running=not self._has_snapshot)
            self._log_change(
                UpstreamKnown(
                    upstream=upstream_id,
                    service=record.service,
                    data_centre=record.data_centre,
                    draining=record.is_draining,
                    cold_ms=round(record.cold_left),
                )
            )
            return None
        self._drop_upstream(upstream_id)
        return UpstreamEntryOdd(upstream=upstream_id, why=decoded.failure())

    def _drop_upstream(self, upstream_id: str) -> None:
        if self.fleet.find(upstream_id) is None:
            return
        self.fleet.remove(upstream_id)
        emit(UpstreamGone(upstream=upstream_id, why="its entry is gone"))
        for listener in self._upstream_gone_listeners:
            listener(upstream_id)

    def _update_vm(self, key: str, value: bytes) -> LogEvent | None:
        decoded = decode_vm(key, value)
        if isinstance(decoded, Failure):
            return VmEntryOdd(why=decoded.failure())
        record = decoded.unwrap()
        self.vms_by_id[record.id] = record
        self.known_vms_by_id[record.id] = record
        self._vms_have_changed = True
        self._log_change(
            VmKnown(subject=record.id, ready=record.is_ready, run=record.run)
        )
        return None

    def _log_change(self, event: LogEvent) -> None:
        """Log a fact, unless it belongs to the first snapshot, logged as one event."""
        if self._has_snapshot:
            emit(event)
