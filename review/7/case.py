"""Flows at a service that their route no longer has, after all processes were killed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins_2 import CannotRun, World, run  # noqa: E402

ROUTE = ("127.255.0.1", 8443)
ROUTES = {ROUTE: {"gauging": 90, "reporting": 10}}
CONTACT_S = 4.0


async def case(world: World, trouble: bool) -> list[str]:
    flows = []
    for number in range(80):
        flow = world.make_flow(ROUTE)
        if not await flow.open():
            raise CannotRun("a flow could not be opened")
        if await flow.request(f"request-{number}", 2.0) != "answered":
            raise CannotRun("a request was not answered before the disruption")
        flows.append(flow)
    at_reporting = [f for f in flows if world.open_flows[f.key].service == "reporting"]
    if not at_reporting:
        raise CannotRun("no flow at the second service")
    world.write_configuration({ROUTE: {"gauging": 1}})
    await asyncio.sleep(3.5)
    if trouble:
        await asyncio.gather(
            *(program.restart(signal.SIGKILL) for program in world.programs.values())
        )
    await asyncio.sleep(CONTACT_S + 1.0)
    outcomes = await asyncio.gather(
        *(f.request(f"late-{n}", 5.0) for n, f in enumerate(flows))
    )
    broken = []
    for flow, outcome in zip(flows, outcomes, strict=True):
        server = world.open_flows[flow.key]
        if flow.resets and flow.key in server.flows:
            broken.append(
                f"FLOW (a): {flow.key} was reset by the system while {server.name} "
                f"({server.service}) holds it; request: {outcome}"
            )
    return broken


run(case, Path(__file__).parent, 3, {"gauging": 3, "reporting": 2}, ROUTES)
