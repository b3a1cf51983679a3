"""Simpler ways to place flows, to compare with."""

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
    """Delivers every packet that it gets."""

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
        """Return False: this agent never asks whether a flow is still its own."""
        return False

    def tick(self) -> list[AgentAction]:
        """Do nothing."""
        return []

    def end_flow(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self.owned.discard(flow)


class ModuloBalancer:
    """Places a flow by its hash modulo the number of backend servers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = EMPTY_TABLE

    def accept_table(self, table: Table) -> None:
        """Use a table from now on."""
        if table.revision > self.table.revision:
            self.table = table

    def accept_hint(self, hint: Hint) -> None:
        """Ignore the hint."""

    def record_received(self, agent: str) -> None:
        """Ignore the sign of life."""

    def record_unresponsive(self, agent: str) -> None:
        """Ignore that an agent is missed."""

    def tick(self) -> list[str]:
        """Probe nobody."""
        return []

    def usable_rows(self, service: str) -> list[TableRow]:
        """Return the rows that take flows."""
        rows = self.table.rows_by_service.get(service, ())
        return [row for row in rows if row.weight > 0]

    def find_server(self, flow: FlowKey, service: str) -> str | None:
        """Return the backend server of a flow."""
        rows = self.usable_rows(service)
        if not rows:
            return None
        return rows[xxhash.xxh3_64_intdigest(flow) % len(rows)].backend_server

    def forward(self, packet: Packet, service: str) -> tuple[str, Forward] | None:
        """Return the agent and the message for a packet."""
        server = self.find_server(packet.flow, service)
        if server is None:
            return None
        message = Forward(packet.flow, service, packet.data, self.name)
        return server, message._replace(opens=packet.opens, pinned=True)


class CachingBalancer(ModuloBalancer):
    """Places a flow by rendezvous hashing and remembers where it went."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.owners: dict[FlowKey, str] = {}

    def find_server(self, flow: FlowKey, service: str) -> str | None:
        """Return the remembered backend server of a flow, or its first candidate."""
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
"""The designs to compare with."""
