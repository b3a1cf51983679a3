"""Holds packets of flows that the backend server beside an agent may not hold."""

from collections import OrderedDict, deque

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._flow_entry import TRIAL_ANSWER_TIMEOUT_MS
from citronwinch.coordination.flows._packets import Packet

HELD_TRIAL_PACKETS_LIMIT = 16
"""The most packets of one flow that wait; the most that a caller has in flight."""


class HeldTrials:
    """The packets that wait for the backend server's answer to others of their flow.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> from citronwinch.coordination.flows._packets import make_placeholder_packet
        >>> clock = ManualClock()
        >>> trials = HeldTrials(clock)
        >>> trials.hold(make_placeholder_packet(b"flow", 0), "10.0.0.1")
        >>> trials.list_due()
        []
        >>> clock.advance(30)
        >>> trials.list_due()
        [b'flow']
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.held: OrderedDict[FlowKey, deque[tuple[Packet, str]]] = OrderedDict()
        """The packets of each flow with the balancers that sent them."""
        self.since_ms: dict[FlowKey, int] = {}
        """When the first packet of each of these flows began to wait."""

    def hold(self, packet: Packet, balancer: str) -> None:
        """Hold a packet; drop it beyond the limit."""
        packets = self.held.setdefault(packet.flow, deque())
        self.since_ms.setdefault(packet.flow, self.clock.now_ms())
        if len(packets) < HELD_TRIAL_PACKETS_LIMIT:
            packets.append((packet, balancer))

    def take(self, flow: FlowKey) -> deque[tuple[Packet, str]]:
        """Remove and return the held packets of a flow, in order."""
        self.since_ms.pop(flow, None)
        return self.held.pop(flow, deque())

    def list_due(self) -> list[FlowKey]:
        """Return the flows whose packets have waited long enough."""
        latest_ms = self.clock.now_ms() - TRIAL_ANSWER_TIMEOUT_MS
        return [flow for flow, since in self.since_ms.items() if since <= latest_ms]
