"""Tests of the waiting queue, including a burst of requests."""

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.placement import Placement, PlacementRequest
from lagoonlatch.steering.queueing import RequestPriority, WaitingQueue
from tests.steering.samples import make_record, make_upstream_table

URGENT = RequestPriority(organisation=0, route=1)
NORMAL = RequestPriority(organisation=1, route=1)
LOW = RequestPriority(organisation=1, route=2)


def enqueue(queue, request_priority, candidates, recipient):
    ticket = queue.next_ticket()
    queue.enqueue(ticket, request_priority, candidates, recipient)
    return ticket


class RecordingRecipient:
    """Records the offer and occupies the slot, as a request does."""

    def __init__(self, name, order):
        self.name = name
        self.order = order

    def offer(self, upstream):
        upstream.in_flight += 1
        self.order.append(self.name)

    def cancel_wait(self):
        self.order.append(f"{self.name} cancelled")


def make_queue(slots=1):
    clock = ManualClock()
    upstream_table = make_upstream_table(clock)
    upstream_table.put(make_record("u1", slots=slots), was_running=True)
    placement = Placement(upstream_table, "north", ["north"], lambda _: True)
    candidates = placement.candidates(
        PlacementRequest(service="ledger", object_name="a/1"), 50.0
    )
    return WaitingQueue(placement, clock), candidates, upstream_table.find("u1"), clock


def test_slots_are_offered_by_priority_and_then_by_arrival():
    queue, candidates, upstream, _ = make_queue()
    upstream.in_flight = 1
    order = []
    for name, request_priority in [
        ("low", LOW),
        ("normal 1", NORMAL),
        ("normal 2", NORMAL),
        ("urgent", URGENT),
    ]:
        enqueue(queue, request_priority, candidates, RecordingRecipient(name, order))
    for _ in range(4):
        upstream.in_flight = 0
        queue.offer_slots()
    assert order == ["urgent", "normal 1", "normal 2", "low"]
    assert len(queue) == 0


def test_free_slot_is_offered_once():
    queue, candidates, upstream, _ = make_queue()
    order = []
    enqueue(queue, NORMAL, candidates, RecordingRecipient("first", order))
    enqueue(queue, NORMAL, candidates, RecordingRecipient("second", order))
    queue.offer_slots()
    assert order == ["first"]
    assert upstream.in_flight == 1


def test_removed_request_gets_no_offer():
    queue, candidates, _, _ = make_queue()
    order = []
    ticket = enqueue(queue, NORMAL, candidates, RecordingRecipient("removed", order))
    queue.remove(ticket)
    queue.offer_slots()
    assert order == []


def test_wait_is_cancelled_if_no_candidate_is_usable():
    queue, candidates, upstream, _ = make_queue()
    order = []
    enqueue(queue, NORMAL, candidates, RecordingRecipient("waiting", order))
    upstream.is_suspect = True
    queue.offer_slots()
    assert order == ["waiting cancelled"]
    queue.offer_slots()
    assert order == ["waiting cancelled"]
    assert len(queue) == 0


def count_served_in_burst(queue, candidates, upstream, clock, uses_priorities):
    """Return how many urgent requests of a burst of 40 are served within 300 ms."""
    served = []
    arrived = {}
    for index in range(40):
        request_priority = URGENT if index % 4 == 0 else LOW
        name = ("urgent" if index % 4 == 0 else "low", index)
        arrived[name] = clock.now()
        if not uses_priorities:
            request_priority = NORMAL
        enqueue(queue, request_priority, candidates, RecordingRecipient(name, served))
    upstream.in_flight = upstream.record.slots
    in_time = 0
    for _ in range(10):
        clock.advance(30.0)
        upstream.in_flight -= 1
        before = len(served)
        queue.offer_slots()
        in_time += sum(kind == "urgent" for kind, _ in served[before:])
    return in_time


def test_urgent_requests_are_served_first_in_a_burst():
    """Forty requests arrive at once for three slots; one in four is urgent."""
    by_priority = count_served_in_burst(*make_queue(slots=3), uses_priorities=True)
    by_arrival = count_served_in_burst(*make_queue(slots=3), uses_priorities=False)
    assert by_priority == 10
    assert by_arrival <= 3
