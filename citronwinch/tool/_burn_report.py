"""Error budgets and burn rates, computed from the counts of daemons."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from citronwinch.operators import Objective, ObjectiveOutcome

WINDOWS_MS = {
    "5min": 300_000,
    "30min": 1_800_000,
    "1h": 3_600_000,
    "6h": 21_600_000,
}
"""Lengths of the windows over which burn rates are computed, in milliseconds."""

OBSERVED_WINDOW = "observed"
"""Name of the window for the observation time given on the command line."""


class Alert(NamedTuple):
    """A condition that requires action: the burn rate is reached in both windows."""

    name: str
    """The name, which tells the urgency."""

    short_window: str
    """The window which shows that the budget still burns now."""

    long_window: str
    """The window which shows that the burn is not a short spike."""

    burn: float
    """The burn rate that both windows must reach to raise the alert. At a burn rate of
    1.0, the error budget of a period is used up exactly at the end of the period."""


ALERTS = (Alert("fast", "5min", "1h", 14.4), Alert("slow", "30min", "6h", 6.0))
"""All alerts, the most urgent first. At these burn rates, 2 % of the error budget of 30
days is used up in 1 hour, and 5 % in 6 hours."""

LATENCY_LIMIT_MS = 3_600_000
"""The longest latency in the histograms of the daemons, in milliseconds."""


class DaemonCounts(NamedTuple):
    """The counts of one daemon."""

    now_ms: int
    """The daemon's time at its answer."""

    slot_ms: int
    """The length of the daemon's slots."""

    kept_ms: int
    """The time before `now_ms` that the counts cover."""

    services: dict[str, Any]
    """Slots, open flows and latencies by service."""


class Window(NamedTuple):
    """The counts and the burn rate of one objective in one window."""

    name: str
    """The window's name."""

    good: int
    """Number of events that met the objective."""

    bad: int
    """Number of events that missed the objective."""

    coverage: float
    """The share of the window for which every daemon has counts."""

    burn: float | None
    """The burn rate: the share of bad events divided by the share allowed.

    None without any event, as opposed to 0 without a bad event.
    """


class ObjectiveBurn(NamedTuple):
    """The burn rates and alerts of one objective of a service."""

    service: str
    """The service's name."""

    kind: str
    """`unbroken flows` or `answered in time`."""

    objective_percent: float
    """The target share of good events, in percent."""

    windows: list[Window]
    """The burn rate over each window."""

    budget_left: float | None
    """Remaining share of the error budget of the longest window; None without data."""

    alerts: list[str]
    """The names of the raised alerts."""

    lacks: list[str]
    """Descriptions of missing data."""


