"""The header of a datagram payload that carries a request or a part of an answer.

Callers and backend servers that support request metadata start each datagram with
this header. The header is read on the way, but the payload is never changed.
"""

from citronwinch.coordination.requests import RequestMetadata
from citronwinch.fabric import (
    REQUEST_METADATA_BYTES,
    MalformedFrameError,
    decode_request,
    encode_request,
)

MAGIC = b"CWR1"
"""The first bytes of a payload with a request header."""

HEADER_BYTES = len(MAGIC) + REQUEST_METADATA_BYTES
"""The length of the header, in bytes."""


def add_request_header(request: RequestMetadata, body: bytes) -> bytes:
    """Return a payload: the body preceded by a request header."""
    return MAGIC + encode_request(request) + body


def read_request_header(payload: bytes) -> RequestMetadata | None:
    """Return the metadata in a payload, None without a well-formed header."""
    if not payload.startswith(MAGIC):
        return None
    try:
        return decode_request(payload[len(MAGIC) : HEADER_BYTES])
    except MalformedFrameError:
        return None
