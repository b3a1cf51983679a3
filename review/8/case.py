"""Late copies of openings from a balancer that was frozen, at agents that have restarted."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins_2 import CallerFlow, CannotRun, World, run  # noqa: E402

ROUTE = ("127.255.0.1", 8443)
ROUTES = {ROUTE: {"gauging": 1}}
FREEZE_S = 3.5
OPENING_GAP_S = 0.005
FIRST_RESTART_S, RESTART_GAP_S = 1.5, 1.2
CONTACT_S = 4.0


async def case(world: World, trouble: bool) -> list[str]:
    flows: list[CallerFlow] = []
    balancer = world.list_programs("balancer")[0]
    assert balancer.process is not None
    started_s = world.record.now()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, started_s + at_s - world.record.now()))

    async def call(number: int) -> None:
        flow = world.make_flow(ROUTE)
        if not await flow.open():
            return
        if await flow.request(f"request-{number}", 2.0) == "answered":
            flows.append(flow)

    async def freeze() -> None:
        if trouble:
            world.record.write(f"{balancer.name} freezes")
            balancer.process.send_signal(signal.SIGSTOP)
        await wait_until(FREEZE_S)
        if trouble:
            balancer.process.send_signal(signal.SIGCONT)
            world.record.write(f"{balancer.name} wakes")

    async def restart_in_turn() -> None:
        for number, program in enumerate(world.list_programs("agent")[:2]):
            await wait_until(FIRST_RESTART_S + number * RESTART_GAP_S)
            await program.restart(signal.SIGTERM)

    async def open_flows() -> None:
        calls = []
        for number in range(int(1.4 / OPENING_GAP_S)):
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(OPENING_GAP_S)
        await asyncio.gather(*calls)

    await asyncio.gather(freeze(), restart_in_turn(), open_flows())
    if not flows:
        raise CannotRun("no flow was opened")
    # All machines have been in touch for `contact_ms` by then.
    await asyncio.sleep(CONTACT_S + 0.4)
    outcomes = await asyncio.gather(
        *(f.request(f"late-{n}", 5.0) for n, f in enumerate(flows))
    )
    broken = []
    for flow, outcome in zip(flows, outcomes, strict=True):
        server = world.open_flows[flow.key]
        if flow.resets and flow.key in server.flows:
            broken.append(
                f"FLOW (a): {flow.key} was reset by the system while {server.name} holds it; "
                f"request: {outcome}"
            )
    return broken


run(case, Path(__file__).parent, 7, {"gauging": 3}, ROUTES)
