"""Simulates callers, links, agents and backend servers of one service under faults."""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from citronwinch.benches._fakes import EventQueue, FakeLink, LinkFaults
from citronwinch.benches._requests_baseline import BaselineAgentRequests, BaselineCaller
from citronwinch.benches._requests_fakes import (
    REQUEST_PROCESSING_MS,
    AgentNode,
    FakeBackendServer,
    NodeNetwork,
    RequestPacket,
    ServerReply,
    make_answer,
)
from citronwinch.benches._requests_faults import RequestFaults
from citronwinch.coordination import (
    Clock,
    Endpoint,
    Flow,
    FlowKey,
    TransportProtocol,
)
from citronwinch.coordination.requests import (
    RECORD_BYTES,
    AgentRequests,
    CallEnded,
    CallerAction,
    CallerRequests,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RequestOutcome,
    RequestWindow,
    RetryRequest,
)

AGENTS = ("gauging-1", "gauging-2", "gauging-3")
"""The names of the agents of the service."""

FLOW_COUNT = 30
"""The number of callers, each of which has one flow."""

WARM_UP_MS = 6_000
"""The time before traffic; longer than the grace period of new agents."""

SETTLE_MS = 12_000
"""How long in milliseconds late copies and answers may arrive after the traffic."""

CALL_TIMEOUT_MS = 1_500
"""The timeout of each call in milliseconds."""

CALLER_TICK_MS = 20
"""The interval at which callers check their timeouts."""

AGENT_TICK_MS = 100
"""The interval at which agents check their timeouts."""

LINK_DELAY_MS = 3
"""The minimum delay of each link."""

LATE_COPY_DELAY_RANGE_MS = (500, 4_500)
"""The minimum and maximum delay of a late copy in milliseconds."""

FAULT_DELAY_MS = 1_500
"""The milliseconds from the start of traffic to a restart, pause or partition."""

CHANGE_INTERVAL_MS = 400
"""The interval at which a random flow gets another owner."""

REASSIGNMENT_DELAY_MS = 1_000
"""The milliseconds from a partition until the agent's flows get other owners."""

Caller = CallerRequests | BaselineCaller
"""The requests part of a caller, or its baseline."""


class CallRecord(NamedTuple):
    """One call and its outcome at the caller."""

    body: bytes
    """The body of the request, unique to the call."""

    repeatable: bool
    """Whether the request may be run more than once."""

    ended: CallEnded | None = None
    """The outcome; None while the call is pending."""


