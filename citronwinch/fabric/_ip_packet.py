"""Parsing and building of IP packets; dpkt implements the formats."""

import ipaddress
import struct
from typing import Any, NamedTuple

import dpkt

from citronwinch.coordination import Endpoint, Flow, FlowKey, pack_flow_key, pack_ip
from citronwinch.coordination.steering import Packet

UDP_PAYLOAD_LIMIT_BYTES = 65_507
"""The longest UDP payload in an IPv4 packet, in bytes."""

_BROADCAST = b"\xff" * 4
_TCP_END_FLAGS = dpkt.tcp.TH_FIN | dpkt.tcp.TH_RST
_HOP_LIMIT = 64
# The first byte of an IPv4 packet without options: version 4, header of 5 words.
_IPV4_WITHOUT_OPTIONS = b"\x45"
# The protocol number of UDP, byte 9 of the IPv4 header.
_UDP_PROTOCOL = b"\x11"
# The length of an IPv4 header without options and of the UDP header, 20 and 8 bytes.
_UDP_HEADERS_BYTES = 28
# The packet's length, its fragment field and the UDP datagram's length.
_LENGTHS_AND_FRAGMENT = struct.Struct("!2xH2xH16xH")
# The bits of the fragment field that only fragments set: "more fragments" and offset.
_FRAGMENT_BITS = 0x3FFF
_ICMP_PORT_UNREACHABLE = 3
_ICMP6_PORT_UNREACHABLE = 4


class MalformedPacketError(Exception):
    """A packet cannot be parsed, built, rewritten or refused; the message says why."""


