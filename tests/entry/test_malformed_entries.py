"""Malformed entries of the store must not end a process.

Other writers may write malformed entries. An error while one is applied would end the
task that follows the store, and with it the VM, after every restart.
"""

import json
import signal
from functools import partial

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.decoding import MAX_INT64
from lagoonlatch.entry import facts as facts_module
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.registrations import (
    MAX_COLD_SECONDS,
    MAX_SLOTS,
    ROSTER_PREFIX,
    VM_PREFIX,
)
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.entry_fleet import EntryFleet, ask
from lagoonlatch.standins.manual_clock import ManualClock
from tests.entry.test_process import eventually
from tests.soak.world import World
from tests.steering.samples import make_upstream_table

ROUTE = {
    "resource_kind": "routes",
    "metadata": {"name": "r"},
    "spec": {
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": "safe",
        "service": "ledger",
        "max_attempts": 2,
        "timeout_s": 1.0,
        "goal_s": 0.5,
        "priority": 1,
    },
}
SERVICE = {
    "resource_kind": "services",
    "metadata": {"name": "ledger"},
    "spec": {"health_path": "/healthz", "cold_start_s": 3.0, "cold_per_s": 8.0},
}
ORGANISATION = {
    "resource_kind": "tenants",
    "metadata": {"name": "dojo"},
    "spec": {"api_keys": ["k"], "rate_per_s": 10, "burst": 10, "priority": 1},
}
LIMITS = {
    "resource_kind": "limits",
    "metadata": {"name": "limits"},
    "spec": {"max_header_bytes": 100, "idle_timeout_s": 1.5},
}
CONFIGURATION = {"version": "r7", "resources": [ROUTE, SERVICE, ORGANISATION, LIMITS]}
UPSTREAM = {
    "service": "ledger",
    "addr": "10.0.0.1:80",
    "zone": "n-a",
    "version": "1",
    "slots": 3,
    "state": "ready",
    "cold_left_s": 0.0,
    "seq": 4,
    "born": 5,
}
VALID_DOCUMENTS = {
    "op/config": CONFIGURATION,
    "op/evacuate/n-a": {},
    "servers/i-1": UPSTREAM,
    f"{VM_PREFIX}vm-1": {
        "data_centre": "n-a",
        "caller_address": "10.0.0.1:1",
        "peer_address": "10.0.0.1:2",
        "run": 1,
        "ready": True,
        "era": 1,
    },
    f"{ROSTER_PREFIX}vm-1": {"data_centre": "n-a"},
}

INVALID_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=True),
    st.text(max_size=4),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
)


def document_paths(value, path=()):
    """Yield the paths of all parts of a document."""
    yield path
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from document_paths(child, (*path, key))


def replace_part(value, path, new):
    """Return a copy of a document with one part replaced."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_part(copy[path[0]], path[1:], new)
    return copy


@st.composite
def malformed_documents(draw):
    key = draw(st.sampled_from(sorted(VALID_DOCUMENTS)))
    document = VALID_DOCUMENTS[key]
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list(document_paths(document))))
        document = replace_part(document, path, draw(INVALID_VALUES))
    return key, json.dumps(document).encode()


@settings(max_examples=400, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(malformed_documents(), min_size=1, max_size=4))
def test_malformed_documents_raise_no_error(documents):
    facts = Facts(make_upstream_table(), ManualClock())
    for revision, (key, value) in enumerate(documents, 1):
        facts.apply_changes([Change(key, value, revision)])
    facts.remove_missing_upstreams()


@settings(max_examples=200, deadline=None)
@given(st.sampled_from(sorted(VALID_DOCUMENTS)), st.binary(max_size=60))
def test_arbitrary_bytes_raise_no_error(key, value):
    facts = Facts(make_upstream_table(), ManualClock())
    facts.apply_changes([Change(key, value, 1)])


def test_a_malformed_entry_does_not_affect_other_entries():
    facts = Facts(make_upstream_table(), ManualClock())
    valid = json.dumps(UPSTREAM).encode()
    facts.apply_changes([Change("servers/i-1", valid, 1)])
    malformed = json.dumps(UPSTREAM | {"slots": "many", "born": None}).encode()
    facts.apply_changes([Change("servers/i-2", malformed, 2)])
    assert facts.fleet.ids() == {"i-1"}


NESTING = 100_000


def upstream_with(field, text):
    """Return an upstream's entry in which the JSON value of a field is `text`."""
    document = json.dumps({**UPSTREAM, field: "replaced"})
    return document.replace('"replaced"', text).encode()


ODD_UPSTREAMS = {
    "nested lists": upstream_with("x", "[" * NESTING + "]" * NESTING),
    "nested objects": upstream_with("x", '{"x":' * NESTING + "0" + "}" * NESTING),
    "number too large": upstream_with("born", "1" + "0" * 400),
    "port out of range": upstream_with("addr", '"127.0.0.1:99999"'),
    "port in another script": upstream_with("addr", '"127.0.0.1:²"'),
    "host that is no address": upstream_with("addr", f'"{"x" * 100}:80"'),
    "too many slots": upstream_with("slots", "1" + "0" * 400),
}
VM = {
    "data_centre": "n-a",
    "caller_address": "127.0.0.1:9",
    "peer_address": "127.0.0.1:9",
    "run": 1,
    "ready": True,
}
ODD_VMS = (
    VM | {"peer_address": "zz"},
    VM | {"peer_address": "127.0.0.1:99999"},
    VM | {"caller_address": "zz:1"},
    VM | {"run": 10**30},
)


