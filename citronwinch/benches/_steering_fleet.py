"""Simulates balancers and agents that run the real steering over fake links."""

import random
from collections import Counter
from collections.abc import Callable, Container
from typing import NamedTuple, Protocol

from citronwinch.benches._fakes import EventQueue, FakeLink, LinkFaults
from citronwinch.coordination import (
    Clock,
    Endpoint,
    FlowKey,
    Instance,
    InstanceRole,
    InstanceState,
    Table,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.steering import (
    AgentAction,
    AgentSteering,
    BalancerSteering,
    Deliver,
    EndFlow,
    Forward,
    ForwardToAgent,
    Hint,
    MemberSilent,
    Packet,
    Probe,
    Refuse,
    Send,
    SendHint,
    SteeringMessage,
)
from citronwinch.peers import Envelope, encode_envelope
from citronwinch.peers._authentication import TAG_BYTES

TICK_MS = 100
"""The interval between ticks of a process in milliseconds, as in the daemon."""

SAME_ZONE_DELAY_MS = 0
"""The delay within an availability zone, rounded to whole milliseconds."""

IP_UDP_HEADER_BYTES = 28
"""The bytes of the IP and UDP headers of each message."""


class FleetShape(NamedTuple):
    """The size of a deployment."""

    name: str
    """The name in the output."""

    zone_delay_ms: int
    """The one-way delay between two availability zones in milliseconds."""

    services: tuple[tuple[str, int], ...]
    """Each service with the number of its backend servers."""

    balancer_count: int
    """The number of balancers."""


class AgentInterface(Protocol):
    """The operations that the fleet needs of the steering of an agent."""

    @property
    def owned(self) -> Container[FlowKey]:
        """The keys of the flows that the agent owns."""

    def is_ownership_uncertain(self, flow: FlowKey, service: str) -> bool:
        """Return whether packets of a flow wait until other agents were queried."""

    def accept_table(self, table: Table) -> list[AgentAction]:
        """Handle a new table."""

    def accept_instances(self, instances: tuple[Instance, ...]) -> None:
        """Handle a new list of instances."""

    def handle_forward(self, message: Forward) -> list[AgentAction]:
        """Return the actions for a forwarded packet."""

    def handle(self, message: object, sender: str) -> list[AgentAction]:
        """Return the actions for a message that is not a forwarded packet."""

    def tick(self) -> list[AgentAction]:
        """Return the actions that are due."""

    def end_flow(self, flow: FlowKey) -> None:
        """Remove a flow from the owned flows."""


class BalancerInterface(Protocol):
    """The operations that the fleet needs of the steering of a balancer."""

    def accept_table(self, table: Table) -> None:
        """Handle a new table."""

    def accept_hint(self, hint: Hint) -> None:
        """Cache the owner of a flow."""

    def record_received(self, agent: str) -> None:
        """Record that a message of an agent was received."""

    def mark_unreachable(self, agent: str) -> None:
        """Record that an agent is unreachable for the other agents of its service."""

    def forward(self, packet: Packet, service: str) -> tuple[str, Forward] | None:
        """Return the agent and the message for a packet."""

    def tick(self) -> list[str]:
        """Return the agents to probe."""


class ProductBalancer(BalancerSteering):
    """The steering of the product's balancer with the interface of the fleet."""

    def record_received(self, agent: str) -> None:
        """Record that a message of an agent was received."""
        self.reachability.record_received(agent)

    def mark_unreachable(self, agent: str) -> None:
        """Record that an agent is unreachable for the other agents of its service."""
        self.reachability.mark_unreachable(agent)


class Design(NamedTuple):
    """The implementations of agent and balancer that a fleet runs."""

    name: str
    """The name in the output."""

    create_agent: Callable[[str, Clock, int], AgentInterface]
    """Creates the steering of an agent from its name, clock and incarnation."""

    create_balancer: Callable[[str, Clock], BalancerInterface]
    """Creates the steering of a balancer from its name and clock."""


STEERING_DESIGN = Design(
    "steering",
    AgentSteering,
    lambda name, clock: ProductBalancer(name, 100_000, clock),
)
"""The design that the daemons use."""


class Node:
    """An agent or balancer process of the fleet."""

    def __init__(self, name: str, zone: int) -> None:
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.paused_until_ms = 0
        self.deferred_calls: list[Callable[[], None]] = []
        self.agent: AgentInterface | None = None
        self.balancer: BalancerInterface | None = None


class Observer(Protocol):
    """Is notified of the packets that agents deliver or refuse."""

    def observe_delivery(self, agent: str, flow: FlowKey, packet: bytes) -> None:
        """Handle the delivery of a packet to a backend server."""

    def observe_refusal(self, agent: str, action: Refuse) -> None:
        """Handle the refusal of a packet."""


class Fleet:
    """Runs processes on one event queue and sends messages between them."""

    def __init__(self, shape: FleetShape, design: Design, seed: int) -> None:
        self.shape = shape
        self.design = design
        self.queue = EventQueue()
        self.queue.clock.advance(1_000)
        self.source = random.Random(f"{shape.name}-{design.name}-{seed}")
        self.link = FakeLink(self.queue, self.source)
        self.faults = LinkFaults()
        self.isolated_zones: frozenset[int] = frozenset()
        self.nodes: dict[str, Node] = {}
        self.observer: Observer | None = None
        self.rows = create_rows(shape)
        self.table = Table(1, self.rows)
        self.states: dict[str, InstanceState] = {}
        self.last_incarnation = 0
        self.control_messages = 0
        self.control_bytes = 0
        self.bytes_by_type: Counter[str] = Counter()
        self.hops_by_packet: dict[bytes, int] = {}
        for row in self.rows:
            self.start_agent(row.backend_server)
        for number in range(shape.balancer_count):
            self.start_balancer(f"balancer-{number + 1}", number % 3)
        for node in self.nodes.values():
            self.deliver_instances(node)

    @property
    def now_ms(self) -> int:
        """The current time of the simulation."""
        return self.queue.clock.now_ms()

    def start_agent(self, name: str) -> Node:
        """Start an agent without state of an earlier run."""
        self.last_incarnation += 1_000_000_000
        row = next(row for row in self.rows if row.backend_server == name)
        node = Node(name, int(row.availability_zone[-1]))
        node.agent = self.design.create_agent(
            name, self.queue.clock, self.last_incarnation
        )
        self.states[name] = InstanceState.LIVE
        self.add_node(node)
        return node

    def start_balancer(self, name: str, zone: int) -> Node:
        """Start a balancer without state of an earlier run."""
        node = Node(name, zone)
        node.balancer = self.design.create_balancer(name, self.queue.clock)
        self.add_node(node)
        return node

    def add_node(self, node: Node) -> None:
        """Add a process, deliver table and list to it and start its ticks."""
        self.nodes[node.name] = node
        self.deliver_table(node, self.table)
        self.deliver_instances(node)
        offset_ms = self.source.randrange(TICK_MS)
        self.queue.call_after(offset_ms, lambda: self.tick(node))

    def list_balancers(self) -> list[str]:
        """Return the names of the balancers to which the fabric sends packets."""
        return [
            node.name
            for node in self.nodes.values()
            if node.balancer is not None and node.is_alive
        ]

    def publish(self, rows: list[TableRow], lag_ms: Callable[[Node], int]) -> None:
        """Publish a new table, which each process receives after its lag."""
        self.rows = rows
        self.table = Table(self.table.revision + 1, rows)
        table = self.table
        for node in list(self.nodes.values()):
            self.schedule_at_node(
                node, lag_ms(node), lambda n: self.deliver_table(n, table)
            )

    def publish_instances(self, lag_ms: Callable[[Node], int]) -> None:
        """Publish the list of instances, which each process reads after its lag."""
        for node in list(self.nodes.values()):
            self.schedule_at_node(node, lag_ms(node), self.deliver_instances)

    def deliver_table(self, node: Node, table: Table) -> None:
        """Pass a table to a process."""
        if node.balancer is not None:
            node.balancer.accept_table(table)
        if node.agent is not None:
            self.apply_actions(node, node.agent.accept_table(table))

    def deliver_instances(self, node: Node) -> None:
        """Pass the list of instances to a process."""
        if node.agent is not None:
            node.agent.accept_instances(self.list_instances())
        if isinstance(node.balancer, ProductBalancer):
            node.balancer.reachability.balancer_count = len(self.list_balancers())

    def list_instances(self) -> tuple[Instance, ...]:
        """Return the platform's list of instances."""
        address = Endpoint("192.0.2.1", 1)
        agents = [
            Instance(name, InstanceRole.AGENT, "", address, state)
            for name, state in self.states.items()
        ]
        balancers = [
            Instance(name, InstanceRole.BALANCER, "", address)
            for name in self.list_balancers()
        ]
        return (*agents, *balancers)

    def schedule_at_node(
        self, node: Node, delay_ms: int, call: Callable[[Node], None]
    ) -> None:
        """Schedule a call at a process; a paused process runs it when it resumes."""

        def run() -> None:
            if not node.is_alive:
                return
            if self.now_ms < node.paused_until_ms:
                node.deferred_calls.append(lambda: call(node))
                return
            call(node)

        self.queue.call_after(delay_ms, run)

    def pause(self, node: Node, duration_ms: int) -> None:
        """Pause a process; calls that become due meanwhile run when it resumes."""
        node.paused_until_ms = self.now_ms + duration_ms

        def resume() -> None:
            deferred_calls, node.deferred_calls = node.deferred_calls, []
            for call in deferred_calls:
                if node.is_alive:
                    call()

        self.queue.call_after(duration_ms, resume)

    def crash(self, name: str) -> None:
        """End a process without notice to the other processes."""
        self.nodes[name].is_alive = False

    def tick(self, node: Node) -> None:
        """Run the periodic work of a process and schedule the next tick."""
        if not node.is_alive:
            return
        self.queue.call_after(TICK_MS, lambda: self.tick(node))
        if self.now_ms < node.paused_until_ms:
            return
        if node.agent is not None:
            self.apply_actions(node, node.agent.tick())
        if node.balancer is not None:
            for agent in node.balancer.tick():
                self.send(node, agent, Probe(is_answer=False))

    def deliver_packet(self, balancer: str, packet: Packet, service: str) -> None:
        """Deliver a packet from the fabric to a balancer, which forwards it."""

        def forward_packet(node: Node) -> None:
            assert node.balancer is not None
            routed = node.balancer.forward(packet, service)
            if routed is not None:
                self.send(node, *routed)

        self.schedule_at_node(self.nodes[balancer], 0, forward_packet)

    def send(self, sender: Node, receiver: str, message: SteeringMessage) -> None:
        """Send a message to a process; count control messages and their bytes."""
        if not isinstance(message, Forward):
            size = measure_message(sender.name, message)
            self.control_messages += 1
            self.control_bytes += size
            self.bytes_by_type[type(message).__name__] += size
        node = self.nodes.get(receiver)
        if node is None:
            return
        is_cut = (sender.zone in self.isolated_zones) != (
            node.zone in self.isolated_zones
        )
        is_local = sender.zone == node.zone
        delay_ms = SAME_ZONE_DELAY_MS if is_local else self.shape.zone_delay_ms
        faults = self.faults._replace(delay_ms=delay_ms, is_cut=is_cut)
        name = sender.name
        self.link.carry(
            faults,
            lambda: self.schedule_at_node(
                node, 0, lambda n: self.receive(n, name, message)
            ),
        )

    def receive(self, node: Node, sender: str, message: SteeringMessage) -> None:
        """Handle a message at a process."""
        if node.balancer is not None:
            node.balancer.record_received(sender)
            if isinstance(message, Hint):
                node.balancer.accept_hint(message)
            elif isinstance(message, MemberSilent):
                node.balancer.mark_unreachable(message.agent)
        elif node.agent is not None:
            if isinstance(message, Forward):
                self.hops_by_packet[message.packet] = message.hops
                self.apply_actions(node, node.agent.handle_forward(message))
            else:
                self.apply_actions(node, node.agent.handle(message, sender))

    def apply_actions(self, node: Node, actions: list[AgentAction]) -> None:
        """Apply the actions of an agent."""
        for action in actions:
            if isinstance(action, ForwardToAgent):
                self.send(node, action.agent, action.message)
            elif isinstance(action, Send):
                self.send(node, action.receiver, action.message)
            elif isinstance(action, SendHint):
                self.send(node, action.balancer, action.hint)
            elif self.observer is None or isinstance(action, EndFlow):
                continue
            elif isinstance(action, Deliver):
                self.observer.observe_delivery(node.name, action.flow, action.packet)
            elif isinstance(action, Refuse):
                self.observer.observe_refusal(node.name, action)


def create_rows(shape: FleetShape) -> list[TableRow]:
    """Return the rows of a deployment with its servers in three zones in turn."""
    rows: list[TableRow] = []
    for index, (service, count) in enumerate(shape.services):
        for number in range(count):
            rows.append(
                TableRow(
                    service,
                    TransportProtocol.UDP,
                    Endpoint(f"192.0.2.{index + 1}", 9000),
                    f"{service}-{number + 1}",
                    Endpoint(f"198.51.100.{len(rows) + 1}", 9000),
                    f"zone-{number % 3}",
                    100,
                    4_000,
                )
            )
    return rows


MESSAGE_SIZES: dict[tuple[object, ...], int] = {}
"""The sizes of encoded messages in bytes, by type, sender and field lengths."""


def measure_message(sender: str, message: SteeringMessage) -> int:
    """Return the size of a message on the wire in bytes, with IP and UDP headers."""
    lengths = [
        len(part) if isinstance(part, (str, bytes, tuple)) else 0 for part in message
    ]
    size_key = (type(message), len(sender), *lengths)
    if size_key not in MESSAGE_SIZES:
        encoded = encode_envelope(Envelope(sender, 1, 1, 1, message))
        MESSAGE_SIZES[size_key] = len(encoded) + TAG_BYTES + IP_UDP_HEADER_BYTES
    return MESSAGE_SIZES[size_key]
