"""A request that may run once is sent to an instance after its client has left.

Instance `i-full` turns each request away (503, Not-Run). Instance `i-busy` works on
earlier requests in all its slots. Clients send requests on an unsafe route and close
their connections `LEAVES_AFTER_S` later. Without the trouble they wait.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

import harness as h

CLIENTS = 12
LEAVES_AFTER_S = 0.3
WORK_S = 2.5
"""How long each of the earlier requests takes."""

LATE_S = 0.5
ALLOWED = 5
"""The rule says: more than a few requests."""


async def case(site: h.Site) -> bool:
    """Return whether the rule held."""

    def turn_away(_request: h.Request) -> h.Answer:
        return h.Answer(503, {"Not-Run": "1"})

    def work(request: h.Request) -> float:
        return WORK_S if request.id.startswith("earlier") else 0.05

    await site.add(h.Instance("i-busy", site.record, slots=CLIENTS, work=work))
    route = h.route("book", "unsafe", goal_s=4.0, timeout_s=10.0)
    await site.configure(h.configuration(1, [route]))
    await site.start_vms(["luzon-a"])
    left_at: dict[str, float] = {}

    async def call(name: str, leaves: bool) -> None:
        client = await h.Client.open(site.vms[0].port)
        client.send("POST", "/book/17", h.fields_of(name, 9000), b"beam")
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
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(0.2)
    full = h.Instance("i-full", site.record, slots=CLIENTS, turn_away=turn_away)
    await site.add(full)
    await asyncio.sleep(0.5)
    names = [f"entry-{number}" for number in range(CLIENTS)]
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
