import pytest
from returns.result import Failure

from lagoonlatch.clock import HybridClock, Stamp
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.ownership import (
    Candidate,
    Owner,
    OwnershipKeeper,
    OwnershipReader,
    OwnershipTable,
    PlatformView,
    decode_table,
    encode_table,
)
from lagoonlatch.ownership.keeper import BALANCE_INTERVAL
from tests.ownership.fakes import FakeStore, FakeVmList

SLOTS = 8


class ManualClock:
    def __init__(self):
        self.millis = 0.0

    def now(self):
        return self.millis

    def wall(self):
        return self.millis + 1.0


class Scope:
    """Keepers of one scope on several VMs that share a store, a VM list and a clock."""

    def __init__(self, *names):
        self.store = FakeStore()
        self.list = FakeVmList()
        self.clock = ManualClock()
        self.event_log = EventLog("x", HybridClock(self.clock))
        self.owner_by_name = {}
        self.keeper_by_name = {}
        for name in names:
            self.add(name)

    def add(self, name, incarnation=1):
        self.owner_by_name[name] = Owner(name, incarnation)
        self.list.listed.add(name)
        view = PlatformView(
            self.store,
            self.list,
            lambda: [Candidate(owner) for owner in self.owner_by_name.values()],
            self.incarnation_of,
        )
        self.keeper_by_name[name] = OwnershipKeeper(
            self.store,
            "a",
            Owner(name, incarnation),
            view,
            self.clock,
            self.event_log,
            slots=SLOTS,
        )
        return self.keeper_by_name[name]

    def incarnation_of(self, vm):
        owner = self.owner_by_name.get(vm)
        return owner.incarnation if owner else None

    def share_newest_table(self):
        newest = max(self.keeper_by_name.values(), key=lambda item: item.revision())
        for keeper in self.keeper_by_name.values():
            keeper.apply_table(newest.revision(), newest.document())

    def run_round(self):
        for keeper in self.keeper_by_name.values():
            keeper.step()
            self.share_newest_table()

    def owned(self, name):
        keeper = self.keeper_by_name[name]
        return [slot for slot in range(SLOTS) if keeper.owns(slot)]


def test_first_round_assigns_every_slot_with_one_write():
    scope = Scope("x", "y", "z")
    scope.run_round()
    owned = [slot for name in "xyz" for slot in scope.owned(name)]
    assert sorted(owned) == list(range(SLOTS))
    assert scope.keeper_by_name["x"].revision() == 1


def test_owner_keeps_its_slots_while_the_store_is_unavailable():
    scope = Scope("x", "y")
    scope.run_round()
    before = scope.owned("x")
    scope.store.unavailable = True
    for _round in range(20):
        scope.clock.millis += BALANCE_INTERVAL
        scope.run_round()
    assert scope.owned("x") == before


def test_new_incarnation_gets_its_slots_back_at_once():
    scope = Scope("x", "y")
    scope.run_round()
    before = scope.owned("x")
    scope.add("x", incarnation=2)
    scope.share_newest_table()
    scope.keeper_by_name["x"].step()
    assert scope.owned("x") == before


def test_vm_loses_its_slots_only_when_its_lease_has_ended_and_it_is_unlisted():
    scope = Scope("x", "y")
    scope.store.put_if("vms/x", b"", 0)
    scope.run_round()
    del scope.owner_by_name["x"]
    del scope.keeper_by_name["x"]
    scope.list.listed.discard("x")
    scope.run_round()
    assert len(scope.owned("y")) < SLOTS
    del scope.store.entry_by_key["vms/x"]
    scope.list.listed.add("x")
    scope.run_round()
    assert len(scope.owned("y")) < SLOTS
    scope.list.listed.discard("x")
    scope.run_round()
    assert len(scope.owned("y")) == SLOTS


def test_vm_cut_off_from_all_others_makes_few_calls():
    scope = Scope("x", *(f"vm-{number}" for number in range(50)))
    scope.run_round()
    scope.owner_by_name = {"x": scope.owner_by_name["x"]}
    scope.store.calls = scope.list.calls = 0
    before = scope.owned("x")
    for _round in range(10):
        scope.keeper_by_name["x"].step()
    assert scope.store.calls + scope.list.calls <= 20
    assert scope.owned("x") == before


