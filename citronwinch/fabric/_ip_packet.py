"""Reading and building IP packets, with the formats left to dpkt."""

import ipaddress
import struct
from typing import Any, NamedTuple

import dpkt

from citronwinch.coordination import Endpoint, Flow, FlowKey, pack_flow_key, pack_ip
from citronwinch.coordination.steering import Packet

UDP_PAYLOAD_LIMIT = 65_507
"""The longest payload of a UDP packet over IPv4, in bytes."""

_BROADCAST = b"\xff" * 4
_TCP_END_FLAGS = dpkt.tcp.TH_FIN | dpkt.tcp.TH_RST
_HOP_LIMIT = 64
_PLAIN_IPV4 = b"\x45"
_UDP = b"\x11"
_PLAIN_UDP_BYTES = 28
_PLAIN_LENGTHS = struct.Struct("!2xH2xH16xH")
_FRAGMENT_BITS = 0x3FFF
_ICMP_PORT_UNREACHABLE = 3
_ICMP6_PORT_UNREACHABLE = 4


class MalformedPacketError(Exception):
    """The bytes are not an IP packet with a TCP or UDP segment in it."""


class UdpContent(NamedTuple):
    """A UDP packet's flow and payload."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """What the caller sent."""


def parse_packet(data: bytes) -> Packet:
    """Return an IP packet with its flow; raise MalformedPacketError otherwise.

    Fragments are malformed here: a later fragment carries no ports, so the fabric
    has to reassemble.
    """
    if data[:1] == _PLAIN_IPV4 and data[9:10] == _UDP and len(data) >= _PLAIN_UDP_BYTES:
        packet = _read_plain_udp(data)
        if packet is not None:
            return packet
    packet = _unpack(data)
    segment = packet.data
    if isinstance(segment, dpkt.udp.UDP):
        protocol, opens, ends = dpkt.ip.IP_PROTO_UDP, True, False
    elif isinstance(segment, dpkt.tcp.TCP):
        flags = segment.flags
        protocol = dpkt.ip.IP_PROTO_TCP
        opens = bool(flags & dpkt.tcp.TH_SYN) and not flags & dpkt.tcp.TH_ACK
        ends = bool(flags & _TCP_END_FLAGS)
    else:
        raise MalformedPacketError("expected a TCP or UDP segment")
    key = pack_flow_key(protocol, packet.src, segment.sport, packet.dst, segment.dport)
    return Packet(key, data, opens, ends)


def parse_udp(data: bytes) -> UdpContent:
    """Return flow and payload of a UDP packet; raise MalformedPacketError otherwise."""
    if data[:1] == _PLAIN_IPV4 and data[9:10] == _UDP and len(data) >= _PLAIN_UDP_BYTES:
        plain = _read_plain_udp(data)
        if plain is not None:
            return UdpContent(plain.flow, data[_PLAIN_UDP_BYTES:])
    packet = _unpack(data)
    segment = packet.data
    if not isinstance(segment, dpkt.udp.UDP):
        raise MalformedPacketError("expected a UDP datagram")
    key = pack_flow_key(
        dpkt.ip.IP_PROTO_UDP, packet.src, segment.sport, packet.dst, segment.dport
    )
    return UdpContent(key, bytes(segment.data))


def _read_plain_udp(data: bytes) -> Packet | None:
    """Return a UDP packet behind an IPv4 header without options.

    Most packets are of this kind, and their fields stand at fixed places. All other
    packets, and those that are odd in any way, are left to dpkt: None.
    """
    length, fragment, udp_length = _PLAIN_LENGTHS.unpack_from(data)
    if length != len(data) or udp_length != length - 20 or fragment & _FRAGMENT_BITS:
        return None
    key = data[9:10] + data[12:16] + data[20:22] + data[16:20] + data[22:24]
    return Packet(FlowKey(key), data, True)


def build_udp(flow: Flow, payload: bytes, *, to_caller: bool) -> bytes:
    """Return a UDP packet of the flow, towards the caller or the service.

    Raise MalformedPacketError when the payload does not fit.
    """
    source, destination = (
        (flow.service, flow.caller) if to_caller else (flow.caller, flow.service)
    )
    if len(payload) > UDP_PAYLOAD_LIMIT:
        raise MalformedPacketError(f"payload of {len(payload)} bytes is too long")
    segment = dpkt.udp.UDP(
        sport=source.port, dport=destination.port, data=payload, ulen=8 + len(payload)
    )
    return _build(pack_ip(source.ip), pack_ip(destination.ip), segment, 17)


def replace_destination(data: bytes, endpoint: Endpoint) -> bytes:
    """Return a TCP packet with another destination and fresh checksums."""
    packet = _unpack_tcp(data, endpoint)
    packet.dst, packet.data.dport = pack_ip(endpoint.ip), endpoint.port
    return _pack_again(packet)


def replace_source(data: bytes, endpoint: Endpoint) -> bytes:
    """Return a TCP packet with another source and fresh checksums."""
    packet = _unpack_tcp(data, endpoint)
    packet.src, packet.data.sport = pack_ip(endpoint.ip), endpoint.port
    return _pack_again(packet)


def _unpack_tcp(data: bytes, endpoint: Endpoint) -> Any:
    packet = _unpack(data)
    if not isinstance(packet.data, dpkt.tcp.TCP):
        raise MalformedPacketError("expected a TCP segment")
    if len(packet.dst) != len(pack_ip(endpoint.ip)):
        raise MalformedPacketError("expected addresses of one IP version")
    return packet


def _pack_again(packet: Any) -> bytes:
    packet.data.sum = 0
    if isinstance(packet, dpkt.ip.IP):
        packet.sum = 0
    return bytes(packet)


def build_refusal(data: bytes) -> bytes:
    """Return the packet that refuses `data`: a TCP RST or an ICMP port unreachable.

    Raise MalformedPacketError for a packet that must not be answered: a RST, or one
    whose sender is no single instance.
    """
    packet = _unpack(data)
    segment = packet.data
    sender = ipaddress.ip_address(packet.src)
    if sender.is_multicast or sender.is_unspecified or packet.src == _BROADCAST:
        raise MalformedPacketError(f"expected one instance as sender, found {sender}")
    if isinstance(segment, dpkt.tcp.TCP):
        if segment.flags & dpkt.tcp.TH_RST:
            raise MalformedPacketError("a RST is not refused")
        return _build_reset(packet, segment)
    if isinstance(packet, dpkt.ip6.IP6):
        body = dpkt.icmp6.ICMP6.Unreach(data=data[:1232])
        answer = dpkt.icmp6.ICMP6(
            type=dpkt.icmp6.ICMP6_DST_UNREACH, code=_ICMP6_PORT_UNREACHABLE, data=body
        )
        return _build(packet.dst, packet.src, answer, dpkt.ip.IP_PROTO_ICMP6)
    unreach = dpkt.icmp.ICMP.Unreach(data=data[:548])
    icmp = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH, code=_ICMP_PORT_UNREACHABLE, data=unreach
    )
    return _build(packet.dst, packet.src, icmp, dpkt.ip.IP_PROTO_ICMP)


def _build_reset(packet: dpkt.ip.IP, segment: dpkt.tcp.TCP) -> bytes:
    """Return the RST of RFC 9293 section 3.10.7.1 for a segment without a flow."""
    consumed = len(segment.data)
    consumed += bool(segment.flags & dpkt.tcp.TH_SYN)
    consumed += bool(segment.flags & dpkt.tcp.TH_FIN)
    acked = bool(segment.flags & dpkt.tcp.TH_ACK)
    reset = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=segment.ack if acked else 0,
        ack=0 if acked else (segment.seq + consumed) & 0xFFFFFFFF,
        flags=dpkt.tcp.TH_RST | (0 if acked else dpkt.tcp.TH_ACK),
        win=0,
    )
    return _build(packet.dst, packet.src, reset, dpkt.ip.IP_PROTO_TCP)


def _build(source: bytes, destination: bytes, segment: object, protocol: int) -> bytes:
    if len(source) == 16:
        packet = dpkt.ip6.IP6(
            src=source, dst=destination, nxt=protocol, hlim=_HOP_LIMIT, data=segment
        )
        packet.plen = len(bytes(segment))  # type: ignore[call-overload]
        packet.extension_hdrs = {}
        packet.all_extension_headers = []
        packet.p = protocol
    else:
        packet = dpkt.ip.IP(
            src=source, dst=destination, p=protocol, ttl=_HOP_LIMIT, data=segment
        )
        packet.len = len(packet)
    return bytes(packet)


def _unpack(data: bytes) -> dpkt.ip.IP | dpkt.ip6.IP6:
    try:
        version = data[0] >> 4
        if version == 4:
            packet = dpkt.ip.IP(data)
            if packet.mf or packet.offset:
                raise MalformedPacketError("expected a whole packet, found a fragment")
            return packet
        if version == 6:
            return dpkt.ip6.IP6(data)
    except (dpkt.UnpackError, IndexError, ValueError, KeyError) as error:
        raise MalformedPacketError(f"unreadable packet: {error}") from error
    raise MalformedPacketError(f"expected IP version 4 or 6, found {version}")
