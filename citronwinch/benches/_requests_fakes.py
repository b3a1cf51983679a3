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
from citronwinch.benches._requests_baseline import BaselineAgentRequests
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

REQUEST_PROCESSING_MS = 10
"""How long a backend server works on one request, in milliseconds."""

QUEUE_LIMIT = 10
"""How many requests may wait at a backend server."""

ANSWER_PART_COUNT = 3
"""The number of parts of each answer."""

LATE_ANSWER_DELAY_MS = 3_000
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

    run_number: int
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
        execution_counts: Counter[bytes],
        answer: Callable[[ServerReply], None],
    ) -> None:
        self.queue = queue
        self.source = source
        self.faults = faults
        self.execution_counts = execution_counts
        self.answer = answer
        self.waiting: deque[tuple[RequestPacket, int]] = deque()
        self.is_busy = False
        self.deliveries = 0

    def deliver(self, packet: RequestPacket, run_number: int) -> None:
        """Take a request, or shed it."""
        self.deliveries += 1
        is_full = len(self.waiting) >= QUEUE_LIMIT
        if is_full or self.source.random() < self.faults.shed:
            self.shed(packet, run_number)
            return
        self.waiting.append((packet, run_number))
        self.start_next()

    def cancel(self, flow: FlowKey, request_id: bytes) -> None:
        """Shed a request that waits."""
        for entry in list(self.waiting):
            packet, run_number = entry
            if (packet.flow, packet.request.request_id) == (flow, request_id):
                self.waiting.remove(entry)
                self.shed(packet, run_number)

    def shed(self, packet: RequestPacket, run_number: int) -> None:
        """Say that a request was refused before it was started."""
        answer = packet.request._replace(kind=RequestKind.SHED)
        self.answer(ServerReply(packet.flow, answer, b"", run_number))

    def start_next(self) -> None:
        """Work on the next request."""
        if self.is_busy or not self.waiting:
            return
        self.is_busy = True
        packet, run_number = self.waiting.popleft()
        self.queue.call_after(
            REQUEST_PROCESSING_MS, lambda: self.finish(packet, run_number)
        )

    def finish(self, packet: RequestPacket, run_number: int) -> None:
        """Note that a request was run and answer it."""
        self.is_busy = False
        self.execution_counts[packet.payload] += 1
        draw = self.source.random()
        if draw >= self.faults.never:
            is_late = draw < self.faults.never + self.faults.late_answer
            delay_ms = LATE_ANSWER_DELAY_MS if is_late else 0
            self.queue.call_after(delay_ms, lambda: self.send_parts(packet, run_number))
        self.start_next()

    def send_parts(self, packet: RequestPacket, run_number: int) -> None:
        """Send the parts of an answer."""
        body = make_answer(packet.payload)
        size = -(-len(body) // ANSWER_PART_COUNT)
        for part in range(ANSWER_PART_COUNT):
            answer = packet.request._replace(
                kind=RequestKind.ANSWER, part=part, part_count=ANSWER_PART_COUNT
            )
            chunk = body[part * size : (part + 1) * size]
            self.answer(ServerReply(packet.flow, answer, chunk, run_number))


class AgentNode:
    """An agent's decisions with a fake of steering, sockets and pauses around them."""

    def __init__(
        self,
        name: str,
        queue: EventQueue,
        make_requests: Callable[[], AgentRequests | BaselineAgentRequests],
        network: "NodeNetwork",
    ) -> None:
        self.name = name
        self.queue = queue
        self.make_requests = make_requests
        self.network = network
        self.requests = make_requests()
        self.server: FakeBackendServer | None = None
        self.run_number = 0
        self.paused_since_ms: int | None = None
        self.socket_buffer: list[NodeInput] = []
        self.counters: Counter[str] = Counter()

    def arrive(self, input_item: NodeInput) -> None:
        """Handle a datagram, or leave it in the buffer of a paused process."""
        if self.paused_since_ms is not None:
            self.socket_buffer.append(input_item)
            return
        now_ms = self.queue.clock.now_ms()
        self.apply_actions(self.requests.advance(now_ms))
        self.handle(input_item, now_ms)

    def tick(self) -> None:
        """Let time pass for the decisions."""
        if self.paused_since_ms is None:
            self.apply_actions(self.requests.advance(self.queue.clock.now_ms()))

    def pause(self) -> None:
        """Stop handling anything."""
        self.paused_since_ms = self.queue.clock.now_ms()

    def resume(self) -> None:
        """Wake up: what waited in the buffer arrived after the pause began."""
        assert self.paused_since_ms is not None
        arrived_ms, self.paused_since_ms = self.paused_since_ms, None
        self.apply_actions(self.requests.advance(arrived_ms))
        socket_buffer, self.socket_buffer = self.socket_buffer, []
        for input_item in socket_buffer:
            self.handle(input_item, arrived_ms)

    def restart(self, is_planned: bool) -> None:
        """Lose everything, or hand it over to the next run."""
        former, self.requests = self.requests, self.make_requests()
        if is_planned:
            for message in former.records.make_transfer():
                self.requests.records.accept_records(message)
            return
        self.run_number += 1
        self.socket_buffer.clear()

    @singledispatchmethod
    def handle(self, input_item: object, arrived_ms: int) -> None:
        """Handle one datagram."""
        raise TypeError(type(input_item).__name__)

    @handle.register
    def _(self, input_item: RequestPacket, arrived_ms: int) -> None:
        arrival = RequestArrival(
            input_item.flow,
            "gauging",
            input_item.request,
            input_item.payload,
            arrived_ms,
        )
        owner = self.network.find_owner(input_item.flow)
        actions = self.requests.receive(arrival, is_known_flow=owner == self.name)
        if actions:
            self.apply_actions(actions)
        elif owner != self.name:
            self.network.pass_on(self, owner, input_item)
        elif self.network.draw_refusal():
            self.apply_actions(self.requests.refuse(arrival, "full"))
        else:
            self.apply_actions(self.requests.deliver(arrival))

    @handle.register
    def _(self, input_item: ServerReply, arrived_ms: int) -> None:
        if input_item.run_number == self.run_number:
            self.apply_actions(
                self.requests.reply(
                    input_item.flow,
                    input_item.answer,
                    add_request_header(input_item.answer, input_item.body),
                )
            )

    @handle.register
    def _(self, input_item: RequestRecords, arrived_ms: int) -> None:
        self.requests.records.accept_records(input_item)

    @handle.register
    def _(self, input_item: RetryRequest, arrived_ms: int) -> None:
        arrival = RequestArrival(
            input_item.flow,
            input_item.service,
            input_item.request,
            input_item.payload,
            arrived_ms,
            input_item.tried,
        )
        actions = self.requests.receive(arrival, is_known_flow=True)
        self.apply_actions(actions or self.requests.deliver(arrival, is_guest=True))

    def apply_actions(self, actions: list[RequestAction]) -> None:
        """Carry out actions in order."""
        for action in actions:
            self.apply_action(action)

    @singledispatchmethod
    def apply_action(self, action: object) -> None:
        """Carry out one action."""
        raise TypeError(type(action).__name__)

    @apply_action.register
    def _(self, action: StartRequest) -> None:
        assert self.server is not None
        request = RequestMetadata(RequestKind.REQUEST, action.key.request_id)
        self.server.deliver(
            RequestPacket(action.key.flow, request, action.payload), self.run_number
        )

    @apply_action.register
    def _(self, action: DeliverCancel) -> None:
        assert self.server is not None
        self.server.cancel(action.flow, action.payload)

    @apply_action.register
    def _(self, action: SendOutcome) -> None:
        self.counters[f"{action.kind.name.lower()}_{action.reason}"] += 1
        outcome = RequestMetadata(
            action.kind, action.key.request_id, remaining_ms=action.retry_after_ms
        )
        self.network.answer(self, action.key.flow, outcome, b"")

    @apply_action.register
    def _(self, action: SendPart) -> None:
        answer = read_request_header(action.payload)
        assert answer is not None
        body = action.payload[HEADER_BYTES:]
        self.network.answer(self, action.flow, answer, body)

    @apply_action.register
    def _(self, action: RetryElsewhere) -> None:
        self.counters["retries"] += 1
        self.network.retry(self, action.arrival)

    @apply_action.register
    def _(self, action: EndGuestFlow) -> None:
        self.counters["guests_ended"] += 1

    @apply_action.register
    def _(self, action: Discard) -> None:
        self.counters[f"discarded_{action.reason}"] += 1


class NodeNetwork:
    """What an agent's node needs of its surroundings."""

    def find_owner(self, flow: FlowKey) -> str:
        """Return the agent that owns a flow now."""
        raise NotImplementedError

    def draw_refusal(self) -> bool:
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
