"""Messages between balancers and agents."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.flows._deployment import (
    BackendServer,
    Configuration,
    ServerListing,
)
from citronwinch.coordination.flows._evacuations import ZoneEvacuation
from citronwinch.coordination.flows._route_class import RouteClass
from citronwinch.coordination.flows._store_position import (
    UNKNOWN_POSITION,
    StorePosition,
)

UNLIMITED_OPENINGS = 65_535
"""The room for openings of an agent that bounds them by nothing but its server's
load."""


class Heartbeat(NamedTuple):
    """A balancer informs balancers and agents of its state and its view."""

    incarnation: int
    """The number of this run of the balancer; a later run has a higher one."""

    availability_zone: str
    """The availability zone of the balancer."""

    is_leaving: bool
    """Whether the balancer is about to stop."""

    listing_position: StorePosition
    """The store's position at which the balancer's listing was last confirmed."""

    listing_digest: int
    """The digest of the balancer's listing of backend servers."""

    listing_age_ms: int
    """How long ago the listing was confirmed, in milliseconds."""

    configuration_version: int
    """The version of the balancer's configuration, 0 without one."""

    balancers: tuple[str, ...]
    """The addresses of the balancers that it knows; some heartbeats leave them out."""

    server_started_ms: int = 0
    """In heartbeats to an agent, the listed incarnation of its backend server; 0 if
    unknown."""

    remaining_grace_ms: int = 0
    """The rest of the grace time in which live servers may be missing from the listing
    after an outage of the store, in milliseconds; 0 outside of it."""

    configuration_position: StorePosition = UNKNOWN_POSITION
    """The latest position of the store known to have no newer configuration."""

    interval_ms: int = 0
    """How often the balancer sends heartbeats to the receiver, in milliseconds; 0 if
    unknown."""

    evacuations: tuple[ZoneEvacuation, ...] = ()
    """The requested and removed evacuations of zones that the balancer knows."""

    server_slots: int = 0
    """In heartbeats to an agent, the slots of its backend server; 0 if unknown."""

    server_warmup_left_ms: int = 0
    """In heartbeats to an agent, for how long its backend server stays cold, in
    milliseconds."""

    warmup_per_s: float = 0.0
    """In heartbeats to an agent, the requests per second that its backend server bears
    while it is cold; 0 for no limit."""

    former_known_for_ms: int = 0
    """For how long the balancer has known each server that left the listing, in
    milliseconds; 0 if it does not state that."""

    uptime_ms: int = 0
    """How long the balancer has run, in milliseconds; 0 if it does not state that."""

    asks_for_balancers: bool = False
    """In heartbeats to an agent, whether it should name the balancers that it knows."""

    agent_heard_ms: int = 0
    """In heartbeats to an agent, for how long the balancer has heard an agent beside
    the listed incarnation of its backend server, in milliseconds; 0 if it has not."""


class KnownBalancers(NamedTuple):
    """An agent names the balancers that have sent it heartbeats lately."""

    addresses: tuple[str, ...]
    """Their addresses."""


class LoadReport(NamedTuple):
    """An agent reports the load of its backend server to balancers."""

    service: str
    """The service that the backend server belongs to."""

    open_flows: int
    """The number of flows that the backend server holds."""

    waiting: int
    """The number of requests that it has received but not begun to answer."""

    latency_ms: int
    """Its recent mean time from a request to its answer, in milliseconds."""

    busy_share: float
    """The share of recent time in which it had work, 0 to 1."""

    accepts_flows: bool
    """Whether new flows may be sent to the agent; not while the agent is stopping or
    its backend server is down or silent."""

    failed_share: float = 0.0
    """The share of recent requests that appear to have failed, 0 to 1."""

    ended_server_ms: int = 0
    """In the last reports of a stopping agent whose backend server has ended, the
    incarnation of that server; 0 otherwise."""

    service_ms: int = 0
    """The mean time that its backend server takes for a request, without time in a
    queue, in milliseconds; 0 if unknown."""

    queued: int = 0
    """The number of requests among `waiting` that the agent holds."""

    opening_room: int = UNLIMITED_OPENINGS
    """How many more openings the agent accepts in the current second;
    `UNLIMITED_OPENINGS` for no bound."""

    is_server_unreachable: bool = False
    """Whether the agent's last attempt to connect to its backend server failed."""


class Verdict(IntEnum):
    """Whether the backend server of an agent holds a flow."""

    ABSENT = 0
    """The backend server does not hold the flow. This includes a flow whose opening was
    delivered but not accepted yet, and an acceptance that the acknowledgement in the
    balancer's question does not confirm."""

    OPENING = 1
    """The backend server has accepted the flow; the caller has not confirmed that.
    Agents send this verdict only without a question."""

    HELD = 2
    """The backend server holds the flow: the flow is open, or the acknowledgement in
    the balancer's question confirms the acceptance."""

    UNCERTAIN = 3
    """The agent has started too recently to know the flow, or the backend server has
    not answered a trial packet of the flow."""


class FlowQuestion(NamedTuple):
    """A balancer asks an agent whether its backend server holds a flow."""

    flow: FlowKey
    """The flow."""

    acknowledged: int
    """The sequence number that the caller's packet acknowledges. It identifies the
    acceptance that the caller uses when several backend servers accepted the flow."""


