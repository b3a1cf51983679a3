"""Adapter to the users' platform: packet format, metadata store and settings.

The package translates the platform's names, formats and HTTP calls into the types of
`citronwinch.coordination`. It makes no load-balancing decisions, and no other package
uses the platform's own names.
"""

from citronwinch.platform._packet_codec import (
    decode_caller_packet,
    decode_server_packet,
    encode_reset,
)
from citronwinch.platform._readiness import READY_PATH
from citronwinch.platform._store import (
    ConfigurationRead,
    ListingRead,
    StoreClient,
    StoreError,
)

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