class UdpContent(NamedTuple):
    """The flow and the payload of a UDP packet."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """The payload of the UDP datagram."""


def parse_packet(data: bytes) -> Packet:
    """Return an IP packet with its flow.

    Raise MalformedPacketError when the bytes are not a TCP or UDP packet. Fragments
    are malformed as well: only the first fragment contains the ports, so the fabric
    has to reassemble packets.
    """
    if (
        data[:1] == _IPV4_WITHOUT_OPTIONS
        and data[9:10] == _UDP_PROTOCOL
        and len(data) >= _UDP_HEADERS_BYTES
    ):
        packet = _parse_udp_without_options(data)
        if packet is not None:
            return packet
    packet = _parse_ip(data)
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
    """Return the flow and the payload of a UDP packet.

    Raise MalformedPacketError when the bytes are not a UDP packet.
    """
    if (
        data[:1] == _IPV4_WITHOUT_OPTIONS
        and data[9:10] == _UDP_PROTOCOL
        and len(data) >= _UDP_HEADERS_BYTES
    ):
        udp_packet = _parse_udp_without_options(data)
        if udp_packet is not None:
            return UdpContent(udp_packet.flow, data[_UDP_HEADERS_BYTES:])
    packet = _parse_ip(data)
    segment = packet.data
    if not isinstance(segment, dpkt.udp.UDP):
        raise MalformedPacketError("expected a UDP datagram")
    key = pack_flow_key(
        dpkt.ip.IP_PROTO_UDP, packet.src, segment.sport, packet.dst, segment.dport
    )
    return UdpContent(key, bytes(segment.data))


def _parse_udp_without_options(data: bytes) -> Packet | None:
    """Return a UDP packet whose IPv4 header has no options.

    Most packets are such packets, and their fields have fixed offsets. Return None for
    fragments and for packets with inconsistent lengths, which dpkt then parses.
    """
    length, fragment, udp_length = _LENGTHS_AND_FRAGMENT.unpack_from(data)
    if length != len(data) or udp_length != length - 20 or fragment & _FRAGMENT_BITS:
        return None
    key = data[9:10] + data[12:16] + data[20:22] + data[16:20] + data[22:24]
    return Packet(FlowKey(key), data, True)


def build_udp(flow: Flow, payload: bytes, *, to_caller: bool) -> bytes:
    """Return a UDP packet of the flow, addressed to the caller or to the service.

    Raise MalformedPacketError when the payload exceeds UDP_PAYLOAD_LIMIT_BYTES.
    """
    source, destination = (
        (flow.service, flow.caller) if to_caller else (flow.caller, flow.service)
    )
    if len(payload) > UDP_PAYLOAD_LIMIT_BYTES:
        raise MalformedPacketError(
            f"expected a shorter UDP payload, found {len(payload)} bytes"
        )
    segment = dpkt.udp.UDP(
        sport=source.port, dport=destination.port, data=payload, ulen=8 + len(payload)
    )
    return _build_packet(pack_ip(source.ip), pack_ip(destination.ip), segment, 17)


def replace_destination(data: bytes, endpoint: Endpoint) -> bytes:
    """Return a TCP packet with another destination and recomputed checksums."""
    packet = _parse_tcp(data, endpoint)
    packet.dst, packet.data.dport = pack_ip(endpoint.ip), endpoint.port
    return _encode_with_new_checksums(packet)


def replace_source(data: bytes, endpoint: Endpoint) -> bytes:
    """Return a TCP packet with another source and recomputed checksums."""
    packet = _parse_tcp(data, endpoint)
    packet.src, packet.data.sport = pack_ip(endpoint.ip), endpoint.port
    return _encode_with_new_checksums(packet)


def _parse_tcp(data: bytes, endpoint: Endpoint) -> Any:
    packet = _parse_ip(data)
    if not isinstance(packet.data, dpkt.tcp.TCP):
        raise MalformedPacketError("expected a TCP segment")
    if len(packet.dst) != len(pack_ip(endpoint.ip)):
        raise MalformedPacketError(
            "expected a packet and an endpoint of the same IP version"
        )
    return packet


def _encode_with_new_checksums(packet: Any) -> bytes:
    # dpkt computes a checksum that is 0 when it encodes the packet.
    packet.data.sum = 0
    if isinstance(packet, dpkt.ip.IP):
        packet.sum = 0
    return bytes(packet)


def build_refusal(data: bytes) -> bytes:
    """Return the packet that refuses the packet in `data`.

    That is a TCP RST for a TCP packet, and an ICMP port unreachable otherwise. Raise
    MalformedPacketError for a packet that must not be answered: a TCP RST, or a packet
    whose source is a multicast, broadcast or unspecified address.
    """
    packet = _parse_ip(data)
    segment = packet.data
    sender = ipaddress.ip_address(packet.src)
    if sender.is_multicast or sender.is_unspecified or packet.src == _BROADCAST:
        raise MalformedPacketError(f"expected a unicast source address, found {sender}")
    if isinstance(segment, dpkt.tcp.TCP):
        if segment.flags & dpkt.tcp.TH_RST:
            raise MalformedPacketError("expected a segment to refuse, found a TCP RST")
        return _build_reset(packet, segment)
    if isinstance(packet, dpkt.ip6.IP6):
        # Keeps the error within the minimum MTU: 1280 bytes, 48 of them headers.
        body = dpkt.icmp6.ICMP6.Unreach(data=data[:1232])
        answer = dpkt.icmp6.ICMP6(
            type=dpkt.icmp6.ICMP6_DST_UNREACH, code=_ICMP6_PORT_UNREACHABLE, data=body
        )
        return _build_packet(packet.dst, packet.src, answer, dpkt.ip.IP_PROTO_ICMP6)
    # Keeps the error within 576 bytes, 28 of them headers, as RFC 1812 requires.
    unreach = dpkt.icmp.ICMP.Unreach(data=data[:548])
    icmp = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH, code=_ICMP_PORT_UNREACHABLE, data=unreach
    )
    return _build_packet(packet.dst, packet.src, icmp, dpkt.ip.IP_PROTO_ICMP)


def _build_reset(packet: dpkt.ip.IP, segment: dpkt.tcp.TCP) -> bytes:
    """Return the RST for a segment without a connection (RFC 9293 section 3.10.7.1)."""
    sequence_length = len(segment.data)
    sequence_length += bool(segment.flags & dpkt.tcp.TH_SYN)
    sequence_length += bool(segment.flags & dpkt.tcp.TH_FIN)
    has_ack = bool(segment.flags & dpkt.tcp.TH_ACK)
    reset = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=segment.ack if has_ack else 0,
        ack=0 if has_ack else (segment.seq + sequence_length) & 0xFFFFFFFF,
        flags=dpkt.tcp.TH_RST | (0 if has_ack else dpkt.tcp.TH_ACK),
        win=0,
    )
    return _build_packet(packet.dst, packet.src, reset, dpkt.ip.IP_PROTO_TCP)


def _build_packet(
    source: bytes, destination: bytes, segment: object, protocol: int
) -> bytes:
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


def _parse_ip(data: bytes) -> dpkt.ip.IP | dpkt.ip6.IP6:
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
        raise MalformedPacketError(f"malformed IP packet: {error}") from error
    raise MalformedPacketError(f"expected IP version 4 or 6, found {version}")
