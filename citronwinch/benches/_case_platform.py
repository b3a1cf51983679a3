"""The cost of packets, flows, messages, configurations and listings on a platform.

Times differ from run to run; bytes and counts do not. `docs/CAPACITY.md` derives the
needs of a deployment of the target size from these figures.
"""

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import (
    AgentFlows,
    BackendServer,
    BalancerFlows,
    Configuration,
    DeploymentView,
    ForwardedPacket,
    Heartbeat,
    LoadReport,
    Packet,
    Route,
    ServerListing,
    ServerSelector,
    ServerState,
    ServiceShare,
    StorePosition,
    ViewAnswer,
    pack_route_address,
)
from citronwinch.flow_peers import (
    ViewEncoder,
    decode_flow_message,
    decode_view,
    encode_flow_message,
)

FLOWS = 20_000
"""The flows that are opened at the balancer and at the agent."""

SERVERS = 12_000
"""The backend servers of a deployment of the target size."""

SERVERS_PER_SERVICE = 10
"""The backend servers of each service at the target size."""

BALANCERS_PER_ZONE = 106
"""The balancers of one zone at the target size: 1,700 in 16 zones."""

SERVICE_ADDRESSES = 1_200
"""The service addresses at the target size, each with a route."""

ROUNDS = 5
"""The rounds of each time measurement, of which the least counts."""

ADDRESS = Endpoint("198.18.0.1", 443)
"""The service address of all modelled flows."""


def make_server(number: int, service: str) -> BackendServer:
    """Return the backend server with a number."""
    ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return BackendServer(
        f"i-{number:010x}",
        service,
        Endpoint(ip, 8080),
        f"zone-{number % 16}",
        ServerState.READY,
        1,
        1_700_000_000_000 + number,
    )


def make_listing(services: int) -> ServerListing:
    """Return a listing with ten servers for each service."""
    servers = [
        make_server(number, f"service-{number // SERVERS_PER_SERVICE}")
        for number in range(services * SERVERS_PER_SERVICE)
    ]
    return ServerListing(
        StorePosition(1, 1), {server.name: server for server in servers}
    )


def make_packet(number: int, *, is_opening: bool) -> Packet:
    """Return a caller's packet; each number gives a different flow."""
    key = pack_flow_key(
        TransportProtocol.TCP,
        pack_ip(f"100.64.{number >> 8 & 255}.{number & 255}"),
        1024 + (number >> 16),
        pack_ip(ADDRESS.ip),
        ADDRESS.port,
    )
    payload = 0 if is_opening else 300
    return Packet(
        FlowKey(key), is_opening, False, False, False, 1, 0, payload, bytes(336)
    )


def make_balancer(services: int) -> BalancerFlows:
    """Return a balancer that has the configuration and listing of some services."""
    clock = ManualClock(10_000)
    view = DeploymentView(clock)
    route = Route("r", ADDRESS, (ServiceShare("service-0", 1),), 1, 120, 1_000)
    routes = {pack_route_address(ADDRESS): route}
    view.accept_configuration(Configuration(1, routes, 15_000))
    view.accept_listing(make_listing(services), clock.now_ms())
    selector = ServerSelector("zone-0", clock, random.Random(1))
    for server in view.list_ready("service-0"):
        report = LoadReport("service-0", 10, 0, 20, 0.4, True)
        selector.record_message(server.address.ip, report)
    return BalancerFlows(view, selector, clock)


def time_us(run: Callable[[], object], repeats: int) -> float:
    """Return the mean time of a call in the fastest round, in microseconds."""
    best_us = float("inf")
    for _ in range(ROUNDS):
        begin_ns = time.perf_counter_ns()
        for _ in range(repeats):
            run()
        best_us = min(best_us, (time.perf_counter_ns() - begin_ns) / repeats / 1_000)
    return round(best_us, 2)


def measure_balancer() -> dict[str, float]:
    """Return the cost of opening packets, packets of known flows, and flow records.

    Opening packets are timed while memory is traced, which makes them slower.
    """
    balancer = make_balancer(1)
    openings = [make_packet(number, is_opening=True) for number in range(FLOWS)]
    tracemalloc.start()
    begin_ns = time.perf_counter_ns()
    for packet in openings:
        # Placed flows count as load until the agent's next report. They are cleared
        # after each opening, as if every agent had reported.
        balancer.selector.agents["10.0.0.0"].placed_ms.clear()
        balancer.handle_packet(packet)
        for agent in balancer.selector.agents.values():
            agent.placed_ms.clear()
    opening_us = (time.perf_counter_ns() - begin_ns) / FLOWS / 1_000
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    known = make_packet(7, is_opening=False)
    return {
        "opening_us_traced": round(opening_us, 1),
        "known_packet_us": time_us(lambda: balancer.handle_packet(known), 20_000),
        "bytes_per_flow": round(allocated_bytes / FLOWS),
        "flows_remembered": len(balancer.flows),
    }


