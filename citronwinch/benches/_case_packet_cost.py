"""The cost of process starts and of packets, for a balancer and an agent.

A start is measured from the launch of the process until it sends on its first packet,
which waits in its socket or is repeated until then, with a start image and without it.
System calls are counted in one more start, whose time does not count. Packets are
measured in a process with sockets on loopback, which reports its own processor time,
and without sockets. In a burst, all datagrams are sent before the first is received;
without one, each datagram wakes the process up.

The processor time of a busy machine varies by a tenth or more from run to run; compare
two versions in alternation.
"""

import io
import queue
import statistics
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import trio

from citronwinch.benches._launched_process import (
    PEER_PORT,
    SERVICE,
    SERVICE_ADDRESS,
    Addresses,
    Peers,
    choose_addresses,
    format_settings,
    read_processor_ms,
    start_process,
    write_start_image,
)
from citronwinch.benches._memory_socket import add_incoming, open_memory_socket
from citronwinch.benches._packet_mix import LIST_STEPS_BY_ROLE, Step, Via
from citronwinch.benches._system_calls import accept_tracing, count_system_calls
from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    Route,
    ServerListing,
    ServerState,
    ServiceShare,
    StorePosition,
    pack_route_address,
)
from citronwinch.forwarder import parse_forwarder_settings
from citronwinch.forwarder._agent_process import AgentProcess
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder._process import ForwarderProcess, PacketBatch, PeerBatch
from citronwinch.operators import configure_logging
from citronwinch.platform.standins import StandInStore

STARTS = 7
"""The starts of each role; the median counts."""

FLOWS = 64
"""The flows of each round of packets; a multiple of each number in `BURSTS`."""

ROUNDS = 6
"""The rounds of each measurement of packets, of which the least counts, after a round
that does not count."""

SERVER_SLOTS = 2_000
"""The slots of the backend server, enough for all flows to be placed at once."""

BURSTS = (1, 16)
"""The numbers of datagrams that are sent at once."""

PROBE_INTERVAL_S = 0.002
"""The time between two copies of the first packet, in seconds."""

START_TIMEOUT_S = 30.0
"""The longest time that a process is given to start, in seconds."""

SETTLED_AFTER_S = 1.5
"""When the processor time of a started process is read again, in seconds. By then it
has loaded most of what it needs after its first packet."""


@contextmanager
def run_store(addresses: Addresses) -> Iterator[None]:
    """Run a stand-in for the store, which lists one backend server, in a thread."""
    store = StandInStore(addresses.store)
    store.write_configuration(1, {SERVICE_ADDRESS: SERVICE})
    address = Endpoint(addresses.peer, 80)
    store.write_server("i-1", SERVICE, address, "a", slots=SERVER_SLOTS)
    scope = trio.CancelScope()
    tokens: queue.SimpleQueue[trio.lowlevel.TrioToken] = queue.SimpleQueue()

    async def run() -> None:
        tokens.put(trio.lowlevel.current_trio_token())
        with scope:
            await store.run()

    thread = threading.Thread(target=trio.run, args=(run,))
    thread.start()
    token = tokens.get()
    try:
        yield
    finally:
        token.run_sync_soon(scope.cancel)
        thread.join()


def send_step(peers: Peers, role: str, step: Step) -> None:
    """Send a datagram to the process."""
    if step.via is Via.PEER:
        peers.send_to_peer_socket(step.data)
    elif role == "agent":
        peers.send_to_outbound(step.data)
    else:
        peers.send_to_balancer(step.data)


def receive_step(peers: Peers, role: str, step: Step) -> None:
    """Receive the packet that the process sends on."""
    receiver = peers.server if role == "agent" else peers.peer
    if step.is_packet and not peers.receive(
        peers.caller if step.is_for_caller else receiver
    ):
        raise RuntimeError(f"{role}: expected a packet within 2 s, received none")


def await_first_packet(is_running: Callable[[], bool], peers: Peers, role: str) -> None:
    """Send an opening until the process sends it on."""
    opening = LIST_STEPS_BY_ROLE[role](0, peers.addresses.caller)[0]
    receiver = peers.server if role == "agent" else peers.peer
    receiver.settimeout(PROBE_INTERVAL_S)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s and is_running():
        send_step(peers, role, opening)
        if peers.receive(receiver):
            return
    raise RuntimeError(f"{role}: expected a first packet, received none")


@contextmanager
def run_role(
    role: str, addresses: Addresses, image: Path | None = None
) -> Iterator[tuple[subprocess.Popen[bytes], Peers, dict[str, float]]]:
    """Start a process, and wait until it sends its first packet on."""
    peers = Peers(addresses)
    try:
        with tempfile.TemporaryDirectory() as directory:
            begin_s = time.monotonic()
            with start_process(role, addresses, Path(directory), image) as process:
                await_first_packet(lambda: process.poll() is None, peers, role)
                figures = {
                    "wall_ms": (time.monotonic() - begin_s) * 1000,
                    "processor_ms": read_processor_ms(process.pid),
                }
                peers.restore_timeouts()
                yield process, peers, figures
    finally:
        peers.close()


def measure_starts(
    role: str, addresses: Addresses, image: Path | None = None
) -> dict[str, float]:
    """Return the median times of the starts of a role, in milliseconds."""
    samples = []
    for _ in range(STARTS):
        with run_role(role, addresses, image) as (process, _, figures):
            time.sleep(SETTLED_AFTER_S)
            settled_ms = read_processor_ms(process.pid)
            samples.append(figures | {"settled_processor_ms": settled_ms})
    return {
        name: round(statistics.median(sample[name] for sample in samples), 1)
        for name in samples[0]
    } | {"system_calls": count_start_calls(role, addresses, image)}


