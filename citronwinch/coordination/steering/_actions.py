"""What an agent does about a message."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests import RequestMetadata
from citronwinch.coordination.steering._messages import Forward, Hint, SteeringMessage


class Deliver(NamedTuple):
    """Hand the packet to the backend server."""

    flow: FlowKey
    """The flow, which this agent owns."""

    packet: bytes
    """The IP packet."""

    request: RequestMetadata | None = None
    """What the caller said of its request."""


class PassOn(NamedTuple):
    """Send the message to another agent of the service."""

    agent: str
    """The backend server beside that agent."""

    message: Forward
    """What to send."""


class SendHint(NamedTuple):
    """Tell a balancer where a flow lives."""

    balancer: str
    """The balancer."""

    hint: Hint
    """What to tell."""


class Refuse(NamedTuple):
    """Do not deliver the packet."""

    flow: FlowKey
    """The flow."""

    packet: bytes
    """The IP packet."""

    reason: str
    """Why, in a word that is also the metric's label."""

    retry_after_ms: int
    """When the caller may ask again."""

    request: RequestMetadata | None = None
    """What the caller said of its request."""

    is_certain: bool = True
    """Whether no other process can have delivered a copy of the packet.

    Without certainty nothing may end the flow: a plain packet is dropped, and the
    caller of a request hears that its outcome is unknown.
    """


class Send(NamedTuple):
    """Send a message to another process of the system."""

    receiver: str
    """The name of its instance."""

    message: SteeringMessage
    """The message."""


class EndFlow(NamedTuple):
    """Close what belongs to a flow that this agent no longer owns."""

    flow: FlowKey
    """The flow."""


AgentAction = Deliver | PassOn | SendHint | Refuse | Send | EndFlow
"""What an agent does about a message."""

RETRY_AFTER_MS = 1_000
"""When a refused caller may ask again, in milliseconds."""


def refuse(message: Forward, reason: str, *, is_certain: bool = True) -> Refuse:
    """Return the refusal of a forwarded packet."""
    return Refuse(
        message.flow,
        message.packet,
        reason,
        RETRY_AFTER_MS,
        message.request,
        is_certain,
    )
