"""The head of the platform's packets."""

import socket
import struct
from typing import NamedTuple

from citronwinch.coordination import (
    Endpoint,
    TransportProtocol,
    pack_flow_key,
    unpack_flow_key,
)
from citronwinch.coordination.flows import Packet
from citronwinch.network import MalformedMessageError

HEAD_BYTES = 36
"""The length of a packet's head, in bytes."""

PAYLOAD_LIMIT_BYTES = 1_200
"""The longest data of a packet, in bytes."""

FLAG_SYN = 8
FLAG_ACK = 16
FLAG_FIN = 64
FLAG_RST = 4
FLAG_BOUNCED = 1

_HEAD = struct.Struct("<IIIHHIHIIB5s")
_NETWORK_ADDRESS = struct.Struct("!I")


class _Head(NamedTuple):
    """The fields of a head, in the platform's order and with its names."""

    echo: int
    seq: int
    ack: int
    """In an opening packet of a caller, how often it was sent before."""
    len: int
    sport: int
    dst: int
    dport: int
    src: int
    sum: int
    """A keyed sum that only the ends of the flow can compute; 0 in our own resets."""
    flags: int
    pad: bytes


def decode_caller_packet(data: bytes) -> Packet:
    """Return a packet that a caller sent; raise MalformedMessageError."""
    head = _read_head(data)
    return _describe(head, data, head.src, head.sport, head.dst, head.dport)


def decode_server_packet(data: bytes) -> Packet:
    """Return a packet of a backend server; raise MalformedMessageError.

    A packet that it gives back still has the caller as its sender, and is made ready
    for another backend server.
    """
    head = _read_head(data)
    if head.flags & FLAG_BOUNCED:
        data = _clear_bounce(head, data)
        return _describe(head, data, head.src, head.sport, head.dst, head.dport)
    return _describe(head, data, head.dst, head.dport, head.src, head.sport)


def _read_head(data: bytes) -> _Head:
    if len(data) < HEAD_BYTES:
        raise MalformedMessageError(
            f"packet: expected {HEAD_BYTES} bytes or more, found {len(data)}"
        )
    head = _Head._make(_HEAD.unpack_from(data))
    if head.len != len(data) - HEAD_BYTES or head.len > PAYLOAD_LIMIT_BYTES:
        raise MalformedMessageError(
            f"packet: its head tells of {head.len} bytes of data, "
            f"{len(data) - HEAD_BYTES} follow"
        )
    return head


def _describe(
    head: _Head,
    data: bytes,
    caller: int,
    caller_port: int,
    service: int,
    service_port: int,
) -> Packet:
    flags = head.flags
    return Packet(
        pack_flow_key(
            TransportProtocol.TCP,
            _NETWORK_ADDRESS.pack(caller),
            caller_port,
            _NETWORK_ADDRESS.pack(service),
            service_port,
        ),
        is_opening=bool(flags & FLAG_SYN),
        is_finishing=bool(flags & FLAG_FIN),
        is_reset=bool(flags & FLAG_RST),
        is_bounced=bool(flags & FLAG_BOUNCED),
        sequence=head.seq,
        acknowledged=head.ack,
        payload_bytes=head.len,
        raw=data,
    )


def _clear_bounce(head: _Head, data: bytes) -> bytes:
    clean = head._replace(flags=head.flags & ~FLAG_BOUNCED, echo=0, pad=b"")
    return _HEAD.pack(*clean) + data[HEAD_BYTES:]


def encode_reset(packet: Packet) -> bytes:
    """Return the reset that answers a caller's packet."""
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
    """Return a packet without a sum, as only our own resets may leave the system."""
    head = _Head(
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
    return _HEAD.pack(*head) + payload


def mark_bounced(data: bytes) -> bytes:
    """Return a packet as a backend server gives it back."""
    head = _Head._make(_HEAD.unpack_from(data))
    marked = head._replace(flags=head.flags | FLAG_BOUNCED, pad=b"")
    return _HEAD.pack(*marked) + data[HEAD_BYTES:]


def _pack_address(ip: str) -> int:
    number: int = _NETWORK_ADDRESS.unpack(socket.inet_aton(ip))[0]
    return number
