"""The actions that flow decisions request from the process that runs them."""

from typing import NamedTuple

from citronwinch.coordination.flows._messages import Message
from citronwinch.coordination.flows._packets import Packet


class SendMessage(NamedTuple):
    """Send a message to the process on another instance."""

    ip: str
    """The address of the instance."""

    message: Message
    """The message."""


class DeliverToServer(NamedTuple):
    """Deliver a packet to the agent's own backend server."""

    raw: bytes
    """The packet as a datagram."""


class DeliverToCaller(NamedTuple):
    """Send a packet of a backend server to its caller."""

    packet: Packet
    """The packet."""


class ResetFlow(NamedTuple):
    """Send a caller a reset, since its flow does not exist or cannot be opened."""

    packet: Packet
    """The caller's packet that the reset answers."""


class Record(NamedTuple):
    """Log a decision with its inputs."""

    event: str
    """The name of the log event."""

    packet: Packet | None
    """The packet that the decision is about, if any."""

    fields: tuple[tuple[str, object], ...]
    """The inputs of the decision with their age or version, and the outcome."""


class Measure(NamedTuple):
    """Add a duration to a histogram."""

    name: str
    """The name of the histogram."""

    value_ms: int
    """The duration, in milliseconds."""


Action = SendMessage | DeliverToServer | DeliverToCaller | ResetFlow | Record | Measure
"""Any action."""


def record(event: str, packet: Packet | None = None, **fields: object) -> Record:
    """Return the action that logs a decision."""
    return Record(event, packet, tuple(fields.items()))
