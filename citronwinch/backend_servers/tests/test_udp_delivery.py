"""Tests of delivery over one UDP socket per flow."""

import resource
import socket

import pytest
import trio
import trio.testing

from citronwinch.backend_servers import UdpDelivery, read_local_ports
from citronwinch.coordination import Endpoint, Flow, TransportProtocol

HOSTS = {"ipv4": "127.0.0.1", "ipv6": "::1"}


def make_flow(number):
    caller = Endpoint("192.0.2.1", 4000 + number)
    return Flow(TransportProtocol.UDP, caller, Endpoint("192.0.2.9", 53)).key


class FakeServer:
    """A backend server's socket, with the callbacks that a delivery made."""

    def __init__(self, host):
        self.socket = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM
        )
        self.socket.bind((host, 0))
        self.socket.settimeout(2)
        self.endpoint = Endpoint(*self.socket.getsockname()[:2])
        self.replies = []
        self.unreachable = []


@pytest.fixture(params=HOSTS)
def server(request):
    fake_server = FakeServer(HOSTS[request.param])
    yield fake_server
    fake_server.socket.close()


def run_with_delivery(server, check):
    async def run():
        async with trio.open_nursery() as nursery:

            def end_flow(flow):
                server.unreachable.append(flow)
                delivery.close(flow)

            delivery = UdpDelivery(
                server.endpoint, nursery, server.replies.append, end_flow
            )
            await check(delivery)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def wait_until(condition):
    with trio.fail_after(2):
        while not condition():
            await trio.sleep(0.005)


def test_answer_belongs_to_the_flow_of_its_socket(server):
    async def check(delivery):
        flows = [make_flow(i) for i in range(3)]
        for i, flow in enumerate(flows):
            assert delivery.send(flow, b"%d" % i)
        for _ in flows:
            data, sender = server.socket.recvfrom(100)
            server.socket.sendto(b"answer " + data, sender)
        await wait_until(lambda: len(server.replies) == 3)
        assert {reply.flow: reply.payload for reply in server.replies} == {
            flow: b"answer %d" % i for i, flow in enumerate(flows)
        }

    run_with_delivery(server, check)


def test_flow_is_reported_unreachable_after_its_server_stopped(server):
    async def check(delivery):
        flow = make_flow(1)
        delivery.send(flow, b"before")
        server.socket.close()
        delivery.send(flow, b"refused")
        await wait_until(lambda: server.unreachable)
        assert server.unreachable == [flow]
        assert not delivery.sockets

    run_with_delivery(server, check)


def test_flow_can_be_reopened_on_its_previous_local_port(server):
    async def check(delivery):
        flow = make_flow(1)
        port = delivery.open(flow)
        delivery.close(flow)
        assert delivery.open(flow, port) == port
        delivery.send(flow, b"same peer")
        assert server.socket.recvfrom(100)[1][1] == port

    run_with_delivery(server, check)


def find_free_flow(delivery):
    """Return a flow whose derived port no other socket of this system has."""
    for number in range(100):
        flow = make_flow(number)
        family = socket.AF_INET6 if ":" in delivery.server.ip else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind(("", delivery.derive_local_port(flow)))
            except OSError:
                continue
        return flow
    raise AssertionError("expected a free derived port")


def test_socket_has_the_derived_port_in_each_run(server):
    async def check(delivery):
        delivery.local_ports = read_local_ports()
        flow = find_free_flow(delivery)
        for _ in range(2):
            delivery.send(flow, b"same peer")
            port = delivery.derive_local_port(flow)
            assert server.socket.recvfrom(100)[1][1] == port
            assert delivery.find_local_port(flow) == port
            delivery.close(flow)

    run_with_delivery(server, check)


@pytest.mark.parametrize("is_restored", [False, True], ids=["derived", "restored"])
def test_flow_whose_derived_port_is_taken_has_its_own_port(server, is_restored):
    """Two agents at one address, or two flows with one derived port.

    If they shared the port, the answers to one would reach the other.
    """

    async def check(first):
        first.local_ports = read_local_ports()
        flow = find_free_flow(first)
        second = UdpDelivery(
            server.endpoint,
            first.nursery,
            server.replies.append,
            first.on_unreachable,
            first.local_ports,
        )
        if is_restored:
            first.open(flow, first.derive_local_port(flow))
        deliveries = {b"first": first, b"second": second}
        for name, delivery in deliveries.items():
            assert delivery.send(flow, name)
            assert server.socket.recvfrom(100)[0] == name
        ports = [found.find_local_port(flow) for found in deliveries.values()]
        assert ports[0] == first.derive_local_port(flow)
        assert ports[1] not in (0, ports[0])
        for number, port in enumerate(ports):
            server.socket.sendto(b"%d" % number, (server.endpoint.ip, port))
            await wait_until(
                lambda expected=number + 1: len(server.replies) == expected
            )
        second.close(flow)

    run_with_delivery(server, check)


def test_file_descriptor_limit_only_drops_the_datagram(server):
    async def check(delivery):
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, limits[1]))
        try:
            assert not delivery.send(make_flow(1), b"dropped")
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        assert delivery.send(make_flow(1), b"sent")
        assert server.socket.recvfrom(100)[0] == b"sent"

    run_with_delivery(server, check)


def test_late_answer_to_a_closed_flow_is_dropped(server):
    async def check(delivery):
        flow = make_flow(1)
        delivery.send(flow, b"x")
        _, sender = server.socket.recvfrom(100)
        delivery.close(flow)
        server.socket.sendto(b"late", sender)
        await trio.testing.wait_all_tasks_blocked(0.02)
        assert not server.replies

    run_with_delivery(server, check)
