"""The flows that a balancer knows, with the agents that they are forwarded to."""

from collections import OrderedDict
from collections.abc import Collection

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action, Measure, SendMessage
from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._expiry_pass import ExpiryPass
from citronwinch.coordination.flows._messages import ForwardedOpening, ForwardedPacket
from citronwinch.coordination.flows._opening_times import OpeningTimes
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._route_class import RouteClass
from citronwinch.coordination.flows._sequence_numbers import (
    MAX_FLOW_STEP_BYTES,
    compute_sequence_distance,
    confirms_acceptance,
    may_be_same_flow,
)

LOCATION_TRUST_MS = 100
"""How long packets are forwarded to an agent that another balancer has named, in
milliseconds. For a later packet the agent is asked: callers retransmit after 200 ms."""

LAST_CHOICE_ATTEMPT = 3
"""From this attempt to place an opening on, its agent should not return it for lack of
room: load reports were misleading twice, and the caller waits."""

FLOW_LIMIT = 120_000
"""The most flows that a balancer stores; they take about 50 MB, which the smallest
instances have."""


class KnownFlow:
    """The agent that a flow is forwarded to, and the state of its opening."""

    def __init__(self, agent: str, service: str, now_ms: int) -> None:
        self.agent = agent
        self.service = service
        self.last_packet_ms = now_ms
        self.acknowledged = 0
        """The caller's latest acknowledgement number, which a reset has to match."""
        self.opening_sequence: int | None = None
        """The sequence number of the opening; None for a flow that was found by a
        search."""
        self.caller_sequence: int | None = None
        """The sequence number of the caller's latest packet with that number, None
        before the first."""
        self.times = OpeningTimes(now_ms, now_ms)
        """When the caller sent the opening; the time of discovery for a flow that was
        found by a search."""
        self.unconfirmed_since_ms: int | None = None
        """When an unconfirmed opening was forwarded; None for other flows."""
        self.located_ms: int | None = None
        """When another balancer named the agent; None once the agent has confirmed."""
        self.server_first_sequence: int | None = None
        """The sequence number with which the agent's server accepted the opening; None
        if the agent has not stated it."""
        self.is_open = False
        """Whether the flow is open at the agent's server: the agent has stated that, or
        the caller has acknowledged the acceptance. An opening and the server's answer
        to it do not show that, because copies of the opening may be accepted elsewhere,
        and the caller confirms one of them."""
        self.may_be_accepted = False
        """Whether a server may accept a copy of the unconfirmed opening other than the
        one forwarded last: an earlier one was not answered, or another one is on its
        way."""
        self.tried_packets: tuple[bytes, ...] = ()
        """The packets that a search sent as a trial before it found the flow, until
        the next packet of the flow; other agents may still return copies of them."""
        self.has_large_request = False
        """Whether the flow's route has large requests."""
        self.tried_agents: set[str] = set()
        """The agents that returned the opening or did not confirm it in time."""
        self.attempts = 1
        """How often the opening was placed, also after it waited in the balancer."""
        self.is_last_choice = False
        """Whether no agent should return the opening any more for lack of room."""

    def is_opened_by(self, opening: Packet) -> bool:
        """Return whether an opening is a copy of the one that began this flow.

        Otherwise the caller uses the port of an earlier flow again.
        """
        if self.opening_sequence is not None:
            return opening.sequence == self.opening_sequence
        if self.caller_sequence is None:
            return True
        sent = compute_sequence_distance(self.caller_sequence, opening.sequence)
        return 0 <= sent <= MAX_FLOW_STEP_BYTES

    def must_be_confirmed(self, packet: Packet, now_ms: int) -> bool:
        """Return whether the agent is to be asked before it gets a caller's packet.

        It is if another balancer has named it some time ago, if the packet does not
        acknowledge the acceptance by the agent's server, or if its numbers are those of
        another flow of the same port.
        """
        if self.is_open:
            return self.caller_sequence is not None and not (
                (
                    may_be_same_flow(packet.acknowledged, self.acknowledged)
                    and may_be_same_flow(packet.sequence, self.caller_sequence)
                )
                or packet.is_reset
            )
        if self.located_ms is not None:
            return now_ms - self.located_ms >= LOCATION_TRUST_MS
        return self.server_first_sequence is not None and not confirms_acceptance(
            packet.acknowledged, self.server_first_sequence
        )

    def record_packet(self, packet: Packet) -> None:
        """Record the numbers of a caller's packet for the agent."""
        self.acknowledged = packet.acknowledged
        self.caller_sequence = packet.sequence
        if not self.is_open:
            self._compare_acceptance()

    def record_acceptance(self, server_first_sequence: int | None) -> None:
        """Record that the agent's server has accepted the opening.

        A packet of the caller may have been forwarded before.
        """
        self.server_first_sequence = server_first_sequence
        self._compare_acceptance()

    def record_holder(self, agent: str) -> None:
        """Record that an agent has stated that its server holds the flow."""
        self.agent, self.located_ms, self.is_open = agent, None, True

    def _compare_acceptance(self) -> None:
        if self.located_ms is None and self.server_first_sequence is not None:
            self.is_open |= confirms_acceptance(
                self.acknowledged, self.server_first_sequence
            )


