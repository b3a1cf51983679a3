"""What the platform's path costs: a packet, a flow, a heartbeat, a listing.

Times differ from run to run; bytes and counts do not. The figures are slopes, from
which `docs/CAPACITY.md` works out the target size.
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
    ServerChoice,
    ServerListing,
    ServerState,
    ServiceShare,
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
"""The flows that are opened in one round."""

SERVERS = 12_000
"""The backend servers of the target."""

SERVICE_SERVERS = 10
"""The backend servers of one service, as at the target."""

ZONE_BALANCERS = 106
"""The balancers of one zone at the target: 1,700 in 16 zones."""

ADDRESSES = 1_200
"""The service addresses of the target, each with a route."""

ROUNDS = 5
"""Each time is the least of so many rounds."""

ADDRESS = Endpoint("198.18.0.1", 443)


def make_server(number: int, service: str) -> BackendServer:
    """Return a backend server of the fleet."""
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
        make_server(number, f"service-{number // SERVICE_SERVERS}")
        for number in range(services * SERVICE_SERVERS)
    ]
    return ServerListing(1, {server.name: server for server in servers})


def make_packet(number: int, *, is_opening: bool) -> Packet:
    """Return a caller's packet of a flow of its own."""
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
    """Return a balancer that knows a fleet of so many services."""
    clock = ManualClock(10_000)
    view = DeploymentView(clock)
    route = Route("r", ADDRESS, (ServiceShare("service-0", 1),), 1, 120, 1_000)
    routes = {pack_route_address(ADDRESS): route}
    view.accept_configuration(Configuration(1, routes, 15_000))
    view.accept_listing(make_listing(services), clock.now_ms())
    choice = ServerChoice("zone-0", clock, random.Random(1))
    for server in view.list_ready("service-0"):
        report = LoadReport("service-0", 10, 0, 20, 0.4, True)
        choice.record_message(server.address.ip, report)
    return BalancerFlows(view, choice, clock)


def time_us(run: Callable[[], object], repeats: int) -> float:
    """Return the least time of a call, in microseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        begin = time.perf_counter_ns()
        for _ in range(repeats):
            run()
        best = min(best, (time.perf_counter_ns() - begin) / repeats / 1_000)
    return round(best, 2)


def measure_balancer() -> dict[str, float]:
    """Return the cost of openings, known packets and remembered flows."""
    balancer = make_balancer(1)
    openings = [make_packet(number, is_opening=True) for number in range(FLOWS)]
    tracemalloc.start()
    begin = time.perf_counter_ns()
    for packet in openings:
        balancer.choice.agents["10.0.0.0"].placed_ms.clear()
        balancer.handle_packet(packet)
        for agent in balancer.choice.agents.values():
            agent.placed_ms.clear()
    opening_us = (time.perf_counter_ns() - begin) / FLOWS / 1_000
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    known = make_packet(7, is_opening=False)
    return {
        "opening_us_traced": round(opening_us, 1),
        "known_packet_us": time_us(lambda: balancer.handle_packet(known), 20_000),
        "bytes_per_flow": round(held / FLOWS),
        "flows_remembered": len(balancer.flows),
    }


def measure_agent() -> dict[str, float]:
    """Return the cost of a packet and a flow at an agent."""
    agent = AgentFlows("service-0", ManualClock(10_000), knows_all_flows=True)
    tracemalloc.start()
    for number in range(FLOWS):
        packet = make_packet(number, is_opening=True)
        agent.handle_forwarded(ForwardedPacket("service-0", b""), packet, "10.9.0.1")
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    packet = make_packet(7, is_opening=False)
    agent.handle_from_server(packet)
    message = ForwardedPacket("service-0", b"")
    handle = time_us(
        lambda: agent.handle_forwarded(message, packet, "10.9.0.1"), 20_000
    )
    return {"packet_us": handle, "bytes_per_flow": round(held / FLOWS)}


def measure_messages() -> dict[str, float]:
    """Return sizes and times of the messages between processes."""
    balancers = tuple(f"10.1.{n >> 8}.{n & 255}" for n in range(ZONE_BALANCERS))
    heartbeat = Heartbeat(1 << 60, "zone-0", False, 9, 1 << 63, 700, 12, balancers)
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
    """Return what a configuration of the target costs on the wire."""
    routes = {}
    for number in range(ADDRESSES):
        address = Endpoint(f"198.18.{number >> 8}.{number & 255}", 443)
        share = ServiceShare(f"service-{number}", 1)
        route = Route(f"route-{number}", address, (share,), number % 3, 120, 1_000)
        routes[pack_route_address(address)] = route
    view = ViewAnswer(ServerListing(1, {}), 0, Configuration(1, routes, 15_000))
    encoder = ViewEncoder()
    begin = time.perf_counter_ns()
    data = encoder.encode(view)
    first_ms = (time.perf_counter_ns() - begin) / 1_000_000
    return {
        "configuration_bytes_on_the_wire": len(data),
        "configuration_first_encode_ms": round(first_ms, 2),
        "configuration_next_encode_us": time_us(lambda: encoder.encode(view), 20),
        "configuration_decode_ms": time_us(lambda: decode_view(data), 1) / 1_000,
    }


def measure_listing() -> dict[str, float]:
    """Return what the target's listing costs."""
    listing = make_listing(SERVERS // SERVICE_SERVERS)
    view = DeploymentView(ManualClock(10_000))
    data = ViewEncoder().encode(ViewAnswer(listing, 0, None))
    tracemalloc.start()
    kept = decode_view(data)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    view.accept_listing(kept.listing, 10_000)

    def accept() -> None:
        view.accept_listing(listing, 10_000)

    return {
        "listing_bytes_on_the_wire": len(data),
        "listing_bytes_in_memory": held,
        "listing_decode_ms": time_us(lambda: decode_view(data), 1) / 1_000,
        "listing_accept_ms": time_us(accept, 1) / 1_000,
    }


def run_case(seed: int) -> dict[str, Any]:
    """Return the slopes; the seed changes nothing, since nothing is drawn."""
    return {
        "seed": seed,
        "balancer": measure_balancer(),
        "agent": measure_agent(),
        "messages": measure_messages(),
        "configuration": measure_configuration(),
        "listing": measure_listing(),
    }
