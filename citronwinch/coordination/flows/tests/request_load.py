"""Callers and a backend server around one agent, for load tests of its requests."""

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from citronwinch.coordination import (
    FlowKey,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    DeliverToCaller,
    DeliverToServer,
    ForwardedOpening,
    ForwardedPacket,
    Packet,
    RouteClass,
)

BALANCER = "10.0.1.1"
SERVER_QUEUE_LIMIT = 8
"""The requests that a backend server queues; it refuses further ones."""

REFUSAL_BYTES = 20
ANSWER_BYTES = 400
REQUEST_BYTES = 300
FIRST_RESEND_MS, LONGEST_RESEND_MS = 200, 1_600
TICK_MS = 40
ENDLESS_WORK_MS = 1_000_000_000
LONG_REQUEST_SHARE, LONG_REQUEST_FACTOR = 0.03, 7


class Kind(NamedTuple):
    """One kind of request."""

    route_class: RouteClass
    work_ms: int
    per_s: float
    caller: str = "100.64.0.7"
    callers: int = 1
    """The requests come from this many callers, with addresses from `caller` on."""

    work_spread: float = 0.0
    """The work of a request differs from `work_ms` by up to this share of it."""


class Request(NamedTuple):
    """A request as its caller and the server know it."""

    kind: Kind
    flow: FlowKey
    raw: bytes
    sent_ms: int
    """When its caller began to try."""

    work_ms: int


class Outcome(NamedTuple):
    """How a request ended for its caller; refused and abandoned ones have no time."""

    kind: Kind
    caller: str
    latency_ms: int | None

    @property
    def is_in_time(self) -> bool:
        limit_ms = self.kind.route_class.latency_objective_ms
        return self.latency_ms is not None and self.latency_ms <= limit_ms


class FakeServer:
    """Serves requests in the order of delivery; refuses those beyond its queue."""

    def __init__(self, clock: ManualClock, slots: int, speed: float = 1.0) -> None:
        self.clock = clock
        self.slots = slots
        self.speed = speed
        self.queue: deque[Request] = deque()
        self.running: list[tuple[float, Request]] = []
        self.received: Counter[bytes] = Counter()
        self.longest_queue = 0

    def receive(self, request: Request) -> bool:
        """Queue a request once; return False to refuse it."""
        self.received[request.raw] += 1
        if self.received[request.raw] > 1:
            return True
        if len(self.queue) >= SERVER_QUEUE_LIMIT + self.slots - len(self.running):
            return False
        self.queue.append(request)
        self._start()
        self.longest_queue = max(self.longest_queue, len(self.queue))
        return True

    def _start(self) -> None:
        while self.queue and len(self.running) < self.slots:
            request = self.queue.popleft()
            end_ms = self.clock.now_ms() + request.work_ms / self.speed
            self.running.append((end_ms, request))

    def finish(self) -> list[Request]:
        """Return the requests that are done by now."""
        now_ms = self.clock.now_ms()
        done = [request for end_ms, request in self.running if end_ms <= now_ms]
        self.running = [entry for entry in self.running if entry[0] > now_ms]
        self._start()
        return done


