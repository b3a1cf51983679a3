"""The users' platform as a peer: its packets, its store and its settings.

This package holds names, formats and calls. It decides nothing, and nothing outside
it knows the platform's names.
"""

from citronwinch.platform._packet_codec import (
    decode_caller_packet,
    decode_server_packet,
    encode_reset,
)
from citronwinch.platform._store import (
    ConfigurationRead,
    ListingRead,
    StoreClient,
    StoreError,
)

READY_PATH = "/readyz"
"""Where the platform's routers ask whether a balancer takes packets."""

__all__ = [
    "ConfigurationRead",
    "ListingRead",
    "READY_PATH",
    "StoreClient",
    "StoreError",
    "decode_caller_packet",
    "decode_server_packet",
    "encode_reset",
]
