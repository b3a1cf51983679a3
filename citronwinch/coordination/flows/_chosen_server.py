"""A backend server chosen for a new flow, and the limits of its load."""

from typing import NamedTuple

from citronwinch.coordination.flows._deployment import BackendServer

SATURATED_PRESSURE = 2.0
"""The pressure at which a service is saturated: behind each request in progress another
one waits, so that its servers have no idle time between two requests."""

SATURATED_BUSY_SHARE = 0.75
"""The busy share at which a service is saturated; queues grow fast above it."""

FULL_WAIT_SHARE = 0.5
"""The share of its route's latency objective that a request may be expected to wait at
a server; the rest is for the request itself, for its packets and for errors of the
estimate. Beyond it, the server is full for new flows of the route."""

MIN_FULL_WAIT_MS = 52
"""The expected waiting time below which no server is full, in milliseconds: the work
that keeps it busy until its agent's next report has arrived (REPORT_INTERVAL_MS)."""

MAX_DELIVERED_PRESSURE = 7.0
"""The requests per slot that a server may have received, beside those that its agent
holds, before it is full for every route. Servers refuse requests from 8 per slot on."""

NO_ROOM_PRESSURE = 1e6
"""The pressure of a choice among servers that accept no openings now; it is full for
every route, and can be logged, unlike infinity."""

REMOTE_ZONE_COST_MS = 35.0
"""The waiting time that a backend server in another availability zone is charged with,
in milliseconds. The round trips of an opening and a request take 6 to 20 ms of it; the
rest reduces the traffic between zones, which is charged by the byte."""

REMOTE_ZONE_COST_SHARE = 7 / 64
"""The share of the route's latency objective that is added to REMOTE_ZONE_COST_MS: a
flow that tolerates a longer queue can stay in its zone."""


class ChosenServer(NamedTuple):
    """A chosen backend server, with the figures that decided the choice."""

    server: BackendServer
    """The backend server."""

    score: float
    """Its load at that moment, in open flows per slot of a server with the median
    service time: the lowest of the candidates with room for the flow, or of all
    candidates if none has room."""

    candidates: int
    """The number of candidates."""

    pressure: float
    """Its pressure: its waiting requests per slot."""

    busy_share: float
    """The share of recent time in which it had work, 0 to 1."""

    delivered_pressure: float
    """The part of the pressure that its agent does not hold."""

    service_ms: float
    """The time that it takes for a request, without time in a queue, in milliseconds:
    learned by its agent, or the median of the candidates."""

    @property
    def expected_wait_ms(self) -> float:
        """How long a new request would wait for a slot, in milliseconds."""
        return self.pressure * self.service_ms

    @property
    def is_saturated(self) -> bool:
        """Whether this server, the least loaded of its service, has hardly any room.

        The whole service is then considered saturated.
        """
        return (
            self.pressure >= SATURATED_PRESSURE
            or self.busy_share >= SATURATED_BUSY_SHARE
        )

    def is_full(self, latency_objective_ms: int) -> bool:
        """Return whether the server would answer one more request late or refuse it."""
        return (
            self.expected_wait_ms >= compute_full_wait_ms(latency_objective_ms)
            or self.delivered_pressure >= MAX_DELIVERED_PRESSURE
        )


def compute_full_wait_ms(latency_objective_ms: int) -> float:
    """Return the expected waiting time from which on a server is full for a route.

    Example::

        >>> compute_full_wait_ms(80), compute_full_wait_ms(356)
        (52, 178.0)
    """
    return max(MIN_FULL_WAIT_MS, FULL_WAIT_SHARE * latency_objective_ms)


def make_choice_without_room(server: BackendServer) -> ChosenServer:
    """Return a choice that is full for every route: no candidate accepts openings now.

    Example::

        >>> from citronwinch.coordination import Endpoint
        >>> from citronwinch.coordination.flows import ServerState
        >>> address = Endpoint("10.0.0.1", 80)
        >>> server = BackendServer("i", "gauging", address, "a", ServerState(0), 1, 0)
        >>> make_choice_without_room(server).is_full(60_000)
        True
    """
    return ChosenServer(
        server,
        score=NO_ROOM_PRESSURE,
        candidates=0,
        pressure=NO_ROOM_PRESSURE,
        busy_share=1.0,
        delivered_pressure=NO_ROOM_PRESSURE,
        service_ms=1.0,
    )


def compute_remote_cost_ms(latency_objective_ms: int) -> float:
    """Return the waiting time that a server of another zone is charged with.

    Example::

        >>> compute_remote_cost_ms(320)
        70.0
    """
    return REMOTE_ZONE_COST_MS + REMOTE_ZONE_COST_SHARE * latency_objective_ms
