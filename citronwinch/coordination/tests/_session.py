"""A whole session of a deployment, told line by line.

The decisions are the real ones; sockets, event loop and wall clock are replaced by a
queue of timed calls. Every line is something that one process did: a packet from the
fabric, a message between processes, a delivery, an answer. Messages that keep the
processes in touch (leases, registrations) are counted, not told.
"""

import functools
import random
from collections import Counter
from functools import singledispatchmethod
from typing import Any, NamedTuple

from citronwinch.benches import EventQueue
from citronwinch.coordination import (
    Endpoint,
    Flow,
    FlowKey,
    Instance,
    InstanceRole,
    Table,
    rank_candidates,
)
from citronwinch.coordination.requests import (
    AgentRequests,
    Discard,
    EndGuestFlow,
    PassCancel,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RetryBudget,
    RetryElsewhere,
    RetryRequest,
    SendPart,
    StartRequest,
    TellOutcome,
)
from citronwinch.coordination.steering import (
    AgentSteering,
    BalancerSteering,
    Deliver,
    EndFlow,
    Forward,
    Hint,
    Packet,
    PassOn,
    Probe,
    Refuse,
    Send,
    SendHint,
)

TICK_MS = 100
"""How often each process lets time pass, in milliseconds."""

SAME_ZONE_MS = 1
"""The delay of a message within an availability zone, in milliseconds."""

OTHER_ZONE_MS = 5
"""The delay of a message between availability zones, in milliseconds."""

WORK_MS = 4
"""How long a backend server works on a request, in milliseconds."""

ANSWER_PARTS = 2
"""The parts of each answer."""

RETRY_SHARE = 0.5
"""The retries that each answer pays for."""


class Request(NamedTuple):
    """A caller's request, with the name that the session tells."""

    name: str
    """Its name."""

    flow: FlowKey
    """Its flow."""

    metadata: RequestMetadata
    """What the caller says of it."""


