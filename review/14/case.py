"""FLOW: the agent of a back end that has just been added is killed once.

Five times a back end is added, and the agent beside it is killed within 0.55 s of the back
end's start, if flows have been opened there by then. Then the balancers are stopped and
started in turn. More than `contact_ms` after the last of them is back, the consumer uses
its flows. The back end is emptied and taken away before the next one is added.
"""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness_3  # noqa: E402
from harness_3 import (  # noqa: E402
    CONTACT_MS, RST, Backend, Consumer, World, main, make_route, now, wait_until,
    write_config,
)  # fmt: skip

ROUNDS = 5
INITIAL = {number: "zone-a" if number <= 5 else "zone-b" for number in range(1, 12)}
"""The zones of the eleven back ends that are there from the start."""
KILL_WITHIN_S = 0.55
MIN_FLOWS = 4
OPENING_INTERVAL_S = 0.015
ROLL_GAP_S = 1.2
RESET_RANGE = 76_800
harness_3.RESTART_DELAY_S = 0.1


async def case(with_trouble):
    world = World(Path(__file__).parent, ("zone-a", "zone-b"))
    record = world.recorder.write
    try:
        balancers = ["edge-1", "edge-2", "edge-3"]
        for name in balancers:
            world.seeds.append(world.add_balancer(name, "zone-a"))
        for number, zone in INITIAL.items():
            world.add_agent(f"side-{number}", zone, "gauging")
        await world.run_platform()
        route = (f"{world.network}.9.1", 443)
        write_config(world, 1, [make_route("r-1", *route, "gauging")], ["gauging"])
        backends = [Backend(world, f"i-{number}", f"side-{number}", "gauging", slots=4)
                    for number in INITIAL]  # fmt: skip
        for backend in backends:
            await backend.start()
        await world.start_all()
        consumer = Consumer(world, "zone-a")
        await consumer.start()
        daemons = world.routers.daemons.values()
        if not await wait_until(lambda: all(each["in"] for each in daemons), 15):
            return 2
        await asyncio.sleep(2)

        broken, outcomes = [], []
        ports, numbers = itertools.count(20_001), itertools.count(1)

        def check_reset(flow, packet):
            key = (consumer.ip, flow.port, *route)
            holders = [each for each in backends
                       if key in each.flows and each.flows[key].is_open]  # fmt: skip
            distance = (packet.seq - flow.expected + 2**31) % 2**32 - 2**31
            if packet.flags & RST and holders and abs(distance) <= RESET_RANGE:
                broken.append(flow.port)
                record("BROKEN", port=flow.port, open_at=holders[0].name,
                       open_for_ms=round(1000 * (now() - flow.opened)))  # fmt: skip

        consumer.on_packet = check_reset

        async def open_flow(flows):
            flow = await consumer.open(next(ports), route)
            if flow.state == "open":
                flows.append(flow)
                await use_flow(flow)

        async def use_flow(flow, close=False):
            outcome, server = await consumer.request(flow, f"a{next(numbers)}", close=close)
            outcomes.append(outcome)
            record("outcome", port=flow.port, outcome=outcome, id=server)

        async def play_round(number):
            agent = f"side-{number}"
            world.add_agent(agent, "zone-a", "gauging")
            world.machines[agent]["bootstrap"] = False
            await world.start(agent)
            await asyncio.sleep(1.5)
            backend = Backend(world, f"i-{number}", agent, "gauging", slots=4)
            backends.append(backend)
            backend.answered = 0

            def count_run(attempt, backend):
                backend.answered += 1

            backend.on_run = count_run
            await backend.start()
            flows, tasks, end = [], [], now() + KILL_WITHIN_S
            while now() < end and backend.answered < MIN_FLOWS:
                tasks.append(asyncio.create_task(open_flow(flows)))
                await asyncio.sleep(OPENING_INTERVAL_S)
            record("round", back_end=backend.name, flows=len(backend.flows),
                   age_ms=round(time.time() * 1000) - backend.born)  # fmt: skip
            if with_trouble and backend.answered >= MIN_FLOWS:
                world.send_signal(agent, signal.SIGKILL)
            for name in balancers:
                world.tasks.append(asyncio.create_task(world.terminate(name)))
                await asyncio.sleep(ROLL_GAP_S)
            await asyncio.gather(*tasks)
            await asyncio.sleep(3)
            await wait_until(lambda: all(each["in"] for each in daemons), 8)
            await asyncio.sleep(CONTACT_MS / 1000 + 0.2)
            record("flows-used", flows=len(flows))
            open_flows = [flow for flow in flows if flow.state == "open"]
            await asyncio.gather(*(use_flow(flow, close=True) for flow in open_flows))
            backend.drain()
            await asyncio.sleep(3.2)
            await backend.leave()
            backends.remove(backend)

        for number in range(12, 12 + ROUNDS):
            await play_round(number)
        counts = {each: outcomes.count(each) for each in sorted(set(outcomes))}
        print(f"outcomes {counts}, open flows reset while their back end holds them: "
              f"{len(broken)}")  # fmt: skip
        record("result", broken=len(broken), **counts)
        if counts.get("answered", 0) < 50:
            return 2
        return 1 if broken else 0
    finally:
        world.close()


main(case, Path(__file__).parent)
