"""Geneve encapsulation (RFC 8926) between the fabric and the system.

The fabric hands over whole IP packets. Metadata of a request travels as a Geneve
option in the experimental class range, so that a fabric that knows nothing of
requests sends the same frames without it.
"""

import struct
from typing import NamedTuple

from citronwinch.coordination.requests import (
    REQUEST_ID_BYTES,
    RequestKind,
    RequestMetadata,
)

ETHERTYPE_IPV4 = 0x0800
"""Geneve protocol type of an IPv4 packet."""

ETHERTYPE_IPV6 = 0x86DD
"""Geneve protocol type of an IPv6 packet."""

REQUEST_OPTION_CLASS = 0xFF01
"""Option class of request metadata, from the range for experiments."""

REQUEST_OPTION_TYPE = 0x01
"""Option type of request metadata."""

AGE_LIMIT_MS = 0xFFFF
"""The highest age of a request that can be told, in milliseconds."""

_HEADER = struct.Struct("!BBHI")
_OPTION = struct.Struct("!HBB")
_REQUEST = struct.Struct(f"!BBHHHI{REQUEST_ID_BYTES}s")
_REQUEST_KINDS = {kind.value: kind for kind in RequestKind}
_PLAIN_IPV4_HEADER = _HEADER.pack(0, 0, ETHERTYPE_IPV4, 0)
_PLAIN_IPV6_HEADER = _HEADER.pack(0, 0, ETHERTYPE_IPV6, 0)


class GeneveFrame(NamedTuple):
    """An IP packet with the request metadata that came with it."""

    packet: bytes
    """The whole IP packet."""

    request: RequestMetadata | None = None
    """The metadata, None when the frame carries none."""


class MalformedFrameError(Exception):
    """The bytes are not a Geneve frame with an IP packet in it."""


def encode_frame(frame: GeneveFrame) -> bytes:
    """Return the bytes of a frame.

    Example::

        >>> frame = GeneveFrame(bytes([0x45]) + bytes(19))
        >>> decode_frame(encode_frame(frame)) == frame
        True
    """
    is_ipv6 = frame.packet[:1] >= b"\x60"
    if frame.request is None:
        return (_PLAIN_IPV6_HEADER if is_ipv6 else _PLAIN_IPV4_HEADER) + frame.packet
    body = encode_request(frame.request)
    option = _OPTION.pack(REQUEST_OPTION_CLASS, REQUEST_OPTION_TYPE, len(body) // 4)
    ethertype = ETHERTYPE_IPV6 if is_ipv6 else ETHERTYPE_IPV4
    header = _HEADER.pack((len(option) + len(body)) // 4, 0, ethertype, 0)
    return header + option + body + frame.packet


def decode_frame(data: bytes) -> GeneveFrame:
    """Return the frame in the bytes; raise MalformedFrameError otherwise."""
    if len(data) < _HEADER.size:
        raise MalformedFrameError(f"frame of {len(data)} bytes is too short")
    first, _, ethertype, _ = _HEADER.unpack_from(data)
    if first >> 6:
        raise MalformedFrameError(f"unknown Geneve version {first >> 6}")
    if ethertype not in (ETHERTYPE_IPV4, ETHERTYPE_IPV6):
        raise MalformedFrameError(f"unexpected protocol type {ethertype:#06x}")
    end = _HEADER.size + (first & 0x3F) * 4
    if first & 0x3F == 0:
        return GeneveFrame(data[end:])
    if len(data) < end:
        raise MalformedFrameError("options run past the end of the frame")
    return GeneveFrame(data[end:], _find_request(data, end))


def _find_request(data: bytes, end: int) -> RequestMetadata | None:
    position = _HEADER.size
    while position + _OPTION.size <= end:
        option_class, option_type, length = _OPTION.unpack_from(data, position)
        body_end = position + _OPTION.size + (length & 0x1F) * 4
        if body_end > end:
            raise MalformedFrameError("an option runs past the end of the options")
        if (option_class, option_type) == (REQUEST_OPTION_CLASS, REQUEST_OPTION_TYPE):
            return decode_request(data[position + _OPTION.size : body_end])
        position = body_end
    return None


def encode_request(request: RequestMetadata) -> bytes:
    """Return the option body for request metadata, a multiple of 4 bytes."""
    return _REQUEST.pack(
        request.kind,
        request.repeatable,
        request.part,
        request.part_count,
        min(request.age_ms, AGE_LIMIT_MS),
        request.remaining_ms,
        request.request_id,
    )


def decode_request(body: bytes) -> RequestMetadata:
    """Return the metadata in an option body; raise MalformedFrameError otherwise."""
    if len(body) != _REQUEST.size:
        raise MalformedFrameError(
            f"expected request metadata of {_REQUEST.size} bytes, found {len(body)}"
        )
    fields = _REQUEST.unpack(body)
    kind, repeatable, part, part_count, age_ms, remaining_ms, request_id = fields
    known_kind = _REQUEST_KINDS.get(kind)
    if known_kind is None:
        raise MalformedFrameError(f"unknown request kind {kind}")
    if part >= part_count:
        raise MalformedFrameError(f"part {part} of {part_count}")
    return RequestMetadata(
        known_kind,
        request_id,
        bool(repeatable),
        remaining_ms,
        part,
        part_count,
        age_ms,
    )


REQUEST_METADATA_BYTES = _REQUEST.size
"""Length of encoded request metadata in bytes."""
