"""Request metadata that travels with a packet."""

from enum import IntEnum
from typing import NamedTuple

REQUEST_ID_BYTES = 16
"""Length of a request id in bytes."""

PACKET_LIFETIME_MS = 5_000
"""The longest time from sending a packet until its last copy arrives."""

REQUEST_TIMEOUT_LIMIT_MS = 60_000
"""The longest timeout of a request; also the timeout of a request without one."""


class RequestKind(IntEnum):
    """What a packet with request metadata is."""

    REQUEST = 1
    """A caller asks for work."""

    CANCEL = 2
    """A caller no longer wants the answer."""

    ANSWER = 3
    """A part of a backend server's answer."""

    NOT_RUN = 4
    """The request was not run and never will be."""

    UNKNOWN = 5
    """Nobody can tell whether the request was run."""

    SHED = 6
    """The backend server refused the request before it started it."""


class RequestMetadata(NamedTuple):
    """What a caller or a backend server says about one request.

    Without it a packet is steered by its flow alone.
    """

    kind: RequestKind
    """What the packet is."""

    request_id: bytes
    """The id that the caller chose, 16 bytes."""

    repeatable: bool = False
    """Whether the request is idempotent, so that it may be retried."""

    remaining_ms: int = 0
    """The time left until the deadline; in a refusal, when to ask again. 0: none."""

    part: int = 0
    """The number of this part of the answer, from 0."""

    part_count: int = 1
    """The number of parts of the answer."""

    age_ms: int = 0
    """How long ago the caller first sent the request; 0 in the first copy."""
