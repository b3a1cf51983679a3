"""A fake backend server and a simulated agent process for the requests case."""

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
"""How long a backend server processes one request, in milliseconds."""

QUEUE_LIMIT = 10
"""How many requests may be queued at a backend server."""

ANSWER_PART_COUNT = 3
"""The number of datagrams of each answer."""

LATE_ANSWER_DELAY_MS = 3_000
"""The extra milliseconds of a late answer, longer than the timeout of calls."""


class RequestPacket(NamedTuple):
    """A datagram from a caller to an agent."""

    flow: FlowKey
    """The key of the flow."""

    request: RequestMetadata
    """The header of the datagram."""

    payload: bytes
    """The bytes after the header; the request id in a cancellation."""


class ServerReply(NamedTuple):
    """A datagram from a backend server to its agent."""

    flow: FlowKey
    """The key of the flow whose socket receives the datagram."""

    answer: RequestMetadata
    """The header of the datagram."""

    body: bytes
    """The bytes after the header."""

    run_number: int
    """The run of the agent process that opened the socket; later runs ignore the reply.

    An unplanned restart starts a new run; a planned one keeps sockets and number.
    """


NodeInput = RequestPacket | ServerReply | RetryRequest | RequestRecords
"""The datagrams that an agent receives."""


def make_answer(payload: bytes) -> bytes:
    """Return the whole answer to a request."""
    return b"<" + payload + b"|" + payload[::-1] + b">"


