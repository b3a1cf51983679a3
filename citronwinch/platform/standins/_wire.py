"""Packets as the ends of a flow write them."""

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
    """The sender's end."""

    receiver: Endpoint
    """The other end."""


def write_packet(
    ends: FlowEnds, flags: int, sequence: int, acknowledged: int, payload: bytes = b""
) -> bytes:
    """Return a packet; its sum is that of nobody's key."""
    return encode_packet(
        ends.sender, ends.receiver, flags, sequence, acknowledged, payload
    )


def read_payload(packet: Packet) -> bytes:
    """Return what a packet carries."""
    return packet.raw[len(packet.raw) - packet.payload_bytes :]
