"""The agent: carries packets between balancers, its backend server and callers."""

import trio

from citronwinch.coordination.flows import (
    AgentFlows,
    FlowQuestion,
    ForwardedPacket,
    Heartbeat,
    LoadReport,
    Message,
)
from citronwinch.forwarder._process import ForwarderProcess, TakePort
from citronwinch.forwarder._settings import ForwarderSettings
from citronwinch.network import DatagramPort, try_connection
from citronwinch.platform import decode_caller_packet, decode_server_packet

REPORT_INTERVAL_MS = 40
"""How often a changed load is told to the balancers of the own zone, in milliseconds;
about as long as two requests take."""

REMOTE_REPORT_INTERVAL_MS = 300
"""The same for balancers of other zones that open flows here, in milliseconds; bytes
between zones are dear."""

BALANCER_TIMEOUT_MS = 2_000
"""How long a balancer without a heartbeat still gets load reports, in milliseconds."""

BUSY_STOP_MS = 1_000
"""How long it forwards while requests are under way, in milliseconds; they take 20 ms
as a rule, and there is a moment without any on all but the busiest servers."""

CHECK_TIMEOUT_MS = 300
"""How long a connection to the own backend server may take, in milliseconds."""

STOP_MS = 100
"""How long a stopping agent still forwards, in milliseconds; balancers hear within
that time that it takes no new flows."""


class AgentProcess(ForwarderProcess):
    """The process beside one backend server."""

    tick_ms = REPORT_INTERVAL_MS

    def __init__(
        self, settings: ForwarderSettings, take_port: TakePort = DatagramPort
    ) -> None:
        assert settings.outbound_address is not None
        super().__init__(settings, settings.outbound_address, take_port)
        self.flows = AgentFlows(
            settings.service,
            self.clock,
            knows_all_flows=settings.is_first_start,
            started_unix_ms=self.incarnation // 1_000_000,
        )
        self.balancers: dict[str, int] = {}
        self.openers: dict[str, int] = {}
        self.remote_reported_ms = self.started_ms
        self.reported: LoadReport | None = None

    def is_ready(self) -> bool:
        """Return True: an agent needs to know nothing before it delivers."""
        return True

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Keep the nursery for checks of the backend server."""
        self.nursery = nursery

    async def _check_server(self) -> None:
        address = self.settings.server_address
        assert address is not None
        check = await try_connection(address, CHECK_TIMEOUT_MS)
        self.metrics.count("server_checks_total", check.value)
        self.perform(self.flows.handle_server_check(check))

    def handle_message(self, message: Message, sender: str) -> None:
        """React to a balancer."""
        if isinstance(message, ForwardedPacket):
            packet = decode_caller_packet(message.raw)
            self.metrics.count("packets_forwarded_total")
            if packet.is_opening:
                self.openers[sender] = self.clock.now_ms()
            self.perform(self.flows.handle_forwarded(message, packet, sender))
        elif isinstance(message, FlowQuestion):
            self.send(sender, self.flows.answer_question(message))
        elif isinstance(message, Heartbeat):
            if message.availability_zone == self.settings.availability_zone:
                self.balancers[sender] = self.clock.now_ms()
            self.perform(self.flows.handle_server_start(message.server_started_ms))
            self.send(sender, self.flows.make_load_report())

    def handle_packet(self, data: bytes) -> None:
        """React to the backend server."""
        self.metrics.count("packets_from_server_total")
        self.perform(self.flows.handle_from_server(decode_server_packet(data)))

    def tick(self) -> None:
        """Report a changed load; forget idle flows."""
        if self.flows.server_liveness.start_check_if_due():
            self.nursery.start_soon(self._check_server)
        self.flows.expire_idle()
        report = self.flows.make_load_report()
        self.metrics.set_gauge("open_flows", report.open_flows)
        self.metrics.set_gauge("waiting_requests", report.waiting)
        self.metrics.set_gauge("server_busy_share", report.busy_share)
        self.metrics.set_gauge("server_failed_share", report.failed_share)
        self.metrics.set_gauge("request_latency_ms", report.latency_ms)
        if report == self.reported:
            return
        self.reported = report
        self._send_report(report)
        now_ms = self.clock.now_ms()
        if now_ms - self.remote_reported_ms >= REMOTE_REPORT_INTERVAL_MS:
            self.remote_reported_ms = now_ms
            self._send_remote_report(report)

    def _send_report(self, report: LoadReport) -> None:
        self._forget_older(self.balancers)
        self.send_to_all(self.balancers, report)

    def _send_remote_report(self, report: LoadReport) -> None:
        """Tell balancers of other zones that have opened flows here of late."""
        self._forget_older(self.openers)
        self.send_to_all(self.openers.keys() - self.balancers.keys(), report)

    def _forget_older(self, balancers: dict[str, int]) -> None:
        """Drop the balancers that were heard from too long ago."""
        since_ms = self.clock.now_ms() - BALANCER_TIMEOUT_MS
        for ip, heard_ms in list(balancers.items()):
            if heard_ms < since_ms:
                del balancers[ip]

    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Change nothing: what an agent reads is fixed while it runs."""

    def begin_stop(self) -> None:
        """Tell the balancers that this agent is about to stop."""
        self.flows.is_leaving = True
        self._send_report(self.flows.make_load_report())
        # The agent is often stopped because its backend server has ended.
        self.nursery.start_soon(self._check_server)

    def is_stopped(self) -> bool:
        """Return whether the balancers know of the stop and no request is under way."""
        assert self.stop_ms is not None
        waited_ms = self.clock.now_ms() - self.stop_ms
        is_idle = self.flows.server_liveness.is_down or not self.flows.waiting_requests
        return waited_ms >= (STOP_MS if is_idle else BUSY_STOP_MS)