def parse_counts(body: Any) -> DaemonCounts:
    """Parse the counts in a daemon's answer; raise ValueError if malformed."""
    try:
        return DaemonCounts(
            int(body["now_ms"]),
            int(body["slot_ms"]),
            int(body["kept_ms"]),
            dict(body["services"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed counts: {error!r}") from None


def make_report(
    objectives: Iterable[Objective],
    daemons: Sequence[DaemonCounts],
    before: Sequence[DaemonCounts] = (),
) -> list[ObjectiveBurn]:
    """Return the burn rates of each objective.

    `before` holds earlier counts of the same daemons; if given, a window from these
    counts to those in `daemons` is added.
    """
    report = []
    for objective in objectives:
        for kind, percent in (
            ("unbroken flows", objective.unbroken_flows_percent),
            ("answered in time", objective.answered_in_time_percent),
        ):
            if percent is not None:
                windows = _make_windows(objective.service, kind, percent, daemons)
                if before:
                    windows.append(
                        _make_observed_window(
                            objective.service, kind, percent, before, daemons
                        )
                    )
                report.append(
                    _evaluate_objective(objective.service, kind, percent, windows)
                )
    return report


def _make_windows(
    service: str, kind: str, percent: float, daemons: Sequence[DaemonCounts]
) -> list[Window]:
    windows = []
    for name, length_ms in WINDOWS_MS.items():
        counts = [0] * len(ObjectiveOutcome)
        for daemon in daemons:
            after_slot = (daemon.now_ms - length_ms) // daemon.slot_ms
            _add_slots(counts, daemon, service, after_slot)
        shortest_kept_ms = min((daemon.kept_ms for daemon in daemons), default=0)
        coverage = min(1.0, shortest_kept_ms / length_ms)
        windows.append(
            _make_window(name, kind, percent, counts, coverage, daemons, service)
        )
    return windows


def _make_observed_window(
    service: str,
    kind: str,
    percent: float,
    before: Sequence[DaemonCounts],
    after: Sequence[DaemonCounts],
) -> Window:
    """Return the window between earlier and later counts of the same daemons."""
    counts = [0] * len(ObjectiveOutcome)
    earlier_counts = [0] * len(ObjectiveOutcome)
    coverage = 1.0
    for earlier_daemon, later_daemon in zip(before, after, strict=True):
        after_slot = earlier_daemon.now_ms // earlier_daemon.slot_ms - 1
        _add_slots(counts, later_daemon, service, after_slot)
        _add_slots(earlier_counts, earlier_daemon, service, after_slot)
        elapsed_ms = max(1, later_daemon.now_ms - earlier_daemon.now_ms)
        coverage = min(coverage, later_daemon.kept_ms / elapsed_ms)
    difference = [
        max(0, later_count - earlier_count)
        for later_count, earlier_count in zip(counts, earlier_counts, strict=True)
    ]
    return _make_window(
        OBSERVED_WINDOW, kind, percent, difference, coverage, after, service
    )


def _add_slots(
    counts: list[int], daemon: DaemonCounts, service: str, after_slot: int
) -> None:
    """Add the slots of a service that are newer than `after_slot`."""
    for slot_number, *values in daemon.services.get(service, {}).get("slots", ()):
        if slot_number > after_slot:
            for i, value in enumerate(values):
                counts[i] += value


def _make_window(
    name: str,
    kind: str,
    percent: float,
    counts: list[int],
    coverage: float,
    daemons: Sequence[DaemonCounts],
    service: str,
) -> Window:
    if kind == "unbroken flows":
        still_open = sum(
            int(daemon.services.get(service, {}).get("open_flows", 0))
            for daemon in daemons
        )
        good = still_open + counts[ObjectiveOutcome.FLOW_ENDED]
        bad = counts[ObjectiveOutcome.FLOW_BROKEN]
    else:
        good = counts[ObjectiveOutcome.ANSWERED_IN_TIME]
        bad = counts[ObjectiveOutcome.ANSWERED_LATE] + counts[ObjectiveOutcome.FAILED]
    total = good + bad
    allowed_share = 1 - percent / 100
    burn = bad / total / allowed_share if total else None
    return Window(name, good, bad, coverage, burn)


def _evaluate_objective(
    service: str, kind: str, percent: float, windows: list[Window]
) -> ObjectiveBurn:
    by_name = {window.name: window for window in windows}
    alerts = [
        alert.name
        for alert in ALERTS
        if _exceeds(by_name[alert.short_window], alert)
        and _exceeds(by_name[alert.long_window], alert)
    ]
    longest = by_name[list(WINDOWS_MS)[-1]]
    budget_left = None if longest.burn is None else 1 - longest.burn
    lacks = _list_missing_data(kind, windows)
    return ObjectiveBurn(service, kind, percent, windows, budget_left, alerts, lacks)


def _list_missing_data(kind: str, windows: list[Window]) -> list[str]:
    """Describe missing data; windows without any event share one sentence."""
    event = "flow" if kind == "unbroken flows" else "request"
    empty = [window.name for window in windows if window.burn is None]
    lacks = [f"no {event} was seen in {', '.join(empty)}"] if empty else []
    return lacks + [
        f"counts cover {window.coverage:.0%} of {window.name}"
        for window in windows
        if window.coverage < 1
    ]


def _exceeds(window: Window, alert: Alert) -> bool:
    return window.burn is not None and window.burn >= alert.burn


class Latency(NamedTuple):
    """Latencies of the answers of a service since the daemons started."""

    service: str
    """The service's name."""

    answers: int
    """Number of answers."""

    p50_ms: float
    """The median, in milliseconds."""

    p99_ms: float
    """The 99th percentile, in milliseconds."""

    max_ms: float
    """The maximum, in milliseconds."""


def merge_latencies(service: str, daemons: Iterable[DaemonCounts]) -> Latency | None:
    """Merge the latencies of a service over all daemons; None without answers."""
    merged = HdrHistogram(1, LATENCY_LIMIT_MS, 2)
    for daemon in daemons:
        encoded = daemon.services.get(service, {}).get("latency", "")
        if encoded:
            merged.add(HdrHistogram.decode(encoded))
    count = merged.get_total_count()
    if not count:
        return None
    return Latency(
        service,
        count,
        merged.get_value_at_percentile(50),
        merged.get_value_at_percentile(99),
        merged.get_max_value(),
    )
