"""The agent process: forwards packets between balancers, its server and callers."""

import random

import trio

from citronwinch.coordination.flows import (
    ALL_CHANGES_RECEIVERS,
    LONG_WAIT_REASON,
    REPORT_INTERVAL_MS,
    REPORTS_PER_S,
    AgentFlows,
    Evacuations,
    FlowQuestion,
    FlowQuestions,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    KnownBalancers,
    LoadReport,
    LoadReporting,
    Message,
    compute_interval_ms,
)
from citronwinch.forwarder._evacuation_log import EvacuationLog
from citronwinch.forwarder._process import ForwarderProcess, OpenSocket
from citronwinch.forwarder._settings import ForwarderSettings
from citronwinch.forwarder._view_copy_exchange import ViewCopyExchange
from citronwinch.network import DatagramSocket, try_connection
from citronwinch.operators import MetricKey
from citronwinch.platform import decode_caller_packet, decode_server_packet

REMOTE_REPORT_INTERVAL_MS = 300
"""The interval of load reports to the balancers of other zones that open flows at this
agent, in milliseconds; traffic between zones is expensive."""

AGENT_IDLE_TICK_MS = 200
"""The interval between ticks while no request waits, in milliseconds."""

HELD_REQUESTS_TICK_MS = 40
"""The interval between ticks while requests are held, in milliseconds: how late the
agent may notice that a request that occupies a slot may be hung."""

AGENT_SLOW_TICK_MS = 500
"""The same where many balancers receive load reports, of which small changes may
wait, in milliseconds."""

COUNTER_REASONS = {"openings_returned": LONG_WAIT_REASON}
"""The label `reason` of the counters of `ServerRequests` that have one."""

BALANCER_TIMEOUT_MS = 2_000
"""How long after its last heartbeat or opening packet a balancer at least still
receives load reports, in milliseconds."""

BALANCER_TIMEOUT_INTERVALS = 3
"""For how many of its heartbeat intervals a balancer still receives load reports."""

NAMED_BALANCERS_LIMIT = 24
"""The most balancers that an agent names to another one, chosen at random."""

BUSY_STOP_MS = 1_000
"""How long a stopping agent forwards at most while requests are in progress, in
milliseconds. Requests usually take 20 ms, and all but the busiest servers have a moment
without any request within this time."""

CHECK_TIMEOUT_MS = 300
"""The timeout of the connection attempt that checks the backend server, in
milliseconds."""

IDLE_STOP_MS = 100
"""How long a stopping agent without requests in progress still forwards, in
milliseconds. Within this time, balancers receive the report that it accepts no new
flows."""


