"""A small fleet that serves one flow, and the promise about this flow.

While the backend server that holds the flow lives, the flow is not reset, and its
packets are not delivered to other backend servers alone. After it has died, the flow
ends within a bounded time.
"""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    FlowAnswer,
    FlowAnswers,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    FlowQuestions,
    Heartbeat,
    KnownBalancers,
    LoadReport,
    Message,
    Packet,
    ServerListing,
    StorePosition,
)
from citronwinch.coordination.flows._flow_search import SEARCH_TIMEOUT_MS
from citronwinch.coordination.flows._former_knowledge import SILENT_FLEET_TIMEOUT_MS
from citronwinch.coordination.flows._former_servers import AGENT_START_MS
from citronwinch.coordination.flows._view import OUTAGE_GAP_MS, OUTAGE_GRACE_MS
from citronwinch.coordination.flows.tests.conftest import make_packet, make_server
from citronwinch.coordination.flows.tests.small_fleet_balancer import (
    STOP_TIMEOUT_MS,
    BalancerProcess,
)
from citronwinch.coordination.flows.tests.small_fleet_processes import (
    RECENT_FAULT_MS,
    SERVER_SEQUENCE,
    AgentProcess,
    Process,
)

START_MS = 200_000
LATENCY_MS = 1
WARM_UP_MS = 2_300
"""The time before the flow is opened, in milliseconds; longer than that in which the
first listing may lack servers."""
BURST_PACKETS = 4
"""The packets of a request; a caller may have up to 16 in flight."""

CALLER_PAUSE_MS = 300
"""The time between an answer and the caller's next request, in milliseconds."""

RETRANSMISSION_MS = (200, 400, 800, 1_600)
"""The intervals of the caller's retransmissions; the last one is repeated."""

WRONG_DELIVERIES_PERIOD_MS = 2_000
WRONG_DELIVERIES_LIMIT = 3
WATCH_INTERVAL_MS = 50
MIN_REACHABLE_MS = 250
"""How long the holder's agent must be reachable to get a packet, in milliseconds: a
search asks agents again after a pause, and a packet that is lost comes again."""


DEAD_FLOW_TIMEOUT_MS = (
    STOP_TIMEOUT_MS
    + AGENT_START_MS
    + SILENT_FLEET_TIMEOUT_MS
    + SEARCH_TIMEOUT_MS
    + OUTAGE_GAP_MS
    + OUTAGE_GRACE_MS
    + RETRANSMISSION_MS[-1]
)
"""How long after the last fault, and after the listing lacks its server, the flow of a
dead server may last, in milliseconds: the restart of an agent, the wait for other
balancers, a search, an outdated listing, a grace time and a retransmission."""


class Disturbance(NamedTuple):
    """Messages of one kind between two processes are lost or late for some time."""

    ips: frozenset[str]
    kind: str
    until_ms: int
    delay_ms: int
    """How late the messages are, in milliseconds; 0 if they are lost."""


class BrokenPromiseError(Exception):
    """The flow was reset or misdirected, or did not end."""


def find_kind(message: Message) -> str:
    """Return the kind of a message, by the process boundary that it crosses."""
    if isinstance(message, FlowQuestion | FlowQuestions | FlowAnswer | FlowAnswers):
        return "questions"
    if isinstance(message, Heartbeat | KnownBalancers | LoadReport):
        return "heartbeats"
    if isinstance(message, FlowLookup | FlowLocations):
        return "lookups"
    return "packets"


