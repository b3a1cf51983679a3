"""FLOW at a planned restart while the store has an entry for the same machine."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import run_case

ROUTE = ("127.250.0.1", 443)
FLOWS = 24


async def play(case):
    await case.start(
        ["zone-a", "zone-a", "zone-a"],
        [("gauging", "zone-a")] * 3 + [("reporting", "zone-a")],
        {ROUTE: "gauging"},
    )
    consumer = case.consumers[0]
    broken = []
    working = [b for b in case.backends.values() if b.service == "gauging"]

    def on_reset(flow):
        holders = [b for b in working if flow.key in b.flows and b.flows[flow.key].is_open]
        for backend in holders:
            broken.append(
                f"FLOW: the flow {flow.key}, open at {backend.name} for "
                f"{time.monotonic() - flow.opened_at:.1f} s, got a reset that the "
                "backend did not send"
            )

    case.on_reset = on_reset
    counts = {"served": 0, "reset": 0, "silence": 0}

    async def use_flow(number):
        await asyncio.sleep(number * 0.05)
        flow = consumer.new_flow(ROUTE)
        if await flow.open() != "open":
            return
        for request in range(1000):
            outcome = await flow.request(f"{flow.port}-{request}", 5.0)
            counts[outcome] += 1
            if outcome != "served":
                return
            await asyncio.sleep(random.uniform(0.3, 0.7))

    for number in range(FLOWS):
        case.spawn(use_flow(number))
    await asyncio.sleep(5)
    if case.trouble:
        # Another program on the machine of the first backend writes an entry of its
        # own: its service is named nowhere, and it listens at another port.
        entry = {
            "service": "host-metrics",
            "address": f"{working[0].ip}:9100",
            "zone": "zone-a",
            "version": "7",
            "concurrency": 1,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": time.time_ns() // 1_000_000,
        }
        case.store.write("servers/host-metrics-1", json.dumps(entry).encode())
        case.record.write("entry of another writer:", json.dumps(entry))
    await asyncio.sleep(6)
    # Planned work: one balancer is stopped and started.
    ip = sorted(case.balancers)[1]
    case.balancers[ip].signal(signal.SIGTERM)
    await asyncio.sleep(15)
    case.record.write("requests:", counts)
    return broken


run_case(Path(__file__).resolve().parent, play)
