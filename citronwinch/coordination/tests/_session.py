"""A simulation of a whole deployment that writes a session log.

The simulation runs the real coordination logic; a queue of timed calls replaces
sockets, event loop and wall clock. Each line of the log is an event at one process: a
packet from the fabric, a message between processes, a delivery or an answer. Leases,
registrations and other background messages are only counted.
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
    DeliverCancel,
    Discard,
    EndGuestFlow,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RetryBudget,
    RetryElsewhere,
    RetryRequest,
    SendOutcome,
    SendPart,
    StartRequest,
)
from citronwinch.coordination.steering import (
    AgentSteering,
    BalancerSteering,
    Deliver,
    EndFlow,
    Forward,
    ForwardToAgent,
    Hint,
    Packet,
    Probe,
    Refuse,
    Send,
    SendHint,
)

TICK_MS = 100
"""How often `tick` of each process is called, in milliseconds."""

SAME_ZONE_MS = 1
"""The delay of a message within an availability zone, in milliseconds."""

OTHER_ZONE_MS = 5
"""The delay of a message between availability zones, in milliseconds."""

REQUEST_DURATION_MS = 4
"""How long a backend server works on a request, in milliseconds."""

ANSWER_PARTS = 2
"""The number of parts of each answer."""

RETRY_SHARE = 0.5
"""The number of retries that each answer adds to the retry budget."""


class Request(NamedTuple):
    """A caller's request."""

    name: str
    """The name of the request in the session log."""

    flow: FlowKey
    """The flow that the request belongs to."""

    metadata: RequestMetadata
    """The metadata that the caller sends with the request."""