class RequestModel(NodeNetwork):
    """Simulates one case: a service with three agents under the given faults."""

    def __init__(self, name: str, seed: int, is_baseline: bool) -> None:
        self.is_baseline = is_baseline
        self.queue = EventQueue()
        self.source = random.Random(f"{name}-{seed}")
        self.link = FakeLink(self.queue, self.source)
        self.execution_counts: Counter[bytes] = Counter()
        # The calls of each caller by the number that the caller gave them.
        self.calls: list[dict[int, CallRecord]] = []
        self.flows = [make_flow(caller_number) for caller_number in range(FLOW_COUNT)]
        self.caller_numbers = {
            flow: caller_number for caller_number, flow in enumerate(self.flows)
        }
        self.peak_window_bytes = 0
        self.isolated_agent = ""

    def build(self, faults: RequestFaults) -> None:
        """Create agents, backend servers and callers."""
        self.faults = faults
        self.nodes = {
            name: AgentNode(name, self.queue, partial(self.make_requests, name), self)
            for name in AGENTS
        }
        for node in self.nodes.values():
            node.server = FakeBackendServer(
                self.queue,
                self.source,
                faults,
                self.execution_counts,
                self.make_reply_sender(node),
            )
        self.owners = {
            flow: AGENTS[caller_number % len(AGENTS)]
            for flow, caller_number in self.caller_numbers.items()
        }
        self.callers = [self.make_caller(self.queue.clock) for _ in self.flows]
        self.calls = [{} for _ in self.flows]

    def make_requests(self, name: str) -> AgentRequests | BaselineAgentRequests:
        """Return the requests part of a new agent process."""
        if self.is_baseline:
            return BaselineAgentRequests()
        clock = self.queue.clock
        window = RequestWindow(clock)
        if self.faults.window_records:
            window = RequestWindow(clock, self.faults.window_records * RECORD_BYTES)
        return AgentRequests(name, clock, self.source, window)

    def make_caller(self, clock: Clock) -> Caller:
        """Return the requests part of a caller."""
        if self.is_baseline:
            return BaselineCaller(clock)
        return CallerRequests(clock, self.source)

    def run(self) -> None:
        """Simulate the whole case."""
        queue = self.queue
        queue.call_every(AGENT_TICK_MS, self.advance_agents)
        queue.run_until(WARM_UP_MS)
        queue.call_every(CALLER_TICK_MS, self.advance_callers)
        calls_per_ms = self.faults.load * len(AGENTS) / REQUEST_PROCESSING_MS
        traffic_ms = self.faults.traffic_ms
        for call_index in range(int(calls_per_ms * traffic_ms)):
            start_ms = self.source.randrange(traffic_ms)
            queue.call_after(start_ms, partial(self.start_call, call_index))
        self.schedule_faults()
        queue.run_until(WARM_UP_MS + traffic_ms + SETTLE_MS)

    def schedule_faults(self) -> None:
        """Schedule restarts, pauses, partitions and changes of owners."""
        faults, queue = self.faults, self.queue
        faulty_node = self.nodes[AGENTS[0]]
        if faults.restart:
            is_planned = faults.restart == "planned"
            queue.call_after(FAULT_DELAY_MS, lambda: faulty_node.restart(is_planned))
        if faults.pause_ms:
            queue.call_after(FAULT_DELAY_MS, faulty_node.pause)
            queue.call_after(FAULT_DELAY_MS + faults.pause_ms, faulty_node.resume)
        if faults.partition_ms:
            queue.call_after(
                FAULT_DELAY_MS, lambda: self.isolate_agent(faulty_node.name)
            )
            queue.call_after(
                FAULT_DELAY_MS + REASSIGNMENT_DELAY_MS, self.reassign_isolated_flows
            )
            queue.call_after(FAULT_DELAY_MS + faults.partition_ms, self.reconnect_agent)
        if faults.owner_change:
            queue.call_every(CHANGE_INTERVAL_MS, self.change_random_owner)

    def isolate_agent(self, name: str) -> None:
        """Drop all messages of an agent except those of its backend server."""
        self.isolated_agent = name

    def reconnect_agent(self) -> None:
        """Reconnect the isolated agent."""
        self.isolated_agent = ""

    def reassign_isolated_flows(self) -> None:
        """Assign the flows of the isolated agent to the other agents."""
        for caller_number, flow in enumerate(self.flows):
            if self.owners[flow] == self.isolated_agent:
                self.move_flow(flow, AGENTS[1 + caller_number % 2], is_planned=False)

    def change_random_owner(self) -> None:
        """Assign a random flow to another agent that can be reached."""
        flow = self.source.choice(self.flows)
        other_agents = [
            name
            for name in AGENTS
            if name not in (self.owners[flow], self.isolated_agent)
        ]
        is_planned = self.faults.owner_change == "planned"
        self.move_flow(flow, self.source.choice(other_agents), is_planned)

    def move_flow(self, flow: FlowKey, owner: str, is_planned: bool) -> None:
        """Change the owner of a flow.

        A planned change transfers the flow's records. After an unplanned one, the new
        owner marks the flow's records as incomplete.
        """
        previous, successor = self.nodes[self.owners[flow]], self.nodes[owner]
        if is_planned:
            for message in previous.requests.record_exchange.make_transfer(flow):
                successor.requests.record_exchange.accept_records(message)
        else:
            successor.requests.mark_flow_incomplete(flow)
        self.owners[flow] = owner

    def advance_agents(self) -> None:
        """Advance all agents and record the peak size of a request window in bytes."""
        for node in self.nodes.values():
            node.tick()
            if isinstance(node.requests, AgentRequests):
                used_bytes = node.requests.window.used_bytes
                self.peak_window_bytes = max(self.peak_window_bytes, used_bytes)

    def advance_callers(self) -> None:
        """Let all callers check their timeouts."""
        for caller_number, caller in enumerate(self.callers):
            self.apply_caller_actions(caller_number, caller.advance())

    def start_call(self, call_index: int) -> None:
        """Start a call of a random caller; cancel a share of calls within 40 ms."""
        caller_number = self.source.randrange(FLOW_COUNT)
        repeatable = self.source.random() < 0.5
        body = b"request %07d of caller %03d" % (call_index, caller_number)
        call, actions = self.callers[caller_number].start(
            body, CALL_TIMEOUT_MS, repeatable
        )
        self.calls[caller_number][call] = CallRecord(body, repeatable)
        self.apply_caller_actions(caller_number, actions)
        if self.source.random() < self.faults.cancel:
            caller = self.callers[caller_number]
            delay_ms = self.source.randrange(40)
            self.queue.call_after(
                delay_ms,
                lambda: self.apply_caller_actions(caller_number, caller.cancel(call)),
            )

    def apply_caller_actions(
        self, caller_number: int, actions: list[CallerAction]
    ) -> None:
        """Apply the actions of a caller."""
        for action in actions:
            if isinstance(action, CallEnded):
                record = self.calls[caller_number][action.call]
                self.calls[caller_number][action.call] = record._replace(ended=action)
                continue
            is_cancel = action.metadata.kind is RequestKind.CANCEL
            payload = action.metadata.request_id if is_cancel else action.body
            packet = RequestPacket(self.flows[caller_number], action.metadata, payload)
            owner = self.owners[packet.flow]
            self.send(owner, partial(self.nodes[owner].receive, packet))

    def send(self, agent: str, deliver: Callable[[], None]) -> None:
        """Send a datagram over the link of an agent unless it is isolated."""
        faults = self.faults
        if agent == self.isolated_agent:
            return

        def deliver_unless_isolated() -> None:
            if agent != self.isolated_agent:
                deliver()

        link_faults = LinkFaults(
            LINK_DELAY_MS, faults.jitter_ms, faults.loss, faults.duplication
        )
        self.link.carry(link_faults, deliver_unless_isolated)
        if self.source.random() < faults.late_copies:
            self.queue.call_after(
                self.source.randrange(*LATE_COPY_DELAY_RANGE_MS),
                deliver_unless_isolated,
            )

    def make_reply_sender(self, node: AgentNode) -> Callable[[ServerReply], None]:
        """Return a function that delivers replies to an agent on the same machine."""
        return lambda reply: self.queue.call_after(0, lambda: node.receive(reply))

    def find_owner(self, flow: FlowKey) -> str:
        """Return the name of the agent that owns a flow."""
        return self.owners[flow]

    def draw_refusal(self) -> bool:
        """Return at random whether steering refuses a copy of a request."""
        return self.source.random() < self.faults.refused

    def pass_on(self, node: AgentNode, owner: str, packet: RequestPacket) -> None:
        """Forward a packet to the owner of its flow."""
        if node.name != self.isolated_agent:
            self.send(owner, lambda: self.nodes[owner].receive(packet))

    def send_to_caller(
        self, node: AgentNode, flow: FlowKey, answer: RequestMetadata, body: bytes
    ) -> None:
        """Send a datagram to the caller of a flow."""
        caller_number = self.caller_numbers[flow]
        caller = self.callers[caller_number]
        self.send(
            node.name,
            lambda: self.apply_caller_actions(
                caller_number, caller.receive(answer, body)
            ),
        )

    def retry(self, node: AgentNode, arrival: RequestArrival) -> None:
        """Send a request to another agent; report it as shed if all agents shed it."""
        tried = (*arrival.tried, node.name)
        other_agents = [name for name in AGENTS if name not in tried]
        if not other_agents:
            assert isinstance(node.requests, AgentRequests)
            node.apply_actions(node.requests.fail_retry(arrival.key))
            return
        message = RetryRequest(
            arrival.flow, arrival.service, arrival.request, arrival.payload, tried
        )
        if node.name != self.isolated_agent:
            self.send(
                other_agents[0], lambda: self.nodes[other_agents[0]].receive(message)
            )

    def summarize(self) -> dict[str, float | int]:
        """Return the outcomes of the calls and the figures that the case reports."""
        records = [record for calls in self.calls for record in calls.values()]
        figures: Counter[str] = Counter()
        for record in records:
            assert record.ended is not None
            runs = self.execution_counts[record.body]
            outcome = record.ended.outcome
            figures[outcome.value] += 1
            figures["doubled"] += not record.repeatable and runs > 1
            figures["false_not_run"] += outcome is RequestOutcome.NOT_RUN and runs > 0
            if outcome is RequestOutcome.ANSWERED:
                violation = classify_wrong_answer(record.ended.body, record.body)
                figures[violation] += bool(violation)
        servers = [node.server for node in self.nodes.values() if node.server]
        delivery_count = sum(server.delivery_count for server in servers)
        sent = sum(
            caller.counters["sent"] + caller.counters["resent"]
            for caller in self.callers
        )
        count = len(records)
        return {
            "requests": count,
            "doubled": figures["doubled"],
            "false_not_run": figures["false_not_run"],
            "foreign_answers": figures["foreign_answers"],
            "incomplete_answers": figures["incomplete_answers"],
            "answered_share": round(figures["answered"] / count, 4),
            "not_run_share": round(figures["not_run"] / count, 4),
            "unknown_share": round(figures["unknown"] / count, 4),
            "deliveries_per_request": round(delivery_count / count, 4),
            "sent_per_request": round(sent / count, 4),
            "peak_window_bytes": self.peak_window_bytes,
        }


def classify_wrong_answer(answer: bytes, body: bytes) -> str:
    """Return the name of the count of a wrong answer; empty for the right answer."""
    if answer == make_answer(body):
        return ""
    pieces = {piece for piece in (body, body[::-1]) if piece in answer}
    return "incomplete_answers" if pieces else "foreign_answers"


def make_flow(caller_number: int) -> FlowKey:
    """Return the key of the flow of a caller."""
    caller = Endpoint("192.0.2.1", 10_000 + caller_number)
    return Flow(TransportProtocol.UDP, caller, Endpoint("192.0.2.9", 7_000)).key
