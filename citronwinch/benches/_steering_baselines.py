"""Simpler designs for placing flows, with which steering is compared."""

import xxhash

from citronwinch.benches._steering_fleet import Design
from citronwinch.coordination import (
    EMPTY_TABLE,
    Clock,
    FlowKey,
    Instance,
    Table,
    TableRow,
    rank_candidates,
)
from citronwinch.coordination.steering import (
    AgentAction,
    Deliver,
    Forward,
    Hint,
    Packet,
)


class AcceptingAgent:
    """Delivers every packet that it receives."""

    def __init__(self, name: str, clock: Clock, incarnation: int) -> None:
        self.name = name
        self.clock = clock
        self.incarnation = incarnation
        self.owned: set[FlowKey] = set()

    def accept_table(self, table: Table) -> list[AgentAction]:
        """Ignore the table."""
        return []

    def accept_instances(self, instances: tuple[Instance, ...]) -> None:
        """Ignore the list of instances."""

    def handle_forward(self, message: Forward) -> list[AgentAction]:
        """Deliver the packet."""
        self.owned.add(message.flow)
        return [Deliver(message.flow, message.packet)]

    def handle(self, message: object, sender: str) -> list[AgentAction]:
        """Ignore the message."""
        return []

    def is_ownership_uncertain(self, flow: FlowKey, service: str) -> bool:
        """Return False: this agent never queries other agents about ownership."""
        return False

    def tick(self) -> list[AgentAction]:
        """Do nothing."""
        return []

    def end_flow(self, flow: FlowKey) -> None:
        """Remove a flow from the owned flows."""
        self.owned.discard(flow)


class ModuloBalancer:
    """Places a flow by its hash modulo the number of usable backend servers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = EMPTY_TABLE

    def accept_table(self, table: Table) -> None:
        """Replace the table by one of a higher revision."""
        if table.revision > self.table.revision:
            self.table = table

    def accept_hint(self, hint: Hint) -> None:
        """Ignore the hint."""

    def record_received(self, agent: str) -> None:
        """Ignore that a message of an agent was received."""

    def mark_unreachable(self, agent: str) -> None:
        """Ignore that an agent is reported as unresponsive."""

    def tick(self) -> list[str]:
        """Return no agents to probe."""
        return []

    def usable_rows(self, service: str) -> list[TableRow]:
        """Return the rows of a service with a weight above 0."""
        rows = self.table.rows_by_service.get(service, ())
        return [row for row in rows if row.weight > 0]

    def find_server(self, flow: FlowKey, service: str) -> str | None:
        """Return the backend server for a flow, None when no row is usable."""
        rows = self.usable_rows(service)
        if not rows:
            return None
        return rows[xxhash.xxh3_64_intdigest(flow) % len(rows)].backend_server

    def forward(self, packet: Packet, service: str) -> tuple[str, Forward] | None:
        """Return the agent and the message for a packet, None without a usable row."""
        server = self.find_server(packet.flow, service)
        if server is None:
            return None
        message = Forward(packet.flow, service, packet.data, self.name)
        return server, message._replace(opens=packet.opens, pinned=True)


class CachingBalancer(ModuloBalancer):
    """Places a flow by rendezvous hashing and caches its backend server."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.owners: dict[FlowKey, str] = {}

    def find_server(self, flow: FlowKey, service: str) -> str | None:
        """Return the cached backend server of a flow, or else its first candidate."""
        if flow not in self.owners:
            ranked = rank_candidates(flow, self.usable_rows(service))
            if not ranked:
                return None
            self.owners[flow] = ranked[0].backend_server
        return self.owners[flow]


BASELINES = (
    Design("modulo_hash", AcceptingAgent, lambda name, clock: ModuloBalancer(name)),
    Design(
        "rendezvous_with_balancer_cache",
        AcceptingAgent,
        lambda name, clock: CachingBalancer(name),
    ),
)
"""The designs with which steering is compared."""
