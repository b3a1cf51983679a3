"""The order in which a search queries the agents of several backend servers."""

from collections.abc import Sequence
from typing import NamedTuple

from citronwinch.coordination.flows._deployment import BackendServer

LOCAL_ANSWER_TIMEOUT_MS = 15
"""How long agents of the balancer's own zone may take to answer, in milliseconds; many
times the round trip within a zone."""

REMOTE_ANSWER_TIMEOUT_MS = 60
"""How long agents of other zones may take to answer, in milliseconds; several round
trips between zones."""


class SearchedServers(NamedTuple):
    """The backend servers whose agents a search queries, by their services."""

    route: Sequence[BackendServer] = ()
    """Those of the route's present services."""

    former: Sequence[BackendServer] = ()
    """Those of services that the route had before, whose flows may still be open."""

    unrelated: Sequence[BackendServer] = ()
    """Those of services that the route is not known to have ever had."""


class SearchRound(NamedTuple):
    """A group of agents that are queried at the same time."""

    agents: tuple[str, ...]
    """The addresses of the agents."""

    answer_timeout_ms: int
    """How long the agents may take to answer, in milliseconds."""


def plan_rounds(
    servers: SearchedServers, zone: str, *, is_single_step: bool
) -> list[SearchRound]:
    """Return the rounds of a search by a balancer of `zone`.

    The agents of the route's present services come first, those of the own zone before
    others. In a single step all agents are queried at the same time.

    Example::

        >>> from citronwinch.coordination import Endpoint
        >>> from citronwinch.coordination.flows import ServerState
        >>> first = BackendServer(
        ...     "s1", "gauging", Endpoint("10.0.0.1", 80), "b", ServerState.READY, 1, 0
        ... )
        >>> second = first._replace(
        ...     address=Endpoint("10.0.0.2", 80), availability_zone="a"
        ... )
        >>> servers = SearchedServers(route=[first, second])
        >>> [each.agents for each in plan_rounds(servers, "a", is_single_step=False)]
        [('10.0.0.2',), ('10.0.0.1',), ()]
    """
    local = [s.address.ip for s in servers.route if s.availability_zone == zone]
    remote = [s.address.ip for s in servers.route if s.availability_zone != zone]
    others = [s.address.ip for s in (*servers.former, *servers.unrelated)]
    if is_single_step:
        everyone = tuple(dict.fromkeys((*local, *remote, *others)))
        return [SearchRound(everyone, REMOTE_ANSWER_TIMEOUT_MS)]
    return [
        SearchRound(tuple(local), LOCAL_ANSWER_TIMEOUT_MS),
        SearchRound(tuple(remote), REMOTE_ANSWER_TIMEOUT_MS),
        SearchRound(tuple(others), REMOTE_ANSWER_TIMEOUT_MS),
    ]
