"""Encoding of the envelope around each message between agents and balancers."""

import functools
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

import capnp

from citronwinch.coordination import FlowKey, TransportProtocol
from citronwinch.coordination.load import LoadReport
from citronwinch.coordination.requests import RequestsMessage
from citronwinch.coordination.spread import SpreadMessage
from citronwinch.coordination.steering import Forward, SteeringMessage
from citronwinch.fabric import MalformedFrameError, decode_request, encode_request
from citronwinch.network import MalformedMessageError, read_packed_message
from citronwinch.peers._codec import SCHEMA, fill_message
from citronwinch.peers._load_codec import read_load_report
from citronwinch.peers._requests_codec import read_requests_message
from citronwinch.peers._spread_codec import read_spread_message
from citronwinch.peers._steering_codec import (
    read_forward,
    read_hint,
    read_steering_message,
)

PeerMessage = SteeringMessage | RequestsMessage | LoadReport | SpreadMessage
"""A message from an agent or balancer to another agent or balancer."""

HEADER_CACHE_LIMIT = 1_024
"""The highest number of headers in the encoding cache and in the decoding cache."""

FLOW_KEY_LENGTHS = (13, 37)
"""The lengths of an IPv4 and an IPv6 flow key, in bytes."""

_PROTOCOLS = frozenset(TransportProtocol)
# Holds the sequence, the revision and the length of the header in bytes.
_PREFIX = struct.Struct("!QQI")
_READ_ERRORS = (
    capnp.KjException,
    ValueError,
    KeyError,
    OverflowError,
    IndexError,
    AttributeError,
)


class Envelope(NamedTuple):
    """A message and the fields that accompany every message."""

    sender: str
    """The name of the sending instance."""

    incarnation: int
    """The time at which the sender's process started, in Unix nanoseconds.

    It tells the runs of an instance apart: a later run has a higher number.
    """

    sequence: int
    """The number of the message within the sender's run, for replay detection."""

    revision: int
    """The revision of the sender's table."""

    message: PeerMessage
    """The enclosed message."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope.

    A fixed prefix precedes the header, which holds the encoded message. Flow, request
    and packet of a `Forward` follow the header, so that forwarded packets that agree
    in all other fields share one header, which is encoded once and cached.
    """
    message = envelope.message
    if isinstance(message, Forward):
        # All fields except flow (0), packet (2) and request (7); the request's place
        # holds None.
        shared_fields = (*message[1:2], *message[3:7], None, *message[8:])
        header = _encode_forward_header(
            envelope.sender, envelope.incarnation, shared_fields
        )
        payload = _join_payload(message)
    else:
        header = _encode_header(envelope.sender, envelope.incarnation, message)
        payload = b""
    prefix = _PREFIX.pack(envelope.sequence, envelope.revision, len(header))
    return prefix + header + payload


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in the bytes.

    Raise MalformedMessageError when the bytes are not an envelope.
    """
    if len(data) < _PREFIX.size:
        raise MalformedMessageError(
            f"envelope of {len(data)} bytes is shorter than its prefix"
        )
    sequence, revision, length = _PREFIX.unpack_from(data)
    end = _PREFIX.size + length
    header = data[_PREFIX.size : end]
    if len(data) == end:
        sender, incarnation, message = _decode_header(header)
        if isinstance(message, Forward):
            raise MalformedMessageError(
                "expected a packet after the header of a forwarded packet"
            )
        return Envelope(sender, incarnation, sequence, revision, message)
    sender, incarnation, message = _decode_header_cached(header)
    if len(data) < end or not isinstance(message, Forward):
        raise MalformedMessageError(
            "header is truncated or followed by unexpected bytes"
        )
    forward = _split_payload(message, data, end)
    return Envelope(sender, incarnation, sequence, revision, forward)


def _join_payload(message: Forward) -> bytes:
    """Return the fields that are not in the header: flow, request and packet."""
    flow, request = message.flow, b""
    if message.request is not None:
        request = encode_request(message.request)
    return bytes((len(flow), len(request))) + flow + request + message.packet


def _split_payload(message: Forward, data: bytes, start: int) -> Forward:
    """Return the message completed by the flow, request and packet from `start` on."""
    flow_start = start + 2
    lengths = data[start:flow_start]
    request_start = flow_start + lengths[0]
    packet_start = request_start + lengths[-1]
    flow = FlowKey(data[flow_start:request_start])
    if len(flow) not in FLOW_KEY_LENGTHS or flow[0] not in _PROTOCOLS:
        raise MalformedMessageError(f"malformed flow key of {len(flow)} bytes")
    if packet_start > len(data):
        raise MalformedMessageError(
            "flow and request extend past the end of the envelope"
        )
    request = None
    if packet_start > request_start:
        try:
            request = decode_request(data[request_start:packet_start])
        except MalformedFrameError as error:
            raise MalformedMessageError(str(error)) from error
    packet = data[packet_start:]
    # All fields of the header except flow (0), packet (2) and request (7).
    return Forward._make(
        (flow, message[1], packet, *message[3:7], request, *message[8:])
    )


def _encode_header(sender: str, incarnation: int, message: PeerMessage) -> bytes:
    builder = SCHEMA.Envelope.new_message()
    builder.sender = sender
    builder.incarnation = incarnation
    fill_message(message, builder)
    encoded: bytes = builder.to_bytes_packed()
    return encoded


@functools.lru_cache(maxsize=HEADER_CACHE_LIMIT)
def _encode_forward_header(
    sender: str, incarnation: int, shared_fields: tuple[Any, ...]
) -> bytes:
    """Encode the header of a forwarded packet, with empty flow, request and packet."""
    message = Forward._make((FlowKey(b""), shared_fields[0], b"", *shared_fields[1:]))
    return _encode_header(sender, incarnation, message)


def _decode_header(header: bytes) -> tuple[str, int, PeerMessage]:
    try:
        reader = read_packed_message(SCHEMA.Envelope, header)
        message_type = str(reader.which())
        message = _READERS[message_type](getattr(reader, message_type))
        return reader.sender, reader.incarnation, message
    except _READ_ERRORS as error:
        raise MalformedMessageError(str(error).partition("\n")[0]) from error


_decode_header_cached = functools.lru_cache(maxsize=HEADER_CACHE_LIMIT)(_decode_header)

_READERS: dict[str, Callable[[Any], PeerMessage]] = {
    "forward": read_forward,
    "hint": read_hint,
    "spread": read_spread_message,
    "steering": read_steering_message,
    "requests": read_requests_message,
    "load": read_load_report,
}
