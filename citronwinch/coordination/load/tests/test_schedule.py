"""Tests of when reports are sent."""

import pytest

from citronwinch.coordination.load import (
    REPORT_INTERVAL_MS,
    LoadReport,
    ReportSchedule,
    ServerState,
)

PEERS = sorted(f"server-{number}" for number in range(2, 11))

REPORT_BYTES = 168
"""A report of the demo's size as an IP packet, in bytes."""

STEADY = LoadReport("gauging", 1_000, 2_000)


def send_for(schedule, clock, duration_ms, make_report):
    """Return the peers that got a report in each 100 ms."""
    sent = []
    for step in range(duration_ms // 100):
        clock.advance(100)
        sent.append(schedule.select_due_peers(PEERS, make_report(step)))
    return sent


def test_steady_reports_reach_all_peers_within_the_budget(clock):
    schedule = ReportSchedule(clock)
    sent = send_for(schedule, clock, 60_000, lambda step: STEADY)
    names = [name for names in sent for name in names]
    assert set(names[-len(PEERS) :]) == set(PEERS)
    assert len(names) * REPORT_BYTES / 60 <= 600


def test_server_that_changes_its_mind_stays_within_the_budget(clock):
    schedule = ReportSchedule(clock)
    states = [ServerState.ACCEPTING, ServerState.EJECTED]
    sent = send_for(
        schedule, clock, 60_000, lambda step: STEADY._replace(state=states[step % 2])
    )
    assert sum(map(len, sent)) * REPORT_BYTES / 60 <= 1_200


URGENT = {
    "ejected": STEADY._replace(state=ServerState.EJECTED),
    "draining": STEADY._replace(state=ServerState.DRAINING),
    "full": STEADY._replace(flows=2_000),
    "another service": STEADY._replace(service="reporting"),
    "many more flows": STEADY._replace(flows=1_200),
    "much smaller share": STEADY._replace(share_thousandths=500),
}


@pytest.mark.parametrize("report", URGENT.values(), ids=URGENT)
def test_change_is_told_to_all_at_once(report, clock):
    schedule = ReportSchedule(clock)
    send_for(schedule, clock, 10_000, lambda step: STEADY)
    assert schedule.select_due_peers(PEERS, report) == sorted(PEERS)


def test_burst_of_new_flows_is_told_while_it_lasts(clock):
    schedule = ReportSchedule(clock)
    flows = [0, 0, 3, 6, 8, 8, 8, 8]
    sent = send_for(
        schedule, clock, 800, lambda step: STEADY._replace(flows=flows[step])
    )
    assert [names == PEERS for names in sent[:4]] == [True, False, True, True]


def test_peer_that_starts_is_next(clock):
    schedule = ReportSchedule(clock)
    send_for(schedule, clock, 10_000, lambda step: STEADY)
    schedule.prioritize_peer("server-7")
    clock.advance(REPORT_INTERVAL_MS)
    assert schedule.select_due_peers(PEERS, STEADY) == ["server-7"]


def test_no_peers_no_reports(clock):
    assert ReportSchedule(clock).select_due_peers([], STEADY) == []
