"""The processes of a small fleet: balancers, agents and backend servers, in one clock.

They drive the decisions as the processes of `citronwinch.forwarder` do, without sockets
and without an event loop.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BackendServer,
    DeliverToCaller,
    DeliverToServer,
    FlowQuestion,
    FlowQuestions,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    KnownBalancers,
    LoadReporting,
    Message,
    ResetFlow,
    SendMessage,
)
from citronwinch.coordination.flows._server_liveness import ServerCheck

if TYPE_CHECKING:
    from citronwinch.coordination.flows.tests.small_fleet import SmallFleet

BALANCER_STOP_MS = 2_500
AGENT_STOP_MS = 100
AGENT_TICK_MS = 200
REPORTED_BALANCER_TIMEOUT_MS = 2_000
SERVER_ANSWER_MS = 5
RECENT_FAULT_MS = 4_000
"""How long after a fault or a start a process may be excused, in milliseconds; the
shortest such time of the deployments."""

SERVER_SEQUENCE = 700


class Process:
    """A process that may be stopped, killed, paused and started again."""

    def __init__(self, fleet: "SmallFleet", ip: str) -> None:
        self.fleet = fleet
        self.clock = fleet.clock
        self.ip = ip
        self.run = 0
        """The number of this run; events of an earlier run are ignored."""
        self.is_running = False
        self.is_stopping = False
        self.paused_until_ms = 0
        self.started_ms = 0
        self.tick_number = 0
        self.is_idle = True

    def schedule(self, after_ms: int, event: Callable[[], None]) -> None:
        """Run an event after a time, unless this run of the process has ended."""
        run = self.run

        def call() -> None:
            if run != self.run or not self.is_running:
                return
            wait_ms = self.paused_until_ms - self.clock.now_ms()
            if wait_ms > 0:
                self.fleet.schedule(wait_ms, call)
                return
            event()
            if self.is_idle and self.has_pending_work():
                self.schedule_tick()

        self.fleet.schedule(after_ms, call)

    def start(self, *, is_first_start: bool = False) -> None:
        """Start with empty state."""
        if self.is_running:
            return
        self.run += 1
        self.is_running, self.is_stopping = True, False
        self.paused_until_ms = 0
        self.started_ms = self.clock.now_ms()
        self.reset_state(is_first_start)
        self.schedule_tick()

    def kill(self) -> None:
        """End at once."""
        self.is_running = False

    def stop(self, after_ms: int) -> None:
        """Announce the stop, and end after some time."""
        if not self.is_running or self.is_stopping:
            return
        self.is_stopping = True
        self.begin_stop()
        self.schedule(after_ms, self.kill)

    def schedule_tick(self) -> None:
        """Schedule the next tick, instead of the one that is scheduled."""
        self.tick_number += 1
        number = self.tick_number
        self.is_idle = not self.has_pending_work()

        def tick() -> None:
            if number == self.tick_number:
                self.tick()
                self.schedule_tick()

        self.schedule(self.compute_tick_ms(), tick)

    def send(self, ip: str, message: Message) -> None:
        """Send a message to another process."""
        self.fleet.send(self.ip, ip, message)

    def reset_state(self, is_first_start: bool) -> None:
        raise NotImplementedError

    def begin_stop(self) -> None:
        raise NotImplementedError

    def has_pending_work(self) -> bool:
        raise NotImplementedError

    def compute_tick_ms(self) -> int:
        raise NotImplementedError

    def tick(self) -> None:
        raise NotImplementedError

    def handle_message(self, message: Message, sender: str) -> None:
        raise NotImplementedError

    def apply(self, actions: list[Action]) -> None:
        """Carry out the actions of a decision."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.ip, action.message)
            elif isinstance(action, ResetFlow):
                self.fleet.record_reset(self.ip)
            elif isinstance(action, DeliverToCaller):
                self.fleet.handle_answer(action.packet)
            elif isinstance(action, DeliverToServer):
                self.deliver_to_server(action.raw)

    def deliver_to_server(self, raw: bytes) -> None:
        raise NotImplementedError


