"""Telling a caller that its packet was not delivered."""

from citronwinch.backend_servers import add_request_header
from citronwinch.coordination import Endpoint, unpack_flow_key
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.fabric import (
    GeneveFrame,
    MalformedPacketError,
    build_refusal,
    build_udp,
    encode_frame,
    parse_udp,
)
from citronwinch.network import DatagramPort

RETRY_AFTER_MS = 1_000
"""When a refused caller may ask again, in milliseconds."""


def send_refusal(
    port: DatagramPort,
    fabric_return: tuple[Endpoint, ...],
    packet: bytes,
    request: RequestMetadata | None,
    kind: RequestKind = RequestKind.NOT_RUN,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> None:
    """Refuse a packet: by its request when it has one, else by RST or ICMP.

    A packet that cannot be read, or that must not be answered, gets no refusal.
    """
    try:
        if request is None:
            answer = GeneveFrame(build_refusal(packet))
        else:
            outcome = RequestMetadata(
                kind, request.request_id, request.repeatable, retry_after_ms
            )
            flow = unpack_flow_key(parse_udp(packet).flow)
            payload = add_request_header(outcome, b"")
            answer = GeneveFrame(build_udp(flow, payload, to_caller=True), outcome)
    except MalformedPacketError:
        return
    send_to_fabric(port, fabric_return, answer)


def send_to_fabric(
    port: DatagramPort, fabric_return: tuple[Endpoint, ...], frame: GeneveFrame
) -> None:
    """Send a frame to the fabric entry that its packet hashes to."""
    entry = fabric_return[hash(frame.packet[12:24]) % len(fabric_return)]
    port.send(encode_frame(frame), entry)
