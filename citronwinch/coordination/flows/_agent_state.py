"""What a balancer knows about one agent."""

from collections import deque

from citronwinch.coordination.flows._messages import LoadReport

MAX_PLACED_FLOWS = 64
"""The most placed flows that are counted per agent between two reports; further ones
would not change a decision."""


class AgentState:
    """The state of one agent as the balancer knows it."""

    def __init__(self, last_message_ms: int) -> None:
        self.report: LoadReport | None = None
        self.last_message_ms = last_message_ms
        self.placed_ms: deque[int] = deque(maxlen=MAX_PLACED_FLOWS)
        """When recent flows were placed at the server; cleared by each report."""
        self.unreachable_since_ms: int | None = None
        """Since when its reports say that its server is unreachable; None if the last
        one does not."""
        self.unreachable_reports = 0
        """How many reports in a row have said so."""
        self.unconfirmed_flows = 0
        """The flows since the last report that the agent did not confirm in time."""

    def record_report(self, report: LoadReport, now_ms: int) -> None:
        """Replace the report; flows placed before it are part of it."""
        self.report = report
        self.placed_ms.clear()
        self.unconfirmed_flows = 0
        if not report.is_server_unreachable:
            self.unreachable_since_ms, self.unreachable_reports = None, 0
            return
        self.unreachable_reports += 1
        if self.unreachable_since_ms is None:
            self.unreachable_since_ms = now_ms

    def count_placed_flows(self, since_ms: int) -> int:
        """Discard flows placed up to `since_ms`; return the number of later ones."""
        while self.placed_ms and self.placed_ms[0] <= since_ms:
            self.placed_ms.popleft()
        return len(self.placed_ms)