class AgentProcess(ForwarderProcess):
    """An agent: runs beside one backend server and forwards its packets."""

    def __init__(
        self, settings: ForwarderSettings, open_socket: OpenSocket = DatagramSocket
    ) -> None:
        assert settings.outbound_address is not None
        super().__init__(settings, settings.outbound_address, open_socket)
        self.flows = AgentFlows(
            settings.service,
            self.clock,
            knows_all_flows=settings.is_first_start,
            started_unix_ms=self.incarnation // 1_000_000,
            holds_requests=settings.holds_requests,
        )
        self.flows.opening_limit.await_heartbeat()
        self.evacuations = Evacuations(self.clock)
        self.evacuation_log = EvacuationLog(self.evacuations, self.metrics)
        self.view_copy_exchange = ViewCopyExchange(self)
        self.reporting = LoadReporting(self.clock)
        self.rng = random.Random(settings.name)
        self.local_balancers: dict[str, int] = {}
        """The balancers of the own zone, with the time until which they get reports."""
        self.all_balancers: dict[str, int] = {}
        """The balancers of all zones that send heartbeats, with the same time."""
        self.opening_balancers: dict[str, int] = {}
        """The balancers that sent an opening, with the same time."""
        self.remote_reported_ms = self.started_ms
        self.last_remote_report: LoadReport | None = None

    def compute_tick_ms(self, *, is_idle: bool) -> int:
        """Return the time until the next tick, in milliseconds.

        While requests wait, each tick may send load reports; the more balancers receive
        them, the less frequent they are.
        """
        balancers = len(self.local_balancers)
        if is_idle:
            has_many = balancers > ALL_CHANGES_RECEIVERS
            return AGENT_SLOW_TICK_MS if has_many else AGENT_IDLE_TICK_MS
        report_ms = compute_interval_ms(REPORT_INTERVAL_MS, balancers, REPORTS_PER_S)
        has_held = bool(self.flows.requests.queue.held or self.flows.held_trials.held)
        return min(report_ms, HELD_REQUESTS_TICK_MS if has_held else AGENT_IDLE_TICK_MS)

    def is_ready(self) -> bool:
        """Return True: an agent can deliver packets without any prior state."""
        return True

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start serving the copy of the view; store the nursery for other tasks."""
        self.nursery = nursery
        self.view_copy_exchange.start_tasks(nursery)

    def _start_server_check(self) -> None:
        run_task = self.internal_errors.run_task
        self.nursery.start_soon(run_task, "check server", self._check_server)

    async def _check_server(self) -> None:
        address = self.settings.server_address
        assert address is not None
        check = await try_connection(address, CHECK_TIMEOUT_MS)
        self.metrics.count("server_checks_total", check.value)
        self.apply_actions(self.flows.handle_server_check(check))
        if self.stop_requested_ms is not None:
            self._send_last_reports()

    def handle_message(self, message: Message, sender: str) -> None:
        """Handle a message of a balancer."""
        if isinstance(message, ForwardedPacket | ForwardedOpening):
            packet = decode_caller_packet(message.raw)
            self.metrics.count("packets_forwarded_total")
            if packet.is_opening:
                until_ms = self.clock.now_ms() + BALANCER_TIMEOUT_MS
                self.opening_balancers[sender] = until_ms
            self.apply_actions(self.flows.handle_forwarded(message, packet, sender))
        elif isinstance(message, FlowQuestion):
            self.metrics.count("questions_answered_total")
            self.send(sender, self.flows.answer_question(message))
        elif isinstance(message, FlowQuestions):
            amount = len(message.questions)
            self.metrics.count("questions_answered_total", amount=amount)
            self.send(sender, self.flows.answer_questions(message))
        elif isinstance(message, Heartbeat):
            intervals_ms = BALANCER_TIMEOUT_INTERVALS * message.interval_ms
            until_ms = self.clock.now_ms() + max(BALANCER_TIMEOUT_MS, intervals_ms)
            self.all_balancers[sender] = until_ms
            if message.availability_zone == self.settings.availability_zone:
                self.local_balancers[sender] = until_ms
            self._apply_evacuations(message, sender)
            self.view_copy_exchange.handle_heartbeat(message, sender)
            self.apply_actions(
                self.flows.handle_server_start(
                    message.server_started_ms,
                    balancer_uptime_ms=message.uptime_ms,
                    heard_ms=message.agent_heard_ms,
                )
            )
            # A balancer whose listing lacks the server does not state its slots.
            slots = self.flows.requests.slots
            slots.slots = message.server_slots or slots.slots
            self.flows.opening_limit.apply_heartbeat(message)
            self.send(sender, self.flows.make_load_report())
            if message.asks_for_balancers:
                self._name_balancers(sender)

    def _name_balancers(self, receiver: str) -> None:
        """Name the other live balancers to one that may not know them."""
        self._discard_silent(self.all_balancers)
        others = sorted(self.all_balancers.keys() - {receiver})
        if others:
            named = self.rng.sample(others, min(len(others), NAMED_BALANCERS_LIMIT))
            self.send(receiver, KnownBalancers(tuple(named)))

    def _apply_evacuations(self, heartbeat: Heartbeat, sender: str) -> None:
        if heartbeat.evacuations and self.evacuations.merge(heartbeat.evacuations):
            self.evacuation_log.record_changes(sender)
            zone = self.settings.availability_zone
            self.flows.is_evacuated = zone in self.evacuations.active_zones

    def handle_packet(self, data: bytes) -> None:
        """Handle a packet of the backend server."""
        self.metrics.count("packets_from_server_total")
        self.apply_actions(self.flows.handle_from_server(decode_server_packet(data)))

    def tick(self) -> None:
        """Check the backend server, expire idle flows and report a changed load."""
        if self.flows.server_liveness.start_check_if_due():
            self._start_server_check()
        self.apply_actions(self.flows.requests.release())
        self.apply_actions(self.flows.release_overdue_trials())
        self.flows.expire_idle()
        report = self.flows.make_load_report()
        self.metrics.set_gauge("open_flows", report.open_flows)
        self.metrics.set_gauge("waiting_requests", report.waiting)
        self.metrics.set_gauge("server_busy_share", report.busy_share)
        self.metrics.set_gauge("server_failed_share", report.failed_share)
        self.metrics.set_gauge("request_latency_ms", report.latency_ms)
        self._export_request_counters(report)
        self.metrics.set_gauge("opening_room", report.opening_room)
        self.metrics.counters[MetricKey("openings_returned_total", "cold")] = (
            self.flows.opening_limit.returned
        )
        for reason, count in self.flows.returned_openings.items():
            key = MetricKey("openings_returned_total", reason)
            self.metrics.counters[key] = count
        self.view_copy_exchange.tick()
        self._discard_silent(self.local_balancers)
        if self.reporting.is_due(report, len(self.local_balancers)):
            self.send_to_all(self.local_balancers, report)
        now_ms = self.clock.now_ms()
        if (
            report != self.last_remote_report
            and now_ms - self.remote_reported_ms >= REMOTE_REPORT_INTERVAL_MS
        ):
            self.remote_reported_ms, self.last_remote_report = now_ms, report
            self._send_remote_report(report)

    def _export_request_counters(self, report: LoadReport) -> None:
        self.metrics.set_gauge("held_requests", report.queued)
        for name, count in self.flows.requests.counters.items():
            reason = COUNTER_REASONS.get(name, "")
            self.metrics.counters[MetricKey(f"{name}_total", reason)] = count

    def has_pending_work(self) -> bool:
        """Return whether requests wait, or the backend server is cold or silent."""
        return (
            bool(self.flows.waiting_requests or self.flows.held_trials.held)
            or self.flows.opening_limit.is_filling
            or self.flows.server_liveness.first_unanswered_ms is not None
            or self.flows.server_liveness.is_down
        )

    def _send_remote_report(self, report: LoadReport) -> None:
        """Report the load to balancers of other zones that recently opened flows."""
        self._discard_silent(self.opening_balancers)
        self.send_to_all(
            self.opening_balancers.keys() - self.local_balancers.keys(), report
        )

    def _discard_silent(self, until_ms_by_ip: dict[str, int]) -> None:
        """Remove the balancers whose time has passed."""
        now_ms = self.clock.now_ms()
        for ip, until_ms in list(until_ms_by_ip.items()):
            if until_ms < now_ms:
                del until_ms_by_ip[ip]

    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Do nothing: an agent uses no setting that may change while it runs."""

    def begin_stop(self) -> None:
        """Report to the balancers of the own zone that this agent is stopping."""
        self.flows.is_leaving = True
        self.apply_actions(self.flows.requests.release_all())
        self._discard_silent(self.local_balancers)
        self.send_to_all(self.local_balancers, self.flows.make_load_report())
        # An agent is often stopped because its backend server has exited. If the check
        # finds it down, the agent doesn't wait for requests in progress (`can_exit`).
        self._start_server_check()

    def _send_last_reports(self) -> None:
        """Tell all known balancers whether the backend server has ended.

        If it has, the silence of this agent after its exit means that the server's
        flows no longer exist.
        """
        self._discard_silent(self.all_balancers)
        self.send_to_all(self.all_balancers, self.flows.make_load_report())

    def can_exit(self) -> bool:
        """Return whether enough time has passed since the stop request.

        That is BUSY_STOP_MS while requests are in progress, and otherwise, or when the
        backend server is down, IDLE_STOP_MS.
        """
        assert self.stop_requested_ms is not None
        waited_ms = self.clock.now_ms() - self.stop_requested_ms
        is_idle = self.flows.server_liveness.is_down or not self.flows.waiting_requests
        return waited_ms >= (IDLE_STOP_MS if is_idle else BUSY_STOP_MS)