def test_one_odd_entry_of_another_writer_ends_no_vm():
    with EntryFleet(vms=4) as fleet:
        for number, value in enumerate(ODD_UPSTREAMS.values()):
            for prefix in ("servers/", VM_PREFIX, ROSTER_PREFIX):
                fleet.store.put(f"{prefix}odd-{number}", value)
        for number, document in enumerate(ODD_VMS):
            fleet.store.put(f"{VM_PREFIX}odd-vm-{number}", document)
        fleet.configure(keys=("later",))
        fields = {"Authorization": "Token later"}
        for vm in fleet.vms_by_id.values():
            assert eventually(lambda vm=vm: ask(vm, "x", **fields) == 200)
        for vm in fleet.vms_by_id.values():
            statuses = [ask(vm, f"{vm.id}-{n}", **fields) for n in range(40)]
            assert set(statuses) == {200}
            assert vm.process.poll() is None
        # A VM that starts reads the odd entries with its first snapshot.
        fleet.signal("vm-0", signal.SIGKILL)
        fleet.vms_by_id["vm-0"].process.wait()
        restarted = fleet.start_vm("vm-0", "n-a", first=False)
        assert eventually(lambda: ask(restarted, "x", **fields) == 200)
        gevent.sleep(1.0)
        assert restarted.process.poll() is None


def test_odd_entries_in_what_other_vms_send_end_no_vm():
    """The VM without the store gets them by calls: a batch, then a snapshot."""
    with World(vms=4, instances=6) as fleet:
        fleet.cut_from_store("vm-3")
        for number, value in enumerate(ODD_UPSTREAMS.values()):
            for prefix in ("servers/", VM_PREFIX, ROSTER_PREFIX):
                fleet.store.put(f"{prefix}odd-{number}", value)
        for restores in range(2):
            key = f"later-{restores}"
            fleet.configure(keys=(key,))
            fields = {"Authorization": f"Token {key}"}
            for vm in fleet.vms_by_id.values():
                is_served = partial(ask, vm, "x", **fields)
                assert eventually(lambda ask=is_served: ask() == 200, 10.0)
                assert vm.process.poll() is None
            fleet.store.restore(fleet.store.take_copy())


ODD_TEXTS = {
    "deep lists": "[" * NESTING + "]" * NESTING,
    "deep objects": '{"x":' * NESTING + "0" + "}" * NESTING,
    "a long integer": "9" * 5_000,
    "an integer beyond all floats": "1" + "0" * 400,
    "an integer of 65 bits": str(2**64),
    "a negative integer of 65 bits": str(-(2**64)),
    "a float beyond all floats": "1e999",
    "the largest float": "1.7976931348623157e308",
    "an address with a long port": f'"10.0.0.1:{"9" * 5_000}"',
    "a version with many digits": f'"r{"9" * 5_000}"',
    "a version of 65 bits": f'"r{2**64}"',
}


@pytest.mark.parametrize("odd", ODD_TEXTS)
@pytest.mark.parametrize("key", sorted(VALID_DOCUMENTS))
def test_no_part_of_an_entry_raises_an_error(key, odd):
    document = VALID_DOCUMENTS[key]
    for path in document_paths(document):
        text = json.dumps(replace_part(document, path, "replaced"))
        value = text.replace('"replaced"', ODD_TEXTS[odd]).encode()
        facts = Facts(make_upstream_table(), ManualClock())
        facts.apply_changes([Change(key, value, 1)])
        for state in facts.fleet.of_service("ledger"):
            assert 1 <= state.record.slots <= MAX_SLOTS
            assert state.cold_left() <= MAX_COLD_SECONDS * MILLIS_PER_SECOND
        for vm in facts.vms_by_id.values():
            assert abs(vm.run) <= MAX_INT64
        replica = StoreReplica(facts, ManualClock())
        replica.apply_snapshot([Entry(key, value, 1)], 1)
        assert replica.newest_configuration_version <= MAX_INT64


def test_an_unreadable_configuration_is_not_asked_of_other_vms():
    facts = Facts(make_upstream_table(), ManualClock())
    replica = StoreReplica(facts, ManualClock())
    valid = Entry("op/config", json.dumps(CONFIGURATION).encode(), 1)
    replica.apply_snapshot([valid], 1)
    odd = json.dumps(CONFIGURATION | {"version": "r8", "resources": 3}).encode()
    replica.apply_snapshot([Entry("op/config", odd, 2)], 2)
    assert not replica.lacks_configuration
    assert replica.configuration_version == 7
    assert replica.versions.patch_from(0).version == 7


def test_an_odd_entry_that_is_written_at_intervals_is_logged_once(monkeypatch):
    events = []
    monkeypatch.setattr(facts_module, "emit", events.append)
    facts = Facts(make_upstream_table(), ManualClock())
    for revision in range(1, 6):
        value = upstream_with("slots", str(-revision))
        facts.apply_changes([Change("servers/i-1", value, revision)])
    assert len(events) == facts.odd_count() == 1
    facts.apply_changes([Change("servers/i-1", json.dumps(UPSTREAM).encode(), 6)])
    assert facts.odd_count() == 0


def test_an_entry_whose_listener_fails_does_not_affect_other_entries():
    facts = Facts(make_upstream_table(), ManualClock())

    def fail(_rules):
        raise ArithmeticError("listener")

    facts.add_rules_listener(fail)
    valid = json.dumps(UPSTREAM).encode()
    configuration = json.dumps(CONFIGURATION).encode()
    facts.apply_changes(
        [Change("op/config", configuration, 1), Change("servers/i-1", valid, 2)]
    )
    assert facts.fleet.ids() == {"i-1"}
    assert facts.odd_count() == 1
