"""The requests that an agent holds, and the order in which they are delivered."""

from collections.abc import Sequence
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._caller_shares import CallerShares, extract_caller
from citronwinch.coordination.flows._flow_entry import FlowEntry
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._queue_overload import QueueLength, QueueOverload
from citronwinch.coordination.flows._route_class import RouteClass
from citronwinch.coordination.flows._sequence_numbers import (
    compute_sequence_distance,
)
from citronwinch.coordination.flows._server_slots import ServerSlots
from citronwinch.coordination.flows._service_times import ServiceTimes

HELD_REQUESTS_LIMIT = 256
"""The most requests that are held; with requests of 25 ms at one slot, the last of them
would wait 6 s, longer than most callers do."""

HELD_PACKETS_LIMIT = 16
"""The most packets that are held for one request; callers wait for an answer before
they send more."""

DELIVERIES_PER_LOWER_PRIORITY = 8
"""One of this many deliveries goes to a lower priority while requests of one wait, so
that no priority starves. It goes to the oldest that can still be in time, if any: the
oldest of all is late during overload, and 1% fewer of all requests were in time."""


class HeldRequest(NamedTuple):
    """A request that waits beside the backend server."""

    flow: FlowKey
    """The flow of the request."""

    packets: tuple[Packet, ...]
    """The packet that completes the request, and later packets of the flow."""

    route_class: RouteClass
    """The priority and the time limits of the request."""

    received_ms: int
    """When the first packet of the request was received; for the first request of a
    flow, earlier by the age of the opening."""

    held_ms: int
    """When the request was complete and was held."""

    entry: FlowEntry
    """What the agent knows about the flow."""

    caller: bytes
    """The packed IP number of the caller."""

    timely_until_ms: int
    """When an answer has to arrive to be within the objective."""

    expires_ms: int
    """When the caller gives up."""


def make_held_request(
    packet: Packet,
    route_class: RouteClass,
    received_ms: int,
    held_ms: int,
    entry: FlowEntry,
) -> HeldRequest:
    """Return the held request that a packet completes."""
    return HeldRequest(
        packet.flow,
        (packet,),
        route_class,
        received_ms,
        held_ms,
        entry,
        extract_caller(packet.flow),
        received_ms + route_class.latency_objective_ms,
        received_ms + route_class.timeout_ms,
    )


class RequestQueue:
    """The held requests of one backend server, at most one for each flow."""

    def __init__(
        self,
        clock: Clock,
        service_times: ServiceTimes,
        shares: CallerShares,
        slots: ServerSlots,
    ) -> None:
        self.clock = clock
        self.service_times = service_times
        self.shares = shares
        self.slots = slots
        self.overload = QueueOverload(clock)
        self.delivered_newest_first = 0
        """The deliveries in the order of an overloaded queue."""
        self.held: dict[FlowKey, HeldRequest] = {}
        self.next_expiry_ms = 0
        """No held request expires before this time."""
        self.passed_over = 0
        """The deliveries since a request of a lower priority had its turn, as far as
        such a request waited."""

    @property
    def is_full(self) -> bool:
        """Whether no further request is held."""
        return len(self.held) >= HELD_REQUESTS_LIMIT

    def add(self, request: HeldRequest) -> None:
        """Hold a request."""
        if not self.held or request.expires_ms < self.next_expiry_ms:
            self.next_expiry_ms = request.expires_ms
        self.held[request.flow] = request

    def add_packet(self, packet: Packet) -> bool:
        """Add a packet to the held request of its flow; return whether it is held.

        A retransmission replaces the held packet. Later data of the flow is held too,
        as the backend server would receive it in the wrong order otherwise. Data from
        before the held packet was delivered earlier and is not held.
        """
        request = self.held[packet.flow]
        first = request.packets[0].sequence
        if compute_sequence_distance(packet.sequence, first) < 0:
            return False
        by_position = {
            compute_sequence_distance(held.sequence, first): held
            for held in (*request.packets, packet)
        }
        if len(by_position) > HELD_PACKETS_LIMIT:
            return False
        packets = tuple(by_position[position] for position in sorted(by_position))
        self.held[packet.flow] = request._replace(packets=packets)
        return True

    def remove(self, flow: FlowKey) -> HeldRequest | None:
        """Remove and return the held request of a flow, if any."""
        return self.held.pop(flow, None)

    def remove_expired(self) -> list[HeldRequest]:
        """Remove and return the requests whose callers have given up."""
        now_ms = self.clock.now_ms()
        if not self.held or now_ms < self.next_expiry_ms:
            return []
        expired = [r for r in self.held.values() if r.expires_ms <= now_ms]
        for request in expired:
            del self.held[request.flow]
        self.next_expiry_ms = min(
            (request.expires_ms for request in self.held.values()), default=0
        )
        return expired

    def remove_next(self) -> HeldRequest:
        """Remove and return the request that is delivered next."""
        request = self._choose_next()
        del self.held[request.flow]
        return request

    def count_ahead(self, priority: int) -> int:
        """Return how many held requests a new one of a priority would wait for."""
        higher = [r for r in self.held.values() if r.route_class.priority < priority]
        equal = [r for r in self.held.values() if r.route_class.priority == priority]
        return len(higher) + len(self._find_timely(equal))

    def _choose_next(self) -> HeldRequest:
        requests = list(self.held.values())
        first = min([request.route_class.priority for request in requests])
        highest = [r for r in requests if r.route_class.priority == first]
        if len(highest) < len(requests):
            self.passed_over += 1
            if self.passed_over >= DELIVERIES_PER_LOWER_PRIORITY:
                self.passed_over = 0
                lower = [r for r in requests if r.route_class.priority != first]
                return min(self._find_timely(lower) or lower, key=_get_received_ms)
        timely = self._find_timely(highest)
        if not timely:
            return max(highest, key=_get_received_ms)
        return self._choose_timely(first, self._exclude_above_share(timely))

    def _choose_timely(
        self, priority: int, requests: Sequence[HeldRequest]
    ) -> HeldRequest:
        """Return the oldest request, or the newest one of an overloaded queue."""
        newest = max(requests, key=_get_received_ms)
        times = self.service_times
        length = QueueLength(
            len(requests),
            newest.route_class.latency_objective_ms,
            times.service_ms + times.margin_ms,
            self.slots.slots,
        )
        if not self.overload.update(priority, length):
            return min(requests, key=_get_received_ms)
        self.delivered_newest_first += 1
        return newest

    def _exclude_above_share(
        self, requests: Sequence[HeldRequest]
    ) -> Sequence[HeldRequest]:
        """Return the requests of callers that have not had more than their share."""
        if len(requests) == 1:
            return requests
        above = self.shares.find_above_share({request.caller for request in requests})
        if not above:
            return requests
        return [r for r in requests if r.caller not in above] or requests

    def _find_timely(self, requests: Sequence[HeldRequest]) -> list[HeldRequest]:
        """Return the requests that can still be answered within their objective."""
        times = self.service_times
        answered_ms = self.clock.now_ms() + times.service_ms + times.margin_ms
        return [r for r in requests if r.timely_until_ms >= answered_ms]


def _get_received_ms(request: HeldRequest) -> int:
    return request.received_ms
