"""Metadata about a request in a packet."""

from enum import IntEnum
from typing import NamedTuple

REQUEST_ID_BYTES = 16
"""The length of a request id, in bytes."""

PACKET_LIFETIME_MS = 5_000
"""The maximum time from sending a packet until its last copy arrives."""

REQUEST_TIMEOUT_LIMIT_MS = 60_000
"""The maximum timeout of a request; also the timeout of a request without one."""


class RequestKind(IntEnum):
    """The kind of a packet with request metadata."""

    REQUEST = 1
    """A caller's request."""

    CANCEL = 2
    """A caller's cancellation of its request."""

    ANSWER = 3
    """A part of a backend server's answer."""

    NOT_RUN = 4
    """The request was not run and never will be."""

    UNKNOWN = 5
    """The request may have been run."""

    SHED = 6
    """The backend server refused the request before running it."""


class RequestMetadata(NamedTuple):
    """Metadata that a caller or a backend server adds to a packet of a request.

    A packet without metadata is steered by its flow alone.
    """

    kind: RequestKind
    """The kind of the packet."""

    request_id: bytes
    """The id that the caller chose, 16 bytes."""

    repeatable: bool = False
    """Whether the request is idempotent, so that it may be retried."""

    remaining_ms: int = 0
    """The time until the deadline; in an outcome, the wait before asking again.

    0 means that there is none.
    """

    part: int = 0
    """The index of this part of the answer, from 0."""

    part_count: int = 1
    """The number of parts of the answer."""

    age_ms: int = 0
    """The time since the caller first sent the request; 0 in the first copy."""
