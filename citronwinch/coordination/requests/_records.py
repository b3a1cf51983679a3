"""What an agent remembers of one request."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey

RECORD_BYTES = 768
"""Memory that one record takes with its index entries, in bytes."""


class RequestState(IntEnum):
    """How far a request has come at this agent."""

    STARTED = 1
    """It was handed to the backend server; its answer is not complete."""

    ANSWERED = 2
    """Its whole answer was sent to the caller."""

    REFUSED = 3
    """A tombstone: it was not run here and never will be."""

    UNKNOWN = 4
    """The caller was told that nobody can tell whether it was run."""

    WAITING = 5
    """The backend server shed it, and a retry is due."""

    MOVED = 6
    """Another agent has been asked to run it."""


OPEN_STATES = (RequestState.STARTED, RequestState.WAITING)
"""The states of a request whose outcome is not decided."""


class RequestKey(NamedTuple):
    """Names one request: ids are unique within their flow."""

    flow: FlowKey
    """The flow on which the request came."""

    request_id: bytes
    """The id that the caller chose."""


class RequestRecord(NamedTuple):
    """What is remembered of a request until no copy of it can arrive any more."""

    state: RequestState
    """How far it has come."""

    deadline_ms: int
    """When its answer is of no use any more, by the agent's own clock."""

    expires_ms: int
    """From when on no copy of it can arrive."""

    repeatable: bool = False
    """Whether it is idempotent."""

    age_ms: int = 0
    """The highest age among the copies that were seen."""


class ExportedRecord(NamedTuple):
    """A record as it travels to another process, whose clock is another one."""

    key: RequestKey
    """The request."""

    state: RequestState
    """How far it has come."""

    remaining_ms: int
    """The time left until its deadline."""

    keep_ms: int
    """How long the record has to be kept from now on."""

    repeatable: bool = False
    """Whether it is idempotent."""
