"""When an agent sends its load report, and to which peers."""

from collections.abc import Collection

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._report import FULL_SHARE_THOUSANDTHS, LoadReport

REPORT_INTERVAL_MS = 400
"""Interval between regular reports, each to a single peer, in milliseconds."""

URGENT_INTERVAL_MS = 3_000
"""Average interval at which urgent reports to all peers are allowed, in ms."""

URGENT_BURST = 3
"""How many urgent reports to all peers are allowed in a row."""

URGENT_SHARE_CHANGE = FULL_SHARE_THOUSANDTHS // 4
"""A change of the share, in thousandths, that makes a report urgent."""

URGENT_FLOW_CHANGE = 0.2
"""A relative change of the number of flows that makes a report urgent."""

MIN_URGENT_FLOW_CHANGE = 2
"""A smaller change of the number of flows is never urgent."""


class ReportSchedule:
    """Decides which peers get a report, within a fixed budget of messages.

    Every `REPORT_INTERVAL_MS` the peer whose last report is oldest gets a new one.
    An urgent report goes to all peers at once: when the server's state or service
    changes, when its connection limit is reached or no longer reached, or when its
    share or its number of flows changes much. Urgent reports are limited to bursts of
    `URGENT_BURST` and an average of one in `URGENT_INTERVAL_MS`, so that a server
    whose state changes all the time does not exceed the budget.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent_ms_by_peer: dict[str, int] = {}
        self.last_sent_ms = clock.now_ms() - REPORT_INTERVAL_MS
        self.urgent_budget = float(URGENT_BURST)
        self.refilled_ms = clock.now_ms()
        self.last_urgent_report: LoadReport | None = None

    def select_due_peers(self, peers: Collection[str], report: LoadReport) -> list[str]:
        """Return the peers that get the report now, and record it as sent."""
        now_ms = self.clock.now_ms()
        self.retain_peers(peers)
        self.refill_urgent_budget(now_ms)
        if peers and self.urgent_budget >= 1 and self.is_urgent(report):
            self.urgent_budget -= 1
            self.last_urgent_report = report
            return self.record_sent(sorted(peers), now_ms)
        if not peers or now_ms - self.last_sent_ms < REPORT_INTERVAL_MS:
            return []
        never_ms = -1
        longest_waiting = min(
            peers, key=lambda peer: (self.sent_ms_by_peer.get(peer, never_ms), peer)
        )
        return self.record_sent([longest_waiting], now_ms)

    def refill_urgent_budget(self, now_ms: int) -> None:
        """Add the urgent reports that the elapsed time allows."""
        earned = (now_ms - self.refilled_ms) / URGENT_INTERVAL_MS
        self.urgent_budget = min(float(URGENT_BURST), self.urgent_budget + earned)
        self.refilled_ms = now_ms

    def is_urgent(self, report: LoadReport) -> bool:
        """Return whether the change since the last urgent report affects choices."""
        previous = self.last_urgent_report
        if previous is None:
            return True
        share_change = abs(report.share_thousandths - previous.share_thousandths)
        flow_change = abs(report.flows - previous.flows)
        min_flow_change = max(
            MIN_URGENT_FLOW_CHANGE, previous.flows * URGENT_FLOW_CHANGE
        )
        return (
            report.state is not previous.state
            or report.is_full != previous.is_full
            or report.service != previous.service
            or share_change >= URGENT_SHARE_CHANGE
            or flow_change >= min_flow_change
        )

    def prioritize_peer(self, peer: str) -> None:
        """Make a peer that has just started the next one to get a report."""
        self.sent_ms_by_peer.pop(peer, None)

    def record_sent(self, peers: list[str], now_ms: int) -> list[str]:
        """Record the time of a report to the peers, and return the peers."""
        self.last_sent_ms = now_ms
        for peer in peers:
            self.sent_ms_by_peer[peer] = now_ms
        return peers

    def retain_peers(self, peers: Collection[str]) -> None:
        """Remove the send times of servers that are no longer peers."""
        for name in self.sent_ms_by_peer.keys() - set(peers):
            del self.sent_ms_by_peer[name]
