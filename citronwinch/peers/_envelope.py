"""Encoding of the envelope around each message."""

from collections.abc import Callable
from typing import Any, NamedTuple

import capnp

from citronwinch.coordination.spread import SpreadMessage
from citronwinch.coordination.steering import SteeringMessage
from citronwinch.peers._codec import SCHEMA, MalformedMessageError, fill_message
from citronwinch.peers._spread_codec import read_spread
from citronwinch.peers._steering_codec import read_forward, read_hint

PeerMessage = SteeringMessage | SpreadMessage
"""Everything that the system's processes say to each other."""


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
    """Return the bytes of an envelope."""
    builder = SCHEMA.Envelope.new_message()
    builder.sender = envelope.sender
    builder.incarnation = envelope.incarnation
    builder.sequence = envelope.sequence
    builder.revision = envelope.revision
    fill_message(envelope.message, builder)
    encoded: bytes = builder.to_bytes()
    return encoded


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in the bytes; raise MalformedMessageError otherwise."""
    try:
        with SCHEMA.Envelope.from_bytes(data) as reader:
            kind = str(reader.which())
            return Envelope(
                reader.sender,
                reader.incarnation,
                reader.sequence,
                reader.revision,
                _READERS[kind](getattr(reader, kind)),
            )
    except (capnp.KjException, ValueError, KeyError) as error:
        raise MalformedMessageError(str(error).partition("\n")[0]) from error


_READERS: dict[str, Callable[[Any], PeerMessage]] = {
    "forward": read_forward,
    "hint": read_hint,
    "spread": read_spread,
}
