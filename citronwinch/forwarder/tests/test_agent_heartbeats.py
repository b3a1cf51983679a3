"""What a balancer's heartbeat tells an agent about the agent's backend server.

Guards against an agent that does not learn the slots of its server, or learns too late
that it is cold: it would deliver more requests than the server can queue. It also
guards against heartbeats before their turn whose number grows with the fleet.
"""

import time

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    Heartbeat,
    ServerListing,
    ServerState,
    ServiceLimits,
    StorePosition,
)
from citronwinch.forwarder._agent_heartbeats import URGENT_HEARTBEATS_PER_S
from citronwinch.forwarder.tests.conftest import make_balancer

AGENT_IP = "10.0.0.1"


def make_server(slots=2, started_ms=1_000):
    address = Endpoint(AGENT_IP, 80)
    ready = ServerState.READY
    return BackendServer("s1", "gauging", address, "a", ready, slots, started_ms)


def make_configuration(services):
    return Configuration(1, {}, 15_000, services, frozenset({"gauging"}))


def list_server(process, server, revision=1, services=None):
    process.view.accept_configuration(make_configuration(services or {}))
    listing = ServerListing(StorePosition(1, revision), {server.name: server})
    process.view.accept_listing(listing, process.clock.now_ms())


def send_due_heartbeats(process):
    sent = []
    process.send = lambda ip, message: sent.append((ip, message))
    process.agent_heartbeats.send_due()
    assert all(isinstance(message, Heartbeat) for _, message in sent)
    return sent


def test_a_heartbeat_to_an_agent_carries_the_slots_of_its_server(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    list_server(process, make_server(slots=2, started_ms=1_234))
    [(ip, heartbeat)] = send_due_heartbeats(process)
    assert (ip, heartbeat.server_slots) == (AGENT_IP, 2)
    assert heartbeat.server_started_ms == 1_234


# A balancer that had fetched its listing from another one heard no agent.
def test_a_heartbeat_states_for_how_long_the_agent_is_heard(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    server = make_server(started_ms=1_234)
    list_server(process, server)
    [(_, heartbeat)] = send_due_heartbeats(process)
    assert heartbeat.agent_heard_ms == 0
    process.selector.record_message(AGENT_IP)
    time.sleep(0.01)
    restarted = server._replace(started_ms=2_000)
    heard_agents = process.selector.heard_agents
    assert heard_agents.get_heard_ms(server) >= 10
    list_server(process, restarted, revision=2)
    process.agent_heartbeats.send_due()
    assert heard_agents.get_heard_ms(restarted) == 0


def test_a_server_that_becomes_cold_is_announced_to_its_agent_at_once(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    services = {"gauging": ServiceLimits(9.0)}
    list_server(process, make_server(), services=services)
    send_due_heartbeats(process)
    assert not send_due_heartbeats(process)
    restarted = make_server(started_ms=2_000)._replace(warmup_left_ms=1_500)
    list_server(process, restarted, revision=2)
    [(_, heartbeat)] = send_due_heartbeats(process)
    assert heartbeat.server_started_ms == 2_000
    assert 1_000 < heartbeat.server_warmup_left_ms <= 1_500
    assert heartbeat.warmup_per_s == 9.0
    assert not send_due_heartbeats(process)


def test_heartbeats_before_their_turn_have_a_rate_that_does_not_grow(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    servers = {
        f"s{n}": make_server()._replace(
            name=f"s{n}", address=Endpoint(f"10.0.0.{n}", 80)
        )
        for n in range(1, 100)
    }
    services = {"gauging": ServiceLimits(9.0)}
    process.view.accept_configuration(make_configuration(services))
    for revision, left_ms in ((1, 0), (2, 2_000)):
        listed = {
            name: server._replace(warmup_left_ms=left_ms)
            for name, server in servers.items()
        }
        listing = ServerListing(StorePosition(1, revision), listed)
        process.view.accept_listing(listing, process.clock.now_ms())
        sent = send_due_heartbeats(process)
    assert URGENT_HEARTBEATS_PER_S <= len(sent) < 2 * URGENT_HEARTBEATS_PER_S


# The agent would take the start of another program for that of its server, and deny
# flows that the server holds.
def test_a_heartbeat_does_not_describe_another_program_at_the_agents_address(
    open_sockets,
):
    process = make_balancer(open_sockets, "127.95.0.12")
    server = make_server(slots=2, started_ms=1_234)
    other = server._replace(
        name="m1",
        service="host-metrics",
        address=Endpoint(AGENT_IP, 9_100),
        slots=9,
        started_ms=5_000,
    )
    process.view.accept_configuration(make_configuration({}))
    listing = ServerListing(StorePosition(1, 1), {"s1": server, "m1": other})
    process.view.accept_listing(listing, process.clock.now_ms())
    [(ip, heartbeat)] = send_due_heartbeats(process)
    assert (ip, heartbeat.server_slots) == (AGENT_IP, 2)
    assert heartbeat.server_started_ms == 1_234


def test_no_heartbeat_describes_a_server_before_the_services_are_known(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    server = make_server()
    listing = ServerListing(StorePosition(1, 1), {"s1": server})
    process.view.accept_listing(listing, process.clock.now_ms())
    assert not send_due_heartbeats(process)
    process.view.accept_configuration(make_configuration({}))
    assert [ip for ip, _ in send_due_heartbeats(process)] == [AGENT_IP]
