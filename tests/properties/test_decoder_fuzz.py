"""Seeded fuzzing of what other writers, VMs, upstreams and callers send."""

import json
import random

import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.TSerialization import deserialize, serialize

from lagoonlatch.entry import facts as facts_module
from lagoonlatch.entry import peers
from lagoonlatch.entry.catch_up import CatchUpServer, _apply_answer
from lagoonlatch.entry.events import DatagramUnreadable, EntryFailed
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.platform.headers import read_answer_fields, read_request_fields
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.knowledge import Knowledge
from tests.entry.test_malformed_entries import (
    ODD_TEXTS,
    VALID_DOCUMENTS,
    document_paths,
    replace_part,
)
from tests.entry.test_peers import SOURCE, make_link
from tests.entry.test_replica import Vm, added, batch
from tests.platform.test_headers import ANSWER_FIELDS, NUMBERS, REQUEST_FIELDS
from tests.steering.samples import make_upstream_table

SEEDS = range(4)

SNAPSHOTS = 1_500
DATAGRAMS = 6_000
ANSWERS = 8_000
HEADERS = 100_000
"""Examples for each seed; all seeds together take about a minute."""

COMPACT = TCompactProtocolAcceleratedFactory()
BINARY = TBinaryProtocolAcceleratedFactory()

NESTED_FIELDS = {
    COMPACT: b"\x09\xc8\x01" + b"\x19" * 4_000,
    BINARY: b"\x0f\x00\x64" + b"\x0f\x00\x00\x00\x01" * 4_000,
}
"""Field 100, which is unknown: lists in lists."""

INTEGERS = (0, -1, 2**31 - 1, -(2**31), 2**62, 2**63 - 1, -(2**63))


