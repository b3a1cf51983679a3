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

    ends: bool = False
    """Whether the packet ends the flow: a FIN or RST."""

    decider: str = ""
    """The agent that decided on the receiver; empty from a balancer."""

    decision: int = 0
    """The number of the decision that makes the receiver owner; 0 for none."""

    revision: int = 0
    """The table revision of the decision."""

    declined: tuple[str, ...] = ()
    """The agents that did not take the flow, or that a balancer cannot reach."""


class Hint(NamedTuple):
    """The owner of a flow, told to a balancer that sent it elsewhere."""

    flow: FlowKey
    """The flow."""

    owner: str
    """The backend server whose agent owns it; empty: forget what was known."""


class LeaseRequest(NamedTuple):
    """A member of a service asks another for a lease to decide on new flows.

    It is also the heartbeat between the agents of a service.
    """

    service: str
    """The service."""

    revision: int
    """The table revision by which the sender decides."""

    sent_ms: int
    """When it was sent, by the sender's clock; the lease counts from then."""

    is_leaving: bool = False
    """Whether the sender takes no new flows."""

    incarnation: int = 0
    """Which run of the sender this is; a later run remembers nothing of it."""


class LeaseAnswer(NamedTuple):
    """The answer to a lease request, and a promise as long as the lease lasts."""

    service: str
    """The service."""

    revision: int
    """The highest revision that the sender knows of."""

    sent_ms: int
    """The time in the request."""

    is_granted: bool
    """Whether the lease is granted."""

    is_complete: bool = False
    """Whether the receiver knows all flows of the sender that it is home of."""

    holds_flows: bool = False
    """Whether the sender owns flows of the service."""

    is_leaving: bool = False
    """Whether the sender takes no new flows."""

    has_departed: bool = False
    """Whether the sender stops and has promised to decide nothing more."""

    silent: tuple[str, ...] = ()
    """The members without a lease from the sender while this one lasts."""

    former: tuple[str, ...] = ()
    """Former members that may still own flows of the service."""

    is_learning: bool = False
    """Whether the sender may not have heard of all former members yet."""


class Register(NamedTuple):
    """An owner tells a home which flows it owns."""

    service: str
    """The service."""

    number: int
    """The number of the message, for its acknowledgement."""

    flows: tuple[FlowKey, ...]
    """Flows that the sender owns."""

    ended: tuple[FlowKey, ...] = ()
    """Flows that the sender no longer owns."""


class RegisterAck(NamedTuple):
    """The acknowledgement of a registration."""

    number: int
    """The number of the registration."""


class Query(NamedTuple):
    """A home asks another member whether it knows the owner of a flow."""

    service: str
    """The service."""

    flow: FlowKey
    """The flow."""

    revision: int
    """The revision by which the sender decides."""


class QueryAnswer(NamedTuple):
    """The answer to a query, and a promise not to decide by an older revision."""

    flow: FlowKey
    """The flow."""

    revision: int
    """The highest revision that the sender knows of."""

    owner: str
    """The owner that the sender knows; empty for none."""


class Probe(NamedTuple):
    """A balancer asks an agent for a sign of life."""

    is_answer: bool
    """Whether this is the answer."""


class MemberSilent(NamedTuple):
    """An agent tells a balancer that another one does not answer it."""

    agent: str
    """The other agent."""


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
"""Everything that balancers and agents say to each other about flows."""