class FakeBackendServer:
    """Runs one request at a time and answers it in several datagrams.

    It sheds requests when its queue is full, and in the shares that the faults set
    it sheds requests, answers them late or never answers them.
    """

    def __init__(
        self,
        queue: EventQueue,
        source: random.Random,
        faults: RequestFaults,
        execution_counts: Counter[bytes],
        send_reply: Callable[[ServerReply], None],
    ) -> None:
        self.queue = queue
        self.source = source
        self.faults = faults
        self.execution_counts = execution_counts
        self.send_reply = send_reply
        self.queued_requests: deque[tuple[RequestPacket, int]] = deque()
        self.is_busy = False
        self.delivery_count = 0

    def deliver(self, packet: RequestPacket, run_number: int) -> None:
        """Queue a request, or shed it."""
        self.delivery_count += 1
        is_full = len(self.queued_requests) >= QUEUE_LIMIT
        if is_full or self.source.random() < self.faults.shed:
            self.shed(packet, run_number)
            return
        self.queued_requests.append((packet, run_number))
        self.start_next()

    def cancel(self, flow: FlowKey, request_id: bytes) -> None:
        """Shed a queued request; a request that is running goes on."""
        for entry in list(self.queued_requests):
            packet, run_number = entry
            if (packet.flow, packet.request.request_id) == (flow, request_id):
                self.queued_requests.remove(entry)
                self.shed(packet, run_number)

    def shed(self, packet: RequestPacket, run_number: int) -> None:
        """Answer that a request was shed before it was started."""
        answer = packet.request._replace(kind=RequestKind.SHED)
        self.send_reply(ServerReply(packet.flow, answer, b"", run_number))

    def start_next(self) -> None:
        """Start the next queued request unless one is running."""
        if self.is_busy or not self.queued_requests:
            return
        self.is_busy = True
        packet, run_number = self.queued_requests.popleft()
        self.queue.call_after(
            REQUEST_PROCESSING_MS, lambda: self.finish(packet, run_number)
        )

    def finish(self, packet: RequestPacket, run_number: int) -> None:
        """Count the execution of a request and answer it as the faults allow."""
        self.is_busy = False
        self.execution_counts[packet.payload] += 1
        draw = self.source.random()
        if draw >= self.faults.never:
            is_late = draw < self.faults.never + self.faults.late_answer
            delay_ms = LATE_ANSWER_DELAY_MS if is_late else 0
            self.queue.call_after(delay_ms, lambda: self.send_parts(packet, run_number))
        self.start_next()

    def send_parts(self, packet: RequestPacket, run_number: int) -> None:
        """Send an answer in several datagrams."""
        body = make_answer(packet.payload)
        size = -(-len(body) // ANSWER_PART_COUNT)
        for part in range(ANSWER_PART_COUNT):
            answer = packet.request._replace(
                kind=RequestKind.ANSWER, part=part, part_count=ANSWER_PART_COUNT
            )
            chunk = body[part * size : (part + 1) * size]
            self.send_reply(ServerReply(packet.flow, answer, chunk, run_number))


class AgentNode:
    """An agent process: its requests part with fake steering, sockets and pauses."""

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

    def receive(self, datagram: NodeInput) -> None:
        """Handle a datagram, or buffer it while the process is paused."""
        if self.paused_since_ms is not None:
            self.socket_buffer.append(datagram)
            return
        now_ms = self.queue.clock.now_ms()
        self.apply_actions(self.requests.advance(now_ms))
        self.handle(datagram, now_ms)

    def tick(self) -> None:
        """Advance the requests part to the current time unless paused."""
        if self.paused_since_ms is None:
            self.apply_actions(self.requests.advance(self.queue.clock.now_ms()))

    def pause(self) -> None:
        """Pause the process."""
        self.paused_since_ms = self.queue.clock.now_ms()

    def resume(self) -> None:
        """Resume the process and handle the datagrams of the socket buffer.

        A buffered datagram may have arrived at any time since the pause began, so
        the start of the pause is used as its time of arrival.
        """
        assert self.paused_since_ms is not None
        arrived_ms, self.paused_since_ms = self.paused_since_ms, None
        self.apply_actions(self.requests.advance(arrived_ms))
        socket_buffer, self.socket_buffer = self.socket_buffer, []
        for datagram in socket_buffer:
            self.handle(datagram, arrived_ms)

    def restart(self, is_planned: bool) -> None:
        """Restart the process.

        A planned restart transfers the records to the next run and keeps sockets;
        an unplanned one loses the records, the sockets and the buffered datagrams.
        """
        previous, self.requests = self.requests, self.make_requests()
        if is_planned:
            for message in previous.record_exchange.make_transfer():
                self.requests.record_exchange.accept_records(message)
            return
        self.run_number += 1
        self.socket_buffer.clear()

    @singledispatchmethod
    def handle(self, datagram: object, arrived_ms: int) -> None:
        """Handle one datagram."""
        raise TypeError(type(datagram).__name__)

    @handle.register
    def _(self, datagram: RequestPacket, arrived_ms: int) -> None:
        arrival = RequestArrival(
            datagram.flow,
            "gauging",
            datagram.request,
            datagram.payload,
            arrived_ms,
        )
        owner = self.network.find_owner(datagram.flow)
        actions = self.requests.receive(arrival, is_known_flow=owner == self.name)
        if actions:
            self.apply_actions(actions)
        elif owner != self.name:
            self.network.pass_on(self, owner, datagram)
        elif self.network.draw_refusal():
            self.apply_actions(self.requests.refuse(arrival, "full"))
        else:
            self.apply_actions(self.requests.deliver(arrival))

    @handle.register
    def _(self, datagram: ServerReply, arrived_ms: int) -> None:
        if datagram.run_number == self.run_number:
            self.apply_actions(
                self.requests.reply(
                    datagram.flow,
                    datagram.answer,
                    add_request_header(datagram.answer, datagram.body),
                )
            )

    @handle.register
    def _(self, datagram: RequestRecords, arrived_ms: int) -> None:
        self.requests.record_exchange.accept_records(datagram)

    @handle.register
    def _(self, datagram: RetryRequest, arrived_ms: int) -> None:
        arrival = RequestArrival(
            datagram.flow,
            datagram.service,
            datagram.request,
            datagram.payload,
            arrived_ms,
            datagram.tried,
        )
        actions = self.requests.receive(arrival, is_known_flow=True)
        self.apply_actions(actions or self.requests.deliver(arrival, is_guest=True))

    def apply_actions(self, actions: list[RequestAction]) -> None:
        """Apply actions in order."""
        for action in actions:
            self.apply_action(action)

    @singledispatchmethod
    def apply_action(self, action: object) -> None:
        """Apply one action."""
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
        self.network.send_to_caller(self, action.key.flow, outcome, b"")

    @apply_action.register
    def _(self, action: SendPart) -> None:
        answer = read_request_header(action.payload)
        assert answer is not None
        body = action.payload[HEADER_BYTES:]
        self.network.send_to_caller(self, action.flow, answer, body)

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
    """The operations that an agent process needs of the simulated network."""

    def find_owner(self, flow: FlowKey) -> str:
        """Return the name of the agent that owns a flow."""
        raise NotImplementedError

    def draw_refusal(self) -> bool:
        """Return at random whether steering refuses a copy of a request."""
        raise NotImplementedError

    def pass_on(self, node: AgentNode, owner: str, packet: RequestPacket) -> None:
        """Forward a packet to the owner of its flow."""
        raise NotImplementedError

    def send_to_caller(
        self, node: AgentNode, flow: FlowKey, answer: RequestMetadata, body: bytes
    ) -> None:
        """Send a datagram to the caller of a flow."""
        raise NotImplementedError

    def retry(self, node: AgentNode, arrival: RequestArrival) -> None:
        """Send a request that was shed to another agent."""
        raise NotImplementedError
