"""Decisions of balancers and agents about flows whose bytes are opaque.

Caller and backend server are the ends of a flow; balancers and agents only forward its
packets. A backend server bounces packets of flows that it does not hold, so that no
balancer or agent has to be certain about a flow: the agent returns a bounced packet to
the balancer, which places or searches for the flow anew. A balancer refuses an opening
that it cannot place. `BalancerFlows` decides for a balancer and `AgentFlows` for an
agent. `DeploymentView` holds the configuration and the
listing of backend servers, and `BalancerMembers` the live balancers. The functions of
`_read_turns` and `_view_fetching` determine when and from where a balancer updates its
view.
"""

from citronwinch.coordination.flows._actions import (
    Action,
    DeliverToCaller,
    DeliverToServer,
    Measure,
    Record,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._agent_flows import AgentFlows
from citronwinch.coordination.flows._balancer_flows import BalancerFlows
from citronwinch.coordination.flows._chosen_server import ChosenServer
from citronwinch.coordination.flows._configuration_follower import (
    ConfigurationFollower,
    StoreStep,
)
from citronwinch.coordination.flows._control_pace import (
    AGENT_HEARTBEAT_MS,
    AGENT_HEARTBEATS_PER_S,
    BALANCER_HEARTBEAT_MS,
    BALANCER_HEARTBEATS_PER_S,
    REMOTE_AGENT_HEARTBEAT_MS,
    REMOTE_AGENT_HEARTBEATS_PER_S,
    MessagePace,
    compute_former_interval_ms,
    compute_interval_ms,
)
from citronwinch.coordination.flows._deployment import (
    EMPTY_LISTING,
    WARMUP_STEP_MS,
    BackendServer,
    Configuration,
    Route,
    ServerListing,
    ServerState,
    ServiceLimits,
    ServiceShare,
    list_named_services,
    order_services,
    pack_route_address,
    round_up_warmup_ms,
)
from citronwinch.coordination.flows._evacuations import Evacuations, ZoneEvacuation
from citronwinch.coordination.flows._flow_directory import FlowDirectory
from citronwinch.coordination.flows._flow_search import FlowSearch, SearchStep
from citronwinch.coordination.flows._former_servers import FormerServers
from citronwinch.coordination.flows._link import DEFAULT_LINK_MBPS
from citronwinch.coordination.flows._listing_history import (
    ListingDifference,
    ListingHistory,
)
from citronwinch.coordination.flows._load_reporting import (
    ALL_CHANGES_RECEIVERS,
    REPORT_INTERVAL_MS,
    REPORTS_PER_S,
    LoadReporting,
)
from citronwinch.coordination.flows._members import BalancerMembers
from citronwinch.coordination.flows._messages import (
    UNLIMITED_OPENINGS,
    DepartedServer,
    FlowAnswer,
    FlowAnswers,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    FlowQuestions,
    FormerRoute,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    KnownBalancers,
    LoadReport,
    Message,
    ReturnedPacket,
    Verdict,
    ViewAnswer,
    ViewOffer,
)
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._read_turns import (
    READ_RETRY_MS,
    compute_read_age_ms,
    compute_read_retry_ms,
    compute_read_turn,
)
from citronwinch.coordination.flows._route_class import RouteClass
from citronwinch.coordination.flows._server_liveness import ServerCheck
from citronwinch.coordination.flows._server_requests import LONG_WAIT_REASON
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._store_position import (
    UNKNOWN_POSITION,
    StorePosition,
)
from citronwinch.coordination.flows._view import DeploymentView
from citronwinch.coordination.flows._view_copies import CopySource, ViewCopy
from citronwinch.coordination.flows._view_fetching import (
    ViewAnswerPacing,
    choose_view_source,
    compute_configuration_transfer_ms,
    list_view_sources,
)
from citronwinch.coordination.flows._view_offers import ViewOffers

__all__ = [
    "AGENT_HEARTBEATS_PER_S",
    "ALL_CHANGES_RECEIVERS",
    "AGENT_HEARTBEAT_MS",
    "BALANCER_HEARTBEATS_PER_S",
    "BALANCER_HEARTBEAT_MS",
    "LONG_WAIT_REASON",
    "LoadReporting",
    "MessagePace",
    "REMOTE_AGENT_HEARTBEATS_PER_S",
    "REMOTE_AGENT_HEARTBEAT_MS",
    "REPORTS_PER_S",
    "REPORT_INTERVAL_MS",
    "compute_former_interval_ms",
    "compute_interval_ms",
    "DEFAULT_LINK_MBPS",
    "ServerSelector",
    "ViewAnswerPacing",
    "ViewCopy",
    "ViewOffer",
    "ViewOffers",
    "choose_view_source",
    "compute_configuration_transfer_ms",
    "list_named_services",
    "list_view_sources",
    "Action",
    "AgentFlows",
    "BackendServer",
    "BalancerFlows",
    "BalancerMembers",
    "ChosenServer",
    "Configuration",
    "ConfigurationFollower",
    "DeliverToCaller",
    "DeliverToServer",
    "CopySource",
    "DepartedServer",
    "DeploymentView",
    "EMPTY_LISTING",
    "Evacuations",
    "FlowAnswer",
    "FlowAnswers",
    "FlowDirectory",
    "FlowLocation",
    "FlowLocations",
    "FlowLookup",
    "FlowQuestion",
    "FlowQuestions",
    "FormerRoute",
    "FormerServers",
    "FlowSearch",
    "ForwardedOpening",
    "ForwardedPacket",
    "Heartbeat",
    "ListingDifference",
    "ListingHistory",
    "KnownBalancers",
    "LoadReport",
    "Measure",
    "Message",
    "Packet",
    "READ_RETRY_MS",
    "Record",
    "ResetFlow",
    "ReturnedPacket",
    "Route",
    "RouteClass",
    "SearchStep",
    "SendMessage",
    "ServerCheck",
    "ServerListing",
    "ServerState",
    "ServiceLimits",
    "ServiceShare",
    "StorePosition",
    "StoreStep",
    "UNKNOWN_POSITION",
    "UNLIMITED_OPENINGS",
    "Verdict",
    "ViewAnswer",
    "WARMUP_STEP_MS",
    "ZoneEvacuation",
    "compute_read_age_ms",
    "compute_read_retry_ms",
    "compute_read_turn",
    "order_services",
    "pack_route_address",
    "record",
    "round_up_warmup_ms",
]
