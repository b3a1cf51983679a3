"""Encoding and authentication of messages between agents and balancers."""

from citronwinch.peers._authentication import KEY_BYTES, KeyRing
from citronwinch.peers._envelope import (
    Envelope,
    PeerMessage,
    decode_envelope,
    encode_envelope,
)

__all__ = [
    "Envelope",
    "KEY_BYTES",
    "KeyRing",
    "PeerMessage",
    "decode_envelope",
    "encode_envelope",
]
