"""A request that may run once is sent to an instance after its client has left.

Instance `i-grey` turns a part of its requests away (503, Not-Run); seven others work on
earlier requests in all their slots. Clients send requests on an unsafe route and close
their connections `LEAVES_AFTER_S` later. Without the trouble they wait, and no request
is turned away.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import harness as h

BUSY = 7
"""With the grey one eight instances; one of eight is a share of 0.125."""

SLOTS = 5
QUEUED = 2
"""Requests that a VM sends to an instance beyond its slots."""

EARLIER = BUSY * (SLOTS + QUEUED)
LEAVING = 20
"""20 of 69 clients are a share of 0.29; the site has `give_up` with 0.3."""

SHED_OF_20 = 9
"""9 of 20 are a share of 0.45, the site's `x` of `srv_grey` (shed)."""

LEAVES_AFTER_S = 0.3
WORK_S = 2.0
"""How long each of the earlier requests takes."""

LATE_S = 0.5
ALLOWED = 5
"""The rule says: more than a few requests."""


async def case(site: h.Site) -> bool:
    """Return whether the rule held."""
    counted = [0]

    def turn_away(_request: h.Request) -> h.Answer | None:
        counted[0] += 1
        is_shed = counted[0] * SHED_OF_20 // 20 > (counted[0] - 1) * SHED_OF_20 // 20
        if is_shed and h.HAS_TROUBLE:
            return h.Answer(503, {"Not-Run": "1"})
        return None

    def work(request: h.Request) -> float:
        return WORK_S if request.id.startswith("earlier") else 0.05

    for number in range(BUSY):
        await site.add(
            h.Instance(f"i-busy-{number}", site.record, slots=SLOTS, work=work)
        )
    route = h.route("book", "unsafe", goal_s=3.0, timeout_s=10.0)
    await site.configure(h.configuration(1, [route]))
    await site.start_vms(["luzon-a"])
    left_at: dict[str, float] = {}

    async def call(name: str, leaves: bool) -> None:
        client = await h.Client.open(site.vms[0].port)
        client.send("POST", "/book/17", h.fields_of(name, 9000), name.encode())
        site.record.write(f"client sends {name}")
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
            client.close()
            left_at[name] = site.record.now()
            site.record.write(f"client of {name} closes its connection")
            return
        answer = await client.receive()
        status = answer.status if answer is not None else "no answer"
        site.record.write(f"client gets {status} for {name}")
        client.close()

    earlier = [
        asyncio.create_task(call(f"earlier-{number}", leaves=False))
        for number in range(EARLIER)
    ]
    await asyncio.sleep(0.3)
    grey = h.Instance(
        "i-grey", site.record, slots=SLOTS, work=work, turn_away=turn_away
    )
    await site.add(grey)
    await asyncio.sleep(0.5)
    names = [f"booking-{number}" for number in range(LEAVING)]
    await asyncio.gather(*(call(name, leaves=h.HAS_TROUBLE) for name in names))
    await asyncio.gather(*earlier)
    await asyncio.sleep(3.0)
    late = [
        request.id
        for instance in site.instances
        for at, request in instance.arrivals
        if at > left_at.get(request.id, at) + LATE_S
    ]
    site.record.write(f"reached an instance over {LATE_S} s after the close: {late}")
    return len(late) <= ALLOWED


h.main(str(Path(__file__).parent), case)
