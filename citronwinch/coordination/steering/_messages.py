"""Messages between balancers and agents about flows."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests import RequestMetadata


class Forward(NamedTuple):
    """A packet on its way to the owner of its flow.

    Where the owner is not known, the packet goes through the flow's home.
    """

    flow: FlowKey
    """The flow."""

    service: str
    """The service of the flow by the sender's table."""

    packet: bytes
    """The IP packet as received from the fabric."""

    balancer: str
    """The balancer that received the packet from the fabric; hints are sent to it."""

    hops: int = 0
    """How many times the packet has been forwarded between agents."""

    opens: bool = False
    """Whether the packet may open the flow: a SYN, or any UDP packet."""

    pinned: bool = False
    """Whether the receiver is the owner by the sender's knowledge or decision."""

    request: RequestMetadata | None = None
    """The metadata of the caller's request; None for a plain packet."""

    ends: bool = False
    """Whether the packet ends the flow: a FIN or RST."""

    decider: str = ""
    """The agent that sends the packet to the receiver as owner, otherwise empty.

    The packet returns to that agent if the receiver declines it.
    """

    decision: int = 0
    """Number of the decision that assigns the flow to the receiver; 0 without one."""

    revision: int = 0
    """The table revision of the decision."""

    declined: tuple[str, ...] = ()
    """The agents that declined the flow or were passed over.

    An agent is passed over when it is unreachable or has an outdated table.
    """


class Hint(NamedTuple):
    """Tells a balancer the owner of a flow.

    The owner's agent sends it when another agent had to forward the balancer's packet.
    """

    flow: FlowKey
    """The flow."""

    owner: str
    """The backend server whose agent owns it; empty to remove the cached owner."""


class LeaseRequest(NamedTuple):
    """Requests a lease to decide on new flows from another member of a service.

    It is also the heartbeat between the agents of a service.
    """

    service: str
    """The service."""

    revision: int
    """The revision of the sender's table."""

    sent_ms: int
    """When it was sent, by the sender's clock; the lease is valid from then."""

    is_leaving: bool = False
    """Whether the sender accepts no new flows."""

    incarnation: int = 0
    """The run of the sender; a restarted process has a higher one and no state."""


class LeaseAnswer(NamedTuple):
    """The answer to a lease request; a granted lease is a promise while it lasts."""

    service: str
    """The service."""

    revision: int
    """The highest table revision that the sender knows of."""

    sent_ms: int
    """The time of sending that the request names."""

    is_granted: bool
    """Whether the lease is granted."""

    is_complete: bool = False
    """Whether the receiver knows all flows of the sender of which it is the home."""

    owns_flows: bool = False
    """Whether the sender owns flows of the service."""

    is_leaving: bool = False
    """Whether the sender accepts no new flows."""

    has_departed: bool = False
    """Whether the sender is stopping and decides nothing more."""

    silent: tuple[str, ...] = ()
    """The members that get no lease from the sender while this one lasts."""

    former: tuple[str, ...] = ()
    """Former members that may still own flows of the service."""

    is_learning: bool = False
    """Whether the sender may not know all former members yet."""


class Register(NamedTuple):
    """Tells a home which of the home's flows the sender owns."""

    service: str
    """The service."""

    number: int
    """The number of the message, for its acknowledgement."""

    flows: tuple[FlowKey, ...]
    """Flows that the sender owns."""

    ended: tuple[FlowKey, ...] = ()
    """Flows that the sender withdraws from the receiver.

    Either the sender no longer owns the flow, or the receiver is no longer its home.
    """


class RegisterAck(NamedTuple):
    """The acknowledgement of a registration."""

    number: int
    """The number of the registration."""


class Query(NamedTuple):
    """Asks another member of the service for the owner of a flow."""

    service: str
    """The service."""

    flow: FlowKey
    """The flow."""

    revision: int
    """The revision of the sender's table."""


class QueryAnswer(NamedTuple):
    """The answer to a query, and a promise not to decide by an older revision."""

    flow: FlowKey
    """The flow."""

    revision: int
    """The highest table revision that the sender knows of."""

    owner: str
    """The owner that the sender knows; empty when it knows none."""


class Probe(NamedTuple):
    """Checks that an agent is reachable: a balancer's probe or the agent's answer."""

    is_answer: bool
    """Whether this is the agent's answer to the balancer."""


class MemberSilent(NamedTuple):
    """Tells a balancer that another agent does not answer the sender."""

    agent: str
    """The agent that does not answer."""


SteeringMessage = (
    Forward
    | Hint
    | LeaseRequest
    | LeaseAnswer
    | Register
    | RegisterAck
    | Query
    | QueryAnswer
    | Probe
    | MemberSilent
)
"""Any message between balancers and agents about flows."""