class Session:
    """All processes of a deployment and the log of their events."""

    def __init__(self, table: Table, balancers: dict[str, str], seed: int) -> None:
        self.queue = EventQueue()
        self.clock = self.queue.clock
        self.rng = random.Random(seed)
        self.table = table
        self.lines: list[str] = []
        self.background_messages: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()
        self.zone_by_instance = dict(balancers)
        self.zone_by_instance |= {
            row.backend_server: row.availability_zone for row in table.rows
        }
        self.caller_by_flow: dict[FlowKey, str] = {}
        self.request_names: dict[bytes, str] = {}
        self.owner_by_flow: dict[FlowKey, str] = {}
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
            for name, zone in self.zone_by_instance.items()
        )
        for node in self.agents.values():
            node.steering.accept_instances(instances)
            node.apply_actions(node.steering.accept_table(table))

    def start_section(self, title: str) -> None:
        """Start a section of the log."""
        self.lines += ["", f"## {title}"]

    def log_event(self, text: str) -> None:
        """Append an event to the log, with the time in milliseconds."""
        self.lines.append(f"{self.clock.now_ms():>6} ms  {text}")

    def run(self, duration_ms: int) -> None:
        """Run for a duration, then log the counts of the background messages."""
        self.queue.run_until(self.clock.now_ms() + duration_ms)
        if self.background_messages:
            counts = ", ".join(
                f"{n} {kind}" for kind, n in sorted(self.background_messages.items())
            )
            self.lines.append(f"           in touch: {counts}")
            self.background_messages.clear()

    def publish(self, table: Table, delays_ms: dict[str, int]) -> None:
        """Deliver a table to each process after that process's delay."""
        self.table = table
        nodes: dict[str, BalancerNode | AgentNode] = {}
        nodes |= self.balancers
        nodes |= self.agents
        for name, node in nodes.items():
            accept = functools.partial(node.accept_table, table)
            self.queue.call_after(delays_ms.get(name, 0), accept)

    def make_flow(self, caller: str, service: str, number: int) -> FlowKey:
        """Return the key of a new flow from a caller to a service."""
        row = self.table.rows_by_service[service][0]
        address = Endpoint("203.0.113.7", 40_000 + number)
        flow = Flow(row.protocol, address, row.service_address).key
        self.caller_by_flow[flow] = caller
        return flow

    def make_request(
        self, flow: FlowKey, *, repeatable: bool = False, remaining_ms: int = 2_000
    ) -> Request:
        """Return a new request of a flow."""
        name = f"r{len(self.request_names) + 1}"
        request_id = name.encode().ljust(16, b".")
        self.request_names[request_id] = name
        metadata = RequestMetadata(
            RequestKind.REQUEST, request_id, repeatable, remaining_ms
        )
        return Request(name, flow, metadata)

    def send_request(self, request: Request, balancer: str) -> None:
        """Deliver a caller's request to a balancer, as the fabric does."""
        kind = request.metadata.kind.name.lower()
        repeat = "may be repeated" if request.metadata.repeatable else "runs once"
        caller = self.caller_by_flow[request.flow]
        self.log_event(f"{caller} -> {balancer}: {kind} {request.name}, {repeat}")
        self.balancers[balancer].receive(request)

    def send_message(self, sender: str, receiver: str, message: Any) -> None:
        """Send a message from one process to another, with the delay of the zones."""
        if receiver not in self.balancers and receiver not in self.agents:
            self.log_event(f"{sender} -> {receiver}: lost, nobody is there")
            return
        if isinstance(message, Forward | Hint | RetryRequest):
            self.log_event(f"{sender} -> {receiver}: {self.describe_message(message)}")
        else:
            self.background_messages[type(message).__name__] += 1
        is_same_zone = self.zone_by_instance[sender] == self.zone_by_instance[receiver]
        delay_ms = SAME_ZONE_MS if is_same_zone else OTHER_ZONE_MS
        self.queue.call_after(
            delay_ms, lambda: self.deliver_message(sender, receiver, message)
        )

    def deliver_message(self, sender: str, receiver: str, message: Any) -> None:
        """Deliver a message to its receiver if the receiver still runs."""
        node = self.balancers.get(receiver) or self.agents.get(receiver)
        if node is not None:
            node.handle(sender, message)

    def describe_message(self, message: Forward | Hint | RetryRequest) -> str:
        """Return the text of a message for the log."""
        if isinstance(message, Hint):
            caller = self.caller_by_flow[message.flow]
            return f"{caller}'s flow is owned by {message.owner or 'nobody'}"
        request = message.request
        name = self.request_names[request.request_id] if request else "a packet"
        if isinstance(message, RetryRequest):
            return f"retry {name}, tried {', '.join(message.tried)}"
        details = ["pinned"] if message.pinned else []
        details += [f"hop {message.hops}"] if message.hops else []
        details += [f"decided by {message.decider}"] if message.decider else []
        return " ".join([f"forward {name}", *(f"[{detail}]" for detail in details)])

    def log_reply(self, sender: str, flow: FlowKey, text: str) -> None:
        """Append a reply to a caller to the log."""
        self.log_event(f"{sender} -> {self.caller_by_flow[flow]}: {text}")

    def render(self) -> str:
        """Return the whole log as text."""
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
        """Replace the table."""
        self.session.log_event(f"{self.name}: table revision {table.revision} in force")
        self.steering.accept_table(table)

    def tick(self) -> None:
        """Run the periodic work."""
        if self.session.balancers.get(self.name) is self:
            for agent in self.steering.tick():
                self.session.send_message(self.name, agent, Probe(is_answer=False))

    def receive(self, request: Request) -> None:
        """Forward a request that arrived from the fabric."""
        service = self.steering.table.find_service(request.flow)
        packet = Packet(request.flow, request.name.encode(), True)
        routed = self.steering.forward(packet, service or "")
        if routed is None:
            self.session.log_reply(self.name, request.flow, "refused: no service")
            return
        agent, message = routed
        message = message._replace(request=request.metadata)
        self.session.send_message(self.name, agent, message)

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
        # A few answers allow a retry, so that even a short session has one.
        budget = RetryBudget(share=RETRY_SHARE)
        self.requests = AgentRequests(name, session.clock, session.rng, budget=budget)
        self.shed_request_ids: set[bytes] = set()
        self.is_silent = False
        self.executed: Counter[bytes] = Counter()
        session.queue.call_every(TICK_MS, self.tick)

    def accept_table(self, table: Table) -> None:
        """Replace the table."""
        self.session.log_event(f"{self.name}: table revision {table.revision} in force")
        self.apply_actions(self.steering.accept_table(table))

    def tick(self) -> None:
        """Run the periodic work."""
        self.apply_actions(self.steering.tick())
        self.apply_actions(self.requests.advance(self.session.clock.now_ms()))

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message of a balancer or another agent."""
        if isinstance(message, Forward):
            self.handle_forward(message)
        elif isinstance(message, RetryRequest):
            arrival = self.make_arrival(message.flow, message.request, message.payload)
            arrival = arrival._replace(tried=message.tried)
            actions = self.requests.receive(arrival, is_known_flow=True)
            self.apply_actions(actions or self.requests.deliver(arrival, is_guest=True))
        else:
            self.apply_actions(self.steering.handle(message, sender))

    def handle_forward(self, message: Forward) -> None:
        """Pass a request to the duplicate window first, then to steering."""
        assert message.request is not None
        arrival = self.make_arrival(message.flow, message.request, message.packet)
        flow = message.flow
        is_known = (
            flow in self.steering.owned or flow in self.steering.owner_registry.owners
        )
        actions = self.requests.receive(arrival, is_known)
        self.apply_actions(actions or self.steering.handle_forward(message))

    def make_arrival(
        self, flow: FlowKey, request: RequestMetadata, payload: bytes
    ) -> RequestArrival:
        """Return the arrival of a request at this agent."""
        service = self.session.table.find_service(flow) or ""
        now_ms = self.session.clock.now_ms()
        return RequestArrival(flow, service, request, payload, now_ms)

    def apply_actions(self, actions: Any) -> None:
        """Apply actions in order."""
        for action in actions:
            self.apply_action(action)

    @singledispatchmethod
    def apply_action(self, action: object) -> None:
        """Apply one action."""
        raise TypeError(f"no such action: {type(action).__name__}")

    @apply_action.register
    def _(self, action: Deliver) -> None:
        assert action.request is not None
        arrival = self.make_arrival(action.flow, action.request, action.packet)
        self.apply_actions(self.requests.deliver(arrival))

    @apply_action.register
    def _(self, action: ForwardToAgent) -> None:
        self.session.send_message(self.name, action.agent, action.message)

    @apply_action.register
    def _(self, action: Send) -> None:
        self.session.send_message(self.name, action.receiver, action.message)

    @apply_action.register
    def _(self, action: SendHint) -> None:
        self.session.send_message(self.name, action.balancer, action.hint)

    @apply_action.register
    def _(self, action: EndFlow) -> None:
        self.session.log_event(
            f"{self.name}: ends {self.session.caller_by_flow[action.flow]}'s flow"
        )

    @apply_action.register
    def _(self, action: Refuse) -> None:
        assert action.request is not None
        arrival = self.make_arrival(action.flow, action.request, action.packet)
        self.apply_actions(
            self.requests.refuse(
                arrival, action.reason, action.retry_after_ms, action.is_certain
            )
        )

    @apply_action.register
    def _(self, action: StartRequest) -> None:
        session, key = self.session, action.key
        name = session.request_names[key.request_id]
        session.log_event(
            f"{self.name}: delivers {name} of {session.caller_by_flow[key.flow]}"
        )
        if key.request_id in self.shed_request_ids:
            session.queue.call_after(
                1, lambda: self.reply(key.flow, RequestKind.SHED, key.request_id)
            )
            return
        self.executed[key.request_id] += 1
        self.count_execution(key.flow, key.request_id)
        if not self.is_silent:
            for part in range(ANSWER_PARTS):
                kind = RequestKind.ANSWER
                reply = functools.partial(
                    self.reply, key.flow, kind, key.request_id, part
                )
                session.queue.call_after(REQUEST_DURATION_MS + part, reply)

    def count_execution(self, flow: FlowKey, request_id: bytes) -> None:
        """Count an execution, and the two violations that must never occur.

        These are a request that runs twice and a flow whose owner changes.
        """
        totals = self.session.totals
        totals["requests run"] += 1
        runs = sum(node.executed[request_id] for node in self.session.agents.values())
        totals["requests run twice"] += runs > 1
        # A request that is retried at another server does not change the flow's owner.
        is_owned = flow in self.steering.owned
        first_owner = self.session.owner_by_flow.setdefault(flow, self.name)
        is_owner_changed = is_owned and first_owner != self.name
        totals["flows that changed their backend server"] += is_owner_changed

    def reply(
        self, flow: FlowKey, kind: RequestKind, request_id: bytes, part: int = 0
    ) -> None:
        """Send a datagram from the backend server."""
        parts = ANSWER_PARTS if kind is RequestKind.ANSWER else 1
        answer = RequestMetadata(kind, request_id, part=part, part_count=parts)
        if kind is RequestKind.SHED:
            self.session.log_event(
                f"{self.name}: sheds {self.session.request_names[request_id]}"
            )
        payload = f"{self.session.request_names[request_id]} part {part + 1} of {parts}"
        self.apply_actions(self.requests.reply(flow, answer, payload.encode()))

    @apply_action.register
    def _(self, action: SendPart) -> None:
        self.session.totals["answer parts"] += 1
        self.session.log_reply(self.name, action.flow, action.payload.decode())

    @apply_action.register
    def _(self, action: SendOutcome) -> None:
        kind = action.kind.name.lower().replace("_", " ")
        self.session.totals[f"told {kind}"] += 1
        name = self.session.request_names[action.key.request_id]
        text = f"{name} {kind} ({action.reason}), again in {action.retry_after_ms} ms"
        self.session.log_reply(self.name, action.key.flow, text)

    @apply_action.register
    def _(self, action: DeliverCancel) -> None:
        self.session.log_event(
            f"{self.name}: passes a cancellation to its backend server"
        )

    @apply_action.register
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
                self.session.send_message(self.name, row.backend_server, message)
                return
        self.apply_actions(self.requests.fail_retry(arrival.key))

    @apply_action.register
    def _(self, action: EndGuestFlow) -> None:
        self.session.log_event(f"{self.name}: closes what it opened for one request")

    @apply_action.register
    def _(self, action: Discard) -> None:
        self.session.totals[f"discarded: {action.reason}"] += 1
        self.session.log_event(f"{self.name}: drops a datagram ({action.reason})")
