"""Callers, links, agents and backend servers of one service under faults."""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from citronwinch.benches._fakes import EventQueue, FakeLink, LinkFaults
from citronwinch.benches._requests_baseline import ThinAgentRequests, ThinCaller
from citronwinch.benches._requests_fakes import (
    WORK_MS,
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
"""The agents of the service."""

FLOW_COUNT = 30
"""The callers, each with one flow."""

WARM_UP_MS = 6_000
"""The time before traffic, longer than the grace of fresh agents."""

DRAIN_MS = 12_000
"""The time for late copies after the traffic, in milliseconds."""

TIMEOUT_MS = 1_500
"""The timeout of each call, in milliseconds."""

CALLER_TICK_MS = 20
"""How often callers look at the time, in milliseconds."""

AGENT_TICK_MS = 100
"""How often agents look at the time, in milliseconds."""

LINK_DELAY_MS = 3
"""The delay of each link, in milliseconds."""

LATE_COPY_MS = (500, 4_500)
"""How much later a late copy arrives, in milliseconds."""

FAULT_AT_MS = 1_500
"""When an agent is restarted, paused or cut off, after traffic begins."""

CHANGE_INTERVAL_MS = 400
"""How often a flow gets another owner, in milliseconds."""

SUSPICION_MS = 1_000
"""How long an agent is cut off before its flows get other owners."""

Caller = CallerRequests | ThinCaller
"""A caller's decisions."""


class CallRecord(NamedTuple):
    """One call as its caller sees it."""

    body: bytes
    """The request, unique to the call."""

    repeatable: bool
    """Whether it may be repeated."""

    ended: CallEnded | None = None
    """Its outcome."""


class RequestModel(NodeNetwork):
    """One case: a service with three agents under the given faults."""

    def __init__(self, name: str, seed: int, is_baseline: bool) -> None:
        self.is_baseline = is_baseline
        self.queue = EventQueue()
        self.source = random.Random(f"{name}-{seed}")
        self.link = FakeLink(self.queue, self.source)
        self.executed: Counter[bytes] = Counter()
        self.calls: list[dict[int, CallRecord]] = []
        self.flows = [make_flow(number) for number in range(FLOW_COUNT)]
        self.number_of = {flow: number for number, flow in enumerate(self.flows)}
        self.peak_window_bytes = 0
        self.cut = ""

    def build(self, faults: RequestFaults) -> None:
        """Create agents, backend servers and callers."""
        self.faults = faults
        self.nodes = {
            name: AgentNode(name, self.queue, partial(self.make_requests, name), self)
            for name in AGENTS
        }
        for node in self.nodes.values():
            node.server = FakeBackendServer(
                self.queue, self.source, faults, self.executed, self.reply_to(node)
            )
        self.owners = {
            flow: AGENTS[number % len(AGENTS)]
            for flow, number in self.number_of.items()
        }
        self.callers = [self.make_caller(self.queue.clock) for _ in self.flows]
        self.calls = [{} for _ in self.flows]

    def make_requests(self, name: str) -> AgentRequests | ThinAgentRequests:
        """Return the decisions of a fresh agent."""
        if self.is_baseline:
            return ThinAgentRequests()
        clock = self.queue.clock
        window = RequestWindow(clock)
        if self.faults.window_records:
            window = RequestWindow(clock, self.faults.window_records * RECORD_BYTES)
        return AgentRequests(name, clock, self.source, window)

    def make_caller(self, clock: Clock) -> Caller:
        """Return the decisions of a caller."""
        if self.is_baseline:
            return ThinCaller(clock)
        return CallerRequests(clock, self.source)

    def run(self) -> None:
        """Play the whole case."""
        queue = self.queue
        queue.call_every(AGENT_TICK_MS, self.tick_agents)
        queue.run_until(WARM_UP_MS)
        queue.call_every(CALLER_TICK_MS, self.tick_callers)
        rate = self.faults.load * len(AGENTS) / WORK_MS
        traffic_ms = self.faults.traffic_ms
        for number in range(int(rate * traffic_ms)):
            begin_ms = self.source.randrange(traffic_ms)
            queue.call_after(begin_ms, partial(self.begin_call, number))
        self.plan_changes()
        queue.run_until(WARM_UP_MS + traffic_ms + DRAIN_MS)

    def plan_changes(self) -> None:
        """Plan what happens to agents and owners."""
        faults, queue = self.faults, self.queue
        victim = self.nodes[AGENTS[0]]
        if faults.restart:
            is_planned = faults.restart == "planned"
            queue.call_after(FAULT_AT_MS, lambda: victim.restart(is_planned))
        if faults.pause_ms:
            queue.call_after(FAULT_AT_MS, victim.pause)
            queue.call_after(FAULT_AT_MS + faults.pause_ms, victim.resume)
        if faults.partition_ms:
            queue.call_after(FAULT_AT_MS, lambda: self.set_cut(victim.name))
            queue.call_after(FAULT_AT_MS + SUSPICION_MS, self.leave_cut_agent)
            queue.call_after(FAULT_AT_MS + faults.partition_ms, self.heal)
        if faults.owner_change:
            queue.call_every(CHANGE_INTERVAL_MS, self.change_owner)

    def set_cut(self, name: str) -> None:
        """Cut an agent off from everything but its backend server."""
        self.cut = name

    def heal(self) -> None:
        """End the partition."""
        self.cut = ""

    def leave_cut_agent(self) -> None:
        """Give the flows of the agent that is cut off to the others."""
        for number, flow in enumerate(self.flows):
            if self.owners[flow] == self.cut:
                self.move(flow, AGENTS[1 + number % 2], is_planned=False)

    def change_owner(self) -> None:
        """Give one flow to another agent."""
        flow = self.source.choice(self.flows)
        others = [name for name in AGENTS if name not in (self.owners[flow], self.cut)]
        is_planned = self.faults.owner_change == "planned"
        self.move(flow, self.source.choice(others), is_planned)

    def move(self, flow: FlowKey, owner: str, is_planned: bool) -> None:
        """Change the owner of a flow, with its records or without."""
        former, taker = self.nodes[self.owners[flow]], self.nodes[owner]
        if is_planned:
            for message in former.requests.record_exchange.make_transfer(flow):
                taker.requests.record_exchange.accept_records(message)
        else:
            taker.requests.mark_flow_incomplete(flow)
        self.owners[flow] = owner

    def tick_agents(self) -> None:
        """Let time pass for agents and note their memory."""
        for node in self.nodes.values():
            node.tick()
            if isinstance(node.requests, AgentRequests):
                used_bytes = node.requests.window.used_bytes
                self.peak_window_bytes = max(self.peak_window_bytes, used_bytes)

    def tick_callers(self) -> None:
        """Let time pass for callers."""
        for number, caller in enumerate(self.callers):
            self.act_caller(number, caller.advance())

    def begin_call(self, index: int) -> None:
        """Have a random caller begin a call, and perhaps cancel it."""
        number = self.source.randrange(FLOW_COUNT)
        repeatable = self.source.random() < 0.5
        body = b"request %07d of caller %03d" % (index, number)
        call, actions = self.callers[number].start(body, TIMEOUT_MS, repeatable)
        self.calls[number][call] = CallRecord(body, repeatable)
        self.act_caller(number, actions)
        if self.source.random() < self.faults.cancel:
            caller = self.callers[number]
            delay_ms = self.source.randrange(40)
            self.queue.call_after(
                delay_ms, lambda: self.act_caller(number, caller.cancel(call))
            )

    def act_caller(self, number: int, actions: list[CallerAction]) -> None:
        """Carry out what a caller decided."""
        for action in actions:
            if isinstance(action, CallEnded):
                record = self.calls[number][action.call]
                self.calls[number][action.call] = record._replace(ended=action)
                continue
            is_cancel = action.metadata.kind is RequestKind.CANCEL
            payload = action.metadata.request_id if is_cancel else action.body
            packet = RequestPacket(self.flows[number], action.metadata, payload)
            owner = self.owners[packet.flow]
            self.send(owner, partial(self.nodes[owner].arrive, packet))

    def send(self, agent: str, arrive: Callable[[], None]) -> None:
        """Send a datagram over the link of an agent."""
        faults = self.faults
        if agent == self.cut:
            return

        def arrive_unless_cut() -> None:
            if agent != self.cut:
                arrive()

        link_faults = LinkFaults(
            LINK_DELAY_MS, faults.jitter_ms, faults.loss, faults.duplication
        )
        self.link.carry(link_faults, arrive_unless_cut)
        if self.source.random() < faults.late_copies:
            self.queue.call_after(
                self.source.randrange(*LATE_COPY_MS), arrive_unless_cut
            )

    def reply_to(self, node: AgentNode) -> Callable[[ServerReply], None]:
        """Return how a backend server reaches its agent: at once, on one machine."""
        return lambda reply: self.queue.call_after(0, lambda: node.arrive(reply))

    def owner_of(self, flow: FlowKey) -> str:
        """Return the agent that owns a flow now."""
        return self.owners[flow]

    def is_refused(self) -> bool:
        """Whether steering refuses this copy."""
        return self.source.random() < self.faults.refused

    def pass_on(self, node: AgentNode, owner: str, packet: RequestPacket) -> None:
        """Send a packet to the owner of its flow."""
        if node.name != self.cut:
            self.send(owner, lambda: self.nodes[owner].arrive(packet))

    def answer(
        self, node: AgentNode, flow: FlowKey, answer: RequestMetadata, body: bytes
    ) -> None:
        """Send a datagram to the caller of a flow."""
        number = self.number_of[flow]
        caller = self.callers[number]
        self.send(
            node.name,
            lambda: self.act_caller(number, caller.receive(answer, body)),
        )

    def retry(self, node: AgentNode, arrival: RequestArrival) -> None:
        """Ask the next agent that has not shed the request."""
        tried = (*arrival.tried, node.name)
        others = [name for name in AGENTS if name not in tried]
        if not others:
            assert isinstance(node.requests, AgentRequests)
            node.act_all(node.requests.fail_retry(arrival.key))
            return
        message = RetryRequest(
            arrival.flow, arrival.service, arrival.request, arrival.payload, tried
        )
        if node.name != self.cut:
            self.send(others[0], lambda: self.nodes[others[0]].arrive(message))

    def summarize(self) -> dict[str, float | int]:
        """Return what became of the calls."""
        records = [record for calls in self.calls for record in calls.values()]
        figures: Counter[str] = Counter()
        for record in records:
            assert record.ended is not None
            runs = self.executed[record.body]
            outcome = record.ended.outcome
            figures[outcome.value] += 1
            figures["doubled"] += not record.repeatable and runs > 1
            figures["false_not_run"] += outcome is RequestOutcome.NOT_RUN and runs > 0
            if outcome is RequestOutcome.ANSWERED:
                problem = find_problem(record.ended.body, record.body)
                figures[problem] += bool(problem)
        servers = [node.server for node in self.nodes.values() if node.server]
        deliveries = sum(server.deliveries for server in servers)
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
            "deliveries_per_request": round(deliveries / count, 4),
            "sent_per_request": round(sent / count, 4),
            "peak_window_bytes": self.peak_window_bytes,
        }


def find_problem(answer: bytes, body: bytes) -> str:
    """Return what is wrong with an answer, empty when it is whole and its own."""
    if answer == make_answer(body):
        return ""
    pieces = {piece for piece in (body, body[::-1]) if piece in answer}
    return "incomplete_answers" if pieces else "foreign_answers"


def make_flow(number: int) -> FlowKey:
    """Return the flow of a caller."""
    caller = Endpoint("192.0.2.1", 10_000 + number)
    return Flow(TransportProtocol.UDP, caller, Endpoint("192.0.2.9", 7_000)).key
