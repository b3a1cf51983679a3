"""Packets that arrive before a starting balancer knows where to send them."""

from collections import Counter, deque
from typing import NamedTuple

from citronwinch.coordination._address import extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import Configuration
from citronwinch.coordination.flows._opening_times import ATTEMPT_MS, read_copy_age_ms
from citronwinch.coordination.flows._packets import Packet

EARLY_PACKETS_LIMIT = 4_000
"""The most packets that a starting balancer queues until its view is complete: about
1.5 MB of openings and small requests, half a second of the heaviest traffic. A further
packet replaces the oldest one."""


class EarlyPacket(NamedTuple):
    """A packet that waits for the balancer's view."""

    packet: Packet
    """The caller's packet."""

    received_ms: int
    """When it was received."""


class EarlyPackets:
    """The queue of a starting balancer.

    While the store is down, a view may take longer than callers wait. Openings and
    requests whose callers have given up are dropped: they would occupy the servers'
    room ahead of those that can still be served.
    """

    def __init__(self, clock: Clock, counters: Counter[str]) -> None:
        self.clock = clock
        self.counters = counters
        self.queue: deque[EarlyPacket] = deque(maxlen=EARLY_PACKETS_LIMIT)

    def add(self, packet: Packet) -> None:
        """Queue a packet that is received now."""
        self.queue.append(EarlyPacket(packet, self.clock.now_ms()))

    def take_next(self, configuration: Configuration) -> EarlyPacket | None:
        """Remove and return the oldest packet that is still of use, if any."""
        while self.queue:
            early = self.queue.popleft()
            if not self._is_outdated(early, configuration):
                return early
            self.counters["early_packets_outdated"] += 1
        return None

    def _is_outdated(self, early: EarlyPacket, configuration: Configuration) -> bool:
        packet = early.packet
        if not packet.is_opening and not packet.payload_bytes:
            return False
        route = configuration.routes.get(extract_service_endpoint(packet.flow))
        if route is None:
            return False
        age_ms = self.clock.now_ms() - early.received_ms
        if packet.is_opening:
            age_ms += read_copy_age_ms(packet)
            return age_ms >= min(ATTEMPT_MS, route.timeout_ms)
        return age_ms >= route.timeout_ms
