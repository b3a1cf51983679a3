"""New flows that wait for a backend server with room."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._packets import Packet

HOLD_LIMIT_MS = 400
"""How long an opening waits for room, in milliseconds; callers give up after 1,400 ms
and need some of that for the request itself."""

OBJECTIVE_SHARE = 1.5
"""The share of the route's latency objective that an opening may wait at most."""

HELD_LIMIT = 500
"""The most openings that wait; more cannot find room in time behind one balancer."""


class HeldOpening(NamedTuple):
    """An opening that waits."""

    packet: Packet
    """The caller's packet."""

    route: Route
    """Its route."""

    since_ms: int
    """When it came."""

    deadline_ms: int
    """Until when it waits."""


class HeldOpenings:
    """Openings in the order in which room is given out: priority, then age."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.waiting: dict[FlowKey, HeldOpening] = {}

    def hold(self, packet: Packet, route: Route) -> bool:
        """Let an opening wait; return False when too many wait already."""
        if packet.flow in self.waiting:
            return True
        if len(self.waiting) >= HELD_LIMIT:
            return False
        now_ms = self.clock.now_ms()
        objective_ms = int(OBJECTIVE_SHARE * route.latency_objective_ms)
        deadline_ms = now_ms + min(HOLD_LIMIT_MS, objective_ms)
        self.waiting[packet.flow] = HeldOpening(packet, route, now_ms, deadline_ms)
        return True

    def list_by_priority(self) -> list[HeldOpening]:
        """Return the openings, those that get room first at the front."""
        return sorted(
            self.waiting.values(), key=lambda held: (held.route.priority, held.since_ms)
        )

    def release(self, key: FlowKey) -> None:
        """Forget an opening that has been placed or refused."""
        self.waiting.pop(key, None)
