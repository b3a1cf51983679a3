"""The record of one request at an agent."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey

RECORD_BYTES = 768
"""The memory of one record with its index entries, in bytes."""


class RequestState(IntEnum):
    """The state of a request at one agent."""

    STARTED = 1
    """The backend server has the request; its answer is not complete."""

    ANSWERED = 2
    """The whole answer was sent to the caller."""

    REFUSED = 3
    """A tombstone: the request was not run by this agent and never will be."""

    UNKNOWN = 4
    """The request may have been run, and the caller was sent this outcome."""

    WAITING = 5
    """The backend server shed the request, and a retry is scheduled."""

    MOVED = 6
    """Another agent was asked to run the request."""


OPEN_STATES = (RequestState.STARTED, RequestState.WAITING)
"""The states of a request without an outcome."""


class RequestKey(NamedTuple):
    """Identifies a request: request ids are unique within their flow."""

    flow: FlowKey
    """The flow on which the request arrived."""

    request_id: bytes
    """The id that the caller chose."""


class RequestRecord(NamedTuple):
    """A request's record, stored until no copy of the request can arrive any more."""

    state: RequestState
    """The state of the request."""

    deadline_ms: int
    """The time from which on the answer is of no use, by the agent's clock."""

    expires_ms: int
    """The time from which on no copy of the request can arrive."""

    repeatable: bool = False
    """Whether the request is idempotent."""

    age_ms: int = 0
    """The highest `age_ms` of the request's copies that have arrived."""


class ExportedRecord(NamedTuple):
    """A record for another process, with durations, since the clocks differ."""

    key: RequestKey
    """The request."""

    state: RequestState
    """The state of the request."""

    remaining_ms: int
    """The time until the deadline."""

    keep_ms: int
    """The time until the record expires."""

    repeatable: bool = False
    """Whether the request is idempotent."""
