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

LARGE_SERVICE_FACTOR = 4 / 3
"""The same for the service time; a third more or less changes how many flows the
server should hold by as much."""

LARGE_QUEUED_CHANGE = 2
"""The same for the requests that the agent holds."""

SHARE_STEPS = 20
"""Shares from 0 to 1 are rounded to this many steps in load reports."""


class LoadReporting:
    """Tells whether the balancers of the zone get a load report now.

    Few balancers get each change. With more of them, reports are less frequent, and
    small changes wait, so that an agent sends at most `REPORTS_PER_S`.

    When the room for openings runs out or comes back, a report is due at once, because
    the agent returns the openings that it gets meanwhile. The room of a cold server may
    change many times a second; such reports have a pace of their own with the same
    limit.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_report: LoadReport | None = None
        self.reported_ms = clock.now_ms()
        self.room_reported_ms: int | None = None
        """When a report was last sent early for a change of the room for openings."""

    def is_due(self, report: LoadReport, receivers: int) -> bool:
        """Return whether a report is due; if so, record it as sent."""
        last = self.last_report
        if last == report:
            return False
        if last is not None and last.accepts_flows == report.accepts_flows:
            is_due_by_room = has_room_change(last, report) and self._may_report_room(
                receivers
            )
            if not is_due_by_room and not self._is_due_by_pace(last, report, receivers):
                return False
        self.last_report = report
        self.reported_ms = self.clock.now_ms()
        return True

    def _may_report_room(self, receivers: int) -> bool:
        """Return whether a change of the room is due now; if so, record its time."""
        now_ms = self.clock.now_ms()
        if (
            self.room_reported_ms is not None
            and now_ms - self.room_reported_ms < receivers * 1_000 // REPORTS_PER_S
        ):
            return False
        self.room_reported_ms = now_ms
        return True

    def _is_due_by_pace(
        self, last: LoadReport, report: LoadReport, receivers: int
    ) -> bool:
        waited_ms = self.clock.now_ms() - self.reported_ms
        if waited_ms < receivers * 1_000 // REPORTS_PER_S:
            return False
        is_small = receivers > ALL_CHANGES_RECEIVERS and not is_large_change(
            last, report
        )
        return not is_small or waited_ms >= SMALL_CHANGE_INTERVAL_MS


def has_room_change(old: LoadReport, new: LoadReport) -> bool:
    """Return whether the room for openings has run out or has come back."""
    return (old.opening_room == 0) != (new.opening_room == 0)


def is_large_change(old: LoadReport, new: LoadReport) -> bool:
    """Return whether a change of load matters for the choice of a server soon."""
    return (
        (new.opening_room == 0) is not (old.opening_room == 0)
        or abs(new.opening_room - old.opening_room) >= LARGE_ROOM_CHANGE
        or abs(new.waiting - old.waiting) >= LARGE_WAITING_CHANGE
        or abs(new.open_flows - old.open_flows) >= LARGE_FLOWS_CHANGE
        or abs(new.busy_share - old.busy_share) >= LARGE_BUSY_CHANGE
        or abs(new.failed_share - old.failed_share) >= LARGE_FAILED_CHANGE
        or abs(new.queued - old.queued) >= LARGE_QUEUED_CHANGE
        or has_room_change(old, new)
        or _compute_factor(old.latency_ms, new.latency_ms) >= LARGE_LATENCY_FACTOR
        or _compute_factor(old.service_ms, new.service_ms) >= LARGE_SERVICE_FACTOR
    )


def _compute_factor(old_ms: int, new_ms: int) -> float:
    """Return the factor by which a time has changed; less than 1 ms counts as 1 ms."""
    shorter_ms, longer_ms = sorted((max(1, old_ms), max(1, new_ms)))
    return longer_ms / shorter_ms


def round_share(share: float) -> float:
    """Round a share, so that small changes of it do not cause a new load report."""
    return round(share * SHARE_STEPS) / SHARE_STEPS
