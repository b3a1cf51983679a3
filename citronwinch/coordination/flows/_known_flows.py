"""The flows that a balancer has seen, with the agents that they go to."""

from collections import OrderedDict
from collections.abc import Collection

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action, Measure, SendMessage
from citronwinch.coordination.flows._messages import ForwardedPacket
from citronwinch.coordination.flows._packets import Packet

FLOW_LIMIT = 400_000
"""The most flows that a balancer remembers; about 160 MB."""

EXPIRY_CALLS_PER_PASS = 250
"""In how many sweeps every flow is looked at once; 5 to 10 s, well below the shortest
time for which a flow is kept."""


class KnownFlow:
    """Where a flow goes."""

    def __init__(self, agent: str, service: str, now_ms: int) -> None:
        self.agent = agent
        self.service = service
        self.last_packet_ms = now_ms
        self.acknowledged = 0
        """What the caller acknowledged last; a reset has to fit to it."""
        self.unconfirmed_since_ms: int | None = None
        """When the opening was forwarded; None once the agent has confirmed it."""
        self.tried: set[str] = set()
        """The agents that did not take the opening."""


class KnownFlows(OrderedDict[FlowKey, KnownFlow]):
    """Hints by flow, those that were looked at longest ago first."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def store(self, key: FlowKey, flow: KnownFlow) -> None:
        """Keep a flow, and forget others beyond the limit."""
        self[key] = flow
        self.move_to_end(key)
        while len(self) > FLOW_LIMIT:
            self.popitem(last=False)

    def expire_idle(self, idle_ms: int) -> None:
        """Look at a part of the flows; forget those without packets for too long."""
        now_ms = self.clock.now_ms()
        for _ in range(-(-len(self) // EXPIRY_CALLS_PER_PASS)):
            key, flow = next(iter(self.items()))
            if now_ms - flow.last_packet_ms > idle_ms:
                del self[key]
            else:
                self.move_to_end(key)

    def pop_by_agents(self, agents: Collection[str]) -> dict[FlowKey, KnownFlow]:
        """Forget the flows that go to some agents, and return them."""
        found = {key: flow for key, flow in self.items() if flow.agent in agents}
        for key in found:
            del self[key]
        return found


def confirm_opening(known: KnownFlow, now_ms: int) -> list[Action]:
    """Note that an agent has confirmed an opening; measure how long that took."""
    unconfirmed_since_ms, known.unconfirmed_since_ms = known.unconfirmed_since_ms, None
    if unconfirmed_since_ms is None:
        return []
    return [Measure("opening_wait_ms", now_ms - unconfirmed_since_ms)]


def forward_to_agent(agent: str, service: str, packet: Packet) -> SendMessage:
    """Return what hands a packet to an agent for the server of a service."""
    return SendMessage(agent, ForwardedPacket(service, packet.raw))
