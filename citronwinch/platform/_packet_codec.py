"""Codec for the header of the platform's packets."""

import socket
import struct
from typing import NamedTuple

from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    TransportProtocol,
    unpack_flow_key,
)
from citronwinch.coordination.flows import Packet
from citronwinch.network import MalformedMessageError

HEADER_BYTES = 36
"""The length of a packet's header."""

PAYLOAD_LIMIT_BYTES = 1_200
"""The longest payload of a packet."""

FLAG_SYN = 8
FLAG_ACK = 16
FLAG_FIN = 64
FLAG_RST = 4
FLAG_BOUNCED = 1

_HEADER_FORMAT = struct.Struct("<IIIHHIHIIB5s")
_IPV4_ADDRESS_FORMAT = struct.Struct("!I")

_FIELDS_FORMAT = struct.Struct("<4xIIHHIHI4xB5x")
"""The fields of a header that a packet is made from: `seq`, `ack`, `len`, `sport`,
`dst`, `dport`, `src` and `flags`. One call unpacks them without a `_Header`."""

_TCP = int(TransportProtocol.TCP)

_pack_key = struct.Struct("!BIHIH").pack
"""Packs a flow key as `pack_flow_key` does, from numbers: protocol, address and port of
the caller, address and port of the service."""


class _Header(NamedTuple):
    """The fields of a header, in the platform's order and under its names."""

    echo: int
    seq: int
    ack: int
    """In a caller's opening packet, how often the caller sent that packet before."""
    len: int
    sport: int
    dst: int
    dport: int
    src: int
    sum: int
    """A keyed checksum that only the two ends of the flow can compute.

    It is 0 in the resets that a balancer or an agent generates.
    """
    flags: int
    pad: bytes


def decode_caller_packet(data: bytes) -> Packet:
    """Decode a packet that a caller sent; raise MalformedMessageError."""
    fields = _unpack_fields(data)
    _, _, _, caller_port, service_ip, service_port, caller_ip, _ = fields
    return _make_packet(
        fields, data, _pack_key(_TCP, caller_ip, caller_port, service_ip, service_port)
    )


def decode_server_packet(data: bytes) -> Packet:
    """Decode a packet that a backend server sent; raise MalformedMessageError.

    A bounced packet, one that the backend server returned unprocessed, still has the
    caller as its source. In `raw` its bounce mark and its `echo` field are cleared, so
    that it can be delivered to another backend server.
    """
    fields = _unpack_fields(data)
    _, _, _, port, other_ip, other_port, ip, flags = fields
    if flags & FLAG_BOUNCED:
        data = _clear_bounce_mark(data)
        return _make_packet(
            fields, data, _pack_key(_TCP, ip, port, other_ip, other_port)
        )
    return _make_packet(fields, data, _pack_key(_TCP, other_ip, other_port, ip, port))


def _unpack_fields(data: bytes) -> tuple[int, int, int, int, int, int, int, int]:
    """Return the fields that `_FIELDS_FORMAT` names; raise MalformedMessageError."""
    size = len(data) - HEADER_BYTES
    if size < 0:
        raise MalformedMessageError(
            f"packet: expected {HEADER_BYTES} bytes or more, found {len(data)}"
        )
    fields = _FIELDS_FORMAT.unpack_from(data)
    if fields[2] != size or size > PAYLOAD_LIMIT_BYTES:
        raise MalformedMessageError(
            f"packet: header declares {fields[2]} payload bytes, found {size}"
        )
    return fields


def _make_packet(
    fields: tuple[int, int, int, int, int, int, int, int], data: bytes, key: bytes
) -> Packet:
    sequence, acknowledged, size, _, _, _, _, flags = fields
    # Positional arguments, in the order of the attributes: this runs for each packet.
    return Packet(
        FlowKey(key),
        flags & FLAG_SYN != 0,
        flags & FLAG_FIN != 0,
        flags & FLAG_RST != 0,
        flags & FLAG_BOUNCED != 0,
        sequence,
        acknowledged,
        size,
        data,
        size == PAYLOAD_LIMIT_BYTES,
    )


def _clear_bounce_mark(data: bytes) -> bytes:
    header = _Header._make(_HEADER_FORMAT.unpack_from(data))
    cleared = header._replace(flags=header.flags & ~FLAG_BOUNCED, echo=0, pad=b"")
    return _HEADER_FORMAT.pack(*cleared) + data[HEADER_BYTES:]


def encode_reset(packet: Packet) -> bytes:
    """Encode the reset that answers a caller's packet."""
    flow = unpack_flow_key(packet.flow)
    sequence = 0 if packet.is_opening else packet.acknowledged
    return encode_packet(flow.service, flow.caller, FLAG_RST, sequence, 0)


def encode_packet(
    sender: Endpoint,
    receiver: Endpoint,
    flags: int,
    sequence: int,
    acknowledged: int,
    payload: bytes = b"",
) -> bytes:
    """Encode a packet whose checksum is 0.

    Resets are the only such packets that balancers and agents send to the platform.
    """
    header = _Header(
        echo=0,
        seq=sequence,
        ack=acknowledged,
        len=len(payload),
        sport=sender.port,
        dst=_pack_address(receiver.ip),
        dport=receiver.port,
        src=_pack_address(sender.ip),
        sum=0,
        flags=flags,
        pad=b"",
    )
    return _HEADER_FORMAT.pack(*header) + payload


def mark_bounced(data: bytes) -> bytes:
    """Return the packet as a backend server bounces it, with the bounce mark set."""
    header = _Header._make(_HEADER_FORMAT.unpack_from(data))
    bounced = header._replace(flags=header.flags | FLAG_BOUNCED, pad=b"")
    return _HEADER_FORMAT.pack(*bounced) + data[HEADER_BYTES:]


def _pack_address(ip: str) -> int:
    """Return the number of an IPv4 address; the first octet is its highest byte."""
    packed: int = _IPV4_ADDRESS_FORMAT.unpack(socket.inet_aton(ip))[0]
    return packed
