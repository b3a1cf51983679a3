"""Tests of parsing and building IP packets."""

import dpkt
import pytest
from hypothesis import example, given, settings, strategies as st

from citronwinch.coordination import (
    Endpoint,
    Flow,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
    unpack_flow_key,
)
from citronwinch.fabric import (
    MalformedPacketError,
    build_refusal,
    build_udp,
    parse_packet,
    parse_udp,
)
from citronwinch.fabric._ip_packet import _build_packet, _parse_udp_without_options

FLOWS = {
    "ipv4": Flow(
        TransportProtocol.UDP, Endpoint("192.0.2.1", 4000), Endpoint("192.0.2.9", 53)
    ),
    "ipv6": Flow(
        TransportProtocol.UDP,
        Endpoint("2001:db8::1", 4000),
        Endpoint("2001:db8::9", 53),
    ),
}


@pytest.fixture(params=FLOWS)
def flow(request):
    return FLOWS[request.param]


def test_udp_packet_carries_its_flow_and_payload(flow):
    packet = build_udp(flow, b"level 7", to_caller=False)
    content = parse_udp(packet)
    assert unpack_flow_key(content.flow) == flow
    assert content.payload == b"level 7"
    assert parse_packet(packet).opens


def test_answer_goes_from_service_to_caller(flow):
    content = parse_udp(build_udp(flow, b"ok", to_caller=True))
    reverse = unpack_flow_key(content.flow)
    assert (reverse.caller, reverse.service) == (flow.service, flow.caller)


def test_refusal_of_udp_is_port_unreachable(flow):
    refusal = build_refusal(build_udp(flow, b"x", to_caller=False))
    if ":" in flow.caller.ip:
        icmp = dpkt.ip6.IP6(refusal).data
        assert (icmp.type, icmp.code) == (dpkt.icmp6.ICMP6_DST_UNREACH, 4)
    else:
        icmp = dpkt.ip.IP(refusal).data
        assert (icmp.type, icmp.code) == (dpkt.icmp.ICMP_UNREACH, 3)


def test_reset_acknowledges_the_refused_segment(flow):
    syn = dpkt.tcp.TCP(sport=4000, dport=53, seq=1_000, flags=dpkt.tcp.TH_SYN)
    packet = _build_packet(pack_ip(flow.caller.ip), pack_ip(flow.service.ip), syn, 6)
    parsed = parse_packet(packet)
    assert (parsed.opens, parsed.ends) == (True, False)
    reset = (dpkt.ip6.IP6 if ":" in flow.caller.ip else dpkt.ip.IP)(
        build_refusal(packet)
    ).data
    assert reset.flags == dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    assert (reset.seq, reset.ack, reset.sport, reset.dport) == (0, 1_001, 53, 4000)


SEGMENTS = {
    "SYN": (dpkt.tcp.TH_SYN, True, False),
    "SYN and ACK": (dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK, False, False),
    "ACK": (dpkt.tcp.TH_ACK, False, False),
    "FIN": (dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, False, True),
    "RST": (dpkt.tcp.TH_RST, False, True),
}


@pytest.mark.parametrize("case", SEGMENTS.values(), ids=SEGMENTS.keys())
def test_tcp_segment_opens_or_ends_its_flow(flow, case):
    flags, opens, ends = case
    segment = dpkt.tcp.TCP(sport=4000, dport=53, flags=flags)
    packet = _build_packet(
        pack_ip(flow.caller.ip), pack_ip(flow.service.ip), segment, 6
    )
    parsed = parse_packet(packet)
    assert (parsed.opens, parsed.ends) == (opens, ends)
    assert unpack_flow_key(parsed.flow) == flow._replace(protocol=TransportProtocol.TCP)


@pytest.mark.parametrize("sender", ["0.0.0.0", "255.255.255.255", "224.0.0.1", "::"])
def test_packet_without_a_unicast_source_is_not_answered(sender):
    family = "ipv6" if ":" in sender else "ipv4"
    flow = FLOWS[family]._replace(caller=Endpoint(sender, 4000))
    with pytest.raises(MalformedPacketError):
        build_refusal(build_udp(flow, b"x", to_caller=False))


def test_reset_is_not_answered(flow):
    segment = dpkt.tcp.TCP(sport=4000, dport=53, flags=dpkt.tcp.TH_RST)
    packet = _build_packet(
        pack_ip(flow.caller.ip), pack_ip(flow.service.ip), segment, 6
    )
    with pytest.raises(MalformedPacketError):
        build_refusal(packet)


def test_too_long_payload_is_rejected(flow):
    with pytest.raises(MalformedPacketError):
        build_udp(flow, bytes(65_508), to_caller=True)


MALFORMED = {
    "empty": b"",
    "version 5": b"\x55" + bytes(30),
    "short header": b"\x45\x00",
    "icmp": bytes(dpkt.ip.IP(p=1, data=dpkt.icmp.ICMP())),
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_packet_is_rejected(data):
    with pytest.raises(MalformedPacketError):
        parse_packet(data)


PLAIN_PACKET = build_udp(FLOWS["ipv4"], b"level 7", to_caller=False)


@settings(max_examples=400, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 27), st.integers(0, 255), st.binary(max_size=4))
@example(6, 0x20, b"")
@example(6, 0x40, b"")
@example(3, 0x20, b"")
def test_plain_udp_packets_are_parsed_as_dpkt_parses_them(position, value, tail):
    data = bytearray(PLAIN_PACKET + tail)
    data[position] = value
    fast = _parse_udp_without_options(bytes(data))
    if data[0] != 0x45 or data[9] != 17 or fast is None:
        return
    slow = dpkt.ip.IP(bytes(data))
    assert (slow.mf, slow.offset, slow.len) == (0, 0, len(data))
    expected = pack_flow_key(17, slow.src, slow.data.sport, slow.dst, slow.data.dport)
    assert fast.flow == expected
    assert bytes(slow.data.data) == data[28:]


@settings(max_examples=400, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=80), st.sampled_from(sorted(FLOWS)), st.integers(0, 60))
def test_random_and_mutated_bytes_are_parsed_or_malformed(noise, name, position):
    flow = FLOWS[name]
    packet = build_udp(flow, b"level 7", to_caller=False)
    if len(noise) % 2:
        segment = dpkt.tcp.TCP(sport=4000, dport=53, flags=2, data=b"level 7")
        packet = _build_packet(
            pack_ip(flow.caller.ip), pack_ip(flow.service.ip), segment, 6
        )
    for data in (noise, packet[:position] + noise, packet[:position] + noise + packet):
        for parse in (parse_packet, parse_udp, build_refusal):
            try:
                parse(data)
            except MalformedPacketError:
                continue