class FlowAnswer(NamedTuple):
    """An agent informs a balancer about a flow, with or without a question."""

    flow: FlowKey
    """The flow."""

    verdict: Verdict
    """Whether its backend server holds the flow."""

    server_first_sequence: int | None = None
    """With the verdict OPENING, the sequence number with which the backend server
    accepted the flow; None if the agent does not state it."""


class FlowQuestions(NamedTuple):
    """A balancer asks an agent about several flows with one message."""

    number: int
    """The number of the batch; the balancer's batches have increasing numbers."""

    questions: tuple[FlowQuestion, ...]
    """The questions."""


class FlowAnswers(NamedTuple):
    """An agent answers a batch of questions."""

    number: int
    """The number of the batch."""

    verdicts: tuple[Verdict, ...]
    """The verdicts, in the order of the questions."""


class FlowLocation(NamedTuple):
    """The agent whose backend server holds a flow, as far as the sender knows."""

    flow: FlowKey
    """The flow."""

    agent: str
    """The address of the agent; empty if the sender does not know it."""

    service: str
    """The service of the agent's backend server."""


class FlowLocations(NamedTuple):
    """A balancer tells another one the locations of flows.

    It is an answer to a lookup, or it makes the receiver the keeper of the locations.
    """

    locations: tuple[FlowLocation, ...]
    """The locations."""

    uptime_ms: int = 0
    """In an answer, how long the sender has run, in milliseconds; 0 if unknown. It has
    forgotten the flows that it opened before."""


class FlowLookup(NamedTuple):
    """A balancer asks another one for the location of a flow."""

    flow: FlowKey
    """The flow."""


class ForwardedPacket(NamedTuple):
    """A balancer forwards a caller's packet to an agent for its backend server."""

    service: str
    """The service that the packet is for; the agent compares it with its own."""

    raw: bytes
    """The packet."""


class ForwardedOpening(NamedTuple):
    """A balancer forwards a caller's opening packet to an agent."""

    service: str
    """The service that the packet is for; the agent compares it with its own."""

    route_class: RouteClass
    """The priority and the time limits of the requests on the route."""

    is_last_choice: bool
    """Whether the opening has been returned before and should not be returned for lack
    of room again."""

    raw: bytes
    """The packet."""

    age_ms: int = 0
    """How long ago the caller began to try, as far as the balancer knows, in
    milliseconds."""


class ReturnedPacket(NamedTuple):
    """An agent returns a packet that its backend server bounced or must not receive."""

    raw: bytes
    """The packet."""


class DepartedServer(NamedTuple):
    """A backend server that has left the listing and may still hold flows."""

    server: BackendServer
    """Its last entry in the listing."""

    missing_ms: int
    """How long ago the listing first lacked it, in milliseconds."""

    silent_ms: int = 0
    """For how long its agent has been silent, in milliseconds; 0 if that is unknown."""


class FormerRoute(NamedTuple):
    """A service to which a route sent flows before the operators changed it."""

    address: bytes
    """The service address of the route, packed as in a flow key."""

    service: str
    """The name of the service."""

    changed_ms: int
    """How long ago the route was last changed, in milliseconds."""


class ViewAnswer(NamedTuple):
    """A balancer's view, for another balancer whose view is outdated."""

    listing: ServerListing
    """Its listing of backend servers; with `base_digest`, only the entries that
    changed since the listing with that digest."""

    listing_age_ms: int
    """How long ago the listing was confirmed, in milliseconds."""

    configuration: Configuration | None
    """Its configuration, None if the requesting balancer already has it."""

    retained: tuple[BackendServer, ...] = ()
    """The servers that are missing from the listing but may register again."""

    configuration_version: int = 0
    """The version of its configuration, even if `configuration` is None."""

    configuration_position: StorePosition = UNKNOWN_POSITION
    """The latest position of the store known to have no newer configuration."""

    base_digest: int = 0
    """The digest of the listing that `listing` and `removed` change; 0 if `listing` is
    whole."""

    removed: tuple[str, ...] = ()
    """The names of the entries that were removed since that listing."""

    former: tuple[DepartedServer, ...] = ()
    """The servers that have left the listing within the lifetime of a flow, if the
    requesting balancer asked for them."""

    former_known_for_ms: int = 0
    """For how long the balancer has known each of these, in milliseconds."""

    former_routes: tuple[FormerRoute, ...] = ()
    """The services that routes had within the lifetime of a flow, if the requesting
    balancer asked for former servers, or gets a configuration."""

    routes_known_for_ms: int = 0
    """For how long the balancer has known each change of a route, in milliseconds; 0 if
    it does not state that."""


class ViewOffer(NamedTuple):
    """An agent offers its copy of the view to a balancer that sends no heartbeats."""

    configuration_version: int
    """The version of the copied configuration."""

    listing_position: StorePosition
    """The store's position at which the copied listing was last confirmed."""

    listing_age_ms: int
    """How long ago the copied listing was confirmed, in milliseconds."""

    evacuations: tuple[ZoneEvacuation, ...] = ()
    """The requested and removed evacuations of zones that the agent knows."""


Message = (
    Heartbeat
    | KnownBalancers
    | LoadReport
    | FlowQuestion
    | FlowAnswer
    | FlowQuestions
    | FlowAnswers
    | FlowLocations
    | FlowLookup
    | ForwardedPacket
    | ForwardedOpening
    | ReturnedPacket
    | ViewOffer
)
"""The content of one datagram between balancers and agents."""
