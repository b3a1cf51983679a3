"""Tests of delivery of TCP segments, with a fake layer-3 device."""

import dpkt
import pytest
import trio
import trio.testing

from citronwinch.backend_servers import Reply, TunDelivery, TunDevice
from citronwinch.backend_servers._tun_device import TUN_CLONE_DEVICE
from citronwinch.coordination import Endpoint, Flow, TransportProtocol, pack_ip
from citronwinch.fabric import parse_packet

TCP = TransportProtocol.TCP
VERSIONS = {
    "ipv4": ("203.0.113.5", "192.0.2.10", "10.20.1.10"),
    "ipv6": ("2001:db8::5", "2001:db8::10", "2001:db8:20::10"),
}
SYN, ACK = dpkt.tcp.TH_SYN, dpkt.tcp.TH_ACK
OPTIONS = b"\x02\x04\x05\xb4"


class FakeDevice:
    """A packet device that stores sent packets and receives from a memory channel."""

    def __init__(self):
        self.sent = []
        self.is_full = False
        self.send_channel, self.channel = trio.open_memory_channel(10)

    def send(self, packet):
        if not self.is_full:
            self.sent.append(packet)
        return not self.is_full

    async def receive(self):
        return [await self.channel.receive()]


class Setup:
    """A TunDelivery to one backend server, with a fake device."""

    def __init__(self, version):
        caller, service, server = VERSIONS[version]
        self.caller = Endpoint(caller, 40_000)
        self.service = Endpoint(service, 5_000)
        self.server = Endpoint(server, 5_001)
        self.flow = Flow(TCP, self.caller, self.service).key
        self.device = FakeDevice()
        self.replies: list[Reply] = []
        self.delivery = TunDelivery(self.server, self.device, self.replies.append)


@pytest.fixture(params=VERSIONS)
def setup(request):
    return Setup(request.param)


def make_segment(source, destination, flags=SYN, data=b""):
    segment = dpkt.tcp.TCP(
        sport=source.port,
        dport=destination.port,
        seq=7,
        ack=9,
        flags=flags,
        opts=OPTIONS,
        off=6,
        data=data,
    )
    addresses = {"src": pack_ip(source.ip), "dst": pack_ip(destination.ip)}
    if ":" in source.ip:
        packet = dpkt.ip6.IP6(nxt=6, hlim=64, data=segment, **addresses)
        packet.plen, packet.p = len(bytes(segment)), 6
        packet.extension_hdrs, packet.all_extension_headers = {}, []
    else:
        packet = dpkt.ip.IP(p=6, data=segment, **addresses)
        packet.len = len(packet)
    return bytes(packet)


def read_segment(data):
    """Return source, destination and segment, after checking the checksums."""
    packet = (dpkt.ip.IP if data[0] >> 4 == 4 else dpkt.ip6.IP6)(data)
    segment = bytes(packet.data)
    pseudo = packet.src + packet.dst + bytes([0, 6]) + len(segment).to_bytes(2, "big")
    assert dpkt.in_cksum(pseudo + segment) == 0
    if data[0] >> 4 == 4:
        assert dpkt.in_cksum(data[:20]) == 0
    source = (packet.src, packet.data.sport)
    return source, (packet.dst, packet.data.dport), packet.data


def pack(endpoint):
    return pack_ip(endpoint.ip), endpoint.port


def test_delivery_replaces_only_the_destination_of_a_segment(setup):
    segment = make_segment(setup.caller, setup.service, ACK, b"level 7")
    assert setup.delivery.send(setup.flow, segment)
    source, destination, tcp = read_segment(setup.device.sent[0])
    assert (source, destination) == (pack(setup.caller), pack(setup.server))
    assert (tcp.seq, tcp.ack, tcp.flags) == (7, 9, ACK)
    assert (tcp.opts, tcp.data) == (OPTIONS, b"level 7")


def test_answer_has_the_service_address_as_source(setup):
    setup.delivery.send(setup.flow, make_segment(setup.caller, setup.service))
    answer = make_segment(setup.server, setup.caller, SYN | ACK, b"ok")

    async def check():
        # Runs the delivery until it has handled the answer.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.delivery.run)
            setup.device.send_channel.send_nowait(answer)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(check)
    (reply,) = setup.replies
    assert reply.flow == setup.flow
    source, destination, tcp = read_segment(reply.payload)
    assert (source, destination) == (pack(setup.service), pack(setup.caller))
    assert (tcp.flags, tcp.data) == (SYN | ACK, b"ok")


# Packets that belong to no known flow or are malformed.
DROPPED_PACKETS = {
    "unknown caller": lambda setup: make_segment(
        setup.server, setup.caller._replace(port=1)
    ),
    "not the backend server": lambda setup: make_segment(
        setup.server._replace(port=1), setup.caller
    ),
    "no packet": lambda setup: b"\x45noise",
    "empty": lambda setup: b"",
}


@pytest.mark.parametrize("make", DROPPED_PACKETS.values(), ids=DROPPED_PACKETS.keys())
def test_packet_of_no_known_flow_is_dropped(setup, make):
    setup.delivery.send(setup.flow, make_segment(setup.caller, setup.service))
    setup.delivery.handle_packet(make(setup))
    assert (setup.replies, setup.delivery.dropped_packets) == ([], 1)


def test_second_flow_from_a_caller_port_waits_until_the_first_is_closed(setup):
    other = setup.service._replace(port=6_000)
    flow = Flow(TCP, setup.caller, other).key
    assert setup.delivery.send(setup.flow, make_segment(setup.caller, setup.service))
    assert not setup.delivery.send(flow, make_segment(setup.caller, other))
    setup.delivery.close(flow)
    setup.delivery.close(setup.flow)
    assert setup.delivery.send(flow, make_segment(setup.caller, other))
    setup.delivery.handle_packet(make_segment(setup.server, setup.caller))
    assert [reply.flow for reply in setup.replies] == [flow]


def test_segment_is_not_delivered_when_malformed_or_the_device_is_full(setup):
    setup.device.is_full = True
    assert not setup.delivery.send(
        setup.flow, make_segment(setup.caller, setup.service)
    )
    setup.device.is_full = False
    assert not setup.delivery.send(setup.flow, b"\x45noise")
    assert setup.device.sent == []


def test_late_segment_of_a_closed_flow_is_dropped(setup):
    setup.delivery.send(setup.flow, make_segment(setup.caller, setup.service))
    setup.delivery.close(setup.flow)
    setup.delivery.handle_packet(make_segment(setup.server, setup.caller))
    assert setup.replies == []


def test_parsed_segment_has_the_key_of_its_flow(setup):
    parsed = parse_packet(make_segment(setup.caller, setup.service))
    assert (parsed.flow, parsed.opens, parsed.ends) == (setup.flow, True, False)


def test_opening_a_missing_device_raises_an_error(monkeypatch):
    monkeypatch.setattr(
        "citronwinch.backend_servers._tun_device.TUN_CLONE_DEVICE", "/none"
    )
    assert TUN_CLONE_DEVICE == "/dev/net/tun"
    with pytest.raises(OSError):
        TunDevice("tun0")
