"""The load report that an agent sends to the other agents of its service."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination.load._ramp import RAMP_MS, compute_ramp_share

FULL_SHARE_THOUSANDTHS = 1_000
"""The share of a backend server that carries its full weight."""


class LoadState(IntEnum):
    """Whether a backend server accepts new flows."""

    ACCEPTING = 0
    """The server accepts new flows, up to its share."""

    EJECTED = 1
    """The server's requests fail; it gets new flows only if no accepting server has
    room, or while most of its service is ejected too."""

    OVERLOADED = 2
    """The server works near its concurrency limit; new flows are shed."""

    DRAINING = 3
    """The server is leaving and accepts no new flows."""


class LoadReport(NamedTuple):
    """The load of one backend server, as measured by its agent.

    The agent counts all figures itself. It does not query the backend server's load
    endpoint, because the endpoint's answers lag and may be wrong.
    """

    service: str
    """The service that the backend server works for."""

    flows: int
    """The number of flows that the agent owns."""

    connection_limit: int
    """The most flows that the agent may own."""

    in_progress: int = 0
    """The number of requests that were delivered and have no answer yet."""

    latency_ms: int = 0
    """Median time from delivery to answer; 0 without a recent answer."""

    share_thousandths: int = FULL_SHARE_THOUSANDTHS
    """The share of its weight that the server can handle, by its request outcomes."""

    state: LoadState = LoadState.ACCEPTING
    """Whether the server accepts new flows."""

    age_ms: int = RAMP_MS
    """How long the server has worked for the service, at most `RAMP_MS`."""

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return self.flows >= self.connection_limit

    def compute_share(self, report_age_ms: int = 0) -> float:
        """Return the fraction of its weight that the server should carry now.

        `report_age_ms` is added to the server's age, so that servers that started
        together count as equal whatever the age of their reports.
        """
        reported_share = self.share_thousandths / FULL_SHARE_THOUSANDTHS
        return min(reported_share, compute_ramp_share(self.age_ms + report_age_ms))
