"""Geneve encapsulation and IP packets, as exchanged with the fabric."""

from citronwinch.fabric._geneve import (
    REQUEST_METADATA_BYTES,
    GeneveFrame,
    MalformedFrameError,
    decode_frame,
    decode_request,
    encode_frame,
    encode_request,
)
from citronwinch.fabric._ip_packet import (
    MalformedPacketError,
    UdpContent,
    build_refusal,
    build_udp,
    parse_packet,
    parse_udp,
    replace_destination,
    replace_source,
)

__all__ = [
    "GeneveFrame",
    "MalformedFrameError",
    "MalformedPacketError",
    "REQUEST_METADATA_BYTES",
    "UdpContent",
    "build_refusal",
    "build_udp",
    "decode_frame",
    "decode_request",
    "encode_frame",
    "encode_request",
    "parse_packet",
    "parse_udp",
    "replace_destination",
    "replace_source",
]
