"""Shared fixtures: a deployment of two services in two availability zones."""

import random

import pytest

from citronwinch.coordination import (
    Endpoint,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import (
    Action,
    BackendServer,
    BalancerFlows,
    Configuration,
    DeploymentView,
    FlowQuestion,
    ForwardedOpening,
    ForwardedPacket,
    Packet,
    ResetFlow,
    Route,
    SendMessage,
    ServerListing,
    ServerSelector,
    ServerState,
    ServiceShare,
    StorePosition,
    ZoneEvacuation,
    pack_route_address,
)

GAUGING = Endpoint("198.18.0.1", 8443)
REPORTING = Endpoint("198.18.0.2", 8443)


def make_route(name: str, address: Endpoint, service: str) -> Route:
    return Route(name, address, (ServiceShare(service, 1),), 1, 120, 1_000)


def make_configuration(version: int = 1, *routes: Route) -> Configuration:
    chosen = routes or (
        make_route("alarms", GAUGING, "gauging"),
        make_route("snapshots", REPORTING, "reporting"),
    )
    by_address = {pack_route_address(route.address): route for route in chosen}
    return Configuration(version, by_address, 15_000)


def make_server(
    number: int, service: str = "gauging", zone: str = "a", leaving: bool = False
) -> BackendServer:
    state = ServerState.LEAVING if leaving else ServerState.READY
    endpoint = Endpoint(f"10.0.0.{number}", 8080)
    return BackendServer(f"s{number}", service, endpoint, zone, state, 1, 1_000)


def make_listing(revision: int, *servers: BackendServer, era: int = 1) -> ServerListing:
    position = StorePosition(era, revision)
    return ServerListing(position, {server.name: server for server in servers})


def make_packet(
    port: int = 4000,
    address: Endpoint = GAUGING,
    *,
    opening: bool = False,
    bounced: bool = False,
    reset: bool = False,
    finishing: bool = False,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: int = 0,
) -> Packet:
    key = pack_flow_key(
        TransportProtocol.TCP,
        pack_ip("100.64.0.7"),
        port,
        pack_ip(address.ip),
        address.port,
    )
    flags = (opening, finishing, reset, bounced, sequence, acknowledged, payload)
    raw = repr((key, flags)).encode()
    return Packet(key, *flags, raw)


def make_entry(
    zone: str = "a", *, active: bool = True, revision: int = 20, era: int = 1
) -> ZoneEvacuation:
    return ZoneEvacuation(zone, active, StorePosition(era, revision))


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100_000)


@pytest.fixture
def view(clock: ManualClock) -> DeploymentView:
    deployment_view = DeploymentView(clock)
    deployment_view.accept_configuration(make_configuration())
    servers = [make_server(1), make_server(2), make_server(3, zone="b")]
    servers.append(make_server(4, "reporting"))
    deployment_view.accept_listing(make_listing(10, *servers), clock.now_ms())
    return deployment_view


@pytest.fixture
def selector(clock: ManualClock) -> ServerSelector:
    server_selector = ServerSelector("a", clock, random.Random(7))
    for number in range(1, 5):
        server_selector.record_message(f"10.0.0.{number}")
    return server_selector


@pytest.fixture
def balancer(
    view: DeploymentView, selector: ServerSelector, clock: ManualClock
) -> BalancerFlows:
    return BalancerFlows(view, selector, clock)


def list_forwards(actions: list[Action]) -> list[tuple[str, str]]:
    return [
        (action.ip, action.message.service)
        for action in actions
        if isinstance(action, SendMessage)
        and isinstance(action.message, ForwardedPacket | ForwardedOpening)
    ]


def list_questions(actions: list[Action]) -> list[str]:
    return [
        action.ip
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, FlowQuestion)
    ]


def has_reset(actions: list[Action]) -> bool:
    return any(isinstance(action, ResetFlow) for action in actions)


@pytest.fixture
def thin_balancer(
    view: DeploymentView, selector: ServerSelector, clock: ManualClock
) -> BalancerFlows:
    uploads = make_route("manifests", REPORTING, "reporting")
    view.accept_configuration(
        make_configuration(
            2,
            make_route("boards", GAUGING, "gauging"),
            uploads._replace(has_large_requests=True, latency_objective_ms=1_000),
        )
    )
    return BalancerFlows(view, selector, clock, link_mbps=5)
