"""When an agent reports its load, and to whom."""

from collections.abc import Collection

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._report import FULL_SHARE_THOUSANDTHS, LoadReport

REPORT_INTERVAL_MS = 400
"""How often one peer gets a report, in milliseconds."""

URGENT_INTERVAL_MS = 3_000
"""How often all peers may get a report at once, in milliseconds."""

URGENT_SHARE_CHANGE = FULL_SHARE_THOUSANDTHS // 4
"""The change of the share that all peers are told at once."""


class ReportSchedule:
    """Spends a fixed budget of messages on reports.

    One peer after the other gets a report, the one that has waited longest first.
    When a server starts or stops taking flows, all peers are told at once, though not
    again before `URGENT_INTERVAL_MS`, so that a server that changes its mind all the
    time costs no more than that.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent_ms: dict[str, int] = {}
        self.last_ms = clock.now_ms() - REPORT_INTERVAL_MS
        self.last_urgent_ms = clock.now_ms() - URGENT_INTERVAL_MS
        self.last_told: LoadReport | None = None

    def take_due(self, peers: Collection[str], report: LoadReport) -> list[str]:
        """Return the peers that get the report now."""
        now_ms = self.clock.now_ms()
        self.forget_absent(peers)
        if self.is_urgent(report) and now_ms - self.last_urgent_ms >= (
            URGENT_INTERVAL_MS
        ):
            self.last_urgent_ms = now_ms
            self.last_told = report
            return self.note_sent(sorted(peers), now_ms)
        if not peers or now_ms - self.last_ms < REPORT_INTERVAL_MS:
            return []
        never_ms = -1
        longest = min(peers, key=lambda peer: (self.sent_ms.get(peer, never_ms), peer))
        return self.note_sent([longest], now_ms)

    def is_urgent(self, report: LoadReport) -> bool:
        """Return whether the report changes whether others choose this server."""
        told = self.last_told
        if told is None:
            return True
        share_change = abs(report.share_thousandths - told.share_thousandths)
        return (
            report.state is not told.state
            or report.is_full != told.is_full
            or report.service != told.service
            or share_change >= URGENT_SHARE_CHANGE
        )

    def ask_soon(self, peer: str) -> None:
        """Let a peer that has just started be the next to get a report."""
        self.sent_ms.pop(peer, None)

    def note_sent(self, peers: list[str], now_ms: int) -> list[str]:
        """Remember that the peers got a report."""
        self.last_ms = now_ms
        for peer in peers:
            self.sent_ms[peer] = now_ms
        return peers

    def forget_absent(self, peers: Collection[str]) -> None:
        """Drop what is remembered about peers that are gone."""
        for name in self.sent_ms.keys() - set(peers):
            del self.sent_ms[name]
