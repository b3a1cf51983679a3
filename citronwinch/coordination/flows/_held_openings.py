"""Openings that a balancer holds until a backend server has room for them."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._opening_times import OpeningTimes
from citronwinch.coordination.flows._packets import Packet

HOLD_TIMEOUT_MS = 400
"""How long an opening may be held, in milliseconds; callers give up after 1,400 ms and
need part of that time for the request itself."""

TIMELY_WAIT_SHARE = 0.6
"""The share of the route's latency objective after which a held opening is late; the
rest of the time is needed for the request itself."""

HELD_OPENINGS_LIMIT = 500
"""The most openings that are held; one balancer could not place more in time."""


def is_retransmission(packet: Packet) -> bool:
    """Return whether an opening is a retransmission; the first comes after 200 ms."""
    # In openings, callers count the retransmissions in this field.
    return packet.acknowledged > 0


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

    deadline_ms: int
    """When the opening is refused unless it has been placed."""


class HeldOpenings:
    """The held openings, with the order in which they are placed."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.openings: dict[FlowKey, HeldOpening] = {}

    def hold_opening(self, packet: Packet, route: Route, times: OpeningTimes) -> bool:
        """Hold an opening; return False if too many are held already."""
        if packet.flow in self.openings:
            return True
        if len(self.openings) >= HELD_OPENINGS_LIMIT:
            return False
        now_ms = self.clock.now_ms()
        deadline_ms = now_ms + HOLD_TIMEOUT_MS
        self.openings[packet.flow] = HeldOpening(
            packet, route, times, now_ms, deadline_ms
        )
        return True

    def list_by_priority(self) -> list[HeldOpening]:
        """Return the openings in the order in which they should be placed.

        Within a priority, openings that can still meet their latency objective come
        first, the oldest at the front. Late openings follow, the youngest at the front,
        because their callers are the most likely to be still waiting for an answer.
        """
        return sorted(self.openings.values(), key=self._sort_key)

    def is_late(self, held: HeldOpening) -> bool:
        """Return whether an opening is too old to meet its latency objective."""
        waited_ms = self.clock.now_ms() - held.received_ms
        timely_ms = TIMELY_WAIT_SHARE * held.route.latency_objective_ms
        return is_retransmission(held.packet) or waited_ms > timely_ms

    def _sort_key(self, held: HeldOpening) -> tuple[int, bool, int]:
        is_late = self.is_late(held)
        order = -held.received_ms if is_late else held.received_ms
        return held.route.priority, is_late, order

    def remove(self, key: FlowKey) -> None:
        """Remove an opening that has been placed or refused."""
        self.openings.pop(key, None)