class KnownFlows(OrderedDict[FlowKey, KnownFlow]):
    """The known flows in the order in which they are next checked for expiry."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.expiry_pass = ExpiryPass(clock)

    def store(self, key: FlowKey, flow: KnownFlow) -> None:
        """Store a flow; discard the first flows beyond the limit."""
        self[key] = flow
        self.move_to_end(key)
        while len(self) > FLOW_LIMIT:
            self.popitem(last=False)

    def expire_idle(self, idle_ms: int) -> None:
        """Remove idle flows; check a bounded part of all flows per call."""
        now_ms = self.clock.now_ms()
        for _ in range(self.expiry_pass.count_due(len(self))):
            key, flow = next(iter(self.items()))
            if now_ms - flow.last_packet_ms > idle_ms:
                del self[key]
            else:
                self.move_to_end(key)

    def pop_by_agents(self, agents: Collection[str]) -> dict[FlowKey, KnownFlow]:
        """Remove and return the flows that are forwarded to the agents."""
        found = {key: flow for key, flow in self.items() if flow.agent in agents}
        for key in found:
            del self[key]
        return found


def confirm_opening(known: KnownFlow, now_ms: int) -> list[Action]:
    """Mark an opening as confirmed by its agent; measure how long that took."""
    unconfirmed_since_ms, known.unconfirmed_since_ms = known.unconfirmed_since_ms, None
    if unconfirmed_since_ms is None:
        return []
    return [Measure("opening_wait_ms", now_ms - unconfirmed_since_ms)]


def count_attempts(known: KnownFlow | None) -> int:
    """Return how often an opening was placed before; 0 if it is a new one."""
    if known is None or known.unconfirmed_since_ms is None:
        return 0
    return known.attempts


def forward_to_agent(agent: str, service: str, packet: Packet) -> SendMessage:
    """Return the action that forwards a packet to an agent of a service."""
    return SendMessage(agent, ForwardedPacket(service, packet.raw))


def forward_opening(
    known: KnownFlow, packet: Packet, route: Route | None, now_ms: int
) -> Action:
    """Return the action that forwards an opening with its class and its age.

    Without a route, which was removed after the opening was placed, it has neither.
    """
    if route is None:
        return forward_to_agent(known.agent, known.service, packet)
    route_class = RouteClass(
        route.priority, route.latency_objective_ms, route.timeout_ms
    )
    opening = ForwardedOpening(
        known.service,
        route_class,
        known.is_last_choice,
        packet.raw,
        age_ms=now_ms - known.times.first_ms,
    )
    return SendMessage(known.agent, opening)
