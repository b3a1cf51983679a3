"""Packets per second, added latency and memory of one balancer on real sockets.

The balancer runs whole, with its tasks, its HTTP endpoint and a platform stand-in.
Bursts of frames are sent to its fabric socket, and the processor time until all of
them have left for the agents is taken, without the time for sending the bursts and
for reading the agents' sockets; so a rate is what one core can do. Two relays are
measured on the same sockets in turns with it: a bare one that awaits each datagram,
and one that reads in batches.
"""

import gc
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from citronwinch.benches._path_setup import (
    FRAME_PAYLOAD_BYTES,
    PathSetup,
    make_frames,
    make_request_frames,
    make_setup,
)
from citronwinch.coordination.steering import Hint
from citronwinch.daemon import BalancerProcess
from citronwinch.network import DatagramPort

WARM_FLOWS = 2_000
"""The established flows whose packets are sent."""

BURST_PACKETS = 256
"""The packets that are sent at once."""

ROUNDS = 15
"""How often each way is measured, in turns."""

BURSTS_PER_ROUND = 40
"""The bursts of one measurement."""

LATENCY_PACKETS = 2_000
"""The single packets whose latency is measured on each way."""

CACHED_FLOWS = 300_000
"""The flows in the balancer's cache."""

NEW_FLOWS_PER_SECOND = 3_000
"""The new flows that have to be carried while the cache is full."""

MEMORY_LIMIT_MB = 200
"""The memory that the cached flows may take, in megabytes."""

POLL_SECONDS = 0.001
"""How often the agents' sockets are read, in seconds."""

CATCH_UP_SECONDS = 1
"""The time between filling the cache and the first measurement, in seconds."""

BURST_TIMEOUT_SECONDS = 5
"""How long one burst may take, in seconds."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Way(NamedTuple):
    """One way from the fabric's socket to the agents."""

    name: str
    """Its name."""

    entry: tuple[str, int]
    """Where frames are sent to."""


