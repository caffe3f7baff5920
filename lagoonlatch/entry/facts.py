"""What the store says: configuration, evacuations, upstreams and VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from returns.result import Failure, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.events import (
    ConfigurationInForce,
    ConfigurationUnreadable,
    EvacuationsChanged,
    FactsRead,
    LogEvent,
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

LAPSE_GRACE: Millis = 2_300.0
"""Upstreams whose entries lapsed during an outage are back within two seconds of its
end."""


class Facts:
    """The newest facts, and those told of changes.

    Attributes
    ----------
    rules : TrafficRules or None
        None until a configuration is known.
    vms_by_id : dict of str to VmRecord
        The VMs with a live entry.
    known_vms_by_id : dict of str to VmRecord
        The newest entry of each VM, also of those whose entry is gone.
    roster : dict of str to str
        The data centres of all VMs that share what is divided among VMs, by id.
    """

    def __init__(self, fleet: UpstreamTable, clock: Clock) -> None:
        self.fleet = fleet
        self.rules: TrafficRules | None = None
        self.vms_by_id: dict[str, VmRecord] = {}
        self.known_vms_by_id: dict[str, VmRecord] = {}
        self.roster: dict[str, str] = {}
        self._clock = clock
        self._evacuated: set[str] = set()
        self._on_rules: list[Callable[[TrafficRules], None]] = []
        self._on_roster: list[Callable[[Mapping[str, str]], None]] = []
        self._on_vms: list[Callable[[], None]] = []
        self._vms_have_changed = False
        self._on_upstream_gone: list[Callable[[str], None]] = []
        self._has_read = False
        self._roster_has_changed = False
        self._entry_by_key: dict[str, Entry] = {}
        self._lapsed_until: Millis = 0.0
        self._current_at: Millis = clock.now()
        self._missing_ids: set[str] = set()

    def on_rules(self, listener: Callable[[TrafficRules], None]) -> None:
        """Call `listener` with each new configuration."""
        self._on_rules.append(listener)

    def on_roster(self, listener: Callable[[Mapping[str, str]], None]) -> None:
        """Call `listener` with the data centres of the roster's VMs when it changes."""
        self._on_roster.append(listener)

    def on_vms(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each reading that has changed the VMs' entries."""
        self._on_vms.append(listener)

    def on_upstream_gone(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each upstream that is gone."""
        self._on_upstream_gone.append(listener)

    def note_current(self) -> None:
        """Note that nothing newer is known to any VM that this one can hear."""
        self._current_at = self._clock.now()

    def age(self) -> Millis:
        """Return how long ago the facts were last known to be up to date."""
        return self._clock.now() - self._current_at

    def entries(self) -> list[Entry]:
        """Return all that was read, as the store holds it."""
        return list(self._entry_by_key.values())

    def hold_missing_upstreams(self, duration: Millis = LAPSE_GRACE) -> None:
        """Hold missing upstreams for a while, since entries lapse in an outage."""
        self._lapsed_until = max(self._lapsed_until, self._clock.now() + duration)

    def lapse_left(self) -> Millis:
        """Return for how long missing upstreams are held yet."""
        return max(self._lapsed_until - self._clock.now(), 0.0)

    def apply_snapshot(self, entries: Sequence[Entry]) -> None:
        """Replace all facts by `entries`."""
        present = {entry.key for entry in entries}
        for key in [key for key in self._entry_by_key if key not in present]:
            self._remove(key)
        for entry in entries:
            self._write(entry)
        if not self._has_read:
            self._has_read = True
            emit(FactsRead(upstreams=len(self.fleet.ids()), vms=len(self.vms_by_id)))
        self._tell_vms()

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in their order."""
        for change in changes:
            if change.value is None:
                known = self._entry_by_key.get(change.key)
                # What is known may be newer than a change that came another way.
                if known is None or known.revision < change.revision:
                    self._remove(change.key)
            else:
                self._write(Entry(change.key, change.value, change.revision))
        self._tell_vms()

    def held_count(self) -> int:
        """Return how many upstreams are held whose entries are gone."""
        return len(self._missing_ids)

    def remove_missing_upstreams(self) -> None:
        """Drop the upstreams that stayed missing after an outage."""
        if self._missing_ids and self._clock.now() >= self._lapsed_until:
            missing, self._missing_ids = self._missing_ids, set()
            for upstream_id in missing:
                self._drop_upstream(upstream_id)

    def _write(self, entry: Entry) -> None:
        key, value = entry.key, entry.value
        known = self._entry_by_key.get(key)
        if known is not None and known.revision >= entry.revision:
            return
        self._entry_by_key[key] = entry
        if key == CONFIGURATION_KEY:
            self._write_rules(value)
        elif (data_centre := evacuated_data_centre(key)) is not None:
            self._set_evacuated(self._evacuated | {data_centre})
        elif key.startswith(UPSTREAM_PREFIX):
            self._write_upstream(key, value)
        elif key.startswith(VM_PREFIX):
            self._write_vm(key, value)
        elif key.startswith(ROSTER_PREFIX):
            self._write_roster(key.removeprefix(ROSTER_PREFIX), decode_roster(value))

    def _remove(self, key: str) -> None:
        self._entry_by_key.pop(key, None)
        if (data_centre := evacuated_data_centre(key)) is not None:
            self._set_evacuated(self._evacuated - {data_centre})
        elif key.startswith(UPSTREAM_PREFIX):
            upstream_id = key.removeprefix(UPSTREAM_PREFIX)
            if self._clock.now() < self._lapsed_until:
                self._missing_ids.add(upstream_id)
                if self.fleet.find(upstream_id) is not None:
                    hold = round(self.lapse_left())
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

    def _write_roster(self, vm: str, data_centre: str) -> None:
        # A VM writes its place at each start; the parts change only with a new one.
        if self.roster.get(vm) != data_centre:
            self.roster[vm] = data_centre
            self._roster_has_changed = True

    def _tell_vms(self) -> None:
        """Tell of all changes of one reading at once; each makes lists anew."""
        if self._vms_have_changed:
            self._vms_have_changed = False
            for listener in self._on_vms:
                listener()
        if not self._roster_has_changed:
            return
        self._roster_has_changed = False
        for listener in self._on_roster:
            listener(self.roster)

    def _write_rules(self, value: bytes) -> None:
        decoded = decode_configuration(value)
        if isinstance(decoded, Failure):
            emit(ConfigurationUnreadable(why=decoded.failure()))
            return
        rules = decoded.unwrap()
        if self.rules is not None and rules.version <= self.rules.version:
            return
        self.rules = rules
        self.fleet.configure(rules.services_by_id)
        emit(
            ConfigurationInForce(
                version=rules.version,
                routes=sum(len(routes) for routes in rules.routes_by_host.values()),
                organisations=len(rules.organisations_by_id),
            )
        )
        for listener in self._on_rules:
            listener(rules)

    def _set_evacuated(self, data_centres: set[str]) -> None:
        self._evacuated = data_centres
        self.fleet.evacuate(frozenset(data_centres))
        emit(EvacuationsChanged(data_centres=",".join(sorted(data_centres))))

    def _write_upstream(self, key: str, value: bytes) -> None:
        decoded = decode_upstream(key, value)
        upstream_id = key.removeprefix(UPSTREAM_PREFIX)
        self._missing_ids.discard(upstream_id)
        if isinstance(decoded, Success):
            record = decoded.unwrap()
            self.fleet.put(record, was_running=not self._has_read)
            self._tell_read(
                UpstreamKnown(
                    upstream=upstream_id,
                    service=record.service,
                    data_centre=record.data_centre,
                    draining=record.is_draining,
                    cold_ms=round(record.cold_left),
                )
            )
            return
        emit(UpstreamEntryOdd(upstream=upstream_id, why=decoded.failure()))
        self._drop_upstream(upstream_id)

    def _drop_upstream(self, upstream_id: str) -> None:
        if self.fleet.find(upstream_id) is None:
            return
        self.fleet.remove(upstream_id)
        emit(UpstreamGone(upstream=upstream_id, why="its entry is gone"))
        for listener in self._on_upstream_gone:
            listener(upstream_id)

    def _write_vm(self, key: str, value: bytes) -> None:
        decoded = decode_vm(key, value)
        if isinstance(decoded, Failure):
            emit(VmEntryOdd(why=decoded.failure()))
            return
        record = decoded.unwrap()
        self.vms_by_id[record.id] = record
        self.known_vms_by_id[record.id] = record
        self._vms_have_changed = True
        self._tell_read(
            VmKnown(subject=record.id, ready=record.is_ready, run=record.run)
        )

    def _tell_read(self, event: LogEvent) -> None:
        """Log a fact unless it comes with the first reading, which is told as one."""
        if self._has_read:
            emit(event)
