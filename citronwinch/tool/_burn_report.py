"""Error budgets and how fast they burn, from what daemons count."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from citronwinch.operators import Objective, Outcome

WINDOWS_MS = {
    "5min": 300_000,
    "30min": 1_800_000,
    "1h": 3_600_000,
    "6h": 21_600_000,
}
"""The windows over which burn is computed, in milliseconds."""

OBSERVED_WINDOW = "observed"
"""The window of the observation time that the command line asks for."""


class Alert(NamedTuple):
    """A burn that operators have to react to; both windows must exceed it."""

    name: str
    """How urgent it is."""

    short_window: str
    """Shows that the budget burns now."""

    long_window: str
    """Shows that it is no short blip."""

    burn: float
    """The burn rate, 1.0 being the rate that just uses up the budget."""


ALERTS = (Alert("fast", "5min", "1h", 14.4), Alert("slow", "30min", "6h", 6.0))
"""The alerts, the most urgent first."""

MAX_LATENCY_MS = 3_600_000
"""The longest latency that is told apart, in milliseconds."""


class DaemonCounts(NamedTuple):
    """What one daemon counted."""

    now_ms: int
    """Its time when it answered."""

    slot_ms: int
    """The length of its slots."""

    kept_ms: int
    """How far its counts reach back."""

    services: dict[str, Any]
    """Its slots, open flows and latencies by service."""


class Window(NamedTuple):
    """One objective over one window."""

    name: str
    """The window's name."""

    good: int
    """The events that met the objective."""

    bad: int
    """The events that did not."""

    coverage: float
    """The share of the window that every daemon has counts for."""

    burn: float | None
    """The share of bad events over the share that the objective allows.

    None when there was no event at all, which is not the same as no bad event.
    """


class ObjectiveBurn(NamedTuple):
    """One objective of one service."""

    service: str
    """The service."""

    kind: str
    """`unbroken flows` or `answered in time`."""

    objective_percent: float
    """What the service promises."""

    windows: list[Window]
    """Its burn over each window."""

    budget_left: float | None
    """The share of the budget of the longest window that is left; None: no data."""

    alerts: list[str]
    """The names of the alerts that it raises."""

    lacks: list[str]
    """The data that is missing for a full answer."""


def parse_counts(body: Any) -> DaemonCounts:
    """Return the counts in a daemon's answer; raise ValueError when malformed."""
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
    """Return the burn of each objective.

    With `before`, the counts of the same daemons at an earlier time, a window of the
    time in between is added.
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
                        _observe(objective.service, kind, percent, before, daemons)
                    )
                report.append(_judge(objective.service, kind, percent, windows))
    return report


def _make_windows(
    service: str, kind: str, percent: float, daemons: Sequence[DaemonCounts]
) -> list[Window]:
    windows = []
    for name, length_ms in WINDOWS_MS.items():
        counts = [0] * len(Outcome)
        for daemon in daemons:
            oldest = (daemon.now_ms - length_ms) // daemon.slot_ms
            _add_slots(counts, daemon, service, oldest)
        reach_ms = min((daemon.kept_ms for daemon in daemons), default=0)
        coverage = min(1.0, reach_ms / length_ms)
        windows.append(
            _make_window(name, kind, percent, counts, coverage, daemons, service)
        )
    return windows


def _observe(
    service: str,
    kind: str,
    percent: float,
    before: Sequence[DaemonCounts],
    after: Sequence[DaemonCounts],
) -> Window:
    """Return the window between two readings of the same daemons."""
    counts = [0] * len(Outcome)
    earlier = [0] * len(Outcome)
    coverage = 1.0
    for first, last in zip(before, after, strict=True):
        oldest = first.now_ms // first.slot_ms - 1
        _add_slots(counts, last, service, oldest)
        _add_slots(earlier, first, service, oldest)
        elapsed_ms = max(1, last.now_ms - first.now_ms)
        coverage = min(coverage, last.kept_ms / elapsed_ms)
    difference = [max(0, a - b) for a, b in zip(counts, earlier, strict=True)]
    return _make_window(
        OBSERVED_WINDOW, kind, percent, difference, coverage, after, service
    )


def _add_slots(
    counts: list[int], daemon: DaemonCounts, service: str, oldest: int
) -> None:
    """Add the slots of a service that are newer than `oldest`."""
    for number, *values in daemon.services.get(service, {}).get("slots", ()):
        if number > oldest:
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
        good = still_open + counts[Outcome.FLOW_ENDED]
        bad = counts[Outcome.FLOW_BROKEN]
    else:
        good = counts[Outcome.ANSWERED_IN_TIME]
        bad = counts[Outcome.ANSWERED_LATE] + counts[Outcome.FAILED]
    total = good + bad
    allowed = 1 - percent / 100
    burn = bad / total / allowed if total else None
    return Window(name, good, bad, coverage, burn)


def _judge(
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
    lacks = _find_lacks(kind, windows)
    return ObjectiveBurn(service, kind, percent, windows, budget_left, alerts, lacks)


def _find_lacks(kind: str, windows: list[Window]) -> list[str]:
    """Return what is missing, in one sentence for all windows without any event."""
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
    """How long answers of a service took since the daemons started."""

    service: str
    """The service."""

    answers: int
    """How many answers there were."""

    p50_ms: float
    """The median, in milliseconds."""

    p99_ms: float
    """The 99th percentile, in milliseconds."""

    max_ms: float
    """The longest, in milliseconds."""


def merge_latencies(service: str, daemons: Iterable[DaemonCounts]) -> Latency | None:
    """Return the latencies of a service over all daemons, None without any."""
    merged = HdrHistogram(1, MAX_LATENCY_MS, 2)
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
