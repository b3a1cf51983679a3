"""An opening that a balancer holds, and how long it may do so."""

from collections.abc import Mapping
from typing import NamedTuple

from citronwinch.coordination.flows._caller_shares import extract_caller
from citronwinch.coordination.flows._deployment import Route, order_services
from citronwinch.coordination.flows._opening_times import ATTEMPT_MS, OpeningTimes
from citronwinch.coordination.flows._packets import Packet

NETWORK_PATH_MS = 100
"""The time for the network path between the caller and the balancer, in milliseconds;
it is taken off both limits of the hold time, which callers measure on their side."""

HOLD_TIMEOUT_SHARE = 0.5
"""The share of its route's timeout for which an opening is held at most; the rest is
needed for the request itself."""

TIMELY_WAIT_SHARE = 0.4
"""The share of the route's latency objective after which an opening is late; the rest
is needed for the wait at a server that is nearly full, which is half of the objective,
and for the request itself."""


class HeldOpening(NamedTuple):
    """An opening that waits for room at a backend server."""

    packet: Packet
    """The caller's opening packet."""

    route: Route
    """The route of the packet's service address."""

    times: OpeningTimes
    """When the caller sent the opening."""

    received_ms: int
    """When the opening was received."""

    caller: bytes
    """The packed IP number of the caller."""

    services_by_preference: tuple[str, ...]
    """The services that may receive the opening, in the order of preference."""

    services: frozenset[str]
    """The same services without an order."""

    timely_until_ms: int
    """Until when the opening can be placed and still meet its latency objective."""

    attempt_timely_until_ms: int
    """The same if this was the caller's first attempt. That it was not is a guess: an
    address may have several users."""

    deadline_ms: int
    """When the opening is refused unless it can be placed at once."""

    may_be_accepted: bool
    """Whether a backend server may still accept an earlier copy of the opening."""

    @property
    def caller_gives_up_ms(self) -> int:
        """When placing the opening has no use any more."""
        return self.deadline_ms + NETWORK_PATH_MS

    def pool_in(self, pools: Mapping[str, frozenset[str]]) -> frozenset[str]:
        """Return the pool of the opening's services."""
        return pools[next(iter(self.services))]


def make_held_opening(
    packet: Packet,
    route: Route,
    times: OpeningTimes,
    now_ms: int,
    *,
    may_be_accepted: bool = False,
    awaits_server: bool = False,
) -> HeldOpening:
    """Return the held opening for a packet that was received now.

    `awaits_server` means that no server of the route is listed yet.
    """
    compute_limit_ms = (
        compute_listing_wait_ms if awaits_server else compute_hold_limit_ms
    )
    services = tuple(order_services(route, packet.flow))
    timely_ms = round(TIMELY_WAIT_SHARE * route.latency_objective_ms)
    return HeldOpening(
        packet,
        route,
        times,
        now_ms,
        extract_caller(packet.flow),
        services,
        frozenset(services),
        times.first_ms + timely_ms,
        times.attempt_ms + timely_ms,
        times.attempt_ms + compute_limit_ms(route.timeout_ms),
        may_be_accepted,
    )


def compute_hold_limit_ms(timeout_ms: int) -> int:
    """Return how long after it was sent an opening of a route is held at most.

    That is until its caller's attempt ends, and for half of the route's timeout.

    Example::

        >>> [compute_hold_limit_ms(timeout_ms) for timeout_ms in (800, 1_962, 4_272)]
        [300, 881, 1300]
    """
    return min(ATTEMPT_MS, int(HOLD_TIMEOUT_SHARE * timeout_ms)) - NETWORK_PATH_MS


def compute_listing_wait_ms(timeout_ms: int) -> int:
    """Return how long after it was sent an opening waits for a server to be listed.

    That is until its caller gives up. Servers that return are idle, so that no part of
    the timeout is reserved for a queue.

    Example::

        >>> [compute_listing_wait_ms(timeout_ms) for timeout_ms in (800, 3_000)]
        [700, 1300]
    """
    return min(ATTEMPT_MS, timeout_ms) - NETWORK_PATH_MS
