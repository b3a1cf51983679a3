"""A few agents whose messages a test delivers in any order it likes."""

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
    PassOn,
    Refuse,
    Send,
    SteeringMessage,
)

ADDRESSES = {
    "gauging": Endpoint("192.0.2.1", 9000),
    "reporting": Endpoint("192.0.2.2", 9000),
}


class Wire(NamedTuple):
    """A message on its way."""

    sender: str
    receiver: str
    message: SteeringMessage


def make_row(name: str, service: str = "gauging", weight: int = 100) -> TableRow:
    """Return one assignment."""
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
    """Agents on one clock, and everything that is on its way between them."""

    def __init__(self, rows: list[TableRow]) -> None:
        self.clock = ManualClock(10_000)
        self.revision = 1
        self.table = Table(1, rows)
        self.agents: dict[str, AgentSteering] = {}
        self.wires: list[Wire] = []
        self.delivered: list[tuple[str, FlowKey]] = []
        self.refused: list[tuple[str, Refuse]] = []
        self.incarnation = 0
        for row in rows:
            self.start(row.backend_server)
        self.settle(3_500)

    def start(self, name: str) -> None:
        """Start an agent without memory."""
        self.incarnation += 1_000_000
        self.agents[name] = AgentSteering(name, self.clock, self.incarnation)
        self.act(name, self.agents[name].accept_table(self.table))

    def publish(self, rows: list[TableRow], only: list[str] | None = None) -> None:
        """Put a new table in force at all agents or at some."""
        self.revision += 1
        self.table = Table(self.revision, rows)
        for name in only if only is not None else list(self.agents):
            self.give_table(name)

    def give_table(self, name: str) -> None:
        """Hand the newest table to an agent."""
        self.act(name, self.agents[name].accept_table(self.table))

    def act(self, name: str, actions: list[AgentAction]) -> None:
        """Put on the wire what an agent wants to say, and note what it did."""
        for action in actions:
            if isinstance(action, PassOn):
                self.wires.append(Wire(name, action.agent, action.message))
            elif isinstance(action, Send):
                self.wires.append(Wire(name, action.receiver, action.message))
            elif isinstance(action, Deliver):
                self.delivered.append((name, action.flow))
            elif isinstance(action, Refuse):
                self.refused.append((name, action))

    def receive(self, wire: Wire) -> None:
        """Let a message arrive."""
        agent = self.agents.get(wire.receiver)
        if agent is None:
            return
        if isinstance(wire.message, Forward):
            self.act(wire.receiver, agent.handle_forward(wire.message))
        else:
            self.act(wire.receiver, agent.handle(wire.message, wire.sender))

    def packet(self, name: str, flow: FlowKey, **fields: Any) -> None:
        """Let a packet of a balancer arrive at an agent."""
        self.receive(Wire("balancer-1", name, make_forward(flow, **fields)))

    def tick(
        self, duration_ms: int = 100, paused: frozenset[str] = frozenset()
    ) -> None:
        """Let time pass for all agents but the paused ones."""
        self.clock.advance(duration_ms)
        for name, agent in self.agents.items():
            if name not in paused:
                self.act(name, agent.tick())

    def flush(self) -> None:
        """Let all messages arrive in order."""
        while self.wires:
            self.receive(self.wires.pop(0))

    def settle(self, duration_ms: int = 1_500) -> None:
        """Let time pass and everything arrive."""
        for _ in range(duration_ms // 100):
            self.tick()
            self.flush()

    def owners(self, flow: FlowKey) -> list[str]:
        """Return the agents that deliver a flow's packets without asking."""
        return [
            name
            for name, agent in self.agents.items()
            if (owned := agent.owned.get(flow)) is not None
            and not agent.is_ownership_uncertain(flow, owned.service)
        ]

    def home(
        self, flow: FlowKey, service: str = "gauging", seen_by: str = "reporting-1"
    ) -> str:
        """Return the home of a flow as one agent sees it."""
        home = self.agents[seen_by].home_of(flow, service)
        assert home is not None
        return home

    def find_flow(self, home: str, start: int = 0) -> FlowKey:
        """Return a flow with a certain home."""
        return next(
            key
            for n in range(start, start + 500)
            if self.home(key := make_key(n)) == home
        )

    def copy(self) -> "Group":
        """Return an independent copy."""
        copy: Group = pickle.loads(pickle.dumps(self))
        return copy


NAMES = ("gauging-1", "gauging-2", "gauging-3")


@pytest.fixture
def rows():
    """Three servers of gauging and two of reporting."""
    reporting = [make_row(f"reporting-{n}", "reporting") for n in (1, 2)]
    return [*(make_row(name) for name in NAMES), *reporting]


@pytest.fixture
def group(rows):
    """A settled group over these rows."""
    return Group(rows)
