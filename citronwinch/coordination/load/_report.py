"""What an agent tells the other agents of its service about its backend server."""

from enum import IntEnum
from typing import NamedTuple

FULL_SHARE_THOUSANDTHS = 1_000
"""The share of a backend server that works as its weight says."""


class ServerState(IntEnum):
    """Whether a backend server takes new flows."""

    TAKING = 0
    """It takes new flows, up to its share."""

    EJECTED = 1
    """It fails; it takes new flows only when most of its service fails too."""

    OVERLOADED = 2
    """It works at the most that it can; new flows are shed."""

    DRAINING = 3
    """It is leaving and takes no new flow at all."""


class LoadReport(NamedTuple):
    """The load of one backend server as its own agent sees it.

    All figures are counted by the agent. The load endpoint of the backend server is
    not asked, because it lags and may be wrong.
    """

    service: str
    """The service that the backend server works for."""

    flows: int
    """The flows that the agent owns."""

    connection_limit: int
    """The most flows that it may own."""

    in_progress: int = 0
    """The requests that were delivered and have no answer yet."""

    latency_ms: int = 0
    """The usual time from delivery to answer; 0 when there was no answer lately."""

    share_thousandths: int = FULL_SHARE_THOUSANDTHS
    """The part of its weight that the server can carry now."""

    state: ServerState = ServerState.TAKING
    """Whether it takes new flows."""

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return self.flows >= self.connection_limit
