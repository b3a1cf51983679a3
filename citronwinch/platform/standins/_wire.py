"""Encodes the packets that either end of a flow sends, and reads their payloads."""

from typing import NamedTuple

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import Packet
from citronwinch.platform._packet_codec import (
    FLAG_ACK,
    FLAG_FIN,
    FLAG_RST,
    FLAG_SYN,
    encode_packet,
)

SYN, ACK, FIN, RST = FLAG_SYN, FLAG_ACK, FLAG_FIN, FLAG_RST


class FlowEnds(NamedTuple):
    """Both ends of a flow, from the point of view of the sender."""

    sender: Endpoint
    """The address of the end that sends the packet."""

    receiver: Endpoint
    """The address of the end that receives the packet."""


def encode_from_ends(
    ends: FlowEnds, flags: int, sequence: int, acknowledged: int, payload: bytes = b""
) -> bytes:
    """Encode a packet from one end to the other; its checksum is 0."""
    return encode_packet(
        ends.sender, ends.receiver, flags, sequence, acknowledged, payload
    )


def read_payload(packet: Packet) -> bytes:
    """Return the payload of a packet."""
    return packet.raw[len(packet.raw) - packet.payload_bytes :]
