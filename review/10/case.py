"""Flows of backends that have just registered, while `seed_nodes` is stale."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins_2 import World, run  # noqa: E402

ROUTE = ("127.255.0.1", 8443)
ROUTES = {ROUTE: {"gauging": 1}}
LENGTH_S = 70.0
RELEASE_GAP_S = 1.0
RESTART_GAP_S = 1.2
CALLERS = 80


async def case(world: World, trouble: bool) -> list[str]:
    broken: list[str] = []
    until_s = world.record.now() + LENGTH_S

    def is_over() -> bool:
        return world.record.now() >= until_s

    async def call(number: int) -> None:
        while not is_over():
            flow = world.make_flow(ROUTE)
            if not await flow.open():
                await asyncio.sleep(0.2)
                continue
            for count in range(random.randint(2, 5)):
                outcome = await flow.request(f"{number}-{flow.key[1]}-{count}", 1.0)
                if outcome != "answered":
                    server = world.open_flows.get(flow.key)
                    if flow.resets and server is not None and flow.key in server.flows:
                        broken.append(
                            f"FLOW (a): {flow.key} was reset by the system while "
                            f"{server.name} holds it"
                        )
                    break
                await asyncio.sleep(random.uniform(0.05, 0.3))

    async def release() -> None:
        while not is_over():
            oldest = next(s for s in world.servers if s.state == "ready")
            added = world.add_server("gauging")
            await asyncio.sleep(0.6)
            await added.start()
            await asyncio.sleep(RELEASE_GAP_S - 0.6)
            removals.append(asyncio.create_task(world.remove_server(oldest)))

    async def restart_in_turn() -> None:
        while not is_over():
            for program in world.list_programs("balancer"):
                restarts.append(asyncio.create_task(program.restart(signal.SIGTERM)))
                await asyncio.sleep(RESTART_GAP_S)
                if is_over():
                    return

    removals: list[asyncio.Task] = []
    restarts: list[asyncio.Task] = []
    await asyncio.gather(release(), restart_in_turn(), *map(call, range(CALLERS)))
    await asyncio.gather(*removals, *restarts)
    return broken


run(case, Path(__file__).parent, 6, {"gauging": 7}, ROUTES, stale_seeds=True)
