"""FLOW: an open flow from a port that was used before, while balancers restart in turn.

Every consumer port carries one flow after the other. Some flows carry one request and
are closed by both ends, others stay open for several requests. Three balancers of one
zone are stopped and started in turn, so that the routers move nearly all flows.
"""

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness_3 import (  # noqa: E402
    RST, Backend, Consumer, World, main, make_route, now, wait_until, write_config,
)  # fmt: skip

PORTS = range(40_001, 40_121)
REST_S = 4.0
"""How long a port rests after both ends have closed its flow."""
LONG_FLOW_S = 3.0
SETTLE_S = 6
ROLL_GAP_S = 4.5
"""The pause between the stops of two balancers."""


async def case(with_trouble):
    world = World(Path(__file__).parent)
    record = world.recorder.write
    try:
        balancers = ["edge-1", "edge-2", "edge-3"]
        for name in balancers:
            world.seeds.append(world.add_balancer(name, "zone-a"))
        agents = [f"side-{number}" for number in (1, 2, 3, 4)]
        for name in agents:
            world.add_agent(name, "zone-a", "gauging")
        await world.run_platform()
        route = (f"{world.network}.9.1", 443)
        write_config(world, 1, [make_route("r-1", *route, "gauging")], ["gauging"])
        backends = [Backend(world, f"i-{name}", name, "gauging", work_s=0.02, slots=4)
                    for name in agents]  # fmt: skip
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

        def find_holder(flow):
            """Return the back end that holds the consumer's open flow, if any."""
            key = (consumer.ip, flow.port, *route)
            for backend in backends:
                held = backend.flows.get(key)
                is_same = held and held.caller_next == (flow.isn + 1) % 2**32
                if is_same and held.is_open and not held.is_closing:
                    return backend
            return None

        def check_reset(flow, packet):
            holder = find_holder(flow)
            if packet.flags & RST and flow.state == "open" and holder is not None:
                broken.append(flow.port)
                record("BROKEN", port=flow.port, open_at=holder.name,
                       open_for_ms=round(1000 * (now() - flow.opened)),
                       reset_by="the system" if packet.sum == 0 else "another back end")  # fmt: skip

        consumer.on_packet = check_reset
        numbers = itertools.count(1)

        async def use_port(port):
            """Open one flow after the other from a port."""
            await asyncio.sleep(random.uniform(0, 3))
            while True:
                flow = await consumer.open(port, route)
                if flow.state != "open":
                    outcomes.append(flow.state)
                    await asyncio.sleep(1)
                    continue
                is_long = random.random() < 0.5
                end = now() + (LONG_FLOW_S if is_long else 0)
                while True:
                    is_last = now() >= end
                    name = f"a{next(numbers)}"
                    outcome, server = await consumer.request(flow, name, close=is_last)
                    outcomes.append(outcome)
                    record("outcome", attempt=name, port=port, outcome=outcome, id=server)
                    if outcome != "answered" or is_last:
                        break
                    await asyncio.sleep(0.4)
                await consumer.wait(flow, lambda: flow.state in ("closed", "reset"), 1)
                if flow.state != "closed":
                    # The port is not used again: its flow has not ended in order.
                    return
                await asyncio.sleep(REST_S)

        users = [asyncio.create_task(use_port(port)) for port in PORTS]
        await asyncio.sleep(SETTLE_S)
        for name in balancers:
            if with_trouble:
                world.tasks.append(asyncio.create_task(world.terminate(name)))
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.sleep(5)
        for user in users:
            user.cancel()
        counts = {each: outcomes.count(each) for each in sorted(set(outcomes))}
        print(f"outcomes {counts}, open flows reset by others than their back end: "
              f"{len(broken)}")  # fmt: skip
        record("result", broken=len(broken), **counts)
        if counts.get("answered", 0) < 100:
            return 2
        return 1 if broken else 0
    finally:
        world.close()


main(case, Path(__file__).parent)
