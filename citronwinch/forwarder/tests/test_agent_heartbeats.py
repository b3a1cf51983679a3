"""What a balancer's heartbeat tells an agent about the agent's backend server.

Guards against an agent that does not learn the slots of its server: it would deliver
every request at once, and the server would queue or refuse them.
"""

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    Heartbeat,
    ServerListing,
    ServerState,
    StorePosition,
)
from citronwinch.forwarder.tests.conftest import make_balancer

AGENT_IP = "10.0.0.1"


def make_server(slots=2, started_ms=1_000):
    address = Endpoint(AGENT_IP, 80)
    ready = ServerState.READY
    return BackendServer("s1", "gauging", address, "a", ready, slots, started_ms)


def list_server(process, server, revision=1, services=None):
    process.view.accept_configuration(Configuration(1, {}, 15_000, services or {}))
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
