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


class Region:
    """Keepers of one scope that share a store, a list and a clock."""

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

    def spread(self):
        best = max(self.keeper_by_name.values(), key=lambda item: item.revision())
        for keeper in self.keeper_by_name.values():
            keeper.apply_table(best.revision(), best.document())

    def round(self):
        for keeper in self.keeper_by_name.values():
            keeper.step()
            self.spread()

    def owned(self, name):
        keeper = self.keeper_by_name[name]
        return [slot for slot in range(SLOTS) if keeper.owns(slot)]


def test_first_round_assigns_every_slot_with_one_write():
    region = Region("x", "y", "z")
    region.round()
    owned = [slot for name in "xyz" for slot in region.owned(name)]
    assert sorted(owned) == list(range(SLOTS))
    assert region.keeper_by_name["x"].revision() == 1


def test_owner_goes_on_while_the_store_is_out():
    region = Region("x", "y")
    region.round()
    before = region.owned("x")
    region.store.unavailable = True
    for _round in range(20):
        region.clock.millis += BALANCE_INTERVAL
        region.round()
    assert region.owned("x") == before


def test_new_incarnation_takes_its_slots_back_at_once():
    region = Region("x", "y")
    region.round()
    before = region.owned("x")
    region.add("x", incarnation=2)
    region.spread()
    region.keeper_by_name["x"].step()
    assert region.owned("x") == before


def test_gone_vm_is_replaced_only_when_lapsed_and_unlisted():
    region = Region("x", "y")
    region.store.put_if("vms/x", b"", 0)
    region.round()
    del region.owner_by_name["x"]
    del region.keeper_by_name["x"]
    region.list.listed.discard("x")
    region.round()
    assert len(region.owned("y")) < SLOTS
    del region.store.entry_by_key["vms/x"]
    region.list.listed.add("x")
    region.round()
    assert len(region.owned("y")) < SLOTS
    region.list.listed.discard("x")
    region.round()
    assert len(region.owned("y")) == SLOTS


def test_vm_that_hears_nobody_asks_little():
    region = Region("x", *(f"vm-{number}" for number in range(50)))
    region.round()
    region.owner_by_name = {"x": region.owner_by_name["x"]}
    region.store.calls = region.list.calls = 0
    before = region.owned("x")
    for _round in range(10):
        region.keeper_by_name["x"].step()
    assert region.store.calls + region.list.calls <= 20
    assert region.owned("x") == before


def test_new_vm_gets_slots_a_few_at_a_time():
    region = Region("x")
    region.round()
    region.add("y")
    region.spread()
    counts = []
    for _round in range(8):
        region.clock.millis += BALANCE_INTERVAL
        region.round()
        counts.append(len(region.owned("y")))
    gains = [
        after - before for before, after in zip([0, *counts], counts, strict=False)
    ]
    assert counts[0] == 0
    assert max(gains) <= 2
    assert counts[-1] > 0


def test_hand_over_gives_every_slot_away_and_none_is_taken_again():
    region = Region("x", "y")
    region.round()
    region.keeper_by_name["x"].hand_over().unwrap()
    assert region.owned("x") == []
    region.spread()
    assert len(region.owned("y")) == SLOTS
    region.round()
    assert region.owned("x") == []


def test_hand_over_during_an_outage_stops_acting_all_the_same():
    region = Region("x", "y")
    region.round()
    region.store.unavailable = True
    assert isinstance(region.keeper_by_name["x"].hand_over(), Failure)
    assert region.owned("x") == []


def test_table_of_a_restored_store_does_not_go_back():
    region = Region("x", "y")
    region.round()
    old = region.store.entry_by_key["ownership/a"]
    region.keeper_by_name["x"].hand_over()
    region.spread()
    region.store.entry_by_key["ownership/a"] = old
    reader = OwnershipReader(
        region.store, region.keeper_by_name, lambda: True, region.clock
    )
    reader.refresh()
    region.round()
    assert len(region.owned("y")) == SLOTS
    assert region.owned("x") == []


def test_answer_that_a_newer_table_overtook_does_not_go_back():
    region = Region("x")
    keeper = region.keeper_by_name["x"]
    newer = OwnershipTable(2, {0: Owner("y", 1)})
    put_if = region.store.put_if

    def put_and_hear_of_a_newer_table(*write):
        outcome = put_if(*write)
        keeper.apply_table(newer.generation, encode_table(newer))
        return outcome

    region.store.put_if = put_and_hear_of_a_newer_table
    keeper.step()
    assert keeper.table() == newer
    assert region.owned("x") == []


@pytest.mark.parametrize("scopes", [1, 6, 46])
def test_reader_takes_little_of_the_link(scopes):
    region = Region("x")
    region.round()
    keepers = {f"{number}": region.keeper_by_name["x"] for number in range(scopes)}
    reader = OwnershipReader(region.store, keepers, lambda: True, region.clock)
    table = OwnershipTable(1, {slot: Owner("region-1-vm-01", 1) for slot in range(64)})
    read = scopes * len(encode_table(table))
    assert read / reader.interval() <= 16.0


def test_change_of_owner_is_an_event():
    region = Region("x")
    region.round()
    events = region.event_log.since(Stamp(0, 0))
    assert [event.kind for event in events] == [EventKind.OWNER_CHANGED]
    assert events[0].subject == "a"


def test_codec_round_trip():
    table = OwnershipTable(3, {0: Owner("x", 1), 11: Owner("y", 7)})
    assert decode_table(encode_table(table)).unwrap() == table


@pytest.mark.parametrize("document", [b"", b"[]", b'{"generation": "many"}'])
def test_malformed_table_is_a_value_that_says_so(document):
    assert "malformed" in decode_table(document).failure()


def test_slots_given_away_are_told_before_the_store_hears_of_it():
    region = Region("x", "y")
    region.round()
    keeper = region.keeper_by_name["x"]
    told = []
    keeper._on_change = lambda: told.append(
        (keeper.owned_slots(), region.store.revision)
    )
    before = region.store.revision
    keeper.hand_over()
    assert told[0] == (frozenset(), before)
    assert region.store.revision > before
