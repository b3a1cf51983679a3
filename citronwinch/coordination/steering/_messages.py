"""Messages between balancers and agents about flows."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests import RequestMetadata


class Forward(NamedTuple):
    """A packet of a flow on its way to the agent that owns the flow."""

    flow: FlowKey
    """The flow."""

    service: str
    """The service that the sender found for the flow."""

    packet: bytes
    """The IP packet as the fabric handed it over."""

    balancer: str
    """The balancer that took the packet from the fabric; hints go there."""

    hops: int = 0
    """How often an agent has passed the packet on."""

    opens: bool = False
    """Whether the packet may open the flow: a SYN, or any UDP packet."""

    pinned: bool = False
    """Whether the sender knows the receiver as owner, or passes the flow to it."""

    request: RequestMetadata | None = None
    """What the caller said of its request; None when it said nothing."""


class Hint(NamedTuple):
    """The owner of a flow, told to a balancer that sent it elsewhere."""

    flow: FlowKey
    """The flow."""

    owner: str
    """The backend server whose agent owns it; empty: forget what was known."""


SteeringMessage = Forward | Hint
"""Everything that balancers and agents say to each other about flows."""
