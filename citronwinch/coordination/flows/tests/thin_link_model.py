"""A model of callers that upload through a balancer on a thin link.

The link is one queue for both directions, so that each packet passes it twice.
Agents acknowledge directly to the callers. Only the balancer's decisions are the code
under test: `BalancerFlows`.
"""

import random
from collections import deque
from typing import NamedTuple

from citronwinch.coordination import Endpoint, FlowKey, ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    ForwardedOpening,
    ForwardedPacket,
    LoadReport,
    Packet,
    ResetFlow,
    SendMessage,
    ServerSelector,
)
from citronwinch.coordination.flows._known_flows import KnownFlow
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)

WINDOW_PACKETS = 16
FULL_PAYLOAD_BYTES = 1_200
HEADER_BYTES = 36
UPLOAD_PACKETS = 67
RETURN_PATH_MS = 3
FIRST_RESEND_MS = 200
LONGEST_RESEND_MS = 1_600
OPENING_COPIES_MS = (0, 200, 600)
ATTEMPT_MS = 1_400
OBJECTIVE_MS = 1_500
TIMEOUT_MS = 4_000
TICK_MS = 20
REPORT_MS = 40
SMALL_PAYLOAD_BYTES = 100
SMALL_PORT = 60_000
FORMER_PASS_MS = 200
"""The time in which the windows of accepted uploads passed the link in and out, by the
former limit."""


class Passage(NamedTuple):
    """A packet that waits for the link."""

    packet: Packet
    size_bytes: int
    queued_ms: int
    is_inbound: bool


class Caller:
    """A caller that uploads 80 KB on a flow of its own."""

    def __init__(self, port: int, started_ms: int) -> None:
        self.port = port
        self.started_ms = started_ms
        self.finished_ms: int | None = None
        self.is_open = False
        self.has_failed = False
        self.copies = 0
        self.next_number = 0
        self.resend_ms: dict[int, tuple[int, int]] = {}
        """When each unacknowledged packet is sent again, and the interval before."""

    def list_due(self, now_ms: int) -> list[Packet]:
        """Return the packets that the caller sends now."""
        if self.finished_ms is not None or self.has_failed:
            return []
        age_ms = now_ms - self.started_ms
        if not self.is_open:
            self.has_failed = age_ms >= ATTEMPT_MS
            is_due = (
                self.copies < len(OPENING_COPIES_MS)
                and age_ms >= OPENING_COPIES_MS[self.copies]
            )
            if self.has_failed or not is_due:
                return []
            self.copies += 1
            return [
                make_packet(
                    self.port, REPORTING, opening=True, acknowledged=self.copies - 1
                )
            ]
        due = [number for number, (at, _) in self.resend_ms.items() if at <= now_ms]
        while (
            len(self.resend_ms) < WINDOW_PACKETS and self.next_number < UPLOAD_PACKETS
        ):
            self.resend_ms[self.next_number] = now_ms, FIRST_RESEND_MS // 2
            due.append(self.next_number)
            self.next_number += 1
        for number in due:
            interval_ms = min(2 * self.resend_ms[number][1], LONGEST_RESEND_MS)
            self.resend_ms[number] = now_ms + interval_ms, interval_ms
        return [self._make_data(number) for number in due]

    def _make_data(self, number: int) -> Packet:
        is_full = number < UPLOAD_PACKETS - 1
        payload = FULL_PAYLOAD_BYTES if is_full else 800
        packet = make_packet(self.port, REPORTING, sequence=number, payload=payload)
        return packet._replace(is_full_size=is_full)

    def handle_acknowledgement(self, packet: Packet, now_ms: int) -> None:
        """Handle the server's answer to one of the caller's packets."""
        if packet.is_opening:
            self.is_open = True
            return
        self.resend_ms.pop(packet.sequence, None)
        is_complete = self.next_number == UPLOAD_PACKETS and not self.resend_ms
        if is_complete and self.finished_ms is None:
            self.finished_ms = now_ms

    def is_in_time(self, objective_ms: int) -> bool:
        """Return whether the upload was complete within a latency objective."""
        finished_ms = self.finished_ms
        return finished_ms is not None and finished_ms - self.started_ms <= objective_ms


