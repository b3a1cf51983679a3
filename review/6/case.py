"""Flows at a service that their route no longer has, after restarts in turn."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins_2 import CannotRun, World, find_misdirected, run  # noqa: E402

ROUTE = ("127.255.0.1", 8443)
ROUTES = {ROUTE: {"gauging": 90, "reporting": 10}}
GAP_S = 1.2


async def case(world: World, trouble: bool) -> list[str]:
    flows = []
    for number in range(80):
        flow = world.make_flow(ROUTE)
        if not await flow.open():
            raise CannotRun("a flow could not be opened")
        if await flow.request(f"request-{number}", 2.0) != "answered":
            raise CannotRun("a request was not answered before the disruption")
        flows.append(flow)
    if not any(world.open_flows[f.key].service == "reporting" for f in flows):
        raise CannotRun("no flow at the second service")
    world.write_configuration({ROUTE: {"gauging": 1}})
    await asyncio.sleep(3.5)
    if trouble:
        for program in [*world.list_programs("agent"), *world.list_programs("balancer")]:
            await program.restart(signal.SIGTERM)
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(5.0)
    since_s = world.record.now()
    await asyncio.gather(*(f.request(f"late-{n}", 5.0) for n, f in enumerate(flows)))
    return [f"FLOW (b): {text}" for text in find_misdirected(world, since_s)]


run(case, Path(__file__).parent, 3, {"gauging": 3, "reporting": 2}, ROUTES)