def change_bytes(rng, data):
    """Return `data` with some bytes replaced, removed or inserted."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(changed) + 1)
        new = rng.randbytes(rng.choice([0, 1, 1, 2, 9]))
        changed[at : at + rng.choice([0, 1, 1, 4])] = new
    return bytes(changed)


def draw_entry(rng):
    """Return a key and a value of another writer, mostly malformed."""
    key = rng.choice(sorted(VALID_DOCUMENTS))
    document = VALID_DOCUMENTS[key]
    path = rng.choice(list(document_paths(document)))
    text = json.dumps(replace_part(document, path, "replaced"))
    odd = rng.choice(list(ODD_TEXTS.values()))
    value = text.replace('"replaced"', odd).encode()
    return key, change_bytes(rng, value) if rng.random() < 0.5 else value


@pytest.mark.parametrize("seed", SEEDS)
def test_no_entry_of_the_store_raises_an_error(seed, monkeypatch):
    """Decoders return a failure; no error is left to the handler around them."""
    rng = random.Random(seed)
    events = []
    monkeypatch.setattr(facts_module, "emit", events.append)
    for _ in range(SNAPSHOTS):
        clock = ManualClock()
        replica = StoreReplica(Facts(make_upstream_table(clock), clock), clock)
        entries = [Entry(*draw_entry(rng), revision) for revision in range(1, 4)]
        replica.apply_snapshot(entries, 10, 1)
        for revision in range(11, 14):
            change = Change(*draw_entry(rng), revision)
            replica.apply_batch(batch(revision - 1, revision, change, era=1))
        replica.apply_snapshot(entries[:2], 5, 2)
        replica.apply_snapshot([Entry(*draw_entry(rng), 7)], 7, 3)
        clock.advance(20_000.0)
        replica.settle()
        assert replica.knowledge.position == (3, 7)
    assert not [event for event in events if isinstance(event, EntryFailed)]


MESSAGES_BY_FIELD = {
    spec[2]: spec[3][0] for spec in wire.Datagram.thrift_spec if spec is not None
}


def draw_datagram(rng):
    """Return a datagram with one message, most of whose fields have odd values."""
    field = rng.choice(sorted(MESSAGES_BY_FIELD))
    message = MESSAGES_BY_FIELD[field]()
    key, value = draw_entry(rng)
    for spec in message.thrift_spec:
        if spec is not None and rng.random() < 0.8:
            setattr(message, spec[2], draw_field(rng, spec, key, value))
    return wire.Datagram(**{field: message})


def draw_field(rng, spec, key, value):
    """Return a value for a field of a thrift structure."""
    kind, kinds = spec[1], TType
    if kind == kinds.STRING:
        return value[:4_000] if spec[3] == "BINARY" else rng.choice(["", "i-1", key])
    if kind == kinds.BOOL:
        return rng.random() < 0.5
    if kind == kinds.DOUBLE:
        return rng.choice([0.0, -1.0, 1e308, float("inf"), float("nan")])
    if kind == kinds.LIST and spec[3][1][0] is wire.Crash:
        return [draw_crash(rng, key, value) for _ in range(rng.randrange(12))]
    if kind == kinds.LIST:
        return [wire.Change(key, value[:2_000], rng.choice(INTEGERS))]
    if kind == kinds.MAP:
        return {"i-1": rng.choice(INTEGERS[:4])}
    if kind == kinds.STRUCT:
        return wire.NamedLimit(1e308, -1.0, rng.choice(INTEGERS))
    return rng.choice(INTEGERS[:4] if kind == kinds.I32 else INTEGERS)


def draw_crash(rng, key, value):
    """Return a crash, most of whose fields have odd values."""
    crash = wire.Crash()
    for spec in crash.thrift_spec:
        if spec is not None and rng.random() < 0.9:
            setattr(crash, spec[2], draw_field(rng, spec, key, value))
    return crash


@pytest.mark.parametrize("seed", SEEDS)
def test_no_datagram_raises_an_error(seed, monkeypatch):
    """An error that leaves `handle` would end the VM."""
    rng = random.Random(seed)
    events = []
    monkeypatch.setattr(peers, "emit", events.append)
    for _ in range(DATAGRAMS):
        link = make_link()
        data = serialize(draw_datagram(rng), COMPACT)
        if rng.random() < 0.5:
            data = change_bytes(rng, data)
        if rng.random() < 0.1:
            data = NESTED_FIELDS[COMPACT] + data
        link.handle(data, SOURCE)
        # What the periodic tasks use of it.
        link.send_heartbeats()
        link.list_addresses()
        link.list_addresses_ahead(Knowledge())
        link._peer_table.standing_by_vm()
        for fingerprint in ("", "i-1"):
            assert link._quarantine.admit(fingerprint) >= 0.0
            link.report_suspect(fingerprint)
        link._replica.settle()
        # Repeats of the reports keep the link, and the test lets no greenlet run.
        link._sock.close()
    unreadable = [e for e in events if isinstance(e, DatagramUnreadable)]
    assert 0 < len(unreadable) < DATAGRAMS


@pytest.mark.parametrize("seed", SEEDS)
def test_no_answer_of_another_vm_changes_a_replica_half(seed):
    """An answer that can't be decoded leaves the replica able to follow the store."""
    rng = random.Random(seed)
    sender = Vm()
    sender.replica.apply_batch(batch(10, 11, added("i-9", 11)))
    answer = serialize(CatchUpServer(sender.replica).read_since(0, 0), BINARY)
    for _ in range(ANSWERS):
        receiver = Vm()
        data = change_bytes(rng, answer)
        if rng.random() < 0.1:
            data = NESTED_FIELDS[BINARY] + data
        try:
            _apply_answer(
                deserialize(wire.Reading(), data, BINARY), receiver.replica, ""
            )
        except Exception:
            # The client logs any error of an answer.
            assert receiver.replica.knowledge.position == (0, 10)
        era, revision = receiver.replica.knowledge.position
        later = batch(revision, revision + 1, added("i-8", revision + 1), era=era)
        assert receiver.replica.apply_batch(later)
        receiver.replica.settle()


@pytest.mark.parametrize("seed", SEEDS)
def test_no_field_of_an_upstream_or_a_caller_raises_an_error(seed):
    rng = random.Random(seed)
    names = [*ANSWER_FIELDS, *REQUEST_FIELDS]
    for _ in range(HEADERS):
        fields = []
        for _ in range(rng.randint(1, 4)):
            value = rng.choice(NUMBERS)
            if rng.random() < 0.6:
                value = change_bytes(rng, b"timeout=" + value)
            fields.append((rng.choice(names).lower(), value))
        read_answer_fields(fields, rng.choice([200, 429, 503]))
        read_request_fields(fields)
