"""Connects `AgentLoad` to the sockets and metrics of an agent."""

from collections.abc import Mapping

from citronwinch.backend_servers import read_request_header
from citronwinch.coordination import Clock, FlowKey, Instance
from citronwinch.coordination.load import (
    AgentLoad,
    LoadReport,
    Outcome,
    ReportOrigin,
)
from citronwinch.coordination.requests import (
    RequestKey,
    RequestKind,
    RequestMetadata,
)
from citronwinch.coordination.spread import ControlPriority
from citronwinch.daemon._peer_socket import PeerSocket
from citronwinch.operators import Metrics, Settings
from citronwinch.peers import Envelope

OUTCOMES_BY_KIND = {
    RequestKind.ANSWER: Outcome.ANSWERED,
    RequestKind.SHED: Outcome.SHED,
}
"""The outcome of a request by the kind of the first part of its reply."""


class LoadExchange:
    """Sends and receives load reports, and tracks requests until they are answered.

    Only the deciding task of the agent uses it. Steering chooses servers with `load`.
    """

    def __init__(
        self, settings: Settings, clock: Clock, peers: PeerSocket, metrics: Metrics
    ) -> None:
        self.load = AgentLoad(settings.name, settings.availability_zone, clock)
        self.peers = peers
        self.metrics = metrics

    def accept_report(self, envelope: Envelope, report: LoadReport) -> None:
        """Store the load report of another agent; count an ignored one."""
        origin = ReportOrigin(envelope.sender, envelope.incarnation, envelope.sequence)
        if not self.load.accept_report(origin, report):
            self.metrics.count("load_reports_ignored_total")

    def tick(self, flow_count: int, instances: Mapping[str, Instance]) -> None:
        """Update the backend server's state and send the load reports that are due."""
        for agent, report in self.load.tick(flow_count, instances):
            address = instances[agent].address
            if self.peers.send_control(report, address, ControlPriority.LOAD):
                self.metrics.count("load_reports_sent_total")
            else:
                self.metrics.count("load_reports_not_sent_total")
        self.export_gauges(flow_count)

    def export_gauges(self, flow_count: int) -> None:
        """Set the gauges about load."""
        report = self.load.make_report(flow_count)
        if report is None:
            return
        self.metrics.set_gauge("load_flows", report.flows)
        self.metrics.set_gauge("load_share", report.compute_share())
        self.metrics.set_gauge("load_state", int(report.state))
        self.metrics.set_gauge("load_requests_in_progress", report.in_progress)
        self.metrics.set_gauge("load_latency_ms", report.latency_ms)
        self.metrics.set_gauge("load_peers_known", len(self.load.view.peers))
        self.metrics.set_gauge("load_shedding_level", int(self.load.guard.level))
        limit = self.load.guard.concurrency.limit
        self.metrics.set_gauge("load_concurrency_limit", limit)
        self.metrics.set_gauge("load_panic", int(self.load.chooser.is_in_panic_mode))

    def admits_request(self) -> bool:
        """Return whether a request of an owned flow may be delivered."""
        if self.load.admits(is_established=True):
            return True
        self.metrics.count("load_requests_shed_total")
        return False

    def admits_guest(self) -> bool:
        """Return whether a request of another agent's flow may be delivered."""
        return self.load.admits(is_established=False)

    def record_delivery(self, key: RequestKey) -> None:
        """Start tracking a request that was delivered to the backend server."""
        self.load.record_delivery(key.flow + key.request_id)

    def record_cancellation(self, flow: FlowKey, payload: bytes) -> None:
        """Stop tracking a request whose cancellation was delivered."""
        request = read_request_header(payload)
        if request is not None:
            self.load.outcomes.record_cancellation(flow + request.request_id)

    def record_reply(self, flow: FlowKey, answer: RequestMetadata) -> None:
        """Record the outcome of a reply's request, if the reply ends the request."""
        outcome = OUTCOMES_BY_KIND.get(answer.kind)
        if outcome is None:
            return
        if self.load.record_end(flow + answer.request_id, outcome):
            self.metrics.count("load_requests_ended_total", outcome.value)

    def record_closed_port(self) -> None:
        """Record that the backend server's port is closed."""
        self.load.outcomes.record_closed_port()
        self.metrics.count("load_requests_ended_total", "unreachable")
