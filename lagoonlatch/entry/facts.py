"""The decoded content of the store: configuration, evacuations, upstreams and VMs."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from returns.result import Failure, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.events import (
    ConfigurationInForce,
    ConfigurationUncertain,
    ConfigurationUnreadable,
    EntryFailed,
    EvacuationsChanged,
    FactsRead,
    LogEvent,
    RestoreSettled,
    RestoreSettling,
    RosterEntryOdd,
    RouteKindsUnknown,
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
    EVACUATION_PREFIX,
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

MISSING_ENTRY_HOLD_TIME: Millis = 5_000.0
"""How long entries of VMs and operators that a restored store lacks stay in force. A VM
writes its entry again within the duration of its lease."""

OLDER_ENTRY_HOLD_TIME: Millis = 10_000.0
"""How long entries of a restored store that are older than what is known are ignored.
The store removes the entries of upstreams that have left after three of their
heartbeats."""

UNCERTAIN_CONFIGURATION_TIME: Millis = 5_000.0
"""Longest time for which a VM that starts waits for a later configuration than that of
the store, while other VMs may have one. Entries of VMs that have died end within it."""

REMOVED_ENTRY_LIFETIME: Millis = 60_000.0
"""How long removed entries are remembered, since a copy of the store may contain them;
well above the age of a copy."""

HOLD_TIME: Millis = 2_300.0
"""How long upstreams without entries are held after an outage. Upstreams whose entries
lapsed during the outage write them again within two seconds of its end."""


@dataclass(frozen=True)
class _Unsettled:
    """What a restored store holds for a key, while something else is in force.

    Parameters
    ----------
    entry : Entry or None
        None if the store lacks the key.
    until : Millis
        When the store's content comes into force.
    version : int
        Of a configuration, its version; 0 if it can't be read.
    """

    entry: Entry | None
    until: Millis
    version: int = 0


class Facts:
    """Keep the newest facts and notify listeners of changes.

    A fact is what an entry of the store says.

    A restored store may lack entries that are in force, and bring back others that were
    replaced or removed. Their owners write them again. Until then, for a limited time,
    the newer facts stay in force; any change of the key in the new era ends that.

    Attributes
    ----------
    rules : TrafficRules or None
        None until a configuration is known.
    configuration : Entry or None
        The entry that contains `rules`.
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
        self.configuration: Entry | None = None
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
        self._era = 0
        self._has_snapshot = False
        self._first_snapshot_at: Millis = math.inf
        self._roster_has_changed = False
        self._entry_by_key: dict[str, Entry] = {}
        self._hold_until: Millis = 0.0
        self._current_at: Millis = clock.now()
        self._held_ids: set[str] = set()
        self._odd_keys: set[str] = set()
        self._unsettled_by_key: dict[str, _Unsettled] = {}
        self._is_settling = False
        self._removed_by_key: dict[str, tuple[Entry, Millis]] = {}

    @property
    def is_configuration_uncertain(self) -> bool:
        """Whether no configuration is in force because the store's may be old."""
        return self._is_uncertain(CONFIGURATION_KEY)

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
        unsettled = self._unsettled_by_key
        stored = [
            entry for key, entry in self._entry_by_key.items() if key not in unsettled
        ]
        stored += [held.entry for held in unsettled.values() if held.entry is not None]
        return stored

    def hold_missing_upstreams(self, duration: Millis = HOLD_TIME) -> None:
        """Keep using upstreams whose entries are gone for `duration`.

        Entries lapse in an outage of the store although their upstreams still work.
        """
        self._hold_until = max(self._hold_until, self._clock.now() + duration)

    def hold_left(self) -> Millis:
        """Return how long upstreams whose entries are gone are still held."""
        return max(self._hold_until - self._clock.now(), 0.0)

    def may_miss_vms(self) -> bool:
        """Return whether VMs may be present that have no entry.

        VMs whose entries lapsed during an outage write them again within the same time
        as upstreams. A VM that starts may read the store just after an outage that it
        hasn't noticed.
        """
        return self._is_new() or self.hold_left() > 0.0

    def vms_without_entry_at_start(self) -> frozenset[str]:
        """Return the VMs of the roster without an entry, shortly after the start.

        If they started in an outage as well, they don't know this VM either. Later this
        VM knows those that are present, and the result is empty.
        """
        if not self._is_new():
            return frozenset()
        return frozenset(self.roster.keys() - self.vms_by_id.keys())

    def _is_new(self) -> bool:
        return self._clock.now() - self._first_snapshot_at < HOLD_TIME

    def apply_snapshot(self, entries: Sequence[Entry], era: int = 0) -> None:
        """Replace all facts by `entries` of the store in its era `era`."""
        self._era = era
        present = {entry.key for entry in entries}
        held = self._unsettled_by_key
        for key in dict.fromkeys([*self._entry_by_key, *held]):
            is_held = key in held and held[key].entry is None
            if key not in present and not is_held:
                self._settle(key)
                self._remove_entry(key, is_removal=True)
        for entry in _with_configuration_last(entries):
            if not self._hold_uncertain_configuration(entry):
                self._apply_new_entry(entry)
        if not self._has_snapshot:
            self._has_snapshot = True
            self._first_snapshot_at = self._clock.now()
            emit(FactsRead(upstreams=len(self.fleet.ids()), vms=len(self.vms_by_id)))
        self._notify_listeners()

    def apply_restored_snapshot(self, entries: Sequence[Entry], era: int) -> None:
        """Apply the entries of a store that was restored since the known facts."""
        self._era = era
        now = self._clock.now()
        self._unsettled_by_key.clear()
        self._is_settling = True
        self.hold_missing_upstreams()
        # Revisions of earlier eras are lower than all of the new one.
        self._entry_by_key = {
            key: replace(entry, revision=0) for key, entry in self._entry_by_key.items()
        }
        present = {entry.key for entry in entries}
        missing_upstreams = 0
        for key in [key for key in self._entry_by_key if key not in present]:
            if key.startswith(UPSTREAM_PREFIX):
                missing_upstreams += 1
                self._remove_entry(key)
            else:
                until = now + MISSING_ENTRY_HOLD_TIME
                self._unsettled_by_key[key] = _Unsettled(None, until)
        for entry in _with_configuration_last(entries):
            if self._hold_uncertain_configuration(entry):
                continue
            known = self._entry_by_key.get(entry.key)
            if known is not None and known.value == entry.value:
                self._entry_by_key[entry.key] = entry
            elif self._is_older(entry):
                until = now + OLDER_ENTRY_HOLD_TIME
                self._unsettled_by_key[entry.key] = _Unsettled(entry, until)
            else:
                self._apply_entry(entry)
        older = [key for key, held in self._unsettled_by_key.items() if held.entry]
        older_upstreams = sum(key.startswith(UPSTREAM_PREFIX) for key in older)
        emit(
            RestoreSettling(
                missing_upstreams=missing_upstreams,
                missing_vms=self.missing_count(VM_PREFIX),
                missing_roster=self.missing_count(ROSTER_PREFIX),
                missing_evacuations=self.missing_count(EVACUATION_PREFIX),
                older_upstreams=older_upstreams,
                older_others=len(older) - older_upstreams,
            )
        )
        self._notify_listeners()

    def settle_restored_entries(self) -> None:
        """Let the content of the restored store come into force where it is due."""
        now = self._clock.now()
        due = [
            key
            for key, held in self._unsettled_by_key.items()
            if held.until <= now
            or (self._is_uncertain(key) and not self._is_later_possible(held.version))
        ]
        for key in due:
            entry = self._settle(key)
            if entry is None:
                self._remove_entry(key, is_removal=True)
            else:
                self._apply_entry(entry)
        if due:
            self._notify_listeners()
        if self._is_settling and not (self._unsettled_by_key or self._held_ids):
            self._is_settling = False
            emit(RestoreSettled())

    def missing_count(self, prefix: str) -> int:
        """Return how many entries are in force although a restored store lacks them."""
        return sum(
            held.entry is None and key.startswith(prefix)
            for key, held in self._unsettled_by_key.items()
        )

    def older_count(self) -> int:
        """Return how many entries of a restored store are ignored as older."""
        return sum(held.entry is not None for held in self._unsettled_by_key.values())

    def put_configuration_in_force(self, text: bytes, revision: int) -> None:
        """Put a configuration from another VM in force, unless a later one is known."""
        odd = self._update_rules(Entry(CONFIGURATION_KEY, text, revision))
        if odd is not None:
            emit(odd)

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in their order."""
        for change in changes:
            if change.value is None:
                known = self._entry_by_key.get(change.key)
                # The entry may be newer than a change that arrived by another path.
                if known is None or known.revision < change.revision:
                    self._settle(change.key)
                    self._remove_entry(change.key, is_removal=True)
            else:
                self._apply_new_entry(Entry(change.key, change.value, change.revision))
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

    def _hold_uncertain_configuration(self, entry: Entry) -> bool:
        """Hold the first known configuration if VMs may have a later one in force.

        Returns False if `entry` isn't held.
        """
        if entry.key != CONFIGURATION_KEY or entry.key in self._entry_by_key:
            return False
        if entry.key in self._unsettled_by_key or self.rules is not None:
            return False
        version = decode_configuration(entry.value).map(lambda r: r.version).value_or(0)
        if not self._is_later_possible(version):
            return False
        until = self._clock.now() + UNCERTAIN_CONFIGURATION_TIME
        self._unsettled_by_key[entry.key] = _Unsettled(entry, until, version)
        emit(ConfigurationUncertain(version=version, latest=self._latest_version()))
        return True

    def _is_later_possible(self, version: int) -> bool:
        """Return whether a VM may have a later configuration in force.

        VMs state its version in their entries, which they write again after a restore.
        """
        return self._latest_version() > version or any(
            vm.era is not None and vm.era < self._era for vm in self.vms_by_id.values()
        )

    def _latest_version(self) -> int:
        versions = (vm.configuration_version for vm in self.vms_by_id.values())
        return max(versions, default=0)

    def _apply_new_entry(self, entry: Entry) -> None:
        """Apply an entry that the store has written in its present era."""
        held = self._unsettled_by_key.get(entry.key)
        if held is None or held.entry is None or held.entry.revision < entry.revision:
            self._settle(entry.key)
            self._apply_entry(entry)

    def _is_uncertain(self, key: str) -> bool:
        is_held = key == CONFIGURATION_KEY and key in self._unsettled_by_key
        return is_held and self.rules is None

    def _settle(self, key: str) -> Entry | None:
        """Hold a key no longer; return what the restored store holds for it."""
        held = self._unsettled_by_key.pop(key, None)
        return held.entry if held is not None else None

    def _is_older(self, entry: Entry) -> bool:
        """Return whether an entry of a restored store is older than what is known.

        Upstreams and VMs number what they write. Of other keys it is only known which
        entries were removed.
        """
        known, was_removed = self._entry_by_key.get(entry.key), False
        if known is None:
            known, removed_at = self._removed_by_key.get(entry.key, (None, 0.0))
            was_removed = known is not None
            if self._clock.now() - removed_at > REMOVED_ENTRY_LIFETIME:
                known = None
        if known is None:
            return False
        order, known_order = _order_of(entry), _order_of(known)
        if order is None or known_order is None:
            return was_removed and entry == known
        return order < known_order or (was_removed and order == known_order)

    def _apply_entry(self, entry: Entry) -> None:
        key = entry.key
        known = self._entry_by_key.get(key)
        if known is not None and known.revision >= entry.revision:
            return
        self._entry_by_key[key] = entry
        self._removed_by_key.pop(key, None)
        try:
            odd = self._apply_value(entry)
        except Exception as error:
            # Any exception: one entry must not end the task that follows the store.
            odd = EntryFailed(entry=key, why=repr(error))
        if odd is None:
            self._odd_keys.discard(key)
        elif key not in self._odd_keys:
            # An entry that is written again at intervals is logged once.
            self._odd_keys.add(key)
            emit(odd)

    def _apply_value(self, entry: Entry) -> LogEvent | None:
        """Apply the value of an entry; return an event if it can't be read."""
        key, value = entry.key, entry.value
        if key == CONFIGURATION_KEY:
            return self._update_rules(entry)
        if (data_centre := evacuated_data_centre(key)) is not None:
            self._set_evacuated(self._evacuated_data_centres | {data_centre})
        elif key.startswith(UPSTREAM_PREFIX):
            return self._update_upstream(key, value)
        elif key.startswith(VM_PREFIX):
            return self._update_vm(key, value)
        elif key.startswith(ROSTER_PREFIX):
            return self._update_roster(key, value)
        return None

    def _remove_entry(self, key: str, is_removal: bool = False) -> None:
        """Remove an entry.

        Parameters
        ----------
        is_removal : bool
            Whether it is known that the key was removed; a restored store may only have
            lost it.
        """
        entry = self._entry_by_key.pop(key, None)
        if entry is not None and is_removal:
            self._remember_removed(entry)
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

    def _remember_removed(self, entry: Entry) -> None:
        now = self._clock.now()
        self._removed_by_key[entry.key] = (entry, now)
        # The dictionary is in the order of removal.
        for key, (_, removed_at) in list(self._removed_by_key.items()):
            if now - removed_at <= REMOVED_ENTRY_LIFETIME:
                break
            del self._removed_by_key[key]

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
                self._call_listener(listener)
        if not self._roster_has_changed:
            return
        self._roster_has_changed = False
        for listener in self._roster_listeners:
            self._call_listener(listener, self.roster)

    @staticmethod
    def _call_listener(listener: Callable[..., None], *facts: object) -> None:
        try:
            listener(*facts)
        except Exception as error:
            # Any exception: one entry must not end the task that follows the store.
            emit(EntryFailed(entry="", why=repr(error)))

    def _update_rules(self, entry: Entry) -> LogEvent | None:
        decoded = decode_configuration(entry.value)
        if isinstance(decoded, Failure):
            return ConfigurationUnreadable(why=decoded.failure())
        rules = decoded.unwrap()
        if self.rules is not None and rules.version <= self.rules.version:
            return None
        self.rules = rules
        self.configuration = entry
        self.fleet.configure(rules.services_by_id)
        emit(
            ConfigurationInForce(
                version=rules.version,
                routes=sum(len(routes) for routes in rules.routes_by_host.values()),
                organisations=len(rules.organisations_by_id),
            )
        )
        if rules.unknown_kinds:
            kinds = ",".join(sorted(rules.unknown_kinds))
            emit(RouteKindsUnknown(version=rules.version, kinds=kinds))
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


def _with_configuration_last(entries: Iterable[Entry]) -> list[Entry]:
    """Return the entries in an order in which the VMs come before the configuration."""
    return sorted(entries, key=lambda entry: entry.key == CONFIGURATION_KEY)


def _order_of(entry: Entry) -> tuple[float, int] | None:
    """Return the order of what an upstream or a VM has written; None if unknown."""
    if entry.key.startswith(UPSTREAM_PREFIX):
        return (
            decode_upstream(entry.key, entry.value)
            .map(lambda r: r.order)
            .value_or(None)
        )
    if entry.key.startswith(VM_PREFIX):
        return decode_vm(entry.key, entry.value).map(lambda r: r.order).value_or(None)
    return None
