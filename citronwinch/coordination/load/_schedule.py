"""When an agent reports its load, and to whom."""

from collections.abc import Collection

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._report import FULL_SHARE_THOUSANDTHS, LoadReport

REPORT_INTERVAL_MS = 400
"""How often one peer gets a report, in milliseconds."""

URGENT_INTERVAL_MS = 3_000
"""How often all peers may get a report at once in the long run, in milliseconds."""

URGENT_BURST = 3
"""How often all peers may get a report at once after a quiet time."""

URGENT_SHARE_CHANGE = FULL_SHARE_THOUSANDTHS // 4
"""The change of the share that all peers are told at once."""

URGENT_FLOW_CHANGE = 0.2
"""The relative change of the flows that all peers are told at once."""

MIN_URGENT_FLOW_CHANGE = 2
"""The least change of the flows that all peers are told at once."""


class ReportSchedule:
    """Spends a fixed budget of messages on reports.

    One peer after the other gets a report, the one that has waited longest first.
    When a server starts or stops taking flows, or its flows change much, all peers are
    told at once. That is possible `URGENT_BURST` times and then once in
    `URGENT_INTERVAL_MS`, so that a server that changes all the time costs no more.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent_ms_by_peer: dict[str, int] = {}
        self.last_sent_ms = clock.now_ms() - REPORT_INTERVAL_MS
        self.urgent_budget = float(URGENT_BURST)
        self.refilled_ms = clock.now_ms()
        self.last_urgent_report: LoadReport | None = None

    def select_due_peers(self, peers: Collection[str], report: LoadReport) -> list[str]:
        """Return the peers that get the report now."""
        now_ms = self.clock.now_ms()
        self.remove_absent_peers(peers)
        self.refill_urgent_budget(now_ms)
        if peers and self.urgent_budget >= 1 and self.is_urgent(report):
            self.urgent_budget -= 1
            self.last_urgent_report = report
            return self.record_sent(sorted(peers), now_ms)
        if not peers or now_ms - self.last_sent_ms < REPORT_INTERVAL_MS:
            return []
        never_ms = -1
        longest = min(
            peers, key=lambda peer: (self.sent_ms_by_peer.get(peer, never_ms), peer)
        )
        return self.record_sent([longest], now_ms)

    def refill_urgent_budget(self, now_ms: int) -> None:
        """Let the budget for reports to all peers grow with time."""
        earned = (now_ms - self.refilled_ms) / URGENT_INTERVAL_MS
        self.urgent_budget = min(float(URGENT_BURST), self.urgent_budget + earned)
        self.refilled_ms = now_ms

    def is_urgent(self, report: LoadReport) -> bool:
        """Return whether the report changes whether others choose this server."""
        told = self.last_urgent_report
        if told is None:
            return True
        share_change = abs(report.share_thousandths - told.share_thousandths)
        flow_change = abs(report.flows - told.flows)
        least_change = max(MIN_URGENT_FLOW_CHANGE, told.flows * URGENT_FLOW_CHANGE)
        return (
            report.state is not told.state
            or report.is_full != told.is_full
            or report.service != told.service
            or share_change >= URGENT_SHARE_CHANGE
            or flow_change >= least_change
        )

    def prioritize_peer(self, peer: str) -> None:
        """Let a peer that has just started be the next to get a report."""
        self.sent_ms_by_peer.pop(peer, None)

    def record_sent(self, peers: list[str], now_ms: int) -> list[str]:
        """Remember that the peers got a report."""
        self.last_sent_ms = now_ms
        for peer in peers:
            self.sent_ms_by_peer[peer] = now_ms
        return peers

    def remove_absent_peers(self, peers: Collection[str]) -> None:
        """Drop what is remembered about peers that are gone."""
        for name in self.sent_ms_by_peer.keys() - set(peers):
            del self.sent_ms_by_peer[name]
