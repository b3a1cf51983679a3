"""Packets per second, added latency and memory of one balancer on real sockets.

The balancer runs as in production, with all its tasks and its HTTP endpoint, against
a platform stand-in. Bursts of frames are sent to its fabric socket. The processor time
until all of them have been forwarded to the agents is measured, without that for
sending the bursts and for reading the agents' sockets, so a rate is that of one core.
Measurements of the balancer and of two relays on the same sockets alternate: a bare
relay that awaits each datagram, and a relay that reads in batches.
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
    make_frame_source,
    make_request_frame_source,
    make_setup,
)
from citronwinch.coordination.steering import Hint
from citronwinch.daemon import BalancerProcess
from citronwinch.network import DatagramSocket

ESTABLISHED_FLOWS = 2_000
"""The established flows whose packets are sent."""

BURST_PACKETS = 256
"""The packets of one burst."""

ROUNDS = 15
"""The measurements of each forwarder, alternating with those of the others."""

BURSTS_PER_ROUND = 40
"""The bursts of each measurement."""

LATENCY_PACKETS = 2_000
"""The packets, sent one at a time, whose latency is measured at each forwarder."""

CACHED_FLOWS = 300_000
"""The flows in the balancer's cache."""

NEW_FLOWS_PER_SECOND = 3_000
"""The rate of new flows while the cache is full."""

MEMORY_LIMIT_MB = 200
"""The limit of the memory for the cached flows, in megabytes."""

POLL_INTERVAL_S = 0.001
"""The interval between two reads of the agents' sockets, in seconds."""

CATCH_UP_DELAY_S = 1
"""The delay between filling the cache and the first measurement, in seconds."""

BURST_TIMEOUT_S = 5
"""The timeout of one burst, in seconds."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Forwarder(NamedTuple):
    """The balancer or a relay, which forwards frames to the agents' sockets."""

    name: str
    """The forwarder's name in the figures."""

    address: tuple[str, int]
    """The address at which it receives frames."""


