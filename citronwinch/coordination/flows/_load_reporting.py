"""Decides when an agent reports the load of its backend server."""

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import LoadReport

REPORT_INTERVAL_MS = 40
"""The shortest interval of load reports to the balancers of the own zone, in
milliseconds: about the duration of two requests."""

REPORTS_PER_S = 75
"""The most load reports per second to the balancers of the own zone."""

ALL_CHANGES_RECEIVERS = 3
"""Up to this many balancers are told each change; more of them only large changes."""

SMALL_CHANGE_INTERVAL_MS = 1_000
"""How long a small change may stay unreported, in milliseconds."""

LARGE_WAITING_CHANGE = 2
"""A change of the waiting requests that is reported soon: below it, a server has no
queue that would delay a request noticeably."""

LARGE_FLOWS_CHANGE = 4
"""The same for open flows; half of what another zone costs."""

LARGE_ROOM_CHANGE = 2
"""The same for the room for openings; a change from or to no room is always large."""

LARGE_BUSY_CHANGE = 0.2
"""The same for the busy share."""

LARGE_FAILED_CHANGE = 0.1
"""The same for the share of failed requests."""

LARGE_LATENCY_FACTOR = 1.5
"""The same for the latency, as a factor in either direction."""


class LoadReporting:
    """Tells whether the balancers of the zone get a load report now.

    Few balancers get each change. With more of them, reports are less frequent, and
    small changes wait, so that an agent sends at most `REPORTS_PER_S`.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_report: LoadReport | None = None
        self.reported_ms = clock.now_ms()

    def is_due(self, report: LoadReport, receivers: int) -> bool:
        """Return whether a report is due; if so, record it as sent."""
        last = self.last_report
        if last == report:
            return False
        if last is not None and last.accepts_flows == report.accepts_flows:
            waited_ms = self.clock.now_ms() - self.reported_ms
            if waited_ms < receivers * 1_000 // REPORTS_PER_S:
                return False
            is_small = receivers > ALL_CHANGES_RECEIVERS and not is_large_change(
                last, report
            )
            if is_small and waited_ms < SMALL_CHANGE_INTERVAL_MS:
                return False
        self.last_report = report
        self.reported_ms = self.clock.now_ms()
        return True


def is_large_change(old: LoadReport, new: LoadReport) -> bool:
    """Return whether a change of load matters for the choice of a server soon."""
    latencies_ms = sorted((max(1, old.latency_ms), max(1, new.latency_ms)))
    return (
        (new.opening_room == 0) is not (old.opening_room == 0)
        or abs(new.opening_room - old.opening_room) >= LARGE_ROOM_CHANGE
        or abs(new.waiting - old.waiting) >= LARGE_WAITING_CHANGE
        or abs(new.open_flows - old.open_flows) >= LARGE_FLOWS_CHANGE
        or abs(new.busy_share - old.busy_share) >= LARGE_BUSY_CHANGE
        or abs(new.failed_share - old.failed_share) >= LARGE_FAILED_CHANGE
        or latencies_ms[1] >= latencies_ms[0] * LARGE_LATENCY_FACTOR
    )
