"""A group of agents whose messages are delivered in any order that a test chooses."""

import pickle
from typing import Any, NamedTuple

import pytest

from citronwinch.coordination import (
    Endpoint,
    Flow,
    FlowKey,
    ManualClock,
    Table,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.steering import (
    AgentAction,
    AgentSteering,
    Deliver,
    Forward,
    ForwardToAgent,
    Refuse,
    Send,
    SteeringMessage,
)

ADDRESSES = {
    "gauging": Endpoint("192.0.2.1", 9000),
    "reporting": Endpoint("192.0.2.2", 9000),
}


class SentMessage(NamedTuple):
    """A message that was sent and has not arrived."""

    sender: str
    receiver: str
    message: SteeringMessage


def make_row(name: str, service: str = "gauging", weight: int = 100) -> TableRow:
    """Return a table row."""
    return TableRow(
        service,
        TransportProtocol.UDP,
        ADDRESSES[service],
        name,
        Endpoint("198.51.100.1", 1),
        "zone-0",
        weight,
        100,
    )


def make_key(number: int, service: str = "gauging") -> FlowKey:
    """Return the key of one of many flows."""
    caller = Endpoint("203.0.113.1", 1024 + number)
    return Flow(TransportProtocol.UDP, caller, ADDRESSES[service]).key


def make_forward(flow: FlowKey, service: str = "gauging", **fields: Any) -> Forward:
    """Return a packet as a balancer forwards it."""
    values: dict[str, Any] = {
        "packet": b"%d" % hash(flow),
        "balancer": "balancer-1",
        "opens": True,
    }
    return Forward(flow, service, **{**values, **fields})


class Group:
    """Agents with one clock, and the messages in transit between them."""

    def __init__(self, rows: list[TableRow]) -> None:
        self.clock = ManualClock(10_000)
        self.revision = 1
        self.table = Table(1, rows)
        self.agents: dict[str, AgentSteering] = {}
        self.in_transit: list[SentMessage] = []
        self.delivered: list[tuple[str, FlowKey]] = []
        self.refused: list[tuple[str, Refuse]] = []
        self.incarnation = 0
        for row in rows:
            self.start(row.backend_server)
        self.settle(3_500)

    def start(self, name: str) -> None:
        """Start an agent with a new incarnation and no state."""
        self.incarnation += 1_000_000
        self.agents[name] = AgentSteering(name, self.clock, self.incarnation)
        self.apply_actions(name, self.agents[name].accept_table(self.table))

    def publish(self, rows: list[TableRow], only: list[str] | None = None) -> None:
        """Publish a new table and deliver it to all agents, or to those in `only`."""
        self.revision += 1
        self.table = Table(self.revision, rows)
        for name in only if only is not None else list(self.agents):
            self.deliver_table(name)

    def deliver_table(self, name: str) -> None:
        """Deliver the newest table to an agent."""
        self.apply_actions(name, self.agents[name].accept_table(self.table))

    def apply_actions(self, name: str, actions: list[AgentAction]) -> None:
        """Put an agent's messages in transit; record its deliveries and refusals."""
        for action in actions:
            if isinstance(action, ForwardToAgent):
                self.in_transit.append(SentMessage(name, action.agent, action.message))
            elif isinstance(action, Send):
                self.in_transit.append(
                    SentMessage(name, action.receiver, action.message)
                )
            elif isinstance(action, Deliver):
                self.delivered.append((name, action.flow))
            elif isinstance(action, Refuse):
                self.refused.append((name, action))

    def receive(self, sent: SentMessage) -> None:
        """Deliver a message to its receiver."""
        agent = self.agents.get(sent.receiver)
        if agent is None:
            return
        if isinstance(sent.message, Forward):
            self.apply_actions(sent.receiver, agent.handle_forward(sent.message))
        else:
            self.apply_actions(sent.receiver, agent.handle(sent.message, sent.sender))

    def deliver_packet(self, name: str, flow: FlowKey, **fields: Any) -> None:
        """Deliver a packet from a balancer to an agent."""
        self.receive(SentMessage("balancer-1", name, make_forward(flow, **fields)))

    def tick(
        self, duration_ms: int = 100, paused: frozenset[str] = frozenset()
    ) -> None:
        """Advance the clock, and run the timers of all agents except paused ones."""
        self.clock.advance(duration_ms)
        for name, agent in self.agents.items():
            if name not in paused:
                self.apply_actions(name, agent.tick())

    def flush(self) -> None:
        """Deliver all messages in the order in which they were sent."""
        while self.in_transit:
            self.receive(self.in_transit.pop(0))

    def settle(self, duration_ms: int = 1_500) -> None:
        """Advance the clock in steps of 100 ms, and deliver all messages after each."""
        for _ in range(duration_ms // 100):
            self.tick()
            self.flush()

    def owners(self, flow: FlowKey) -> list[str]:
        """Return the agents that deliver a flow's packets without queries."""
        return [
            name
            for name, agent in self.agents.items()
            if (owned := agent.owned.get(flow)) is not None
            and not agent.is_ownership_uncertain(flow, owned.service)
        ]

    def home(
        self, flow: FlowKey, service: str = "gauging", seen_by: str = "reporting-1"
    ) -> str:
        """Return the home of a flow by the state of one agent."""
        home = self.agents[seen_by].find_home(flow, service)
        assert home is not None
        return home

    def find_flow(
        self, home: str, start: int = 0, seen_by: str = "reporting-1"
    ) -> FlowKey:
        """Return a flow with a certain home by the state of one agent."""
        return next(
            key
            for number in range(start, start + 500)
            if self.home(key := make_key(number), seen_by=seen_by) == home
        )

    def copy(self) -> "Group":
        """Return an independent copy of the group."""
        copy: Group = pickle.loads(pickle.dumps(self))
        return copy


NAMES = ("gauging-1", "gauging-2", "gauging-3")


@pytest.fixture
def rows():
    """Three servers of gauging and two of reporting."""
    reporting = [make_row(f"reporting-{number}", "reporting") for number in (1, 2)]
    return [*(make_row(name) for name in NAMES), *reporting]


@pytest.fixture
def group(rows):
    """A group of agents for these rows, after leases have been exchanged."""
    return Group(rows)
