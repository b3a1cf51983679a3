"""A model of one balancer whose callers send more openings than its servers can take.

Callers send one request for each flow and copies of openings that are not accepted, and
may try again after a refusal. Servers process requests in the order of their arrival
and report their load. Everything in the balancer is the code under test.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from itertools import count
from typing import NamedTuple

from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    Configuration,
    DeploymentView,
    FlowAnswer,
    ForwardedOpening,
    LoadReport,
    Packet,
    Record,
    ResetFlow,
    Route,
    SendMessage,
    ServerSelector,
    ServiceShare,
    Verdict,
    pack_route_address,
)
from citronwinch.coordination.flows._busy_meter import BusyMeter
from citronwinch.coordination.flows.tests.conftest import make_listing, make_server

NETWORK_MS = 1
REPORT_INTERVAL_MS = 40
TICK_MS = 20
COPIES_MS = (200, 600)
ATTEMPT_MS = 1_400
RETRY_PAUSE_MS = 20


class Kind(NamedTuple):
    """A route and the caller that sends on it."""

    caller: str = "100.64.0.7"
    priority: int = 1
    objective_ms: int = 400
    timeout_ms: int = 4_000
    attempts: int = 1
    """How often the caller tries at most."""

    @property
    def address(self) -> Endpoint:
        return Endpoint(f"198.18.0.{self.priority + 1}", 8443)


class Request(NamedTuple):
    """What a caller wants, over all its attempts."""

    kind: Kind
    started_ms: int
    serial: int


class Attempt(NamedTuple):
    """One flow for a request."""

    request: Request
    number: int
    started_ms: int


class Refusal(NamedTuple):
    """An opening that the balancer refused, with what its record says."""

    attempt: Attempt
    refused_ms: int
    fields: dict[str, object]


class Server:
    """A backend server of one slot."""

    def __init__(self, clock: ManualClock) -> None:
        self.queue: deque[tuple[Attempt, FlowKey]] = deque()
        self.is_busy = False
        self.flows = 0
        self.busy_meter = BusyMeter(clock)

    def count_waiting(self) -> int:
        return len(self.queue) + self.is_busy


class Crowd:
    """The event loop: callers, one balancer, and servers that report their load."""

    def __init__(
        self,
        *,
        servers: int = 10,
        service_ms: int = 33,
        kinds: Sequence[Kind] = (Kind(),),
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock(100_000)
        self.rng = random.Random(seed)
        self.service_ms = service_ms
        self.capacity_per_s = servers * 1_000 / service_ms
        self.events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.order = count()
        self.ports = count(1_024)
        listed = [make_server(number) for number in range(1, servers + 1)]
        self.servers = {s.address.ip: Server(self.clock) for s in listed}
        view = DeploymentView(self.clock)
        view.accept_configuration(make_crowd_configuration(kinds))
        view.accept_listing(make_listing(1, *listed), self.clock.now_ms())
        self.view, self.listed = view, listed
        self.selector = ServerSelector("a", self.clock, random.Random(seed))
        self.balancer = BalancerFlows(view, self.selector, self.clock)
        self.attempts: dict[FlowKey, Attempt] = {}
        """All attempts, also those that have ended."""
        self.open_attempts: set[FlowKey] = set()
        self.packets: dict[bytes, Packet] = {}
        self.accepted: set[FlowKey] = set()
        self.latencies: dict[Request, list[int]] = {}
        self.requests: list[Request] = []
        self.placed: list[tuple[Attempt, int]] = []
        self.refusals: list[Refusal] = []
        self.refused: set[Attempt] = set()
        self.crossed: set[Attempt] = set()
        """The refused attempts whose callers sent a copy before the reset came."""
        self.after_tick: Callable[[list[Action]], None] = lambda _actions: None
        for ip in self.servers:
            self.at(self.rng.randrange(REPORT_INTERVAL_MS), self._report, ip)
        self.at(0, self._tick)

    def at(self, delay_ms: int, action: Callable[..., None], *args: object) -> None:
        event = (self.clock.now_ms() + delay_ms, next(self.order), action, args)
        heapq.heappush(self.events, event)

    def run(self, duration_ms: int) -> None:
        until_ms = self.clock.now_ms() + duration_ms
        while self.events and self.events[0][0] <= until_ms:
            self.clock.current_ms, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.clock.current_ms = until_ms

    # Callers

    def send(self, kind: Kind) -> None:
        """Start a request now."""
        request = Request(kind, self.clock.now_ms(), len(self.requests))
        self.requests.append(request)
        self._open(request, 1)

    def send_at_rate(self, kind: Kind, per_s: float, duration_ms: int) -> None:
        """Start requests at random times for some time from now on."""
        delay_ms = self.rng.expovariate(per_s / 1_000)
        while delay_ms < duration_ms:
            self.at(round(delay_ms), self.send, kind)
            delay_ms += self.rng.expovariate(per_s / 1_000)

    def _open(self, request: Request, number: int) -> None:
        kind = request.kind
        flow = pack_flow_key(
            TransportProtocol.TCP,
            pack_ip(kind.caller),
            next(self.ports),
            pack_ip(kind.address.ip),
            kind.address.port,
        )
        self.attempts[flow] = Attempt(request, number, self.clock.now_ms())
        self.open_attempts.add(flow)
        for copy, delay_ms in enumerate((0, *COPIES_MS)):
            self.at(delay_ms + NETWORK_MS, self._receive_opening, flow, copy)
        self.at(ATTEMPT_MS, self._end_attempt, flow)

    def _receive_opening(self, flow: FlowKey, copy: int) -> None:
        if flow not in self.open_attempts or flow in self.accepted:
            return
        if self.attempts[flow] in self.refused:
            self.crossed.add(self.attempts[flow])
        raw = flow + bytes((copy,))
        packet = Packet(flow, True, False, False, False, 0, copy, 0, raw)
        self.packets[raw] = packet
        self._apply(self.balancer.handle_packet(packet))

    def _end_attempt(self, flow: FlowKey) -> None:
        """End an attempt that was refused or not accepted; start the next one."""
        if flow in self.accepted or flow not in self.open_attempts:
            return
        self.open_attempts.remove(flow)
        attempt = self.attempts[flow]
        if attempt.number >= attempt.request.kind.attempts:
            return
        self.at(RETRY_PAUSE_MS, self._open, attempt.request, attempt.number + 1)

    # The balancer

    def _tick(self) -> None:
        actions = self.balancer.tick()
        self.after_tick(actions)
        self._apply(actions)
        self.at(TICK_MS, self._tick)

    def _apply(self, actions: list[Action]) -> None:
        now_ms = self.clock.now_ms()
        for action in actions:
            if isinstance(action, SendMessage):
                message = action.message
                assert isinstance(message, ForwardedOpening)
                packet = self.packets[message.raw]
                self.at(NETWORK_MS, self._receive_forwarded, action.ip, packet)
            elif isinstance(action, ResetFlow):
                self.at(NETWORK_MS, self._end_attempt, action.packet.flow)
            elif isinstance(action, Record) and action.event == "opening_refused":
                assert action.packet is not None
                attempt = self.attempts[action.packet.flow]
                self.refused.add(attempt)
                self.refusals.append(Refusal(attempt, now_ms, dict(action.fields)))

    # Servers

    def _receive_forwarded(self, ip: str, packet: Packet) -> None:
        flow, server = packet.flow, self.servers[ip]
        if flow not in self.open_attempts or flow in self.accepted:
            return
        self.accepted.add(flow)
        answer = FlowAnswer(flow, Verdict.HELD)
        self._apply(self.balancer.handle_answer(answer, ip))
        self.placed.append((self.attempts[flow], self.clock.now_ms()))
        server.flows += 1
        # The acceptance reaches the caller, and its request the server.
        self.at(3 * NETWORK_MS, self._receive_request, ip, flow)

    def _receive_request(self, ip: str, flow: FlowKey) -> None:
        self.servers[ip].queue.append((self.attempts[flow], flow))
        self._begin(ip)

    def _begin(self, ip: str) -> None:
        server = self.servers[ip]
        if server.queue and not server.is_busy:
            attempt, _ = server.queue.popleft()
            server.is_busy = True
            work_ms = round(self.service_ms * self.rng.uniform(0.5, 1.5))
            self.at(work_ms, self._answer, ip, attempt)
        server.busy_meter.record_waiting_requests(server.count_waiting())

    def _answer(self, ip: str, attempt: Attempt) -> None:
        server = self.servers[ip]
        server.is_busy, server.flows = False, server.flows - 1
        request = attempt.request
        latency_ms = self.clock.now_ms() + NETWORK_MS - request.started_ms
        self.latencies.setdefault(request, []).append(latency_ms)
        self._begin(ip)

    def _report(self, ip: str) -> None:
        server = self.servers[ip]
        busy_share = server.busy_meter.read_busy_share()
        waiting = server.count_waiting()
        report = LoadReport(
            "gauging", server.flows, waiting, 60, busy_share, True, 0.0, 0, 33
        )
        self.at(NETWORK_MS, self.selector.record_message, ip, report)
        # A listing stays current.
        self.view.accept_listing(make_listing(1, *self.listed), self.clock.now_ms())
        self.at(REPORT_INTERVAL_MS, self._report, ip)

    # Results

    def count_in_time(self, caller: str = "") -> int:
        return sum(
            latency_ms <= request.kind.objective_ms
            for request, latencies in self.latencies.items()
            if caller in ("", request.kind.caller)
            for latency_ms in latencies
        )


def make_crowd_configuration(kinds: Sequence[Kind]) -> Configuration:
    routes = {
        pack_route_address(kind.address): Route(
            f"priority {kind.priority}",
            kind.address,
            (ServiceShare("gauging", 1),),
            kind.priority,
            kind.objective_ms,
            kind.timeout_ms,
        )
        for kind in kinds
    }
    return Configuration(1, routes, 15_000)
