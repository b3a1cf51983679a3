"""Balancers and agents as each other's peers, where the bytes of flows are opaque."""

from citronwinch.flow_peers._codec import (
    ViewEncoder,
    decode_flow_message,
    decode_view,
    encode_flow_message,
)

__all__ = [
    "decode_flow_message",
    "decode_view",
    "encode_flow_message",
    "ViewEncoder",
]