def count_start_calls(role: str, addresses: Addresses, image: Path | None) -> int:
    """Return the system calls of one start up to the first packet."""
    peers = Peers(addresses)
    try:
        with (
            tempfile.TemporaryDirectory() as directory,
            start_process(
                role, addresses, Path(directory), image, accept_tracing
            ) as process,
        ):
            # `poll` would take the stops of the process from the thread that traces it.
            return count_system_calls(
                process, lambda: await_first_packet(lambda: True, peers, role)
            )
    finally:
        peers.close()


def exchange(peers: Peers, role: str, flows: range, burst: int) -> int:
    """Send the packets of flows through the process; return their number."""
    list_steps = LIST_STEPS_BY_ROLE[role]
    packets = 0
    for first in range(flows.start, flows.stop, burst):
        group = range(first, min(first + burst, flows.stop))
        steps_by_flow = [list_steps(n, peers.addresses.caller) for n in group]
        if role == "balancer":
            peers.send_load_report()
        else:
            peers.send_heartbeat()
        for steps in zip(*steps_by_flow, strict=True):
            for step in steps:
                send_step(peers, role, step)
            for step in steps:
                receive_step(peers, role, step)
            packets += sum(step.is_packet for step in steps)
    return packets


def measure_with_sockets(role: str, addresses: Addresses) -> dict[str, float]:
    """Return the processor time per thousand packets, in milliseconds, by burst."""
    result = {}
    first = 1
    with run_role(role, addresses) as (process, peers, _):
        for burst in BURSTS:
            rounds = []
            for _ in range(1 + ROUNDS):
                flows = range(first, first + FLOWS)
                first = flows.stop
                before_ms = read_processor_ms(process.pid)
                packets = exchange(peers, role, flows, burst)
                used_ms = read_processor_ms(process.pid) - before_ms
                rounds.append(used_ms / packets * 1000)
            result[f"burst_{burst}"] = round(min(rounds[1:]), 2)
    return result


def make_process(role: str, addresses: Addresses) -> ForwarderProcess:
    """Return a process with sockets in memory; a balancer knows its only server."""
    configure_logging("json", io.StringIO())
    settings = parse_forwarder_settings(
        format_settings(role, addresses), f"{role}.ini"
    ).ok
    if role == "agent":
        return AgentProcess(settings, open_memory_socket)
    process = BalancerProcess(settings, open_memory_socket)
    accept_deployment(process, addresses.peer)
    return process


def accept_deployment(process: BalancerProcess, agent_ip: str) -> None:
    """Give a balancer a view with one route and one backend server."""
    share = ServiceShare(SERVICE, 1)
    route = Route("route-1", SERVICE_ADDRESS, (share,), 1, 120, 1_000)
    routes = {pack_route_address(SERVICE_ADDRESS): route}
    process.view.accept_configuration(Configuration(1, routes, 15_000))
    server = BackendServer(
        "i-1", SERVICE, Endpoint(agent_ip, 80), "a", ServerState.READY, SERVER_SLOTS, 1
    )
    listing = ServerListing(StorePosition(1, 2), {"i-1": server})
    process.view.accept_listing(listing, process.clock.now_ms())


def handle_group(
    process: ForwarderProcess, addresses: Addresses, steps: tuple[Step, ...]
) -> None:
    """Let a process handle the datagrams of a burst."""
    for via, target, event in (
        (Via.PEER, process.peer_socket, PeerBatch),
        (Via.PACKETS, process.packet_socket, PacketBatch),
    ):
        received = [step.data for step in steps if step.via is via]
        if received:
            add_incoming(target, received, (addresses.peer, PEER_PORT))
            process.handle_event(event(target.receive_nowait()))


def measure_round(
    process: ForwarderProcess, role: str, addresses: Addresses, flows: range, burst: int
) -> float:
    """Return the processor time per thousand packets of flows, in milliseconds."""
    used_ns = packets = 0
    for first in range(flows.start, flows.stop, burst):
        list_steps = LIST_STEPS_BY_ROLE[role]
        group = [list_steps(n, addresses.caller) for n in range(first, first + burst)]
        begin_ns = time.thread_time_ns()
        for steps in zip(*group, strict=True):
            handle_group(process, addresses, steps)
        used_ns += time.thread_time_ns() - begin_ns
        packets += sum(step.is_packet for steps in group for step in steps)
    return used_ns / packets / 1000


def measure_without_sockets(role: str, addresses: Addresses) -> dict[str, float]:
    """Return the processor time per thousand packets, in milliseconds, by burst."""
    process = make_process(role, addresses)
    result, first = {}, 1
    for burst in BURSTS:
        rounds = []
        for _ in range(1 + ROUNDS):
            flows = range(first, first + FLOWS)
            first = flows.stop
            rounds.append(measure_round(process, role, addresses, flows, burst))
        result[f"burst_{burst}"] = round(min(rounds[1:]), 2)
    return result


def run_case(seed: int) -> dict[str, Any]:
    """Return all figures; the seed determines the addresses."""
    addresses = choose_addresses(seed)
    result: dict[str, Any] = {"seed": seed}
    with run_store(addresses), tempfile.TemporaryDirectory() as directory:
        image = Path(directory) / "start.image"
        write_start_image(image)
        for role in LIST_STEPS_BY_ROLE:
            result[role] = {
                "start": measure_starts(role, addresses),
                "start_with_image": measure_starts(role, addresses, image),
                "ms_per_1000_packets": measure_with_sockets(role, addresses),
                "ms_per_1000_packets_without_sockets": measure_without_sockets(
                    role, addresses
                ),
            }
    return result
