"""Packets of requests that an agent handles, and the actions that follow."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import RequestKind, RequestMetadata
from citronwinch.coordination.requests._records import RequestKey

RETRY_AFTER_MS = 1_000
"""The wait before a caller without an answer may ask again, in milliseconds."""


class RequestArrival(NamedTuple):
    """A caller's packet with request metadata."""

    flow: FlowKey
    """The flow of the packet."""

    service: str
    """The service under which the flow is steered."""

    request: RequestMetadata
    """The request metadata of the packet."""

    payload: bytes
    """The datagram for the backend server, header included."""

    arrived_ms: int
    """The earliest time at which the packet may have arrived, by the agent's clock."""

    tried: tuple[str, ...] = ()
    """The backend servers that shed the request before it came to this agent."""

    flow_opened_ms: int | None = None
    """When this agent opened the flow; None when another agent owns the flow."""

    home_moved_ms: int | None = None
    """When the home of the flow last moved; None without a recent move."""

    @property
    def key(self) -> RequestKey:
        """The request that the packet is about."""
        return RequestKey(self.flow, self.request.request_id)


class StartRequest(NamedTuple):
    """Deliver the datagram of a new request to the backend server."""

    key: RequestKey
    """The request."""

    payload: bytes
    """The datagram."""


class DeliverCancel(NamedTuple):
    """Deliver a cancellation to the backend server."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """The datagram."""


class SendOutcome(NamedTuple):
    """Send the outcome of a request without an answer to the caller."""

    key: RequestKey
    """The request."""

    kind: RequestKind
    """`NOT_RUN` or `UNKNOWN`."""

    reason: str
    """The reason, as in the label of the metric."""

    retry_after_ms: int
    """The wait before the caller may ask again, in milliseconds."""


class SendPart(NamedTuple):
    """Send a part of an answer to the caller."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """The backend server's datagram."""


class RetryElsewhere(NamedTuple):
    """Ask another agent of the service to run a shed request."""

    arrival: RequestArrival
    """The request with its remaining time.

    `tried` has the backend servers that shed the request before; the process appends
    the backend server of this agent.
    """


class EndGuestFlow(NamedTuple):
    """End a guest flow, which another agent owns, after its last open request here."""

    flow: FlowKey
    """The flow."""


class Discard(NamedTuple):
    """Drop the datagram and count it."""

    reason: str
    """The reason, as in the label of the metric."""


RequestAction = (
    StartRequest
    | DeliverCancel
    | SendOutcome
    | SendPart
    | RetryElsewhere
    | EndGuestFlow
    | Discard
)
"""An action that follows from a datagram or a due timer."""


def make_not_run(
    key: RequestKey, reason: str, retry_after_ms: int = RETRY_AFTER_MS
) -> SendOutcome:
    """Return the outcome of a request that was not run and never will be."""
    return SendOutcome(key, RequestKind.NOT_RUN, reason, retry_after_ms)


def make_unknown(
    key: RequestKey, reason: str, retry_after_ms: int = RETRY_AFTER_MS
) -> SendOutcome:
    """Return the outcome of a request that may have been run."""
    return SendOutcome(key, RequestKind.UNKNOWN, reason, retry_after_ms)
