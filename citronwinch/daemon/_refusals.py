"""Refusals and request outcomes that are sent to callers."""

import xxhash

from citronwinch.backend_servers import add_request_header, read_request_header
from citronwinch.coordination import Endpoint, FlowKey, unpack_flow_key
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.fabric import (
    GeneveFrame,
    MalformedPacketError,
    build_refusal,
    build_udp,
    encode_frame,
    parse_udp,
)
from citronwinch.network import DatagramSocket

RETRY_AFTER_MS = 1_000
"""The delay after which a refused caller may retry, in milliseconds."""


def send_refusal(
    datagram_socket: DatagramSocket,
    fabric_return: tuple[Endpoint, ...],
    packet: bytes,
    request: RequestMetadata | None,
    kind: RequestKind = RequestKind.NOT_RUN,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> None:
    """Refuse a packet: with a request outcome if it has a request, else by RST or ICMP.

    A malformed packet, or one that must not be answered, is not refused.
    """
    try:
        if request is None:
            send_to_fabric(
                datagram_socket, fabric_return, GeneveFrame(build_refusal(packet))
            )
            return
        flow = parse_udp(packet).flow
    except MalformedPacketError:
        return
    # In an outcome, `remaining_ms` is the delay after which the caller may retry.
    outcome = RequestMetadata(
        kind, request.request_id, request.repeatable, retry_after_ms
    )
    send_outcome(datagram_socket, fabric_return, flow, outcome)


def send_outcome(
    datagram_socket: DatagramSocket,
    fabric_return: tuple[Endpoint, ...],
    flow: FlowKey,
    outcome: RequestMetadata,
) -> None:
    """Send the outcome of a request to the caller of its flow."""
    send_to_caller(
        datagram_socket, fabric_return, flow, add_request_header(outcome, b"")
    )


def send_to_caller(
    datagram_socket: DatagramSocket,
    fabric_return: tuple[Endpoint, ...],
    flow: FlowKey,
    payload: bytes,
) -> bool:
    """Send a datagram with a request header to a caller; False if it is too long."""
    try:
        packet = build_udp(unpack_flow_key(flow), payload, to_caller=True)
    except MalformedPacketError:
        return False
    frame = GeneveFrame(packet, read_request_header(payload))
    send_to_fabric(datagram_socket, fabric_return, frame)
    return True


def send_to_fabric(
    datagram_socket: DatagramSocket,
    fabric_return: tuple[Endpoint, ...],
    frame: GeneveFrame,
) -> None:
    """Send a frame to the fabric entry chosen by a hash of its packet's addresses.

    Bytes 12 to 23 are hashed: in an IPv4 packet without options both addresses and the
    first 4 bytes after the header, in an IPv6 packet the last 12 bytes of the source.
    """
    digest = xxhash.xxh3_64_intdigest(frame.packet[12:24])
    entry = fabric_return[digest % len(fabric_return)]
    datagram_socket.send(encode_frame(frame), entry)
