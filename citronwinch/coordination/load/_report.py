"""What an agent tells the other agents of its service about its backend server."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination.load._ramp import RAMP_MS, find_ramp_share

FULL_SHARE_THOUSANDTHS = 1_000
"""The share of a backend server that works as its weight says."""


class ServerState(IntEnum):
    """Whether a backend server takes new flows."""

    ACCEPTING = 0
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
    """The part of its weight that the server gets done, judged by its answers."""

    state: ServerState = ServerState.ACCEPTING
    """Whether it takes new flows."""

    age_ms: int = RAMP_MS
    """How long the server has worked for the service, at most the ramp's length."""

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return self.flows >= self.connection_limit

    def find_share(self, report_age_ms: int = 0) -> float:
        """Return the part of its weight that the server should carry now.

        The ramp goes on after the report, so that servers which started together
        count as equal however old their reports are.
        """
        judged = self.share_thousandths / FULL_SHARE_THOUSANDTHS
        return min(judged, find_ramp_share(self.age_ms + report_age_ms))
