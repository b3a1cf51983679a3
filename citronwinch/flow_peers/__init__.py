"""The messages between balancers and agents for flows with opaque bytes."""

from citronwinch.flow_peers._codec import (
    decode_flow_message,
    encode_flow_message,
    encode_forwarded,
)
from citronwinch.flow_peers._view_codec import (
    ViewEncoder,
    compress_view,
    decode_compressed_view,
    decode_view,
)

__all__ = [
    "compress_view",
    "decode_compressed_view",
    "decode_flow_message",
    "decode_view",
    "encode_flow_message",
    "encode_forwarded",
    "ViewEncoder",
]
