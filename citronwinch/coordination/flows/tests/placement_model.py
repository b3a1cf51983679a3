"""A model of balancers that place flows at backend servers by delayed load reports.

Long flows send requests for tens of seconds and can only go to the server of their
flow; short flows send one request each. Servers process requests in the order of their
arrival, and refuse them when their queue is full. Only the choice of the server is the
code under test: `ServerSelector` and `LoadReporting`.
"""

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BackendServer,
    LoadReport,
    LoadReporting,
    ServerSelector,
)
from citronwinch.coordination.flows._busy_meter import BusyMeter
from citronwinch.coordination.flows._control_pace import compute_interval_ms

SERVER_QUEUE_PER_SLOT = 10
HELD_RETRY_MS = 20
HOLD_TIMEOUT_MS = 400
LATENCY_WEIGHT = 0.15
SERVICE_WEIGHT = 0.05
MAX_SAMPLE_FACTOR = 4
HEARTBEAT_MS = 300
REMOTE_HEARTBEAT_MS = 2_000
REMOTE_REPORT_MS = 300
REPORT_TICK_MS = 40
SHARE_STEPS = 20


class Traffic(NamedTuple):
    """What the callers of one zone send."""

    long_flows: int
    """The long flows that are open at any time."""

    requests_per_s: float
    """The requests per second on all long flows."""

    short_per_s: float
    """The short flows per second, with one request each."""

    work_ms: float
    """The mean time of a request at a server of the usual speed."""

    objective_ms: int = 356
    """The time within which a request is in time, for both kinds of flows."""

    long_flow_ms: float = 25_000
    """The mean lifetime of a long flow."""

    long_request_share: float = 0.0
    """The share of requests that take seven times as long as the others."""

    scale: Callable[[float], float] = lambda _now_ms: 1.0
    """The factor of the demand at a time of the run."""


class Request(NamedTuple):
    """A request on its way."""

    started_ms: float
    deadline_ms: float
    work_ms: float
    kind: str
    zone: str


class ModelServer:
    """A backend server and what its agent measures."""

    def __init__(self, server: BackendServer, slowness: float, clock: ManualClock):
        self.server = server
        self.slowness = slowness
        self.clock = clock
        self.queue: deque[Request] = deque()
        self.in_service = 0
        self.flows = 0
        self.generation = 0
        """How often the server has been replaced."""
        self.latency_ms = 0.0
        self.service_ms = 0.0
        self.busy_meter = BusyMeter(clock)
        self.reporting = LoadReporting(clock)

    def make_report(self) -> LoadReport:
        busy_share = self.busy_meter.read_busy_share()
        return LoadReport(
            "gauging",
            self.flows,
            len(self.queue) + self.in_service,
            round(self.latency_ms),
            round(busy_share * SHARE_STEPS) / SHARE_STEPS,
            True,
            service_ms=round(self.service_ms),
        )


class Balancer(NamedTuple):
    """A balancer of one zone."""

    zone: str
    selector: ServerSelector


