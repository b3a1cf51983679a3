"""Encoding of the envelope around each message."""

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
from citronwinch.network import MalformedMessageError
from citronwinch.peers._codec import SCHEMA, fill_message
from citronwinch.peers._load_codec import read_load
from citronwinch.peers._requests_codec import read_requests
from citronwinch.peers._spread_codec import read_spread
from citronwinch.peers._steering_codec import (
    read_forward,
    read_hint,
    read_steering,
)

PeerMessage = SteeringMessage | RequestsMessage | LoadReport | SpreadMessage
"""Everything that the system's processes say to each other."""


KIND_CACHE_LIMIT = 1_024
"""The most encoded messages without their packets that are kept."""

FLOW_KEY_LENGTHS = (13, 37)
"""The lengths of flow keys of both IP versions, in bytes."""

_PROTOCOLS = frozenset(TransportProtocol)
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
    """A message with what every message carries."""

    sender: str
    """The name of the sending instance."""

    incarnation: int
    """Which run of the sender this is; a later run has a higher number."""

    sequence: int
    """The number of the message within the sender's run, for replay detection."""

    revision: int
    """The sender's table revision."""

    message: PeerMessage
    """The message."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope.

    The packet that a message carries follows the encoded message, so that all
    packets of the same kind share one encoded message, which is made once.
    """
    message = envelope.message
    if isinstance(message, Forward):
        kind = (*message[1:2], *message[3:7], None, *message[8:])
        header = _encode_kind(envelope.sender, envelope.incarnation, kind)
        payload = _join_payload(message)
    else:
        header = _encode_header(envelope.sender, envelope.incarnation, message)
        payload = b""
    prefix = _PREFIX.pack(envelope.sequence, envelope.revision, len(header))
    return prefix + header + payload


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in the bytes; raise MalformedMessageError otherwise."""
    if len(data) < _PREFIX.size:
        raise MalformedMessageError(f"message of {len(data)} bytes is too short")
    sequence, revision, length = _PREFIX.unpack_from(data)
    end = _PREFIX.size + length
    header = data[_PREFIX.size : end]
    if len(data) == end:
        sender, incarnation, message = _decode_header(header)
        if isinstance(message, Forward):
            raise MalformedMessageError("a packet is expected behind the message")
        return Envelope(sender, incarnation, sequence, revision, message)
    sender, incarnation, message = _decode_kind(header)
    if len(data) < end or not isinstance(message, Forward):
        raise MalformedMessageError("no packet is expected behind the message")
    forward = _split_payload(message, data, end)
    return Envelope(sender, incarnation, sequence, revision, forward)


def _join_payload(message: Forward) -> bytes:
    """Return what differs between packets of one kind: flow, request and packet."""
    flow, request = message.flow, b""
    if message.request is not None:
        request = encode_request(message.request)
    return bytes((len(flow), len(request))) + flow + request + message.packet


def _split_payload(message: Forward, data: bytes, start: int) -> Forward:
    """Return a message with the flow, request and packet that follow it."""
    flow_start = start + 2
    lengths = data[start:flow_start]
    request_start = flow_start + lengths[0]
    packet_start = request_start + lengths[-1]
    flow = FlowKey(data[flow_start:request_start])
    if len(flow) not in FLOW_KEY_LENGTHS or flow[0] not in _PROTOCOLS:
        raise MalformedMessageError(f"malformed flow key of {len(flow)} bytes")
    if packet_start > len(data):
        raise MalformedMessageError("the message ends before its packet")
    request = None
    if packet_start > request_start:
        try:
            request = decode_request(data[request_start:packet_start])
        except MalformedFrameError as error:
            raise MalformedMessageError(str(error)) from error
    packet = data[packet_start:]
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


@functools.lru_cache(maxsize=KIND_CACHE_LIMIT)
def _encode_kind(sender: str, incarnation: int, kind: tuple[Any, ...]) -> bytes:
    """Encode a forwarded packet without what differs between packets."""
    message = Forward._make((FlowKey(b""), kind[0], b"", *kind[1:]))
    return _encode_header(sender, incarnation, message)


def _decode_header(header: bytes) -> tuple[str, int, PeerMessage]:
    try:
        reader = SCHEMA.Envelope.from_bytes_packed(header)
        kind = str(reader.which())
        message = _READERS[kind](getattr(reader, kind))
        return reader.sender, reader.incarnation, message
    except _READ_ERRORS as error:
        raise MalformedMessageError(str(error).partition("\n")[0]) from error


_decode_kind = functools.lru_cache(maxsize=KIND_CACHE_LIMIT)(_decode_header)

_READERS: dict[str, Callable[[Any], PeerMessage]] = {
    "forward": read_forward,
    "hint": read_hint,
    "spread": read_spread,
    "steering": read_steering,
    "requests": read_requests,
    "load": read_load,
}
