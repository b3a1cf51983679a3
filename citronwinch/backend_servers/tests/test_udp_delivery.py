"""Tests of delivery over one UDP socket per flow."""

import resource
import socket

import pytest
import trio
import trio.testing

from citronwinch.backend_servers import UdpDelivery
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
