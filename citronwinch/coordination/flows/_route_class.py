"""What an agent has to know of a route to order its requests."""

from typing import NamedTuple


class RouteClass(NamedTuple):
    """The priority and the time limits of the requests on a route."""

    priority: int
    """The importance of its requests; 0 is the highest."""

    latency_objective_ms: int
    """The time within which an answer has its full value, in milliseconds."""

    timeout_ms: int
    """The time after which an answer has no value, in milliseconds."""
