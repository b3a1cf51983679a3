"""New flows that wait for a backend server with room."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._packets import Packet

HOLD_TIMEOUT_MS = 400
"""How long an opening waits for room, in milliseconds; callers give up after 1,400 ms
and need some of that for the request itself."""

TIMELY_WAIT_SHARE = 0.6
"""The share of the route's latency objective after which a held opening is late: the
rest is needed for the request itself."""

HELD_OPENINGS_LIMIT = 500
"""The most openings that wait; more cannot find room in time behind one balancer."""


def is_retransmission(packet: Packet) -> bool:
    """Return whether an opening was sent before; the first copy comes after 200 ms."""
    # Callers count the copies of an opening in this field.
    return packet.acknowledged > 0


class HeldOpening(NamedTuple):
    """An opening that waits."""

    packet: Packet
    """The caller's packet."""

    route: Route
    """Its route."""

    received_ms: int
    """When it came."""

    deadline_ms: int
    """Until when it waits."""


class HeldOpenings:
    """Openings in the order in which room is given out."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.waiting: dict[FlowKey, HeldOpening] = {}

    def hold_opening(self, packet: Packet, route: Route) -> bool:
        """Let an opening wait; return False when too many wait already."""
        if packet.flow in self.waiting:
            return True
        if len(self.waiting) >= HELD_OPENINGS_LIMIT:
            return False
        now_ms = self.clock.now_ms()
        deadline_ms = now_ms + HOLD_TIMEOUT_MS
        self.waiting[packet.flow] = HeldOpening(packet, route, now_ms, deadline_ms)
        return True

    def list_by_priority(self) -> list[HeldOpening]:
        """Return the openings, those that get room first at the front.

        Within a priority those go first that can still meet their latency objective,
        in the order of their age. The others follow, the youngest first, because an
        answer is worth something only while its caller waits.
        """
        return sorted(self.waiting.values(), key=self._sort_key)

    def is_late(self, held: HeldOpening) -> bool:
        """Return whether an opening has waited too long to meet its objective."""
        waited_ms = self.clock.now_ms() - held.received_ms
        timely_ms = TIMELY_WAIT_SHARE * held.route.latency_objective_ms
        return is_retransmission(held.packet) or waited_ms > timely_ms

    def _sort_key(self, held: HeldOpening) -> tuple[int, bool, int]:
        is_late = self.is_late(held)
        order = -held.received_ms if is_late else held.received_ms
        return held.route.priority, is_late, order

    def remove(self, key: FlowKey) -> None:
        """Forget an opening that has been placed or refused."""
        self.waiting.pop(key, None)