class ThinLinkModel:
    """Callers, one balancer with its link, and the agents of its servers."""

    def __init__(self, link_mbps: int, *, is_former: bool = False) -> None:
        self.clock = ManualClock(100_000)
        self.bytes_per_ms = link_mbps * 125
        self.balancer = make_balancer(self.clock, link_mbps)
        if is_former:
            self._apply_former_rules(link_mbps)
        self.link: deque[Passage] = deque()
        self.credit_bytes = 0
        self.callers: dict[FlowKey, Caller] = {}
        self.returning: deque[tuple[int, Packet]] = deque()
        self.packets_by_raw: dict[bytes, Packet] = {}
        self.small_waits_ms: list[int] = []
        """How long each small packet waited on each passage of the link."""
        self.sent_data_packets = 0
        self.largest_link_packets = 0
        self.is_former = is_former

    def _apply_former_rules(self, link_mbps: int) -> None:
        window_bytes = WINDOW_PACKETS * (FULL_PAYLOAD_BYTES + HEADER_BYTES)
        limit = link_mbps * 125 * FORMER_PASS_MS // (2 * window_bytes)
        self.balancer.uploads.limit = max(1, limit)
        self.balancer.pacing.is_active = False

    def run(self, arrivals_ms: list[int], duration_ms: int, small_per_s: int) -> None:
        """Let uploads arrive at the given times of the run."""
        waiting = deque(sorted(arrivals_ms))
        rng = random.Random(5)
        for elapsed_ms in range(duration_ms):
            while waiting and waiting[0] <= elapsed_ms:
                self._add_caller(waiting.popleft())
            if rng.random() < small_per_s / 1_000:
                self._send(make_packet(SMALL_PORT, payload=SMALL_PAYLOAD_BYTES))
            self._step(elapsed_ms)
            self.clock.advance(1)

    def _add_caller(self, arrived_ms: int) -> None:
        port = 10_000 + len(self.callers)
        key = make_packet(port, REPORTING).flow
        self.callers[key] = Caller(port, 100_000 + arrived_ms)

    def _step(self, elapsed_ms: int) -> None:
        now_ms = self.clock.now_ms()
        if elapsed_ms % REPORT_MS == 0:
            report_loads(self.balancer.selector)
        while self.returning and self.returning[0][0] <= now_ms:
            packet = self.returning.popleft()[1]
            if packet.flow in self.callers:
                self.callers[packet.flow].handle_acknowledgement(packet, now_ms)
        for caller in self.callers.values():
            for packet in caller.list_due(now_ms):
                self.sent_data_packets += not packet.is_opening
                self._send(packet)
        if elapsed_ms % TICK_MS == 0:
            self._apply(self.balancer.tick())
        self._pass_link()

    def _send(self, packet: Packet, *, is_inbound: bool = True) -> None:
        size_bytes = packet.payload_bytes + HEADER_BYTES
        now_ms = self.clock.now_ms()
        self.packets_by_raw[packet.raw] = packet
        self.link.append(Passage(packet, size_bytes, now_ms, is_inbound))
        self.largest_link_packets = max(self.largest_link_packets, len(self.link))

    def _pass_link(self) -> None:
        self.credit_bytes += self.bytes_per_ms
        while self.link and self.link[0].size_bytes <= self.credit_bytes:
            passage = self.link.popleft()
            self.credit_bytes -= passage.size_bytes
            now_ms = self.clock.now_ms()
            if passage.packet.payload_bytes == SMALL_PAYLOAD_BYTES:
                self.small_waits_ms.append(now_ms - passage.queued_ms)
            if passage.is_inbound:
                self._apply(self.balancer.handle_packet(passage.packet))
            else:
                self.returning.append((now_ms + RETURN_PATH_MS, passage.packet))
        if not self.link:
            self.credit_bytes = 0

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, ResetFlow):
                self.callers[action.packet.flow].has_failed = True
            elif isinstance(action, SendMessage) and isinstance(
                action.message, ForwardedPacket | ForwardedOpening
            ):
                raw = action.message.raw
                self._send(self.packets_by_raw[raw], is_inbound=False)
        if self.is_former:
            # Formerly, openings beyond the limit were refused at once.
            for held in list(self.balancer.held_uploads.openings.values()):
                self.balancer.held_uploads.remove(held.packet.flow)
                self.callers[held.packet.flow].has_failed = True

    def count_in_time(self, objective_ms: int = OBJECTIVE_MS) -> int:
        """Return how many uploads were complete in time."""
        return sum(caller.is_in_time(objective_ms) for caller in self.callers.values())


def make_balancer(clock: ManualClock, link_mbps: int) -> BalancerFlows:
    """Return a balancer with an upload route and a route with an open flow."""
    view = DeploymentView(clock)
    uploads = make_route("manifests", REPORTING, "reporting")
    view.accept_configuration(
        make_configuration(
            2,
            make_route("boards", GAUGING, "gauging"),
            uploads._replace(
                has_large_requests=True,
                latency_objective_ms=OBJECTIVE_MS,
                timeout_ms=TIMEOUT_MS,
            ),
        )
    )
    servers = [make_server(number, "reporting") for number in range(2, 12)]
    view.accept_listing(
        make_listing(10, make_server(1), *servers, make_server(12)), clock.now_ms()
    )
    selector = ServerSelector("a", clock, random.Random(7))
    report_loads(selector)
    balancer = BalancerFlows(view, selector, clock, link_mbps)
    small = KnownFlow(make_endpoint(1).ip, "gauging", clock.now_ms())
    balancer.flows.store(make_packet(SMALL_PORT).flow, small)
    return balancer


def report_loads(selector: ServerSelector) -> None:
    """Let the agents report that their servers are idle."""
    for number in range(2, 12):
        report = LoadReport("reporting", 0, 0, 0, 0.0, True)
        selector.record_message(make_endpoint(number).ip, report)


def make_endpoint(number: int) -> Endpoint:
    """Return the address of an agent."""
    return Endpoint(f"10.0.0.{number}", 8080)


def make_arrivals(per_s: float, duration_ms: int, seed: int = 3) -> list[int]:
    """Return random times at which uploads arrive."""
    rng = random.Random(seed)
    arrivals_ms: list[int] = []
    now_ms = rng.expovariate(per_s / 1_000)
    while now_ms < duration_ms:
        arrivals_ms.append(int(now_ms))
        now_ms += rng.expovariate(per_s / 1_000)
    return arrivals_ms
