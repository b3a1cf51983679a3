"""A backend server chosen for a new flow, and the limits of its load."""

from typing import NamedTuple

from citronwinch.coordination.flows._deployment import BackendServer

SATURATED_PRESSURE = 2.0
"""The pressure at which a service is saturated. At 20 ms a request, the next request
then waits for a third of the tightest latency objective."""

SATURATED_BUSY_SHARE = 0.75
"""The busy share at which a service is saturated; queues grow fast above it."""

MAX_FULL_PRESSURE = 7.0
"""The pressure at which a new flow of a route with the loosest latency objective waits
in the balancer; no route has a higher limit. At a slightly higher pressure, backend
servers refuse requests."""

MIN_FULL_PRESSURE = 3.0
"""The pressure at which a new flow of a route with the tightest latency objective waits
in the balancer; no route has a lower limit. It keeps a backend server busy until its
agent's next report."""

OBJECTIVE_MS_PER_WAITING_REQUEST = 35.0
"""How many milliseconds of its route's latency objective a new flow needs for each unit
of pressure; a request takes 15 to 25 ms."""

REMOTE_ZONE_COST = 8.0
"""The load, in open flows per slot, that a backend server in another availability zone
is charged with. It equals two waiting requests, or 30 to 40 ms, although the round trip
to another zone takes only 10 ms; the rest reduces the traffic between zones."""

OBJECTIVE_MS_PER_ADDED_REMOTE_COST = 40.0
"""How many milliseconds of the route's latency objective add one open flow per slot to
the cost of a remote server, REMOTE_ZONE_COST: a flow that tolerates a longer queue can
stay in its zone."""


class ChosenServer(NamedTuple):
    """A chosen backend server, with the figures that decided the choice."""

    server: BackendServer
    """The backend server."""

    score: float
    """Its load at that moment, in open flows per slot: the lowest of the candidates
    with room for the flow, or of all candidates if none has room."""

    candidates: int
    """The number of candidates."""

    pressure: float
    """Its pressure: its waiting requests per slot."""

    busy_share: float
    """The share of recent time in which it had work, 0 to 1."""

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
        return self.pressure >= compute_full_pressure(latency_objective_ms)


def compute_full_pressure(latency_objective_ms: int) -> float:
    """Return the pressure at which new flows of a route wait in the balancer.

    Example::

        >>> compute_full_pressure(120), compute_full_pressure(500)
        (3.4285714285714284, 7.0)
    """
    unbounded = latency_objective_ms / OBJECTIVE_MS_PER_WAITING_REQUEST
    return min(max(unbounded, MIN_FULL_PRESSURE), MAX_FULL_PRESSURE)


def compute_remote_cost(latency_objective_ms: int) -> float:
    """Return the load that a server of another zone is charged with for a route."""
    return REMOTE_ZONE_COST + latency_objective_ms / OBJECTIVE_MS_PER_ADDED_REMOTE_COST