class RequestLoad:
    """Plays callers whose requests come at random times, each on a flow of its own."""

    def __init__(
        self,
        kinds: list[Kind],
        *,
        holds: bool,
        slots: int = 1,
        seed: int = 1,
        speed: float = 1.0,
        unseen_ms: int = 0,
    ) -> None:
        self.clock = ManualClock(100_000)
        self.unseen_ms = unseen_ms
        """How long each caller has waited before the agent sees its request, beyond
        any age: on the network, and for the acceptance of its flow."""
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.agent = AgentFlows(
            "gauging", self.clock, knows_all_flows=True, holds_requests=holds
        )
        self.agent.requests.slots.slots = slots
        self.server = FakeServer(self.clock, slots, speed)
        self.sent: dict[bytes, Request] = {}
        self.open_requests: dict[bytes, Request] = {}
        self.resends_ms: dict[bytes, tuple[int, int]] = {}
        """The time of the next copy of each request, and the interval after it."""
        self.outcomes: list[Outcome] = []
        self.next_port = 0

    def play(
        self, duration_ms: int, demand: Callable[[int], float] = lambda _: 1.0
    ) -> list[Outcome]:
        """Play the load; `demand` multiplies all rates at a time since the start."""
        start_ms = self.clock.now_ms()
        for elapsed_ms in range(duration_ms):
            factor = demand(elapsed_ms)
            for kind in self.kinds:
                if self.rng.random() < kind.per_s * factor / 1_000:
                    self._send(kind)
            self._advance()
        while self.open_requests:
            self._advance()
        assert self.clock.now_ms() - start_ms < duration_ms + 20_000
        return self.outcomes

    def _advance(self) -> None:
        self.clock.advance(1)
        now_ms = self.clock.now_ms()
        for done in self.server.finish():
            self._answer(done, ANSWER_BYTES)
        # The end of one request may release another one, which the server refuses.
        for raw, (due_ms, gap_ms) in list(self.resends_ms.items()):
            if now_ms >= due_ms and raw in self.open_requests:
                next_ms = min(2 * gap_ms, LONGEST_RESEND_MS)
                self.resends_ms[raw] = now_ms + next_ms, next_ms
                self._forward(self.open_requests[raw])
        for request in list(self.open_requests.values()):
            waited_ms = now_ms - request.sent_ms
            if request.raw not in self.open_requests:
                continue
            if waited_ms >= request.kind.route_class.timeout_ms:
                self._end(request, None)
                self._apply(self._handle(request, is_reset=True, payload_bytes=0))
        if now_ms % TICK_MS == 0:
            self._apply(self.agent.requests.release())
            self.agent.make_load_report()

    def hang(self, kind: Kind) -> None:
        """Send a request that the server never answers."""
        self._send(kind, ENDLESS_WORK_MS)

    def send_waited(self, duration_ms: int, known_ages: float) -> None:
        """Send at once what arrived in the past; a share of the ages is known."""
        waited = [
            (kind, age_ms)
            for age_ms in range(duration_ms, 0, -1)
            for kind in self.kinds
            if self.rng.random() < kind.per_s / 1_000
        ]
        # Callers that try again do not return in the order of their first attempts.
        self.rng.shuffle(waited)
        for kind, age_ms in waited:
            is_known = self.rng.random() < known_ages
            self._send(kind, age_ms=age_ms, is_age_known=is_known)

    def _send(
        self,
        kind: Kind,
        work_ms: int | None = None,
        *,
        age_ms: int = 0,
        is_age_known: bool = True,
    ) -> None:
        self.next_port += 1
        caller = bytearray(pack_ip(kind.caller))
        caller[3] += self.rng.randrange(kind.callers)
        flow = pack_flow_key(
            TransportProtocol.TCP,
            bytes(caller),
            1_024 + self.next_port,
            pack_ip("198.18.0.1"),
            443,
        )
        if work_ms is None:
            work_ms = self._draw_work(kind)
        raw = self.next_port.to_bytes(4, "big")
        now_ms = self.clock.now_ms()
        began_ms = now_ms - age_ms - self.unseen_ms
        request = Request(kind, flow, raw, began_ms, work_ms)
        self.open_requests[raw] = self.sent[raw] = request
        self.resends_ms[raw] = now_ms + FIRST_RESEND_MS, FIRST_RESEND_MS
        opening = make_flow_packet(flow, b"", is_opening=True)
        stated_ms = age_ms if is_age_known else 0
        message = ForwardedOpening("gauging", kind.route_class, True, b"", stated_ms)
        self.agent.handle_forwarded(message, opening, BALANCER)
        self.agent.handle_from_server(opening._replace(sequence=500))
        self._forward(request)

    def _draw_work(self, kind: Kind) -> int:
        is_long = self.rng.random() < LONG_REQUEST_SHARE
        work_ms = kind.work_ms * (LONG_REQUEST_FACTOR if is_long else 1)
        if kind.work_spread:
            spread = kind.work_spread
            work_ms = round(work_ms * self.rng.uniform(1 - spread, 1 + spread))
        return work_ms

    def _forward(self, request: Request) -> None:
        self._apply(self._handle(request, payload_bytes=REQUEST_BYTES))

    def _handle(self, request: Request, **fields: int) -> list[Action]:
        packet = make_flow_packet(request.flow, request.raw, **fields)
        message = ForwardedPacket("gauging", request.raw)
        return self.agent.handle_forwarded(message, packet, BALANCER)

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, DeliverToServer) and action.raw in self.open_requests:
                request = self.open_requests[action.raw]
                if not self.server.receive(request):
                    self._answer(request, REFUSAL_BYTES)
            elif isinstance(action, DeliverToCaller):
                self._receive_answer(action.packet)

    def _answer(self, request: Request, payload_bytes: int) -> None:
        packet = make_flow_packet(
            request.flow, request.raw, payload_bytes=payload_bytes
        )
        self._apply(self.agent.handle_from_server(packet))

    def _receive_answer(self, packet: Packet) -> None:
        request = self.open_requests.get(packet.raw)
        if request is not None:
            is_refusal = packet.payload_bytes == REFUSAL_BYTES
            latency_ms = self.clock.now_ms() - request.sent_ms
            self._end(request, None if is_refusal else latency_ms)

    def _end(self, request: Request, latency_ms: int | None) -> None:
        del self.open_requests[request.raw], self.resends_ms[request.raw]
        caller = ".".join(str(number) for number in request.flow[1:5])
        self.outcomes.append(Outcome(request.kind, caller, latency_ms))


def make_flow_packet(flow: FlowKey, raw: bytes, **fields: int) -> Packet:
    """Return a packet of a flow that its caller has confirmed."""
    packet = Packet(flow, False, False, False, False, 0, 501, 0, raw)
    return packet._replace(**fields)  # type: ignore[arg-type]


def compute_share_in_time(outcomes: list[Outcome]) -> float:
    """Return the share of requests that were answered within their objective."""
    return sum(outcome.is_in_time for outcome in outcomes) / len(outcomes)