def test_new_vm_gets_slots_a_few_at_a_time():
    scope = Scope("x")
    scope.run_round()
    scope.add("y")
    scope.share_newest_table()
    counts = []
    for _round in range(8):
        scope.clock.millis += BALANCE_INTERVAL
        scope.run_round()
        counts.append(len(scope.owned("y")))
    gains = [
        after - before for before, after in zip([0, *counts], counts, strict=False)
    ]
    assert counts[0] == 0
    assert max(gains) <= 2
    assert counts[-1] > 0


def test_hand_over_releases_all_slots_permanently():
    scope = Scope("x", "y")
    scope.run_round()
    scope.keeper_by_name["x"].hand_over().unwrap()
    assert scope.owned("x") == []
    scope.share_newest_table()
    assert len(scope.owned("y")) == SLOTS
    scope.run_round()
    assert scope.owned("x") == []


def test_hand_over_during_an_outage_still_releases_all_slots():
    scope = Scope("x", "y")
    scope.run_round()
    scope.store.unavailable = True
    assert isinstance(scope.keeper_by_name["x"].hand_over(), Failure)
    assert scope.owned("x") == []


def test_older_table_of_a_restored_store_is_ignored():
    scope = Scope("x", "y")
    scope.run_round()
    old = scope.store.entry_by_key["ownership/a"]
    scope.keeper_by_name["x"].hand_over()
    scope.share_newest_table()
    scope.store.entry_by_key["ownership/a"] = old
    reader = OwnershipReader(
        scope.store, scope.keeper_by_name, lambda: True, scope.clock
    )
    reader.refresh()
    scope.run_round()
    assert len(scope.owned("y")) == SLOTS
    assert scope.owned("x") == []


def test_own_write_does_not_replace_a_newer_table_of_a_peer():
    scope = Scope("x")
    keeper = scope.keeper_by_name["x"]
    newer = OwnershipTable(2, {0: Owner("y", 1)})
    put_if = scope.store.put_if

    def put_and_receive_a_newer_table(*write):
        outcome = put_if(*write)
        keeper.apply_table(newer.generation, encode_table(newer))
        return outcome

    scope.store.put_if = put_and_receive_a_newer_table
    keeper.step()
    assert keeper.table() == newer
    assert scope.owned("x") == []


@pytest.mark.parametrize("scopes", [1, 6, 46])
def test_read_rate_of_the_reader_is_limited(scopes):
    scope = Scope("x")
    scope.run_round()
    keepers = {f"{number}": scope.keeper_by_name["x"] for number in range(scopes)}
    reader = OwnershipReader(scope.store, keepers, lambda: True, scope.clock)
    table = OwnershipTable(1, {slot: Owner("region-1-vm-01", 1) for slot in range(64)})
    bytes_read = scopes * len(encode_table(table))
    assert bytes_read / reader.interval() <= 16.0


def test_change_of_owner_is_recorded_as_an_event():
    scope = Scope("x")
    scope.run_round()
    events = scope.event_log.since(Stamp(0, 0))
    assert [event.kind for event in events] == [EventKind.OWNER_CHANGED]
    assert events[0].subject == "a"


def test_codec_round_trip():
    table = OwnershipTable(3, {0: Owner("x", 1), 11: Owner("y", 7)})
    assert decode_table(encode_table(table)).unwrap() == table


@pytest.mark.parametrize("document", [b"", b"[]", b'{"generation": "many"}'])
def test_decoding_a_malformed_table_returns_an_error(document):
    assert "malformed" in decode_table(document).failure()


def test_on_change_is_called_before_a_hand_over_is_written():
    scope = Scope("x", "y")
    scope.run_round()
    keeper = scope.keeper_by_name["x"]
    observed = []
    keeper._on_change = lambda: observed.append(
        (keeper.owned_slots(), scope.store.revision)
    )
    before = scope.store.revision
    keeper.hand_over()
    assert observed[0] == (frozenset(), before)
    assert scope.store.revision > before
