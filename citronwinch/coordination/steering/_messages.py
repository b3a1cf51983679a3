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
    """The `sent_ms` of the answered request, by the receiver's clock.

    With `has_departed`, which answers no request, it is when this message was sent, by
    the sender's clock.
    """

    is_granted: bool
    """Whether the lease is granted."""

    is_complete: bool = False
    """Whether the receiver, as a home, knows all of its flows that the sender owns."""

    owns_flows: bool = False
    """Whether the sender owns flows of the service."""

    is_leaving: bool = False
    """Whether the sender accepts no new flows."""

    has_departed: bool = False
    """Whether the sender is stopping and decides nothing more."""

    silent: tuple[str, ...] = ()
    """The departed members, and those that get no lease while this one lasts."""

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
    """The answer to a query, and a promise not to decide by an older revision.

    It is also sent without a query, to an agent that registers a flow which the sender
    of this message owns itself.
    """

    flow: FlowKey
    """The flow."""

    revision: int
    """The highest table revision that the sender knows of."""

    owner: str
    """The owner that the sender knows; empty when it knows none."""

    away_ms: int = 0
    """How long the owner's transfer of the flow is still valid, in milliseconds.

    It is 0 unless the owner has stopped and transferred the flow to the sender.
    """


class Probe(NamedTuple):
    """Checks that an agent is reachable: a balancer's probe or the agent's answer."""

    is_answer: bool
    """Whether this is the agent's answer to the balancer."""


class MemberSilent(NamedTuple):
    """Tells a balancer that another agent does not answer the sender."""

    agent: str
    """The agent that does not answer."""


class TransferredFlow(NamedTuple):
    """A flow of a stopping agent, as its next run needs it."""

    flow: FlowKey
    """The flow."""

    decision_number: int = 0
    """The number of the decision that assigned it to the agent, 0 without one."""

    local_port: int = 0
    """The port of its socket towards the backend server; 0 without a socket."""


class FlowTransfer(NamedTuple):
    """One part of the flows that a stopping agent transfers to its peers.

    The peers return the same parts to the agent's next run. A peer without a valid
    transfer answers the query of that run with `part_count` 0.
    """

    agent: str
    """The agent that owns the flows."""

    incarnation: int
    """The run of that agent that stops."""

    number: int
    """The number of the transfer within that run; a later one replaces it."""

    age_ms: int = 0
    """How long ago the flows were listed, in milliseconds."""

    service: str = ""
    """The service of the flows."""

    path: str = ""
    """The addresses of the agent and its backend server.

    With another path the backend server would not see the same peer.
    """

    receivers: tuple[tuple[str, int], ...] = ()
    """The peers that get the transfer, each with its incarnation."""

    part: int = 0
    """The number of this part, from 0."""

    part_count: int = 0
    """The number of parts of the transfer."""

    flows: tuple[TransferredFlow, ...] = ()
    """The flows in this part."""


class FlowTransferAck(NamedTuple):
    """Acknowledges one part of a transfer, and names the receiver's run."""

    number: int
    """The number of the transfer."""

    part: int
    """The number of the part."""

    incarnation: int
    """The run of the receiver, which loses the transfer when it restarts."""


class FlowTransferEnd(NamedTuple):
    """Commits a transfer, or voids it with all earlier ones of the sender.

    A stopping agent sends it last. Its next run voids the transfer with number 0 of its
    own run once the peers need none of the earlier ones any more.
    """

    incarnation: int
    """The run of the sender that made the transfer."""

    number: int
    """The number of the transfer."""

    is_committed: bool
    """Whether all receivers have acknowledged all parts; otherwise it is void."""


class FlowsQuery(NamedTuple):
    """Asks a peer for the flows that the sender's previous run transferred."""

    incarnation: int
    """The run of the sender."""

    first_part: int = 0
    """The first part that the sender does not have yet."""


HandoverMessage = FlowTransfer | FlowTransferAck | FlowTransferEnd | FlowsQuery
"""Any message that transfers flows from one run of an agent to the next."""

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
    | HandoverMessage
)
"""Any message between balancers and agents about flows."""
