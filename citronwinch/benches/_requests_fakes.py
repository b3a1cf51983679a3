"""Fakes of a backend server and of an agent's surroundings, for requests."""

import random
from collections import Counter, deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from citronwinch.backend_servers import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.benches._fakes import EventQueue
from citronwinch.benches._requests_baseline import ThinAgentRequests
from citronwinch.benches._requests_faults import RequestFaults
from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import (
    AgentRequests,
    DeliverCancel,
    Discard,
    EndGuestFlow,
    RequestAction,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RequestRecords,
    RetryElsewhere,
    RetryRequest,
    SendOutcome,
    SendPart,
    StartRequest,
)

WORK_MS = 10
"""How long a backend server works on one request, in milliseconds."""

QUEUE_LIMIT = 10
"""How many requests may wait at a backend server."""

ANSWER_PARTS = 3
"""The number of parts of each answer."""

LATE_ANSWER_MS = 3_000
"""How late a late answer is, in milliseconds."""


class RequestPacket(NamedTuple):
    """A caller's datagram on its way to an agent."""

    flow: FlowKey
    """The flow."""

    request: RequestMetadata
    """The request header."""

    payload: bytes
    """What follows it; in a cancellation the request id."""


class ServerReply(NamedTuple):
    """A backend server's datagram."""

    flow: FlowKey
    """The flow on whose socket it comes."""

    answer: RequestMetadata
    """The request header."""

    body: bytes
    """What follows it."""

    run: int
    """The run of the agent whose socket it goes to."""


NodeInput = RequestPacket | ServerReply | RetryRequest | RequestRecords
"""What arrives at an agent."""


def make_answer(payload: bytes) -> bytes:
    """Return the whole answer to a request."""
    return b"<" + payload + b"|" + payload[::-1] + b">"


