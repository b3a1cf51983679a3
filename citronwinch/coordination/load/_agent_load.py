"""The load decisions of one agent: owners, shedding, ejection and reports."""

from collections.abc import Container, Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._table import EMPTY_TABLE, Table, TableRow
from citronwinch.coordination.load._load_aware import LoadAwareChooser
from citronwinch.coordination.load._outcomes import (
    Outcome,
    OutcomeSummary,
    OutcomeTracker,
)
from citronwinch.coordination.load._outlier import OutlierPolicy
from citronwinch.coordination.load._overload import OverloadGuard, OverloadLevel
from citronwinch.coordination.load._ramp import ColdStartRamp
from citronwinch.coordination.load._report import (
    FULL_SHARE_THOUSANDTHS,
    LoadReport,
    LoadState,
)
from citronwinch.coordination.load._schedule import ReportSchedule
from citronwinch.coordination.load._view import LoadView, ReportOrigin

EVALUATION_INTERVAL_MS = 500
"""Interval between evaluations of the own server's request outcomes, in ms."""


class AddressedReport(NamedTuple):
    """A report and the agent that it is to be sent to."""

    agent: str
    """The receiving agent, by the name of its backend server."""

    report: LoadReport
    """The report."""


class AgentLoad:
    """Evaluates the own backend server, exchanges reports and chooses owners.

    It is an `OwnerChooser`. The agent process passes tables, reports, deliveries and
    answers to it, and calls `tick` a few times a second to get the reports to send.
    """

    def __init__(
        self, backend_server: str, availability_zone: str, clock: Clock
    ) -> None:
        self.backend_server = backend_server
        self.clock = clock
        self.table: Table = EMPTY_TABLE
        self.view = LoadView(clock)
        self.chooser = LoadAwareChooser(
            backend_server, availability_zone, self.view, clock
        )
        self.outcomes = OutcomeTracker(clock)
        self.outlier = OutlierPolicy(clock)
        self.guard = OverloadGuard(clock)
        self.ramp = ColdStartRamp(clock)
        self.schedule = ReportSchedule(clock)
        self.outcome_summary = OutcomeSummary()
        self.evaluated_ms = clock.now_ms()
        self.is_stopping = False

    def accept_table(self, table: Table) -> None:
        """Use a new table; restart the ramp when the own server changes service."""
        former = self.find_row()
        self.table = table
        row = self.find_row()
        if row is not None and (former is None or former.service != row.service):
            self.ramp.restart()
        self.view.retain_peers(set(self.find_peers(row)))

    def find_row(self) -> TableRow | None:
        """Return the own backend server's row, None when the table has none."""
        return self.table.row_by_backend_server.get(self.backend_server)

    def find_peers(self, row: TableRow | None) -> list[str]:
        """Return the other backend servers of the row's service."""
        if row is None:
            return []
        return [
            peer.backend_server
            for peer in self.table.rows_by_service.get(row.service, ())
            if peer.backend_server != self.backend_server
        ]

    def accept_report(self, origin: ReportOrigin, report: LoadReport) -> bool:
        """Store a peer's report; return whether it was stored.

        A report is ignored when its sender is not assigned to the report's service, or
        when it is no newer than the stored one. A peer that has just started or
        restarted gets the next report of this agent.
        """
        row = self.table.row_by_backend_server.get(origin.sender)
        if row is None or row.service != report.service:
            return False
        known = self.view.peers.get(origin.sender)
        if known is None or known.origin.incarnation < origin.incarnation:
            self.schedule.prioritize_peer(origin.sender)
        return self.view.accept_report(origin, report)

    def choose_owner(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> str | None:
        """Return the backend server that should own a new flow, None to refuse it."""
        self.chooser.own_report = self.make_report(own_flows)
        return self.chooser.choose_owner(service, candidates, own_flows)

    def admits(self, is_established: bool) -> bool:
        """Return whether a request may be delivered; it is to be shed otherwise."""
        return self.guard.admits(self.outcomes.in_progress, is_established)

    def record_delivery(self, request_id: bytes) -> None:
        """Track a request that was delivered to the own backend server."""
        self.outcomes.record_delivery(request_id)

    def record_end(self, request_id: bytes, outcome: Outcome) -> bool:
        """Record the end of a request; return False when it is not tracked."""
        ended = self.outcomes.record_end(request_id, outcome)
        if ended is not None and outcome is Outcome.ANSWERED:
            self.guard.concurrency.record_answer(ended)
        return ended is not None

    def begin_stop(self) -> None:
        """Report the own server as draining, because the agent is stopping."""
        self.is_stopping = True

    def tick(
        self, own_flows: int, known_agents: Container[str] | None = None
    ) -> list[AddressedReport]:
        """Evaluate the own backend server and return the reports that are due.

        Reports are returned only for agents in `known_agents`, those whose address is
        known; None stands for all agents.
        """
        self.outcomes.sweep()
        self.guard.update(self.outcomes.in_progress)
        if self.clock.now_ms() - self.evaluated_ms >= EVALUATION_INTERVAL_MS:
            self.evaluated_ms = self.clock.now_ms()
            self.evaluate_outcomes()
        report = self.make_report(own_flows)
        if report is None:
            return []
        peers = [
            peer
            for peer in self.find_peers(self.find_row())
            if known_agents is None or peer in known_agents
        ]
        return [
            AddressedReport(peer, report)
            for peer in self.schedule.select_due_peers(peers, report)
        ]

    def evaluate_outcomes(self) -> None:
        """Set the own share from the outcomes of the delivered requests."""
        row = self.find_row()
        if row is None:
            return
        self.outcome_summary = self.outcomes.summarize()
        latency_ms = self.view.compute_service_latency_ms(
            row.service, self.outcome_summary.latency_ms
        )
        if self.outlier.update(self.outcome_summary, latency_ms):
            self.outcomes.clear_outcomes()

    def make_report(self, own_flows: int) -> LoadReport | None:
        """Return a report of the own load, None without a row in the table."""
        row = self.find_row()
        if row is None:
            return None
        return LoadReport(
            row.service,
            own_flows,
            row.connection_limit,
            self.outcomes.in_progress,
            self.outcome_summary.latency_ms,
            round(self.outlier.share * FULL_SHARE_THOUSANDTHS),
            self.find_state(row),
            self.ramp.compute_age_ms(),
        )

    def find_state(self, row: TableRow) -> LoadState:
        """Return the own backend server's state for the next report."""
        if row.weight == 0 or self.is_stopping:
            return LoadState.DRAINING
        if self.outlier.is_ejected:
            return LoadState.EJECTED
        if self.guard.level is not OverloadLevel.NONE:
            return LoadState.OVERLOADED
        return LoadState.ACCEPTING
