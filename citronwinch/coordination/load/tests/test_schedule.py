"""Tests of when reports are sent, and to which peers.

They guard against peers that get no report or a late one after a large change, and
against a server that sends more reports than its budget allows.
"""

import pytest

from citronwinch.coordination.load import (
    REPORT_INTERVAL_MS,
    LoadReport,
    LoadState,
    ReportSchedule,
)

PEERS = sorted(f"server-{number}" for number in range(2, 11))

REPORT_BYTES = 168
"""The size of the demo's report as an IP packet, in bytes."""

STEADY = LoadReport("gauging", 1_000, 2_000)


def select_peers_for(schedule, clock, duration_ms, make_report):
    """Advance the clock in steps of 100 ms; return the peers due at each step."""
    sent = []
    for step in range(duration_ms // 100):
        clock.advance(100)
        sent.append(schedule.select_due_peers(PEERS, make_report(step)))
    return sent


def test_steady_reports_reach_all_peers_within_the_budget(clock):
    schedule = ReportSchedule(clock)
    sent = select_peers_for(schedule, clock, 60_000, lambda step: STEADY)
    names = [name for names in sent for name in names]
    assert set(names[-len(PEERS) :]) == set(PEERS)
    assert len(names) * REPORT_BYTES / 60 <= 600


def test_reports_of_a_server_with_alternating_state_stay_within_the_budget(clock):
    schedule = ReportSchedule(clock)
    states = [LoadState.ACCEPTING, LoadState.EJECTED]
    sent = select_peers_for(
        schedule, clock, 60_000, lambda step: STEADY._replace(state=states[step % 2])
    )
    assert sum(map(len, sent)) * REPORT_BYTES / 60 <= 1_200


URGENT = {
    "ejected": STEADY._replace(state=LoadState.EJECTED),
    "draining": STEADY._replace(state=LoadState.DRAINING),
    "full": STEADY._replace(flows=2_000),
    "another service": STEADY._replace(service="reporting"),
    "many more flows": STEADY._replace(flows=1_200),
    "much smaller share": STEADY._replace(share_thousandths=500),
}


@pytest.mark.parametrize("report", URGENT.values(), ids=URGENT)
def test_urgent_report_goes_to_all_peers_at_once(report, clock):
    schedule = ReportSchedule(clock)
    select_peers_for(schedule, clock, 10_000, lambda step: STEADY)
    assert schedule.select_due_peers(PEERS, report) == sorted(PEERS)


def test_burst_of_new_flows_is_reported_while_it_lasts(clock):
    schedule = ReportSchedule(clock)
    flows = [0, 0, 3, 6, 8, 8, 8, 8]
    sent = select_peers_for(
        schedule, clock, 800, lambda step: STEADY._replace(flows=flows[step])
    )
    assert [names == PEERS for names in sent[:4]] == [True, False, True, True]


def test_peer_that_has_just_started_gets_the_next_report(clock):
    schedule = ReportSchedule(clock)
    select_peers_for(schedule, clock, 10_000, lambda step: STEADY)
    schedule.prioritize_peer("server-7")
    clock.advance(REPORT_INTERVAL_MS)
    assert schedule.select_due_peers(PEERS, STEADY) == ["server-7"]


def test_no_report_is_due_without_peers(clock):
    assert ReportSchedule(clock).select_due_peers([], STEADY) == []