class FakeBackendServer:
    """Runs one request at a time, sheds, and answers in parts, late or never."""

    def __init__(
        self,
        queue: EventQueue,
        source: random.Random,
        faults: RequestFaults,
        executed: Counter[bytes],
        answer: Callable[[ServerReply], None],
    ) -> None:
        self.queue = queue
        self.source = source
        self.faults = faults
        self.executed = executed
        self.answer = answer
        self.waiting: deque[tuple[RequestPacket, int]] = deque()
        self.is_busy = False
        self.deliveries = 0

    def deliver(self, packet: RequestPacket, run: int) -> None:
        """Take a request, or shed it."""
        self.deliveries += 1
        is_full = len(self.waiting) >= QUEUE_LIMIT
        if is_full or self.source.random() < self.faults.shed:
            self.shed(packet, run)
            return
        self.waiting.append((packet, run))
        self.start_next()

    def cancel(self, flow: FlowKey, request_id: bytes) -> None:
        """Shed a request that waits."""
        for entry in list(self.waiting):
            packet, run = entry
            if (packet.flow, packet.request.request_id) == (flow, request_id):
                self.waiting.remove(entry)
                self.shed(packet, run)

    def shed(self, packet: RequestPacket, run: int) -> None:
        """Say that a request was refused before it was started."""
        answer = packet.request._replace(kind=RequestKind.SHED)
        self.answer(ServerReply(packet.flow, answer, b"", run))

    def start_next(self) -> None:
        """Work on the next request."""
        if self.is_busy or not self.waiting:
            return
        self.is_busy = True
        packet, run = self.waiting.popleft()
        self.queue.call_after(WORK_MS, lambda: self.finish(packet, run))

    def finish(self, packet: RequestPacket, run: int) -> None:
        """Note that a request was run and answer it."""
        self.is_busy = False
        self.executed[packet.payload] += 1
        draw = self.source.random()
        if draw >= self.faults.never:
            is_late = draw < self.faults.never + self.faults.late_answer
            delay_ms = LATE_ANSWER_MS if is_late else 0
            self.queue.call_after(delay_ms, lambda: self.send_parts(packet, run))
        self.start_next()

    def send_parts(self, packet: RequestPacket, run: int) -> None:
        """Send the parts of an answer."""
        body = make_answer(packet.payload)
        size = -(-len(body) // ANSWER_PARTS)
        for part in range(ANSWER_PARTS):
            answer = packet.request._replace(
                kind=RequestKind.ANSWER, part=part, part_count=ANSWER_PARTS
            )
            chunk = body[part * size : (part + 1) * size]
            self.answer(ServerReply(packet.flow, answer, chunk, run))


class AgentNode:
    """An agent's decisions with a fake of steering, sockets and pauses around them."""

    def __init__(
        self,
        name: str,
        queue: EventQueue,
        make_requests: Callable[[], AgentRequests | ThinAgentRequests],
        network: "NodeNetwork",
    ) -> None:
        self.name = name
        self.queue = queue
        self.make_requests = make_requests
        self.network = network
        self.requests = make_requests()
        self.server: FakeBackendServer | None = None
        self.run = 0
        self.paused_ms: int | None = None
        self.buffer: list[NodeInput] = []
        self.counters: Counter[str] = Counter()

    def arrive(self, item: NodeInput) -> None:
        """Handle a datagram, or leave it in the buffer of a paused process."""
        if self.paused_ms is not None:
            self.buffer.append(item)
            return
        now_ms = self.queue.clock.now_ms()
        self.act_all(self.requests.advance(now_ms))
        self.handle(item, now_ms)

    def tick(self) -> None:
        """Let time pass for the decisions."""
        if self.paused_ms is None:
            self.act_all(self.requests.advance(self.queue.clock.now_ms()))

    def pause(self) -> None:
        """Stop handling anything."""
        self.paused_ms = self.queue.clock.now_ms()

    def resume(self) -> None:
        """Wake up: what waited in the buffer arrived after the pause began."""
        assert self.paused_ms is not None
        arrived_ms, self.paused_ms = self.paused_ms, None
        self.act_all(self.requests.advance(arrived_ms))
        buffer, self.buffer = self.buffer, []
        for item in buffer:
            self.handle(item, arrived_ms)

    def restart(self, is_planned: bool) -> None:
        """Lose everything, or hand it over to the next run."""
        former, self.requests = self.requests, self.make_requests()
        if is_planned:
            for message in former.record_exchange.make_transfer():
                self.requests.record_exchange.accept_records(message)
            return
        self.run += 1
        self.buffer.clear()

    @singledispatchmethod
    def handle(self, item: object, arrived_ms: int) -> None:
        """Handle one datagram."""
        raise TypeError(type(item).__name__)

    @handle.register
    def _(self, item: RequestPacket, arrived_ms: int) -> None:
        arrival = RequestArrival(
            item.flow, "gauging", item.request, item.payload, arrived_ms
        )
        owner = self.network.owner_of(item.flow)
        actions = self.requests.receive(arrival, is_known_flow=owner == self.name)
        if actions:
            self.act_all(actions)
        elif owner != self.name:
            self.network.pass_on(self, owner, item)
        elif self.network.is_refused():
            self.act_all(self.requests.refuse(arrival, "full"))
        else:
            self.act_all(self.requests.deliver(arrival))

    @handle.register
    def _(self, item: ServerReply, arrived_ms: int) -> None:
        if item.run == self.run:
            self.act_all(
                self.requests.reply(
                    item.flow, item.answer, add_request_header(item.answer, item.body)
                )
            )

    @handle.register
    def _(self, item: RequestRecords, arrived_ms: int) -> None:
        self.requests.record_exchange.accept_records(item)

    @handle.register
    def _(self, item: RetryRequest, arrived_ms: int) -> None:
        arrival = RequestArrival(
            item.flow, item.service, item.request, item.payload, arrived_ms, item.tried
        )
        actions = self.requests.receive(arrival, is_known_flow=True)
        self.act_all(actions or self.requests.deliver(arrival, is_guest=True))

    def act_all(self, actions: list[RequestAction]) -> None:
        """Carry out actions in order."""
        for action in actions:
            self.act(action)

    @singledispatchmethod
    def act(self, action: object) -> None:
        """Carry out one action."""
        raise TypeError(type(action).__name__)

    @act.register
    def _(self, action: StartRequest) -> None:
        assert self.server is not None
        request = RequestMetadata(RequestKind.REQUEST, action.key.request_id)
        self.server.deliver(
            RequestPacket(action.key.flow, request, action.payload), self.run
        )

    @act.register
    def _(self, action: DeliverCancel) -> None:
        assert self.server is not None
        self.server.cancel(action.flow, action.payload)

    @act.register
    def _(self, action: SendOutcome) -> None:
        self.counters[f"{action.kind.name.lower()}_{action.reason}"] += 1
        outcome = RequestMetadata(
            action.kind, action.key.request_id, remaining_ms=action.retry_after_ms
        )
        self.network.answer(self, action.key.flow, outcome, b"")

    @act.register
    def _(self, action: SendPart) -> None:
        answer = read_request_header(action.payload)
        assert answer is not None
        body = action.payload[HEADER_BYTES:]
        self.network.answer(self, action.flow, answer, body)

    @act.register
    def _(self, action: RetryElsewhere) -> None:
        self.counters["retries"] += 1
        self.network.retry(self, action.arrival)

    @act.register
    def _(self, action: EndGuestFlow) -> None:
        self.counters["guests_ended"] += 1

    @act.register
    def _(self, action: Discard) -> None:
        self.counters[f"discarded_{action.reason}"] += 1


class NodeNetwork:
    """What an agent's node needs of its surroundings."""

    def owner_of(self, flow: FlowKey) -> str:
        """Return the agent that owns a flow now."""
        raise NotImplementedError

    def is_refused(self) -> bool:
        """Whether steering refuses this copy."""
        raise NotImplementedError

    def pass_on(self, node: AgentNode, owner: str, packet: RequestPacket) -> None:
        """Send a packet to the owner of its flow."""
        raise NotImplementedError

    def answer(
        self, node: AgentNode, flow: FlowKey, answer: RequestMetadata, body: bytes
    ) -> None:
        """Send a datagram to the caller of a flow."""
        raise NotImplementedError

    def retry(self, node: AgentNode, arrival: RequestArrival) -> None:
        """Ask another agent to run a request."""
        raise NotImplementedError
