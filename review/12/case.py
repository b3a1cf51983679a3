"""FLOW: late copies of openings, then a back end is emptied and taken away.

A balancer freezes for 3.5 s and wakes with openings in its socket, whose flows have been
opened meanwhile by other balancers. More than `contact_ms` later a back end that had
reported `draining` exits. The consumer's flows pause between their requests.
"""

import asyncio
import itertools
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness_3 import (  # noqa: E402
    RST, Backend, Consumer, Packet, World, main, make_route, now, wait_until, write_config,
)  # fmt: skip

ROUNDS = 6
FREEZE_S = 3.5
OPENINGS_S = 1.3
"""How long flows are opened from the beginning of the freeze on."""
OPENING_INTERVAL_S = 0.008
STAY_S = 4.4
"""From the wake-up and the drain, which come together, to the back end's exit."""
FIRST_USE_S, LAST_USE_S = 4.3, 5.1
"""When, after the wake-up, the consumer sends the next request on a flow."""
RESET_RANGE = 76_800


async def case(with_trouble):
    world = World(Path(__file__).parent)
    record = world.recorder.write
    try:
        balancers = ["edge-1", "edge-2", "edge-3"]
        for name in balancers:
            world.seeds.append(world.add_balancer(name, "zone-a"))
        for number in range(1, 8):
            world.add_agent(f"side-{number}", "zone-a", "gauging")
        await world.run_platform()
        route = (f"{world.network}.9.1", 443)
        write_config(world, 1, [make_route("r-1", *route, "gauging", timeout_ms=5_000)],
                     ["gauging"])  # fmt: skip
        backends = [Backend(world, f"i-{number}", f"side-{number}", "gauging", slots=8)
                    for number in range(1, 8)]  # fmt: skip
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
                       if not each.is_dead and key in each.flows
                       and each.flows[key].is_open]  # fmt: skip
            distance = (packet.seq - flow.expected + 2**31) % 2**32 - 2**31
            if not packet.flags & RST or not holders or flow.state != "open":
                return
            is_valid = abs(distance) <= RESET_RANGE
            if is_valid:
                broken.append(flow.port)
            record("BROKEN" if is_valid else "reset-without-valid-number", port=flow.port,
                   open_at=holders[0].name, open_for_ms=round(1000 * (now() - flow.opened)),
                   reset_by="the system" if packet.sum == 0 else "a back end")  # fmt: skip

        consumer.on_packet = check_reset
        plain_receive = consumer.receive

        def receive(raw):
            """Pass over a reset of an open flow whose number is not valid."""
            packet = Packet.decode(raw)
            flow = consumer.flows.get((packet.dport, (packet.src, packet.sport)))
            if packet.flags & RST and flow is not None and flow.state == "open":
                distance = (packet.seq - flow.expected + 2**31) % 2**32 - 2**31
                if abs(distance) > RESET_RANGE:
                    check_reset(flow, packet)
                    return
            plain_receive(raw)

        consumer.udp.get_protocol().handle = receive

        async def use_flow(flow, close=False):
            outcome, server = await consumer.request(
                flow, f"a{next(numbers)}", deadline_s=5, close=close
            )
            outcomes.append(outcome)
            record("outcome", port=flow.port, outcome=outcome, id=server)

        async def open_flow(flows):
            flow = await consumer.open(next(ports), route)
            if flow.state == "open":
                flows.append(flow)
                await use_flow(flow)

        async def use_later(flow, woken):
            await asyncio.sleep(woken + random.uniform(FIRST_USE_S, LAST_USE_S) - now())
            if flow.state == "open":
                await use_flow(flow, close=True)

        async def play_round(number):
            frozen = balancers[number % 3]
            flows, tasks, begin = [], [], now()
            if with_trouble:
                world.send_signal(frozen, signal.SIGSTOP)
            while now() < begin + OPENINGS_S:
                tasks.append(asyncio.create_task(open_flow(flows)))
                await asyncio.sleep(OPENING_INTERVAL_S)
            await asyncio.sleep(begin + FREEZE_S - now())
            if with_trouble:
                world.send_signal(frozen, signal.SIGCONT)
            await asyncio.sleep(0.05)
            woken = now()
            leaving = backends[0]
            leaving.drain()
            await asyncio.gather(*tasks)
            users = [asyncio.create_task(use_later(flow, woken)) for flow in flows]
            await asyncio.sleep(woken + STAY_S - now())
            await leaving.leave()
            backends.remove(leaving)
            await asyncio.gather(*users)
            agent = f"side-{7 + number}"
            world.add_agent(agent, "zone-a", "gauging")
            world.machines[agent]["bootstrap"] = False
            await world.start(agent)
            backend = Backend(world, f"i-{7 + number}", agent, "gauging", slots=8)
            backends.append(backend)
            await backend.start()
            await wait_until(lambda: all(each["in"] for each in daemons), 5)
            await asyncio.sleep(1.5)

        for number in range(1, 1 + ROUNDS):
            await play_round(number)
        counts = {each: outcomes.count(each) for each in sorted(set(outcomes))}
        print(f"outcomes {counts}, open flows reset while their back end holds them: "
              f"{len(broken)}")  # fmt: skip
        record("result", broken=len(broken), **counts)
        if counts.get("answered", 0) < 100:
            return 2
        return 1 if broken else 0
    finally:
        world.close()


main(case, Path(__file__).parent)
