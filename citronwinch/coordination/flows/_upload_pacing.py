"""Spreads the packets of large requests over time on a thin link."""

from collections import Counter, OrderedDict, deque
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action
from citronwinch.coordination.flows._known_flows import (
    KnownFlow,
    KnownFlows,
    forward_to_agent,
)
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._upload_admission import (
    CALLER_WINDOW_PACKETS,
    FULL_PACKET_BYTES,
)

PACED_LINK_SHARE = 0.4
"""The share of the link that the packets of large requests may take on their way out.
They take as much on their way in."""

PACKET_HEADER_BYTES = 36
"""The headers of a packet on the link, in bytes."""

UNPACED_LINK_MBPS = 50
"""The bandwidth of a link from which on nothing is paced, in megabits per second."""

QUEUED_PACKETS_LIMIT = 4 * CALLER_WINDOW_PACKETS
"""The most packets that are queued; beyond it, those of the oldest flow are forwarded
at once."""


class QueuedPacket(NamedTuple):
    """A packet that waits for its turn."""

    agent: str
    """The agent to which the flow was forwarded when the packet was received."""

    service: str
    """The service of that agent."""

    packet: Packet
    """The packet."""


class UploadPacing:
    """The packets of large requests that a balancer has not forwarded yet.

    Flows take turns, one packet each. The packets of a flow keep their order, and none
    is dropped.
    """

    def __init__(
        self, clock: Clock, link_mbps: int, flows: KnownFlows, counters: Counter[str]
    ) -> None:
        self.flows = flows
        self.counters = counters
        self.is_active = link_mbps < UNPACED_LINK_MBPS
        """Whether packets are queued at all."""
        self.bytes_per_ms = link_mbps * 125 * PACED_LINK_SHARE
        burst_bytes = CALLER_WINDOW_PACKETS * FULL_PACKET_BYTES
        self.budget = ByteBudget(clock, burst_bytes, int(self.bytes_per_ms * 1_000))
        self.queues: OrderedDict[FlowKey, deque[QueuedPacket]] = OrderedDict()
        """The queued packets of each flow; the flow whose turn is next comes first."""
        self.queued_since: OrderedDict[FlowKey, None] = OrderedDict()
        """The same flows, the one that has had queued packets for longest first."""
        self.queued_packets = 0

    def forward(self, known: KnownFlow, packet: Packet) -> list[Action]:
        """Forward a caller's packet, or queue it if it has to wait."""
        flow = packet.flow
        must_wait = flow in self.queues or (
            known.has_large_request and packet.is_full_size
        )
        if not self.is_active or not must_wait:
            return [forward_to_agent(known.agent, known.service, packet)]
        if not self.queues and self.budget.try_spend(compute_link_bytes(packet)):
            return [forward_to_agent(known.agent, known.service, packet)]
        queued = QueuedPacket(known.agent, known.service, packet)
        self.queues.setdefault(flow, deque()).append(queued)
        self.queued_since.setdefault(flow)
        self.queued_packets += 1
        self.counters["upload_packets_paced"] += 1
        if self.queued_packets > QUEUED_PACKETS_LIMIT:
            return self.forward_queued(next(iter(self.queued_since)))
        return []

    def forward_due(self) -> list[Action]:
        """Forward the queued packets whose turn has come."""
        actions: list[Action] = []
        while self.queues:
            flow, queue = next(iter(self.queues.items()))
            if not self.budget.try_spend(compute_link_bytes(queue[0].packet)):
                break
            actions.append(self._forward_first(flow, queue))
            if queue:
                self.queues.move_to_end(flow)
            else:
                self._remove(flow)
        return actions

    def forward_queued(self, flow: FlowKey) -> list[Action]:
        """Forward all queued packets of a flow at once."""
        queue = self.queues.get(flow)
        if queue is None:
            return []
        actions: list[Action] = []
        while queue:
            actions.append(self._forward_first(flow, queue))
        self._remove(flow)
        return actions

    def take_queued(self, flow: FlowKey) -> list[Packet]:
        """Remove and return the queued packets of a flow whose agent is unknown."""
        queue = self.queues.get(flow)
        if queue is None:
            return []
        self.queued_packets -= len(queue)
        self._remove(flow)
        return [queued.packet for queued in queue]

    def stop(self) -> list[Action]:
        """Forward all queued packets at once, and queue none from now on."""
        self.is_active = False
        return [
            action for flow in list(self.queues) for action in self.forward_queued(flow)
        ]

    def compute_wait_ms(self, longest_ms: int) -> int:
        """Return the time until the queue has to be served again, in milliseconds.

        It is at most `longest_ms`, and at most the time in which a full budget is
        earned: what is earned beyond that is lost.
        """
        if not self.queues:
            return longest_ms
        return min(longest_ms, int(self.budget.burst_bytes / self.bytes_per_ms))

    def _forward_first(self, flow: FlowKey, queue: deque[QueuedPacket]) -> Action:
        queued = queue.popleft()
        self.queued_packets -= 1
        # The flow may have been found at another agent in the meantime.
        known = self.flows.get(flow)
        if known is not None:
            return forward_to_agent(known.agent, known.service, queued.packet)
        return forward_to_agent(queued.agent, queued.service, queued.packet)

    def _remove(self, flow: FlowKey) -> None:
        del self.queues[flow], self.queued_since[flow]


def compute_link_bytes(packet: Packet) -> int:
    """Return the bytes that a packet takes on the link.

    They are never more than the budget allows at once, so that no packet waits forever.
    """
    return min(packet.payload_bytes + PACKET_HEADER_BYTES, FULL_PACKET_BYTES)
