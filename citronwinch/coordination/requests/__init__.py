"""Requests: what callers say of them, and what becomes of them."""

from citronwinch.coordination.requests._metadata import (
    REQUEST_ID_BYTES,
    RequestKind,
    RequestMetadata,
)

__all__ = ["REQUEST_ID_BYTES", "RequestKind", "RequestMetadata"]