def measure_agent() -> dict[str, float]:
    """Return the cost of a packet and a flow at an agent."""
    agent = AgentFlows("service-0", ManualClock(10_000), knows_all_flows=True)
    tracemalloc.start()
    for number in range(FLOWS):
        packet = make_packet(number, is_opening=True)
        agent.handle_forwarded(ForwardedPacket("service-0", b""), packet, "10.9.0.1")
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    packet = make_packet(7, is_opening=False)
    agent.handle_from_server(packet)
    message = ForwardedPacket("service-0", b"")
    packet_us = time_us(
        lambda: agent.handle_forwarded(message, packet, "10.9.0.1"), 20_000
    )
    return {"packet_us": packet_us, "bytes_per_flow": round(allocated_bytes / FLOWS)}


def measure_messages() -> dict[str, float]:
    """Return the sizes and times of heartbeats and load reports."""
    balancers = tuple(f"10.1.{n >> 8}.{n & 255}" for n in range(BALANCERS_PER_ZONE))
    heartbeat = Heartbeat(
        1 << 60, "zone-0", False, StorePosition(1, 9), 1 << 63, 700, 12, balancers
    )
    report = LoadReport("service-0", 40, 3, 17, 0.45, True, 0.05)
    data, report_data = encode_flow_message(heartbeat), encode_flow_message(report)
    return {
        "heartbeat_bytes_of_106_balancers": len(data),
        "heartbeat_bytes_of_6_balancers": len(
            encode_flow_message(heartbeat._replace(balancers=balancers[:6]))
        ),
        "heartbeat_bytes_without_names": len(
            encode_flow_message(heartbeat._replace(balancers=()))
        ),
        "heartbeat_encode_us": time_us(lambda: encode_flow_message(heartbeat), 500),
        "heartbeat_decode_us": time_us(lambda: decode_flow_message(data), 500),
        "load_report_bytes": len(report_data),
        "load_report_us": time_us(lambda: decode_flow_message(report_data), 2_000),
    }


def measure_configuration() -> dict[str, float]:
    """Return the encoded size and the times of a target-size configuration."""
    routes = {}
    for number in range(SERVICE_ADDRESSES):
        address = Endpoint(f"198.18.{number >> 8}.{number & 255}", 443)
        share = ServiceShare(f"service-{number}", 1)
        route = Route(f"route-{number}", address, (share,), number % 3, 120, 1_000)
        routes[pack_route_address(address)] = route
    listing = ServerListing(StorePosition(1, 1), {})
    view = ViewAnswer(listing, 0, Configuration(1, routes, 15_000))
    encoder = ViewEncoder()
    begin_ns = time.perf_counter_ns()
    data = encoder.encode(view)
    first_encode_ms = (time.perf_counter_ns() - begin_ns) / 1_000_000
    return {
        "configuration_bytes_on_the_wire": len(data),
        "configuration_first_encode_ms": round(first_encode_ms, 2),
        "configuration_next_encode_us": time_us(lambda: encoder.encode(view), 20),
        "configuration_decode_ms": time_us(lambda: decode_view(data), 1) / 1_000,
    }


def measure_listing() -> dict[str, float]:
    """Return the sizes and times of a listing of the target size."""
    listing = make_listing(SERVERS // SERVERS_PER_SERVICE)
    view = DeploymentView(ManualClock(10_000))
    data = ViewEncoder().encode(ViewAnswer(listing, 0, None))
    tracemalloc.start()
    decoded = decode_view(data)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    view.accept_listing(decoded.listing, 10_000)

    def accept() -> None:
        view.accept_listing(listing, 10_000)

    return {
        "listing_bytes_on_the_wire": len(data),
        "listing_bytes_in_memory": allocated_bytes,
        "listing_decode_ms": time_us(lambda: decode_view(data), 1) / 1_000,
        "listing_accept_ms": time_us(accept, 1) / 1_000,
    }


def run_case(seed: int) -> dict[str, Any]:
    """Return all figures; no input is random, so the seed has no effect."""
    return {
        "seed": seed,
        "balancer": measure_balancer(),
        "agent": measure_agent(),
        "messages": measure_messages(),
        "configuration": measure_configuration(),
        "listing": measure_listing(),
    }
