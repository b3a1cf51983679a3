"""A balancer does not take an incomplete table or listing for the end of a flow.

Before its first table it answered each packet with a TCP reset or an ICMP error. It
dropped the packets of an agent that the listing lacks, and did not probe that agent.
"""

import pytest

from citronwinch.coordination import Endpoint, Flow, Table, TransportProtocol
from citronwinch.daemon import BalancerProcess
from citronwinch.daemon.tests.test_agent_requests import SERVICE, SETTINGS, make_row
from citronwinch.fabric import GeneveFrame, build_udp, encode_frame
from citronwinch.network import Datagram
from citronwinch.operators import parse_settings

UNKNOWN_SERVICE = Endpoint("192.0.2.9", 9_000)


@pytest.fixture
def process():
    settings = SETTINGS.replace("role = agent", "role = balancer")
    settings = settings.replace("[platform]", "fabric = 127.0.0.1:0\n[platform]")
    process = BalancerProcess(parse_settings(settings, "test.ini").ok)
    yield process
    for datagram_socket in process.list_sockets():
        datagram_socket.close()


def handle_packet(process, service=UNKNOWN_SERVICE):
    """Return the answers to a packet; no table has `UNKNOWN_SERVICE`."""
    caller = Endpoint("203.0.113.1", 1_024)
    flow = Flow(TransportProtocol.UDP, caller, service)
    frame = encode_frame(GeneveFrame(build_udp(flow, b"entry", to_caller=False)))
    answers = []
    process.fabric.send = lambda data, receiver: answers.append(data)
    process.handle_frame(Datagram(frame, ("127.0.0.1", 1)))
    return answers


def test_packet_before_the_first_table_is_dropped(process):
    assert handle_packet(process) == []


def test_packet_without_a_service_is_refused_with_a_table(process):
    process.apply_table(Table(1, [make_row("gauging-1")]))
    assert len(handle_packet(process)) == 1


def test_agent_that_left_the_listing_still_gets_packets(process):
    """Packets of open flows were dropped for good if no other agent could serve."""
    process.apply_table(Table(1, [make_row("gauging-1")]))
    process.peers.sender_addresses["gauging-1"] = ("127.0.0.1", 9)
    receivers = []
    process.peers.datagram_socket.send = lambda data, receiver: receivers.append(
        str(receiver)
    )
    assert handle_packet(process, SERVICE) == []
    assert receivers == ["127.0.0.1:9"]


def test_agent_that_left_the_listing_is_probed(process):
    """It was taken for unreachable without ever being asked."""
    process.apply_table(Table(1, [make_row("gauging-1")]))
    process.peers.sender_addresses["gauging-1"] = ("127.0.0.1", 9)
    process.steering.reachability.mark_unreachable("gauging-1")
    sent = []
    process.peers.datagram_socket.send = lambda data, receiver: sent.append(data)
    process.probe_agents()
    assert len(sent) == 1