def run_case(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    return trio.run(_run, seed)


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    setup = make_setup()
    figures: dict[str, Any] = {"case": "path", "seed": seed}
    async with trio.open_nursery() as nursery:
        await setup.start(nursery)
        figures |= fill_cache(setup.balancer, rng)
        frame_source = make_frame_source(rng, ESTABLISHED_FLOWS)
        request_frame_source = make_request_frame_source(rng, ESTABLISHED_FLOWS)
        bare = DatagramSocket(setup.loopback)
        batched = DatagramSocket(setup.loopback)
        nursery.start_soon(relay_singly, bare, setup.agent_sockets[0])
        nursery.start_soon(relay_batches, batched, setup.agent_sockets[0])
        forwarders = (
            Forwarder("balancer", setup.balancer.fabric.endpoint),
            Forwarder("bare_relay", bare.endpoint),
            Forwarder("batched_relay", batched.endpoint),
        )
        # A balancer whose event loop was blocked drops requests, so let it catch up.
        await trio.sleep(CATCH_UP_DELAY_S)
        rates = await measure_rates(setup, forwarders, frame_source)
        request_rates = await measure_rates(setup, forwarders[:1], request_frame_source)
        latencies = [
            await measure_latency(setup, forwarder, frame_source)
            for forwarder in forwarders
        ]
        figures |= await measure_new_flows(setup, forwarders[0], rng)
        nursery.cancel_scope.cancel()
    median_rates = {
        forwarder.name: median(rates[forwarder.name]) for forwarder in forwarders
    }
    figures["packets_per_second"] = round(median_rates["balancer"])
    figures["ratio_to_relay"] = round(
        median_rates["balancer"] / median_rates["bare_relay"], 3
    )
    figures["ratio_to_batched_relay"] = round(
        median_rates["balancer"] / median_rates["batched_relay"], 3
    )
    by_name = {case["name"]: case for case in latencies}
    for percentile in ("p50_us", "p99_us"):
        figures[f"added_latency_{percentile}"] = round(
            by_name["balancer"][percentile] - by_name["bare_relay"][percentile], 1
        )
    with_requests = median(request_rates["balancer"])
    figures["packets_per_second_with_requests"] = round(with_requests)
    figures["ratio_to_relay_with_requests"] = round(
        with_requests / median_rates["bare_relay"], 3
    )
    figures["payload_bytes"] = FRAME_PAYLOAD_BYTES
    figures["cases"] = [
        case | {"packets_per_second": round(median_rates[case["name"]])}
        for case in latencies
    ]
    return figures


def fill_cache(balancer: BalancerProcess, rng: random.Random) -> dict[str, Any]:
    """Fill the balancer's flow cache and return the memory that it takes.

    Half of the flows are routed to their home; the owners of the others are learned
    from hints.
    """
    frame_source = make_frame_source(rng, 0)
    gc.collect()
    before_bytes = read_resident_bytes()
    names = [f"gauging-{i + 1}" for i in range(7)]
    steering = balancer.steering
    for i in range(CACHED_FLOWS):
        flow = frame_source.make_flow(i)
        if i % 2:
            steering.accept_hint(Hint(flow.key, names[i % len(names)]))
        else:
            steering.find_route(flow.key, "gauging")
    gc.collect()
    after_bytes = read_resident_bytes()
    growth_bytes = after_bytes - before_bytes
    cached = len(steering.owner_routes) + len(steering.home_routes)
    return {
        "cached_flows": cached,
        "bytes_per_cached_flow": round(growth_bytes / cached),
        "cached_flows_mb": round(growth_bytes / 1e6, 1),
        "cached_flows_within_limit": growth_bytes <= MEMORY_LIMIT_MB * 1e6,
        "resident_mb": round(after_bytes / 1e6, 1),
    }


async def measure_rates(
    setup: PathSetup, forwarders: tuple[Forwarder, ...], frame_source: Any
) -> dict[str, list[float]]:
    """Return packets per second of each forwarder, one figure for each round."""
    rates: dict[str, list[float]] = {forwarder.name: [] for forwarder in forwarders}
    for forwarder in forwarders:
        await send_bursts(setup, forwarder, frame_source.next_frames, 4)
    for _ in range(ROUNDS):
        for forwarder in forwarders:
            seconds = await send_bursts(
                setup, forwarder, frame_source.next_frames, BURSTS_PER_ROUND
            )
            rates[forwarder.name].append(BURSTS_PER_ROUND * BURST_PACKETS / seconds)
    return rates


async def send_bursts(
    setup: PathSetup,
    forwarder: Forwarder,
    next_frames: Callable[[int], list[bytes]],
    bursts: int,
) -> float:
    """Send bursts to a forwarder and return the processor seconds spent on them."""
    cpu_seconds = 0.0
    for _ in range(bursts):
        for frame in next_frames(BURST_PACKETS):
            setup.sender.sendto(frame, forwarder.address)
        cpu_seconds += await wait_forwarded(setup, BURST_PACKETS)
    return cpu_seconds


async def measure_latency(
    setup: PathSetup, forwarder: Forwarder, frame_source: Any
) -> dict[str, Any]:
    """Return latency percentiles of packets that are forwarded one at a time."""
    histogram = HdrHistogram(1, 10_000_000, 3)  # in units of 100 ns
    for frame in frame_source.next_frames(LATENCY_PACKETS):
        started_ns = time.perf_counter_ns()
        setup.sender.sendto(frame, forwarder.address)
        with trio.fail_after(BURST_TIMEOUT_S):
            while not setup.read_agent_sockets():
                await trio.lowlevel.checkpoint()
        histogram.record_value(max(1, (time.perf_counter_ns() - started_ns) // 100))
    return {
        "name": forwarder.name,
        "p50_us": histogram.get_value_at_percentile(50) / 10,
        "p99_us": histogram.get_value_at_percentile(99) / 10,
    }


async def measure_new_flows(
    setup: PathSetup, forwarder: Forwarder, rng: random.Random
) -> dict[str, Any]:
    """Open new flows at a constant rate while the cache is full.

    As in production, an agent answers the first packet of each flow with a hint, and
    the second packet follows after that. The flows are those of one second, in 30
    bursts, so the processor time in seconds is the share of a core.
    """
    frame_source = make_frame_source(rng, 0, first_flow=2 * CACHED_FLOWS)
    cpu_seconds = 0.0
    flows_per_burst = NEW_FLOWS_PER_SECOND // 30
    for _ in range(30):
        flows = [frame_source.make_flow() for _ in range(flows_per_burst)]
        for flow in flows:
            setup.sender.sendto(frame_source.make_frame(flow), forwarder.address)
        cpu_seconds += await wait_forwarded(setup, flows_per_burst)
        for flow in flows:
            setup.send_as_agent(0, Hint(flow.key, "gauging-1"))
        started_s = time.thread_time()
        await trio.sleep(10 * POLL_INTERVAL_S)
        cpu_seconds += time.thread_time() - started_s
        for flow in flows:
            setup.sender.sendto(frame_source.make_frame(flow), forwarder.address)
        cpu_seconds += await wait_forwarded(setup, flows_per_burst)
    return {
        "new_flows": 30 * flows_per_burst,
        "core_share_for_3000_new_flows_a_second": round(cpu_seconds, 3),
    }


async def wait_forwarded(setup: PathSetup, count: int) -> float:
    """Wait until packets have been forwarded; return the processor seconds spent."""
    cpu_seconds = 0.0
    with trio.fail_after(BURST_TIMEOUT_S):
        while count > 0:
            started_s = time.thread_time()
            await trio.sleep(POLL_INTERVAL_S)
            cpu_seconds += time.thread_time() - started_s
            count -= setup.read_agent_sockets()
    return cpu_seconds


async def relay_singly(
    datagram_socket: DatagramSocket, agent_port: DatagramSocket
) -> None:
    """Relay one datagram at a time, as a simple trio program does."""
    trio_socket = trio.socket.from_stdlib_socket(datagram_socket.socket)
    while True:
        data, _ = await trio_socket.recvfrom(65_535)
        await trio_socket.sendto(data, agent_port.endpoint)


async def relay_batches(
    datagram_socket: DatagramSocket, agent_port: DatagramSocket
) -> None:
    """Relay datagrams in batches, without processing them."""
    receiver = agent_port.endpoint
    while True:
        for datagram in await datagram_socket.receive():
            datagram_socket.send(datagram.data, receiver)


def read_resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    pages = Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES
