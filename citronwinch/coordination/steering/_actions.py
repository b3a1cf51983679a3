"""Actions that an agent's process carries out after a decision."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests import RequestMetadata
from citronwinch.coordination.steering._messages import Forward, Hint, SteeringMessage


class Deliver(NamedTuple):
    """Deliver the packet to the backend server."""

    flow: FlowKey
    """The flow, which this agent owns."""

    packet: bytes
    """The IP packet."""

    request: RequestMetadata | None = None
    """The metadata of the caller's request; None for a plain packet."""


class ForwardToAgent(NamedTuple):
    """Forward a packet to another agent of the service."""

    agent: str
    """The name of that agent, which is its backend server's name."""

    message: Forward
    """The packet with its routing data."""


class SendHint(NamedTuple):
    """Send a balancer the owner of a flow."""

    balancer: str
    """The name of the balancer's instance."""

    hint: Hint
    """The hint with the owner."""


class Refuse(NamedTuple):
    """Drop the packet, and answer its caller where `is_certain` allows it."""

    flow: FlowKey
    """The flow."""

    packet: bytes
    """The IP packet."""

    reason: str
    """The reason, used as the label of a metric."""

    retry_after_ms: int
    """How long the caller has to wait before it retries, in milliseconds."""

    request: RequestMetadata | None = None
    """The metadata of the caller's request; None for a plain packet."""

    is_certain: bool = True
    """Whether no other process can have delivered a copy of the packet.

    An uncertain refusal must not end the flow: a plain packet is dropped, and the
    caller of a request is told that the outcome is unknown.
    """


class Send(NamedTuple):
    """Send a message to another process of the system."""

    receiver: str
    """The name of its instance."""

    message: SteeringMessage
    """The message."""


class EndFlow(NamedTuple):
    """Close the resources of a flow that this agent no longer owns."""

    flow: FlowKey
    """The flow."""


AgentAction = Deliver | ForwardToAgent | SendHint | Refuse | Send | EndFlow
"""Any action that an agent's decision may ask for."""

RETRY_AFTER_MS = 1_000
"""How long a refused caller has to wait before it retries, in milliseconds."""


def make_refusal(message: Forward, reason: str, *, is_certain: bool = True) -> Refuse:
    """Return the refusal of a forwarded packet."""
    return Refuse(
        message.flow,
        message.packet,
        reason,
        RETRY_AFTER_MS,
        message.request,
        is_certain,
    )