class Placement:
    """The event loop: callers, balancers, servers and the reports between them."""

    def __init__(
        self,
        servers: dict[BackendServer, float],
        traffic: dict[str, Traffic],
        *,
        balancers: int,
        reports_service_times: bool,
        seed: int = 1,
        zone_latency_ms: float = 1.4,
    ) -> None:
        self.clock = ManualClock(100_000)
        self.rng = random.Random(seed)
        self.traffic = traffic
        self.reports_service_times = reports_service_times
        self.zone_latency_ms = zone_latency_ms
        self.events: list[
            tuple[float, int, Callable[..., None], tuple[object, ...]]
        ] = []
        self.order = count()
        self.now_ms = 0.0
        self.servers = {
            server.address.ip: ModelServer(server, slowness, self.clock)
            for server, slowness in servers.items()
        }
        self.balancers = [
            Balancer(zone, ServerSelector(zone, self.clock, random.Random(seed + n)))
            for zone in traffic
            for n in range(balancers)
        ]
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.remote_requests: Counter[int] = Counter()
        """Requests to servers of other zones, by second."""
        self.remote_openings: Counter[tuple[str, int]] = Counter()
        """Openings placed in other zones, by the caller's zone and second."""
        self.openings: Counter[tuple[str, int]] = Counter()
        self.remote_openers: dict[str, dict[int, float]] = {}
        self._start(balancers)

    def _start(self, balancers: int) -> None:
        interval_ms = compute_interval_ms(HEARTBEAT_MS, len(self.servers), 12)
        for balancer in self.balancers:
            balancer.selector.set_heartbeat_intervals(interval_ms, REMOTE_HEARTBEAT_MS)
            for ip, model in self.servers.items():
                balancer.selector.record_message(ip)
                is_local = model.server.availability_zone == balancer.zone
                every_ms = interval_ms if is_local else REMOTE_HEARTBEAT_MS
                self.at(self.rng.random() * every_ms, self._heartbeat, balancer, ip)
        for ip in self.servers:
            self.at(self.rng.random() * REPORT_TICK_MS, self._tick_agent, ip)
            self.at(self.rng.random() * REMOTE_REPORT_MS, self._tick_remote, ip)
        for zone, traffic in self.traffic.items():
            for _ in range(traffic.long_flows):
                self.at(self.rng.random() * 1_000, self._open, zone, "long")
            self._schedule_short(zone)

    def at(self, delay_ms: float, action: Callable[..., None], *args: object) -> None:
        heapq.heappush(
            self.events, (self.now_ms + delay_ms, next(self.order), action, args)
        )

    def run(self, until_ms: float) -> None:
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, args = heapq.heappop(self.events)
            self.clock.current_ms = 100_000 + int(self.now_ms)
            action(*args)
        self.now_ms = until_ms

    # Reports

    def _heartbeat(self, balancer: Balancer, ip: str) -> None:
        is_local = self.servers[ip].server.availability_zone == balancer.zone
        interval_ms = compute_interval_ms(HEARTBEAT_MS, len(self.servers), 12)
        self._send_report(balancer, ip)
        self.at(
            interval_ms if is_local else REMOTE_HEARTBEAT_MS,
            self._heartbeat,
            balancer,
            ip,
        )

    def _tick_agent(self, ip: str) -> None:
        model = self.servers[ip]
        local = [
            balancer
            for balancer in self.balancers
            if balancer.zone == model.server.availability_zone
        ]
        if model.reporting.is_due(model.make_report(), len(local)):
            for balancer in local:
                self._send_report(balancer, ip)
        self.at(REPORT_TICK_MS, self._tick_agent, ip)

    def _tick_remote(self, ip: str) -> None:
        openers = self.remote_openers.setdefault(ip, {})
        for index, until_ms in list(openers.items()):
            if until_ms < self.now_ms:
                del openers[index]
            else:
                self._send_report(self.balancers[index], ip)
        self.at(REMOTE_REPORT_MS, self._tick_remote, ip)

    def _send_report(self, balancer: Balancer, ip: str) -> None:
        report = self.servers[ip].make_report()
        if not self.reports_service_times:
            report = report._replace(service_ms=0)
        delay_ms = self._compute_delay_ms(balancer.zone, ip) + self.rng.random() * 15
        self.at(delay_ms, balancer.selector.record_message, ip, report)

    def _compute_delay_ms(self, zone: str, ip: str) -> float:
        is_local = self.servers[ip].server.availability_zone == zone
        return 0.3 if is_local else self.zone_latency_ms

    # Callers

    def _schedule_short(self, zone: str) -> None:
        traffic = self.traffic[zone]
        rate = traffic.short_per_s * traffic.scale(self.now_ms)
        self.at(self.rng.expovariate(rate) * 1_000, self._arrive_short, zone)

    def _arrive_short(self, zone: str) -> None:
        self._open(zone, "short")
        self._schedule_short(zone)

    def _open(self, zone: str, kind: str) -> None:
        own = [n for n, b in enumerate(self.balancers) if b.zone == zone]
        self._place(self.rng.choice(own), zone, kind, self.now_ms)

    def _place(self, index: int, zone: str, kind: str, started_ms: float) -> None:
        objective_ms = self.traffic[zone].objective_ms
        selector = self.balancers[index].selector
        chosen = selector.choose(
            [model.server for model in self.servers.values()], (), objective_ms
        )
        assert chosen is not None
        if chosen.is_full(objective_ms):
            if self.now_ms - started_ms < HOLD_TIMEOUT_MS:
                self.at(HELD_RETRY_MS, self._place, index, zone, kind, started_ms)
            else:
                self._record(kind, "refused")
                if kind == "long":
                    self.at(500, self._open, zone, kind)
            return
        selector.record_placed_flow(chosen.server)
        ip, second = chosen.server.address.ip, int(self.now_ms) // 1_000
        self.openings[zone, second] += 1
        if chosen.server.availability_zone != zone:
            self.remote_openings[zone, second] += 1
            openers = self.remote_openers.setdefault(ip, {})
            openers[index] = self.now_ms + 10_000
        delay_ms = 1 + 3 * self._compute_delay_ms(zone, ip)
        self.at(delay_ms, self._accept, ip, zone, kind, started_ms)

    def _accept(self, ip: str, zone: str, kind: str, started_ms: float) -> None:
        model = self.servers[ip]
        model.flows += 1
        if kind == "short":
            self._request(ip, zone, kind, started_ms)
            return
        ends_ms = self.now_ms + self.rng.expovariate(
            1 / self.traffic[zone].long_flow_ms
        )
        self._schedule_long(ip, zone, model.generation, ends_ms)

    def _schedule_long(
        self, ip: str, zone: str, generation: int, ends_ms: float
    ) -> None:
        traffic = self.traffic[zone]
        rate = traffic.requests_per_s / traffic.long_flows
        rate *= traffic.scale(self.now_ms)
        delay_ms = self.rng.expovariate(rate) * 1_000
        ends = (ip, zone, generation)
        if self.now_ms + delay_ms < ends_ms:
            self.at(delay_ms, self._request_long, *ends, ends_ms)
        else:
            self.at(ends_ms - self.now_ms, self._close, *ends)

    def _request_long(
        self, ip: str, zone: str, generation: int, ends_ms: float
    ) -> None:
        if generation != self.servers[ip].generation:
            self._open(zone, "long")
            return
        self._request(ip, zone, "long", self.now_ms)
        self._schedule_long(ip, zone, generation, ends_ms)

    def _close(self, ip: str, zone: str, generation: int) -> None:
        if generation == self.servers[ip].generation:
            self.servers[ip].flows -= 1
        self._open(zone, "long")

    def replace_server(self, ip: str) -> None:
        """Replace a server by an empty one; its long flows open again elsewhere."""
        model = self.servers[ip]
        model.generation += 1
        # Short flows that are in progress still end at the new server.
        model.flows = model.in_service + len(model.queue)
        model.service_ms = model.latency_ms = 0.0

    # Servers

    def _request(self, ip: str, zone: str, kind: str, started_ms: float) -> None:
        traffic, model = self.traffic[zone], self.servers[ip]
        if model.server.availability_zone != zone:
            self.remote_requests[int(self.now_ms) // 1_000] += 1
        share = traffic.long_request_share
        factor = 7.0 if self.rng.random() < share else 1.0
        mean_ms = traffic.work_ms / (1 + 6 * share)
        work_ms = factor * mean_ms * self.rng.uniform(0.5, 1.5) * model.slowness
        request = Request(
            started_ms, started_ms + traffic.objective_ms, work_ms, kind, zone
        )
        if len(model.queue) >= SERVER_QUEUE_PER_SLOT * model.server.slots:
            self._record(kind, "refused")
            if kind == "short":
                model.flows -= 1
            return
        model.queue.append(request)
        self._begin_requests(ip)

    def _begin_requests(self, ip: str) -> None:
        model = self.servers[ip]
        while model.queue and model.in_service < model.server.slots:
            request = model.queue.popleft()
            model.in_service += 1
            self.at(request.work_ms, self._answer, ip, request)
        model.busy_meter.record_waiting_requests(model.in_service)

    def _answer(self, ip: str, request: Request) -> None:
        model = self.servers[ip]
        model.in_service -= 1
        latency_ms = self.now_ms - request.started_ms
        model.latency_ms += LATENCY_WEIGHT * (latency_ms - model.latency_ms)
        mean_ms = model.service_ms or request.work_ms
        sample_ms = min(request.work_ms, MAX_SAMPLE_FACTOR * mean_ms)
        model.service_ms = mean_ms + SERVICE_WEIGHT * (sample_ms - mean_ms)
        is_timely = self.now_ms <= request.deadline_ms
        self._record(request.kind, "timely" if is_timely else "late")
        if request.kind == "short":
            model.flows -= 1
        self._begin_requests(ip)

    def _record(self, kind: str, outcome: str) -> None:
        self.outcomes[kind, outcome] += 1

    # Results

    def compute_timely_share(self, *kinds: str) -> float:
        kinds = kinds or ("long", "short")
        total = sum(n for (kind, _), n in self.outcomes.items() if kind in kinds)
        return sum(self.outcomes[kind, "timely"] for kind in kinds) / total


def wave(
    amplitude: float, period_ms: float, phase: float = 0.0
) -> Callable[[float], float]:
    """Return a demand that swings around its mean."""
    return lambda now_ms: (
        1 + amplitude * math.sin(2 * math.pi * (now_ms / period_ms + phase))
    )
