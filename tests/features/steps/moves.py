"""Steps about planned moves."""

from dataclasses import replace

from behave import then, when

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.config.model import Move
from lagoonlatch.dispatch.moves import rate_cap_burst
from lagoonlatch.standins.waiting import wait_until
from tests.features.load import Load
from tests.features.windows import worst_excess
from tests.features.world import ENOUGH, SERVICE, Traffic, pause, wall

SENDERS = 6
PACE = 10.0
DEADLINE = 300
DELIVERY = 200
LEAST_MOVED = 5
SERVED_PART = 0.5


@when("callers of {regions} send much more than the cap")
def send(context, regions):
    world = context.world
    jobs = []
    world.loads = []
    for region in regions.split(" and "):
        load = Load(
            world,
            world.vms_in(region),
            "POST",
            f"/bookings/{world.number}/{region}",
            senders=SENDERS,
            pace=PACE,
            headers={"Lagoonlatch-Deadline": str(DEADLINE)},
        )
        world.loads.append(load)
        jobs += load.jobs()
    world.traffic = Traffic(jobs)


@when(
    "a move from {source} to {destination} of at most {cap:d} requests a second "
    "is published"
)
def move_one(context, source, destination, cap):
    _publish(context.world, [source], destination, cap)


@when(
    "moves from {first} and {second} to {destination} of at most {cap:d} requests "
    "a second each are published"
)
def move_two(context, first, second, destination, cap):
    _publish(context.world, [first, second], destination, cap)


def _publish(world, sources, destination, cap):
    moves = {
        f"move-{source}": Move(
            service=SERVICE,
            source=source,
            destination=destination,
            rate_cap=float(cap),
            share_cap=1.0,
        )
        for source in sources
    }
    world.notes["moves"] = list(moves.values())
    world.publish(replace(world.fleet.configuration, moves_by_id=moves))


@when("the configuration without moves is published")
def reverse(context):
    context.world.publish(context.world.fleet.configuration)
    context.world.notes["reversed"] = wall()


@when("moved requests run in {region}")
def runs(context, region):
    world = context.world
    assert wait_until(lambda: len(_moved(world, region)) >= LEAST_MOVED, ENOUGH)


@then("{region} never ran more than {cap:d} moved requests a second")
def within_cap(context, region, cap):
    world = context.world
    world.traffic.stop()
    moves = world.notes["moves"]
    assert sum(move.rate_cap for move in moves) == cap
    burst = sum(rate_cap_burst(move) for move in moves)
    allowance = burst + cap * (DEADLINE + DELIVERY) / MILLIS_PER_SECOND
    starts = [item["start"] for item in _moved(world, region)]
    excess = worst_excess(starts, cap, allowance)
    print(f"{len(starts)} moved requests ran, worst window {excess:+.1f}")
    assert excess <= 0.0, f"{excess:.1f} requests too many"


@then("{region} runs no moved request later than {limit:d} s after that")
def reversed_in_time(context, region, limit):
    world = context.world
    latest = world.notes["reversed"] + limit * MILLIS_PER_SECOND
    pause(latest + MILLIS_PER_SECOND - wall())
    world.traffic.stop()
    starts = [item["start"] for item in _moved(world, region)]
    last = (max(starts) - world.notes["reversed"]) / MILLIS_PER_SECOND
    print(f"last moved request {last:.2f} s after the reversal")
    assert last <= limit, last


@then("the callers of {region} were served meanwhile")
def served(context, region):
    records = [r for load in context.world.loads for r in load.records]
    ok = sum(record.reply.ok for record in records)
    print(f"{ok} of {len(records)} were answered")
    assert ok >= SERVED_PART * len(records), (ok, len(records))


def _moved(world, region):
    centres = world.fleet.configuration.data_centres_of(region)
    return [
        item
        for item in world.executions()
        if world.instances()[item["upstream"]].data_centre in centres
        and item["path"].startswith("/bookings/")
    ]
