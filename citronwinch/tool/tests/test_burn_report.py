"""Tests that burn rates, alerts and missing data are computed from daemon counts."""

import pytest

from citronwinch.operators import Objective, ObjectiveOutcome, ServiceLevels
from citronwinch.tool._burn_picture import draw_picture
from citronwinch.tool._burn_report import make_report, merge_latencies, parse_counts

HOUR_MS = 3_600_000
NOW_MS = 100 * HOUR_MS + 5_000
OBJECTIVES = [Objective("gauging", None, 99.0)]


def count(outcomes, uptime_ms=7 * HOUR_MS):
    """Return a daemon's counts of (age in milliseconds, outcome, amount) entries."""
    levels = ServiceLevels()
    levels.configure(OBJECTIVES, NOW_MS - uptime_ms)
    for age_ms, outcome, amount in sorted(outcomes, reverse=True):
        for _ in range(amount):
            levels.count("gauging", outcome, NOW_MS - age_ms)
    return parse_counts(levels.report(NOW_MS))


IN_TIME, LATE, FAILED = (
    ObjectiveOutcome.ANSWERED_IN_TIME,
    ObjectiveOutcome.ANSWERED_LATE,
    ObjectiveOutcome.FAILED,
)
BURNS = {
    "nothing bad": ([(1_000, IN_TIME, 100)], [0, 0, 0, 0], []),
    "no event": ([], [None] * 4, []),
    "one in a hundred is the budget": (
        [(1_000, IN_TIME, 99), (1_000, LATE, 1)],
        [1, 1, 1, 1],
        [],
    ),
    "fast": ([(1_000, IN_TIME, 80), (1_000, FAILED, 20)], [20] * 4, ["fast", "slow"]),
    "slow": ([(1_000, IN_TIME, 92), (1_000, LATE, 8)], [8] * 4, ["slow"]),
    "old failures": (
        [(1_000, IN_TIME, 50), (2 * HOUR_MS, FAILED, 50)],
        [0, 0, 0, 50],
        [],
    ),
    "short spike": (
        [(1_000, FAILED, 2), (2_400_000, IN_TIME, 198)],
        [100, 100, 1, 1],
        [],
    ),
}


@pytest.mark.parametrize("case", BURNS.values(), ids=BURNS.keys())
def test_burn_over_each_window(case):
    outcomes, burns, alerts = case
    (burn,) = make_report(OBJECTIVES, [count(outcomes)])
    expected = [None if value is None else pytest.approx(value) for value in burns]
    assert [window.burn for window in burn.windows] == expected
    assert burn.alerts == alerts


def test_counts_of_daemons_are_added():
    daemons = [count([(1_000, IN_TIME, 99)]), count([(1_000, FAILED, 1)])]
    (burn,) = make_report(OBJECTIVES, daemons)
    assert (burn.windows[0].good, burn.windows[0].bad) == (99, 1)
    assert burn.budget_left == pytest.approx(0)


def test_missing_events_are_reported_as_missing_data():
    (burn,) = make_report(OBJECTIVES, [count([])])
    assert burn.budget_left is None
    assert burn.lacks == ["no request was seen in 5min, 30min, 1h, 6h"]


def test_recently_started_daemon_is_reported_as_missing_data():
    daemons = [count([(1_000, IN_TIME, 1)]), count([], uptime_ms=HOUR_MS // 2)]
    (burn,) = make_report(OBJECTIVES, daemons)
    assert burn.lacks == [
        "counts cover 50% of 1h",
        "counts cover 8% of 6h",
    ]


def test_observed_window_counts_only_events_between_readings():
    before = count([(15_000, FAILED, 5), (1_000, FAILED, 5)])
    levels = ServiceLevels()
    levels.configure(OBJECTIVES, NOW_MS - HOUR_MS)
    for time_ms, amount in ((NOW_MS - 1_000, 7), (NOW_MS + 20_000, 3)):
        for _ in range(amount):
            levels.count("gauging", FAILED, time_ms)
    after = parse_counts(levels.report(NOW_MS + 30_000))
    (burn,) = make_report(OBJECTIVES, [after], [before])
    assert (burn.windows[-1].name, burn.windows[-1].bad) == ("observed", 5)


def test_open_flows_count_as_unbroken():
    levels = ServiceLevels()
    levels.configure([], 0)
    levels.open_flows["gauging"] = 97
    levels.count("gauging", ObjectiveOutcome.FLOW_ENDED, NOW_MS)
    levels.count("gauging", ObjectiveOutcome.FLOW_BROKEN, NOW_MS)
    levels.count("gauging", ObjectiveOutcome.FLOW_BROKEN, NOW_MS)
    counts = parse_counts(levels.report(NOW_MS))
    (burn,) = make_report([Objective("gauging", 98.0)], [counts])
    assert burn.windows[0].burn == pytest.approx(1.0)


def test_latencies_of_daemons_are_merged():
    daemons = []
    for latency_ms in (10, 30):
        levels = ServiceLevels()
        levels.record_delivery("gauging", b"id", 1_000, 0)
        levels.record_answer(b"id", latency_ms)
        daemons.append(parse_counts(levels.report(latency_ms)))
    latency = merge_latencies("gauging", daemons)
    assert latency is not None
    assert latency[1:] == (2, 10, 30, 30)
    assert merge_latencies("reporting", daemons) is None


MALFORMED: dict[str, object] = {
    "list": [],
    "none": None,
    "text": {"now_ms": "x"},
    "missing": {},
}


@pytest.mark.parametrize("body", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_counts_are_rejected(body):
    with pytest.raises(ValueError):
        parse_counts(body)


def test_picture_marks_windows_without_data(tmp_path):
    report = make_report(OBJECTIVES, [count([])])
    draw_picture(report, tmp_path / "burn.svg")
    first = (tmp_path / "burn.svg").read_bytes()
    draw_picture(report, tmp_path / "burn.svg")
    assert (tmp_path / "burn.svg").read_bytes() == first
    assert first.count(b"no data") == len(report[0].windows)
    draw_picture(report, tmp_path / "burn.png")
    assert (tmp_path / "burn.png").read_bytes().startswith(b"\x89PNG")
