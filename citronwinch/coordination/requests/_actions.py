"""What an agent is told of requests, and what it does about them."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import RequestKind, RequestMetadata
from citronwinch.coordination.requests._records import RequestKey

RETRY_AFTER_MS = 1_000
"""When a caller whose request was given up on may ask again, in milliseconds."""


class RequestArrival(NamedTuple):
    """A caller's packet with request metadata."""

    flow: FlowKey
    """The flow on which it came."""

    service: str
    """The service under which the flow is steered."""

    request: RequestMetadata
    """What the caller said."""

    payload: bytes
    """The datagram for the backend server, header included."""

    arrived_ms: int
    """The earliest time at which it may have arrived, by the agent's own clock."""

    tried: tuple[str, ...] = ()
    """The backend servers that have shed the request already."""

    flow_opened_ms: int | None = None
    """When this agent opened the flow; None when it does not own it."""

    home_moved_ms: int | None = None
    """When the home of the flow moved last; None when it did not lately."""

    @property
    def key(self) -> RequestKey:
        """The request that the packet is about."""
        return RequestKey(self.flow, self.request.request_id)


class StartRequest(NamedTuple):
    """Hand the datagram to the backend server."""

    key: RequestKey
    """The request."""

    payload: bytes
    """The datagram."""


class DeliverCancel(NamedTuple):
    """Hand a cancellation to the backend server."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """The datagram."""


class SendOutcome(NamedTuple):
    """Tell the caller what became of its request."""

    key: RequestKey
    """The request."""

    kind: RequestKind
    """`NOT_RUN` or `UNKNOWN`."""

    reason: str
    """Why, in a word that is also the metric's label."""

    retry_after_ms: int
    """When the caller may ask again."""


class SendPart(NamedTuple):
    """Send a part of an answer to the caller."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """The backend server's datagram."""


class RetryElsewhere(NamedTuple):
    """Ask another agent of the service to run a request that was shed."""

    arrival: RequestArrival
    """The request with the time that is left; `tried` names who has shed it."""


class EndGuestFlow(NamedTuple):
    """Close what was opened for a request of a flow that another agent owns."""

    flow: FlowKey
    """The flow."""


class Discard(NamedTuple):
    """Drop the datagram and count it."""

    reason: str
    """Why, in a word that is also the metric's label."""


RequestAction = (
    StartRequest
    | DeliverCancel
    | SendOutcome
    | SendPart
    | RetryElsewhere
    | EndGuestFlow
    | Discard
)
"""What an agent does about a datagram or the passing of time."""


def make_not_run(
    key: RequestKey, reason: str, retry_after_ms: int = RETRY_AFTER_MS
) -> SendOutcome:
    """Return the message that a request was not run and never will be."""
    return SendOutcome(key, RequestKind.NOT_RUN, reason, retry_after_ms)


def make_unknown(
    key: RequestKey, reason: str, retry_after_ms: int = RETRY_AFTER_MS
) -> SendOutcome:
    """Return the message that nobody can tell whether a request was run."""
    return SendOutcome(key, RequestKind.UNKNOWN, reason, retry_after_ms)
