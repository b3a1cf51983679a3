"""Messages between balancers and agents."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.flows._deployment import (
    BackendServer,
    Configuration,
    ServerListing,
)


class Heartbeat(NamedTuple):
    """A balancer tells balancers and agents that it is there, and what it knows."""

    incarnation: int
    """The number of this run of the balancer; a later run has a higher one."""

    availability_zone: str
    """Where the balancer runs."""

    is_leaving: bool
    """Whether it is about to stop."""

    revision: int
    """The store's revision at which its listing was last confirmed."""

    listing_digest: int
    """The digest of its listing of backend servers."""

    listing_age_ms: int
    """How long ago the listing was confirmed, in milliseconds."""

    configuration_version: int
    """The version of its configuration, 0 without one."""

    balancers: tuple[str, ...]
    """The addresses of the balancers that it knows; empty where they are not told."""

    server_started_ms: int = 0
    """To an agent, the incarnation of its backend server as listed; 0 if unknown."""

    settles_in_ms: int = 0
    """For how long listed servers may still be missing after an outage of the store, in
    milliseconds; 0 when the listing is settled."""

    configuration_revision: int = 0
    """Up to which revision of the store its configuration is known to be the newest, 0
    if unknown."""


class LoadReport(NamedTuple):
    """An agent tells balancers how loaded its backend server is."""

    service: str
    """The service that the backend server belongs to."""

    open_flows: int
    """The flows that it holds."""

    waiting: int
    """The requests that it has received and not begun to answer."""

    latency_ms: int
    """Its recent mean time from a request to its answer, in milliseconds."""

    busy_share: float
    """The share of recent time in which it had work, 0 to 1."""

    accepts_flows: bool
    """Whether new flows may come; not while it stops or its backend server is down."""

    failed_share: float = 0.0
    """The share of recent requests that seem to have failed, 0 to 1."""


class Verdict(IntEnum):
    """What an agent says about a flow."""

    ABSENT = 0
    """Its backend server does not hold the flow."""

    OPENING = 1
    """Its backend server has accepted the flow; the caller has not confirmed it."""

    HELD = 2
    """Its backend server holds the flow."""

    UNCERTAIN = 3
    """The agent has started too recently to know."""


class FlowQuestion(NamedTuple):
    """A balancer asks an agent whether its backend server holds a flow."""

    flow: FlowKey
    """The flow."""

    acknowledged: int
    """What the caller's packet acknowledges, to tell rival acceptances apart."""


class FlowAnswer(NamedTuple):
    """An agent tells a balancer about a flow, asked or not."""

    flow: FlowKey
    """The flow."""

    verdict: Verdict
    """Whether its backend server holds the flow."""


class ForwardedPacket(NamedTuple):
    """A balancer hands an agent a caller's packet for its backend server."""

    service: str
    """The service that the balancer means; the agent checks it against its own."""

    raw: bytes
    """The packet."""


class ReturnedPacket(NamedTuple):
    """An agent gives a packet back that its backend server does not take."""

    raw: bytes
    """The packet."""


class ViewAnswer(NamedTuple):
    """What one balancer knows, for another that has missed something."""

    listing: ServerListing
    """Its listing of backend servers."""

    listing_age_ms: int
    """How long ago the listing was confirmed, in milliseconds."""

    configuration: Configuration | None
    """Its configuration, None where the asking balancer has it already."""

    retained: tuple[BackendServer, ...] = ()
    """Servers that are missing from the listing and may register again."""

    configuration_version: int = 0
    """The version of its configuration, whether it is sent along or not."""

    configuration_revision: int = 0
    """Up to which revision of the store that version is known to be the newest, 0 if
    unknown."""


Message = (
    Heartbeat
    | LoadReport
    | FlowQuestion
    | FlowAnswer
    | ForwardedPacket
    | ReturnedPacket
)
"""What one datagram between balancers and agents carries."""