class Session:
    """All processes of a deployment and what happened to them."""

    def __init__(self, table: Table, balancers: dict[str, str], seed: int) -> None:
        self.queue = EventQueue()
        self.clock = self.queue.clock
        self.source = random.Random(seed)
        self.table = table
        self.lines: list[str] = []
        self.quiet: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()
        self.zones = dict(balancers)
        self.zones |= {row.backend_server: row.availability_zone for row in table.rows}
        self.callers: dict[FlowKey, str] = {}
        self.names: dict[bytes, str] = {}
        self.servers_of: dict[FlowKey, str] = {}
        self.balancers: dict[str, BalancerNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.agents |= {
            row.backend_server: AgentNode(self, row.backend_server)
            for row in table.rows
        }
        self.balancers = {name: BalancerNode(self, name) for name in balancers}
        instances = tuple(
            Instance(
                name,
                InstanceRole.BALANCER if name in balancers else InstanceRole.AGENT,
                zone,
                Endpoint("192.0.2.1", 7000),
            )
            for name, zone in self.zones.items()
        )
        for node in self.agents.values():
            node.steering.accept_instances(instances)
            node.act_all(node.steering.accept_table(table))

    def step(self, title: str) -> None:
        """Begin a part of the session."""
        self.lines += ["", f"## {title}"]

    def tell(self, text: str) -> None:
        """Tell what a process did, with the time in milliseconds."""
        self.lines.append(f"{self.clock.now_ms():>6} ms  {text}")

    def run(self, duration_ms: int) -> None:
        """Let time pass, then tell how many messages kept the processes in touch."""
        self.queue.run_until(self.clock.now_ms() + duration_ms)
        if self.quiet:
            counts = ", ".join(f"{n} {kind}" for kind, n in sorted(self.quiet.items()))
            self.lines.append(f"           in touch: {counts}")
            self.quiet.clear()

    def publish(self, table: Table, delays_ms: dict[str, int]) -> None:
        """Put a table in force at each process after its own delay."""
        self.table = table
        nodes: dict[str, BalancerNode | AgentNode] = {}
        nodes |= self.balancers
        nodes |= self.agents
        for name, node in nodes.items():
            accept = functools.partial(node.accept_table, table)
            self.queue.call_after(delays_ms.get(name, 0), accept)

    def open_flow(self, caller: str, service: str, number: int) -> FlowKey:
        """Name a flow of a caller to a service."""
        row = self.table.rows_by_service[service][0]
        address = Endpoint("203.0.113.7", 40_000 + number)
        flow = Flow(row.protocol, address, row.service_address).key
        self.callers[flow] = caller
        return flow

    def make_request(
        self, flow: FlowKey, *, repeatable: bool = False, remaining_ms: int = 2_000
    ) -> Request:
        """Return a new request of a flow."""
        name = f"r{len(self.names) + 1}"
        request_id = name.encode().ljust(16, b".")
        self.names[request_id] = name
        metadata = RequestMetadata(
            RequestKind.REQUEST, request_id, repeatable, remaining_ms
        )
        return Request(name, flow, metadata)

    def send(self, request: Request, balancer: str) -> None:
        """Let the fabric hand a request to a balancer."""
        kind = request.metadata.kind.name.lower()
        repeat = "may be repeated" if request.metadata.repeatable else "runs once"
        caller = self.callers[request.flow]
        self.tell(f"{caller} -> {balancer}: {kind} {request.name}, {repeat}")
        self.balancers[balancer].receive(request)

    def carry(self, sender: str, receiver: str, message: Any) -> None:
        """Carry a message from one process to another."""
        if receiver not in self.balancers and receiver not in self.agents:
            self.tell(f"{sender} -> {receiver}: lost, nobody is there")
            return
        if isinstance(message, Forward | Hint | RetryRequest):
            self.tell(f"{sender} -> {receiver}: {self.describe(message)}")
        else:
            self.quiet[type(message).__name__] += 1
        is_near = self.zones[sender] == self.zones[receiver]
        delay_ms = SAME_ZONE_MS if is_near else OTHER_ZONE_MS
        self.queue.call_after(delay_ms, lambda: self.arrive(sender, receiver, message))

    def arrive(self, sender: str, receiver: str, message: Any) -> None:
        """Hand a message to its receiver, if that still runs."""
        node = self.balancers.get(receiver) or self.agents.get(receiver)
        if node is not None:
            node.handle(sender, message)

    def describe(self, message: Forward | Hint | RetryRequest) -> str:
        """Return a message in words."""
        if isinstance(message, Hint):
            caller = self.callers[message.flow]
            return f"{caller}'s flow is owned by {message.owner or 'nobody'}"
        request = message.request
        name = self.names[request.request_id] if request else "a packet"
        if isinstance(message, RetryRequest):
            return f"retry {name}, tried {', '.join(message.tried)}"
        details = ["pinned"] if message.pinned else []
        details += [f"hop {message.hops}"] if message.hops else []
        details += [f"decided by {message.decider}"] if message.decider else []
        return " ".join([f"forward {name}", *(f"[{one}]" for one in details)])

    def tell_caller(self, sender: str, flow: FlowKey, text: str) -> None:
        """Tell what a caller hears."""
        self.tell(f"{sender} -> {self.callers[flow]}: {text}")

    def render(self) -> str:
        """Return the whole session as text."""
        totals = [f"{name}: {count}" for name, count in sorted(self.totals.items())]
        return "\n".join([*self.lines, "", "## Totals", *totals, ""])


class BalancerNode:
    """A balancer in a session."""

    def __init__(self, session: Session, name: str) -> None:
        self.session = session
        self.name = name
        self.steering = BalancerSteering(name, 1_000, session.clock)
        self.steering.accept_table(session.table)
        session.queue.call_every(TICK_MS, self.tick)

    def accept_table(self, table: Table) -> None:
        """Use a table from now on."""
        self.session.tell(f"{self.name}: table revision {table.revision} in force")
        self.steering.accept_table(table)

    def tick(self) -> None:
        """Let time pass."""
        if self.session.balancers.get(self.name) is self:
            for agent in self.steering.tick():
                self.session.carry(self.name, agent, Probe(is_answer=False))

    def receive(self, request: Request) -> None:
        """Forward a packet from the fabric."""
        service = self.steering.table.service_of(request.flow)
        packet = Packet(request.flow, request.name.encode(), True)
        routed = self.steering.forward(packet, service or "")
        if routed is None:
            self.session.tell_caller(self.name, request.flow, "refused: no service")
            return
        agent, message = routed
        message = message._replace(request=request.metadata)
        self.session.carry(self.name, agent, message)

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message of an agent."""
        self.steering.reachability.record_received(sender)
        if isinstance(message, Hint):
            self.steering.accept_hint(message)


class AgentNode:
    """An agent in a session, with its backend server."""

    def __init__(self, session: Session, name: str) -> None:
        self.session = session
        self.name = name
        self.steering = AgentSteering(name, session.clock)
        # A few answers pay for a retry, so that a short session shows one.
        budget = RetryBudget(share=RETRY_SHARE)
        self.requests = AgentRequests(
            name, session.clock, session.source, budget=budget
        )
        self.sheds: set[bytes] = set()
        self.silent = False
        self.executed: Counter[bytes] = Counter()
        session.queue.call_every(TICK_MS, self.tick)

    def accept_table(self, table: Table) -> None:
        """Use a table from now on."""
        self.session.tell(f"{self.name}: table revision {table.revision} in force")
        self.act_all(self.steering.accept_table(table))

    def tick(self) -> None:
        """Let time pass."""
        self.act_all(self.steering.tick())
        self.act_all(self.requests.advance(self.session.clock.now_ms()))

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message of a balancer or another agent."""
        if isinstance(message, Forward):
            self.handle_forward(message)
        elif isinstance(message, RetryRequest):
            arrival = self.make_arrival(message.flow, message.request, message.payload)
            arrival = arrival._replace(tried=message.tried)
            actions = self.requests.receive(arrival, is_known_flow=True)
            self.act_all(actions or self.requests.deliver(arrival, is_guest=True))
        else:
            self.act_all(self.steering.handle(message, sender))

    def handle_forward(self, message: Forward) -> None:
        """Show a request to the duplicate window first, then to steering."""
        assert message.request is not None
        arrival = self.make_arrival(message.flow, message.request, message.packet)
        flow = message.flow
        is_known = flow in self.steering.owned or flow in self.steering.registry.owners
        actions = self.requests.receive(arrival, is_known)
        self.act_all(actions or self.steering.handle_forward(message))

    def make_arrival(
        self, flow: FlowKey, request: RequestMetadata, payload: bytes
    ) -> RequestArrival:
        """Return a packet as an arrival."""
        service = self.session.table.service_of(flow) or ""
        now_ms = self.session.clock.now_ms()
        return RequestArrival(flow, service, request, payload, now_ms)

    def act_all(self, actions: Any) -> None:
        """Carry out actions in order."""
        for action in actions:
            self.act(action)

    @singledispatchmethod
    def act(self, action: object) -> None:
        """Carry out one action."""
        raise TypeError(f"no such action: {type(action).__name__}")

    @act.register
    def _(self, action: Deliver) -> None:
        assert action.request is not None
        arrival = self.make_arrival(action.flow, action.request, action.packet)
        self.act_all(self.requests.deliver(arrival))

    @act.register
    def _(self, action: PassOn) -> None:
        self.session.carry(self.name, action.agent, action.message)

    @act.register
    def _(self, action: Send) -> None:
        self.session.carry(self.name, action.receiver, action.message)

    @act.register
    def _(self, action: SendHint) -> None:
        self.session.carry(self.name, action.balancer, action.hint)

    @act.register
    def _(self, action: EndFlow) -> None:
        self.session.tell(
            f"{self.name}: ends {self.session.callers[action.flow]}'s flow"
        )

    @act.register
    def _(self, action: Refuse) -> None:
        assert action.request is not None
        arrival = self.make_arrival(action.flow, action.request, action.packet)
        self.act_all(
            self.requests.refuse(
                arrival, action.reason, action.retry_after_ms, action.is_certain
            )
        )

    @act.register
    def _(self, action: StartRequest) -> None:
        session, key = self.session, action.key
        name = session.names[key.request_id]
        session.tell(f"{self.name}: delivers {name} of {session.callers[key.flow]}")
        if key.request_id in self.sheds:
            session.queue.call_after(
                1, lambda: self.reply(key.flow, RequestKind.SHED, key.request_id)
            )
            return
        self.executed[key.request_id] += 1
        self.note_execution(key.flow, key.request_id)
        if not self.silent:
            for part in range(ANSWER_PARTS):
                kind = RequestKind.ANSWER
                reply = functools.partial(
                    self.reply, key.flow, kind, key.request_id, part
                )
                session.queue.call_after(WORK_MS + part, reply)

    def note_execution(self, flow: FlowKey, request_id: bytes) -> None:
        """Count what must never happen."""
        totals = self.session.totals
        totals["requests run"] += 1
        runs = sum(node.executed[request_id] for node in self.session.agents.values())
        totals["requests run twice"] += runs > 1
        # A request that is retried here leaves its flow where it is.
        is_owned = flow in self.steering.owned
        known = self.session.servers_of.setdefault(flow, self.name)
        is_changed = is_owned and known != self.name
        totals["flows that changed their backend server"] += is_changed

    def reply(
        self, flow: FlowKey, kind: RequestKind, request_id: bytes, part: int = 0
    ) -> None:
        """Let the backend server send a datagram."""
        parts = ANSWER_PARTS if kind is RequestKind.ANSWER else 1
        answer = RequestMetadata(kind, request_id, part=part, part_count=parts)
        if kind is RequestKind.SHED:
            self.session.tell(f"{self.name}: sheds {self.session.names[request_id]}")
        payload = f"{self.session.names[request_id]} part {part + 1} of {parts}"
        self.act_all(self.requests.reply(flow, answer, payload.encode()))

    @act.register
    def _(self, action: SendPart) -> None:
        self.session.totals["answer parts"] += 1
        self.session.tell_caller(self.name, action.flow, action.payload.decode())

    @act.register
    def _(self, action: TellOutcome) -> None:
        kind = action.kind.name.lower().replace("_", " ")
        self.session.totals[f"told {kind}"] += 1
        name = self.session.names[action.key.request_id]
        text = f"{name} {kind} ({action.reason}), again in {action.retry_after_ms} ms"
        self.session.tell_caller(self.name, action.key.flow, text)

    @act.register
    def _(self, action: PassCancel) -> None:
        self.session.tell(f"{self.name}: passes a cancellation to its backend server")

    @act.register
    def _(self, action: RetryElsewhere) -> None:
        arrival = action.arrival
        tried = (*arrival.tried, self.name)
        rows = self.session.table.rows_by_service[arrival.service]
        for row in rank_candidates(arrival.flow, rows):
            if row.backend_server not in tried:
                message = RetryRequest(
                    arrival.flow,
                    arrival.service,
                    arrival.request,
                    arrival.payload,
                    tried,
                )
                self.session.carry(self.name, row.backend_server, message)
                return
        self.act_all(self.requests.fail_retry(arrival.key))

    @act.register
    def _(self, action: EndGuestFlow) -> None:
        self.session.tell(f"{self.name}: closes what it opened for one request")

    @act.register
    def _(self, action: Discard) -> None:
        self.session.totals[f"discarded: {action.reason}"] += 1
        self.session.tell(f"{self.name}: drops a datagram ({action.reason})")