def run_case(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    return trio.run(_run, seed)


async def _run(seed: int) -> dict[str, Any]:
    source = random.Random(seed)
    setup = make_setup()
    figures: dict[str, Any] = {"case": "path", "seed": seed}
    async with trio.open_nursery() as nursery:
        await setup.start(nursery)
        figures |= fill_cache(setup.balancer, source)
        frames = make_frames(source, WARM_FLOWS)
        requests = make_request_frames(source, WARM_FLOWS)
        bare = DatagramPort(setup.loopback)
        batched = DatagramPort(setup.loopback)
        nursery.start_soon(relay_singly, bare, setup.sinks[0])
        nursery.start_soon(relay_batches, batched, setup.sinks[0])
        ways = (
            Way("balancer", setup.balancer.fabric.endpoint),
            Way("bare_relay", bare.endpoint),
            Way("batched_relay", batched.endpoint),
        )
        # A balancer that was held up drops requests, so it gets time to catch up.
        await trio.sleep(CATCH_UP_SECONDS)
        rates = await measure_rates(setup, ways, frames)
        request_rates = await measure_rates(setup, ways[:1], requests)
        latencies = [await measure_latency(setup, way, frames) for way in ways]
        figures |= await measure_new_flows(setup, ways[0], source)
        nursery.cancel_scope.cancel()
    rate = {way.name: median(rates[way.name]) for way in ways}
    figures["packets_per_second"] = round(rate["balancer"])
    figures["ratio_to_relay"] = round(rate["balancer"] / rate["bare_relay"], 3)
    figures["ratio_to_batched_relay"] = round(
        rate["balancer"] / rate["batched_relay"], 3
    )
    by_name = {case["name"]: case for case in latencies}
    for percentile in ("p50_us", "p99_us"):
        figures[f"added_latency_{percentile}"] = round(
            by_name["balancer"][percentile] - by_name["bare_relay"][percentile], 1
        )
    with_requests = median(request_rates["balancer"])
    figures["packets_per_second_with_requests"] = round(with_requests)
    figures["ratio_to_relay_with_requests"] = round(
        with_requests / rate["bare_relay"], 3
    )
    figures["payload_bytes"] = FRAME_PAYLOAD_BYTES
    figures["cases"] = [
        case | {"packets_per_second": round(rate[case["name"]])} for case in latencies
    ]
    return figures


def fill_cache(balancer: BalancerProcess, source: random.Random) -> dict[str, Any]:
    """Fill the balancer's cache and return what that costs.

    Half of the flows are where they belong, of the others an agent has told so.
    """
    frames = make_frames(source, 0)
    gc.collect()
    before = read_resident_bytes()
    names = [f"gauging-{i + 1}" for i in range(7)]
    steering = balancer.steering
    for i in range(CACHED_FLOWS):
        flow = frames.make_flow(i)
        if i % 2:
            steering.accept_hint(Hint(flow.key, names[i % len(names)]))
        else:
            steering.route(flow.key, "gauging")
    gc.collect()
    after = read_resident_bytes()
    growth = after - before
    cached = len(steering.owner_routes) + len(steering.home_routes)
    return {
        "cached_flows": cached,
        "bytes_per_cached_flow": round(growth / cached),
        "cached_flows_mb": round(growth / 1e6, 1),
        "cached_flows_within_limit": growth <= MEMORY_LIMIT_MB * 1e6,
        "resident_mb": round(after / 1e6, 1),
    }


async def measure_rates(
    setup: PathSetup, ways: tuple[Way, ...], frames: Any
) -> dict[str, list[float]]:
    """Return packets per second of each way, one figure for each round."""
    rates: dict[str, list[float]] = {way.name: [] for way in ways}
    for way in ways:
        await send_bursts(setup, way, frames.take, 4)
    for _ in range(ROUNDS):
        for way in ways:
            seconds = await send_bursts(setup, way, frames.take, BURSTS_PER_ROUND)
            rates[way.name].append(BURSTS_PER_ROUND * BURST_PACKETS / seconds)
    return rates


async def send_bursts(
    setup: PathSetup, way: Way, take: Callable[[int], list[bytes]], bursts: int
) -> float:
    """Send bursts over a way and return the processor time spent on them."""
    worked = 0.0
    for _ in range(bursts):
        for frame in take(BURST_PACKETS):
            setup.sender.sendto(frame, way.entry)
        worked += await wait_forwarded(setup, BURST_PACKETS)
    return worked


async def measure_latency(setup: PathSetup, way: Way, frames: Any) -> dict[str, Any]:
    """Return the latency of single packets over a way."""
    histogram = HdrHistogram(1, 10_000_000, 3)
    for frame in frames.take(LATENCY_PACKETS):
        started = time.perf_counter_ns()
        setup.sender.sendto(frame, way.entry)
        with trio.fail_after(BURST_TIMEOUT_SECONDS):
            while not setup.drain():
                await trio.lowlevel.checkpoint()
        histogram.record_value(max(1, (time.perf_counter_ns() - started) // 100))
    return {
        "name": way.name,
        "p50_us": histogram.get_value_at_percentile(50) / 10,
        "p99_us": histogram.get_value_at_percentile(99) / 10,
    }


async def measure_new_flows(
    setup: PathSetup, way: Way, source: random.Random
) -> dict[str, Any]:
    """Open new flows at a steady rate while the cache is full.

    The agents answer the first packet of each flow with a hint, and a second packet
    follows, as steering does it.
    """
    frames = make_frames(source, 0, first_flow=2 * CACHED_FLOWS)
    worked = 0.0
    per_burst = NEW_FLOWS_PER_SECOND // 30
    for _ in range(30):
        flows = [frames.make_flow() for _ in range(per_burst)]
        for flow in flows:
            setup.sender.sendto(frames.make_frame(flow), way.entry)
        worked += await wait_forwarded(setup, per_burst)
        for flow in flows:
            setup.send_as_agent(0, Hint(flow.key, "gauging-1"))
        started = time.thread_time()
        await trio.sleep(10 * POLL_SECONDS)
        worked += time.thread_time() - started
        for flow in flows:
            setup.sender.sendto(frames.make_frame(flow), way.entry)
        worked += await wait_forwarded(setup, per_burst)
    return {
        "new_flows": 30 * per_burst,
        "core_share_for_3000_new_flows_a_second": round(worked, 3),
    }


async def wait_forwarded(setup: PathSetup, count: int) -> float:
    """Wait until packets have left; return the processor time that took."""
    worked = 0.0
    with trio.fail_after(BURST_TIMEOUT_SECONDS):
        while count > 0:
            started = time.thread_time()
            await trio.sleep(POLL_SECONDS)
            worked += time.thread_time() - started
            count -= setup.drain()
    return worked


async def relay_singly(port: DatagramPort, sink: DatagramPort) -> None:
    """Relay each datagram as a plain trio program does."""
    link = trio.socket.from_stdlib_socket(port.socket)
    while True:
        data, _ = await link.recvfrom(65_535)
        await link.sendto(data, sink.endpoint)


async def relay_batches(port: DatagramPort, sink: DatagramPort) -> None:
    """Relay datagrams in batches, with nothing done to them."""
    receiver = sink.endpoint
    while True:
        for datagram in await port.receive():
            port.send(datagram.data, receiver)


def read_resident_bytes() -> int:
    """Return the memory that this process has in use, in bytes."""
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES
