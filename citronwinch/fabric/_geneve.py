"""Geneve encapsulation (RFC 8926) of IP packets from and to the fabric.

A frame contains a whole IP packet. Request metadata is sent as a Geneve option, whose
class is from the experimental range. A fabric without support for requests sends the
same frames without the option.
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
"""Option class of request metadata, from the experimental range."""

REQUEST_OPTION_TYPE = 0x01
"""Option type of request metadata."""

AGE_LIMIT_MS = 0xFFFF
"""The highest request age that the option can represent, in milliseconds."""

_HEADER = struct.Struct("!BBHI")
_OPTION_HEADER = struct.Struct("!HBB")
_REQUEST = struct.Struct(f"!BBHHHI{REQUEST_ID_BYTES}s")
_REQUEST_KINDS = {kind.value: kind for kind in RequestKind}
_IPV4_HEADER_WITHOUT_OPTIONS = _HEADER.pack(0, 0, ETHERTYPE_IPV4, 0)
_IPV6_HEADER_WITHOUT_OPTIONS = _HEADER.pack(0, 0, ETHERTYPE_IPV6, 0)


class GeneveFrame(NamedTuple):
    """An IP packet and the request metadata in its Geneve option."""

    packet: bytes
    """The whole IP packet."""

    request: RequestMetadata | None = None
    """The request metadata, None when the frame has no such option."""


class MalformedFrameError(Exception):
    """The bytes are not a Geneve frame that contains an IP packet."""


def encode_frame(frame: GeneveFrame) -> bytes:
    """Return the bytes of a frame.

    Example::

        >>> frame = GeneveFrame(bytes([0x45]) + bytes(19))
        >>> decode_frame(encode_frame(frame)) == frame
        True
    """
    is_ipv6 = frame.packet[:1] >= b"\x60"
    if frame.request is None:
        return (
            _IPV6_HEADER_WITHOUT_OPTIONS if is_ipv6 else _IPV4_HEADER_WITHOUT_OPTIONS
        ) + frame.packet
    option_body = encode_request(frame.request)
    option_header = _OPTION_HEADER.pack(
        REQUEST_OPTION_CLASS, REQUEST_OPTION_TYPE, len(option_body) // 4
    )
    ethertype = ETHERTYPE_IPV6 if is_ipv6 else ETHERTYPE_IPV4
    header = _HEADER.pack((len(option_header) + len(option_body)) // 4, 0, ethertype, 0)
    return header + option_header + option_body + frame.packet


def decode_frame(data: bytes) -> GeneveFrame:
    """Return the frame in the bytes.

    Raise MalformedFrameError when the bytes are not a valid frame.
    """
    if len(data) < _HEADER.size:
        raise MalformedFrameError(
            f"expected a whole Geneve header, found {len(data)} bytes"
        )
    first, _, ethertype, _ = _HEADER.unpack_from(data)
    if first >> 6:
        raise MalformedFrameError(f"expected Geneve version 0, found {first >> 6}")
    if ethertype not in (ETHERTYPE_IPV4, ETHERTYPE_IPV6):
        raise MalformedFrameError(
            f"expected IPv4 or IPv6 as protocol type, found {ethertype:#06x}"
        )
    end = _HEADER.size + (first & 0x3F) * 4
    if first & 0x3F == 0:
        return GeneveFrame(data[end:])
    if len(data) < end:
        raise MalformedFrameError("options extend past the end of the frame")
    return GeneveFrame(data[end:], _find_request(data, end))


def _find_request(data: bytes, end: int) -> RequestMetadata | None:
    position = _HEADER.size
    while position + _OPTION_HEADER.size <= end:
        option_class, option_type, length = _OPTION_HEADER.unpack_from(data, position)
        body_end = position + _OPTION_HEADER.size + (length & 0x1F) * 4
        if body_end > end:
            raise MalformedFrameError("an option extends past the end of the options")
        if (option_class, option_type) == (REQUEST_OPTION_CLASS, REQUEST_OPTION_TYPE):
            return decode_request(data[position + _OPTION_HEADER.size : body_end])
        position = body_end
    return None


def encode_request(request: RequestMetadata) -> bytes:
    """Return the option body for request metadata; its length is a multiple of 4."""
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
    """Return the request metadata in an option body.

    Raise MalformedFrameError when the body is not valid request metadata.
    """
    if len(body) != _REQUEST.size:
        raise MalformedFrameError(
            f"expected request metadata of {_REQUEST.size} bytes, found {len(body)}"
        )
    fields = _REQUEST.unpack(body)
    kind, repeatable, part, part_count, age_ms, remaining_ms, request_id = fields
    request_kind = _REQUEST_KINDS.get(kind)
    if request_kind is None:
        raise MalformedFrameError(f"expected a known request kind, found {kind}")
    if part >= part_count:
        raise MalformedFrameError(f"part {part} of {part_count} is out of range")
    return RequestMetadata(
        request_kind,
        request_id,
        bool(repeatable),
        remaining_ms,
        part,
        part_count,
        age_ms,
    )


REQUEST_METADATA_BYTES = _REQUEST.size
"""The length of encoded request metadata, in bytes."""
