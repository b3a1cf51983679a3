"""What the deciding cores ask their process to do."""

from typing import NamedTuple

from citronwinch.coordination.flows._messages import Message
from citronwinch.coordination.flows._packets import Packet


class SendMessage(NamedTuple):
    """Send a message to the process on another instance."""

    ip: str
    """The instance."""

    message: Message
    """The message."""


class DeliverToServer(NamedTuple):
    """Hand a packet to the agent's own backend server."""

    raw: bytes
    """The packet."""


class DeliverToCaller(NamedTuple):
    """Send a packet of a backend server to its caller."""

    packet: Packet
    """The packet."""


class ResetFlow(NamedTuple):
    """Tell a caller that its flow does not exist."""

    packet: Packet
    """The caller's packet that is answered."""


class Record(NamedTuple):
    """Log one decision with the inputs that decided it."""

    event: str
    """What was decided."""

    packet: Packet | None
    """The packet in question, if any."""

    fields: tuple[tuple[str, object], ...]
    """The inputs, their age or version, and the outcome."""


class Measure(NamedTuple):
    """Add a time to a histogram."""

    name: str
    """The histogram."""

    value_ms: int
    """The time, in milliseconds."""


Action = SendMessage | DeliverToServer | DeliverToCaller | ResetFlow | Record | Measure
"""One thing to do."""


def record(event: str, packet: Packet | None = None, **fields: object) -> Record:
    """Return the record of a decision."""
    return Record(event, packet, tuple(fields.items()))