class SmallFleet:
    """Balancers of one zone, backend servers with their agents, and one flow."""

    STORE_IP = "store"

    def __init__(
        self, balancers: int = 2, servers: int = 3, *, has_seeds: bool = True
    ) -> None:
        self.clock = ManualClock(START_MS)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled = 0
        self.packets: dict[bytes, Packet] = {}
        self.disturbances: list[Disturbance] = []
        self.revision = 10
        self.balancers = [f"10.1.0.{n + 1}" for n in range(balancers)]
        self.seeds = self.balancers if has_seeds else ["10.1.0.99"]
        """The seeds of all balancers; without live ones nobody is there."""
        self.servers = [make_server(n + 1) for n in range(servers)]
        self.listed = {server.name: server for server in self.servers}
        self.agents = {s.address.ip: AgentProcess(self, s) for s in self.servers}
        self.processes: dict[str, Process] = {**self.agents}
        for ip in self.balancers:
            self.processes[ip] = BalancerProcess(self, ip)
        for process in self.processes.values():
            process.start(is_first_start=True)
        self.routed = self.balancers[0]
        """The balancer to which the routers send the flow's packets."""
        self.last_balancer = ""
        self.request = 0
        self.attempt = 0
        self.is_answered = self.is_open = self.is_reset = False
        self.deliveries: list[tuple[int, bool]] = []
        """When the flow's packets were delivered, and whether to the holder."""
        self.watched_ms: int | None = None
        """When the period began in which packets were delivered to other servers."""
        self.settled_ms = START_MS
        """When the last fault ended, and the listing lacked a dead server."""
        self.holder = self.other = next(iter(self.agents.values()))
        self.unplanned_until_ms = 0
        """Until when the last unplanned fault lasts, in milliseconds."""
        self.open_flow()

    def schedule(self, after_ms: int, event: Callable[[], None]) -> None:
        """Run an event after a time."""
        self.scheduled += 1
        at_ms = self.clock.now_ms() + after_ms
        heapq.heappush(self.events, (at_ms, self.scheduled, event))

    def run(self, for_ms: int) -> None:
        """Run the events of some time, until the flow is reset."""
        until_ms = self.clock.now_ms() + for_ms
        while self.events and self.events[0][0] <= until_ms and not self.is_reset:
            at_ms, _, event = heapq.heappop(self.events)
            self.clock.advance(at_ms - self.clock.now_ms())
            event()
        self.clock.advance(until_ms - self.clock.now_ms())

    def run_to_the_end(self) -> None:
        """Let time pass until the flow has ended, or was served after all faults."""
        while self.clock.now_ms() < self.settled_ms + 2_000:
            self.run(200)
            if self.is_reset:
                return
        while not self.holder.lives and not self.is_reset:
            if self.clock.now_ms() > self.settled_ms + DEAD_FLOW_TIMEOUT_MS:
                waited_ms = self.clock.now_ms() - self.settled_ms
                raise BrokenPromiseError(f"not reset for {waited_ms} ms")
            self.run(200)

    def make_listing(self) -> ServerListing:
        """Return what the store lists."""
        return ServerListing(StorePosition(1, self.revision), dict(self.listed))

    def extend_faults(self, for_ms: int, *, is_planned: bool = False) -> None:
        """Record that a fault, or planned work, lasts for some time."""
        until_ms = self.clock.now_ms() + for_ms
        self.settled_ms = max(self.settled_ms, until_ms)
        if not is_planned:
            self.unplanned_until_ms = max(self.unplanned_until_ms, until_ms)

    # Messages.

    def is_lost(self, ip: str, other: str, kind: str) -> bool:
        """Return whether messages between two processes are lost now."""
        return any(not each.delay_ms for each in self._find_active(ip, other, kind))

    def _find_active(self, ip: str, other: str, kind: str) -> list[Disturbance]:
        now_ms, ips = self.clock.now_ms(), {ip, other}
        return [
            each
            for each in self.disturbances
            if each.kind == kind and each.ips == ips and now_ms < each.until_ms
        ]

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Send a message that may be lost or late."""
        process = self.processes.get(receiver)
        active = self._find_active(sender, receiver, find_kind(message))
        if process is None or any(not each.delay_ms for each in active):
            return
        delay_ms = sum(each.delay_ms for each in active) + LATENCY_MS

        def arrive() -> None:
            process.schedule(0, lambda: process.handle_message(message, sender))

        self.schedule(delay_ms, arrive)

    # The caller.

    def open_flow(self) -> None:
        """Let all processes find each other, then open the flow."""
        self.run(WARM_UP_MS)
        opening = make_packet(opening=True)
        self.packets[opening.raw] = opening
        self._send_to_balancer(opening)
        self.run(5)
        holders = [agent for agent in self.agents.values() if agent.holds_flow]
        if len(holders) != 1:
            raise ValueError(f"expected one server that accepts, found {len(holders)}")
        self.holder = holders[0]
        self.other = next(a for a in self.agents.values() if a is not self.holder)
        self.run(600)

    def _send_to_balancer(self, packet: Packet) -> None:
        balancer = self.processes[self.routed]
        assert isinstance(balancer, BalancerProcess)
        if not balancer.is_running:
            running = [ip for ip in self.balancers if self.processes[ip].is_running]
            self.routed = next(iter(running), self.routed)
            return
        balancer.schedule(LATENCY_MS, lambda: balancer.handle_packet(packet))

    def _send_request(self) -> None:
        self.request += 1
        self.attempt = 0
        self.is_answered = False
        self._send_burst(self.request)

    def _send_burst(self, request: int) -> None:
        if self.is_reset or request != self.request or self.is_answered:
            return
        for number in range(BURST_PACKETS):
            packet = make_packet(
                sequence=(request * BURST_PACKETS + number) * 10,
                acknowledged=SERVER_SEQUENCE + 1,
                payload=10,
            )
            is_full_size = number < BURST_PACKETS - 1
            self.packets[packet.raw] = packet._replace(is_full_size=is_full_size)
            self._send_to_balancer(self.packets[packet.raw])
        interval = min(self.attempt, len(RETRANSMISSION_MS) - 1)
        self.attempt += 1
        self.schedule(RETRANSMISSION_MS[interval], lambda: self._send_burst(request))

    def handle_answer(self, packet: Packet) -> None:
        """Handle a packet of the backend server at the caller."""
        if packet.is_opening:
            if not self.is_open:
                self.is_open = True
                self.schedule(LATENCY_MS, self._send_request)
        elif not self.is_answered and not packet.is_full_size:
            self.is_answered = True
            self.schedule(CALLER_PAUSE_MS, self._send_request)

    # The promise.

    def record_reset(self, sender: str) -> None:
        """Record a reset of the flow; it may only come after the holder's death."""
        self.is_reset = True
        is_excused = self._is_excused(sender) or self._is_holder_long_silent(sender)
        if self.holder.lives and not is_excused:
            raise BrokenPromiseError(f"{sender} reset the flow")

    def _is_excused(self, sender: str) -> bool:
        """Return whether every balancer that knew of the holder has lost its memory.

        During unplanned faults, a process that has itself just been started, or was
        paused until lately, is excused. Here this holds only if no other running
        balancer knows of the holder, and could have told the sender.
        """
        now_ms = self.clock.now_ms()
        process = self.processes[sender]
        others = [self.processes[ip] for ip in self.balancers if ip != sender]
        return (
            isinstance(process, BalancerProcess)
            and now_ms - max(process.started_ms, process.paused_until_ms)
            < RECENT_FAULT_MS
            and now_ms - self.unplanned_until_ms < RECENT_FAULT_MS
            and not any(
                isinstance(other, BalancerProcess)
                and other.is_running
                and other.knows(self.holder.server)
                for other in others
            )
        )

    def _is_holder_long_silent(self, sender: str) -> bool:
        """Return whether faults have kept the holder's agent silent for too long.

        The agent must have been killed or paused lately, and the sender of the reset
        must have run without a message of it for longer than a restart may take.
        """
        balancer = self.processes[sender]
        now_ms = self.clock.now_ms()
        if not isinstance(balancer, BalancerProcess):
            return False
        heard_ms = balancer.selector.get_last_message_ms(self.holder.ip)
        silent_ms = now_ms - max(heard_ms, balancer.started_ms)
        is_long = silent_ms > STOP_TIMEOUT_MS + AGENT_START_MS
        return is_long and self.holder.was_faulty(now_ms)

    def record_delivery(self, agent: AgentProcess) -> None:
        """Record a packet's delivery to a server; it may not go to others for long."""
        if not self.is_open:
            return
        now_ms = self.clock.now_ms()
        self.deliveries.append((now_ms, agent is self.holder))
        is_watched = self.watched_ms is not None
        if agent is not self.holder and self.holder.lives and not is_watched:
            self.watched_ms = now_ms
            self._watch(now_ms, self.last_balancer, 0)

    def _watch(self, since_ms: int, balancer: str, reachable_ms: int) -> None:
        """Check the packets delivered in a period that began with a wrong delivery."""
        recent = [is_right for at_ms, is_right in self.deliveries if at_ms >= since_ms]
        if any(recent) or not self.holder.lives:
            self.watched_ms = None
            return
        if self.is_holder_reachable(balancer):
            reachable_ms += WATCH_INTERVAL_MS
        if self.clock.now_ms() < since_ms + WRONG_DELIVERIES_PERIOD_MS:
            self.schedule(
                WATCH_INTERVAL_MS,
                lambda: self._watch(since_ms, balancer, reachable_ms),
            )
            return
        self.watched_ms = None
        is_excused = self._is_excused(balancer) or self.holder.was_faulty(since_ms)
        is_counted = reachable_ms >= MIN_REACHABLE_MS and not is_excused
        if len(recent) >= WRONG_DELIVERIES_LIMIT and is_counted:
            raise BrokenPromiseError(
                f"{len(recent)} packets were delivered to other servers and none to "
                f"{self.holder.server.name} in {WRONG_DELIVERIES_PERIOD_MS} ms"
            )

    def is_holder_reachable(self, balancer: str) -> bool:
        """Return whether the holder's agent could get packets of a balancer now."""
        agent = self.holder
        return (
            agent.is_running
            and agent.paused_until_ms <= self.clock.now_ms()
            and not self._find_active(balancer, agent.ip, "packets")
            and not self._find_active(balancer, agent.ip, "questions")
        )