class AgentProcess(Process):
    """An agent and the backend server on its instance."""

    def __init__(self, fleet: "SmallFleet", server: BackendServer) -> None:
        super().__init__(fleet, server.address.ip)
        self.server = server
        self.lives = True
        """Whether the backend server runs."""
        self.holds_flow = False
        """Whether the backend server has accepted the flow."""
        self.is_gone = False
        """Whether the instance has ended, so that the agent does not return."""
        self.unplanned_ms = (0, 0)
        """When the last kill or pause of the agent began and ended, in milliseconds."""

    def record_unplanned(self, for_ms: int) -> None:
        """Record that the agent is killed or paused now for some time."""
        now_ms = self.clock.now_ms()
        self.unplanned_ms = (now_ms, now_ms + for_ms)

    def was_faulty(self, at_ms: int) -> bool:
        """Return whether the agent was killed or paused at a time or just before."""
        began_ms, ended_ms = self.unplanned_ms
        return began_ms <= at_ms < ended_ms + RECENT_FAULT_MS

    def reset_state(self, is_first_start: bool) -> None:
        clock = self.clock
        self.flows = AgentFlows(
            self.server.service,
            clock,
            knows_all_flows=is_first_start,
            started_unix_ms=clock.now_ms(),
        )
        self.flows.opening_limit.await_heartbeat()
        self.reporting = LoadReporting(clock)
        self.balancers: dict[str, int] = {}
        """The balancers that send heartbeats, with the time until which they count."""

    def has_pending_work(self) -> bool:
        return (
            bool(self.flows.waiting_requests)
            or self.flows.server_liveness.first_unanswered_ms is not None
            or self.flows.server_liveness.is_down
        )

    def compute_tick_ms(self) -> int:
        return AGENT_TICK_MS if self.is_idle else 40

    def tick(self) -> None:
        if self.flows.server_liveness.start_check_if_due():
            self._check_server()
        self.apply(self.flows.requests.release())
        self.flows.expire_idle()
        report = self.flows.make_load_report()
        if self.reporting.is_due(report, len(self.balancers)):
            self._send_reports()

    def _check_server(self) -> None:
        check = ServerCheck.ACCEPTED if self.lives else ServerCheck.REFUSED
        self.schedule(1, lambda: self._apply_check(check))

    def _apply_check(self, check: ServerCheck) -> None:
        self.apply(self.flows.handle_server_check(check))
        if self.is_stopping:
            self._send_reports()

    def _send_reports(self) -> None:
        now_ms = self.clock.now_ms()
        for ip, until_ms in self.balancers.items():
            if until_ms >= now_ms:
                self.send(ip, self.flows.make_load_report())

    def begin_stop(self) -> None:
        self.flows.is_leaving = True
        self.apply(self.flows.requests.release_all())
        self._send_reports()
        self._check_server()

    def handle_message(self, message: Message, sender: str) -> None:
        if isinstance(message, ForwardedPacket | ForwardedOpening):
            packet = self.fleet.packets[message.raw]
            self.fleet.last_balancer = sender
            self.apply(self.flows.handle_forwarded(message, packet, sender))
        elif isinstance(message, FlowQuestion):
            self.send(sender, self.flows.answer_question(message))
        elif isinstance(message, FlowQuestions):
            self.send(sender, self.flows.answer_questions(message))
        elif isinstance(message, Heartbeat):
            until_ms = self.clock.now_ms() + REPORTED_BALANCER_TIMEOUT_MS
            self.balancers[sender] = until_ms
            self.apply(
                self.flows.handle_server_start(
                    message.server_started_ms,
                    balancer_uptime_ms=message.uptime_ms,
                    heard_ms=message.agent_heard_ms,
                )
            )
            slots = self.flows.requests.slots
            slots.slots = message.server_slots or slots.slots
            self.flows.opening_limit.apply_heartbeat(message)
            self.send(sender, self.flows.make_load_report())
            now_ms = self.clock.now_ms()
            live = [ip for ip, until_ms in self.balancers.items() if until_ms >= now_ms]
            others = tuple(ip for ip in live if ip != sender)
            if message.asks_for_balancers and others:
                self.send(sender, KnownBalancers(others))

    def deliver_to_server(self, raw: bytes) -> None:
        packet = self.fleet.packets[raw]
        if not packet.is_opening:
            self.fleet.record_delivery(self)
        if not self.lives:
            return
        if packet.is_opening:
            self.holds_flow = True
            answer = packet._replace(sequence=SERVER_SEQUENCE, acknowledged=0)
        elif self.holds_flow:
            answer = packet._replace(sequence=SERVER_SEQUENCE, payload_bytes=100)
        else:
            answer = packet._replace(is_bounced=True)
        self.schedule(
            SERVER_ANSWER_MS,
            lambda: self.apply(self.flows.handle_from_server(answer)),
        )
