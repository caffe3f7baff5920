"""The waiting room, played against bursts."""

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.placement import Placement, PlacementRequest
from lagoonlatch.steering.queueing import RequestPriority, WaitingQueue
from tests.steering.samples import make_record, make_upstream_table

URGENT = RequestPriority(organisation=0, route=1)
USUAL = RequestPriority(organisation=1, route=1)
LATER = RequestPriority(organisation=1, route=2)


def enqueue(room, request_priority, candidates, recipient):
    number = room.next_ticket()
    room.enqueue(number, request_priority, candidates, recipient)
    return number


class SlotWaiter:
    """Notes the offer and, like a request, takes the slot."""

    def __init__(self, name, order):
        self.name = name
        self.order = order

    def offer(self, upstream):
        upstream.in_flight += 1
        self.order.append(self.name)

    def cancel_wait(self):
        self.order.append(f"{self.name} displaced")


def make_room(slots=1):
    clock = ManualClock()
    fleet = make_upstream_table(clock)
    fleet.put(make_record("u1", slots=slots), was_running=True)
    placement = Placement(fleet, "north", ["north"], lambda _: True)
    candidates = placement.candidates(
        PlacementRequest(service="ledger", object_name="a/1"), 50.0
    )
    return WaitingQueue(placement, clock), candidates, fleet.find("u1"), clock


def test_slots_go_to_the_most_urgent_and_then_to_the_first():
    room, candidates, upstream, _ = make_room()
    upstream.in_flight = 1
    order = []
    for name, request_priority in [
        ("later", LATER),
        ("usual 1", USUAL),
        ("usual 2", USUAL),
        ("urgent", URGENT),
    ]:
        enqueue(room, request_priority, candidates, SlotWaiter(name, order))
    for _ in range(4):
        upstream.in_flight = 0
        room.offer_slots()
    assert order == ["urgent", "usual 1", "usual 2", "later"]
    assert len(room) == 0


def test_one_free_slot_is_given_once():
    room, candidates, upstream, _ = make_room()
    order = []
    enqueue(room, USUAL, candidates, SlotWaiter("first", order))
    enqueue(room, USUAL, candidates, SlotWaiter("second", order))
    room.offer_slots()
    assert order == ["first"]
    assert upstream.in_flight == 1


def test_who_leaves_gets_no_offer():
    room, candidates, _, _ = make_room()
    order = []
    number = enqueue(room, USUAL, candidates, SlotWaiter("gone", order))
    room.remove(number)
    room.offer_slots()
    assert order == []


def test_an_upstream_that_leaves_is_not_offered():
    room, candidates, upstream, _ = make_room()
    order = []
    enqueue(room, USUAL, candidates, SlotWaiter("waiting", order))
    upstream.is_suspect = True
    room.offer_slots()
    assert order == ["waiting displaced"]
    room.offer_slots()
    assert order == ["waiting displaced"]
    assert len(room) == 0


def play_burst(room, candidates, upstream, clock, ordered):
    """Return the urgent requests served within 300 ms of a burst of 40."""
    served = []
    arrived = {}
    for index in range(40):
        request_priority = URGENT if index % 4 == 0 else LATER
        name = ("urgent" if index % 4 == 0 else "later", index)
        arrived[name] = clock.now()
        if not ordered:
            request_priority = USUAL
        enqueue(room, request_priority, candidates, SlotWaiter(name, served))
    upstream.in_flight = upstream.record.slots
    in_time = 0
    for _ in range(10):
        clock.advance(30.0)
        upstream.in_flight -= 1
        before = len(served)
        room.offer_slots()
        in_time += sum(kind == "urgent" for kind, _ in served[before:])
    return in_time


def test_urgent_callers_are_served_in_a_burst():
    """Load: forty requests at once for three slots, one in four urgent."""
    with_order = play_burst(*make_room(slots=3), ordered=True)
    first_come = play_burst(*make_room(slots=3), ordered=False)
    assert with_order == 10
    assert first_come <= 3
