"""Tests of the load decisions of one agent.

They guard against too many or no flows for a server that joins, against flows for a
server that leaves or fails, and against using reports of servers that are no peers.
"""

import pytest

from citronwinch.coordination import Table
from citronwinch.coordination.load import (
    AgentLoad,
    LoadReport,
    LoadState,
    ReportOrigin,
)


@pytest.fixture
def agent(clock, make_row):
    agent = AgentLoad("server-1", "zone-1", clock)
    agent.accept_table(Table(1, [make_row(1), make_row(2), make_row(3)]))
    return agent


def compute_share(agent):
    return round(agent.make_report(0).compute_share() * 1_000)


def test_share_of_a_joining_server_grows_over_the_ramp(agent, clock):
    shares = []
    for _ in range(4):
        shares.append(compute_share(agent))
        clock.advance(10_000)
    assert shares == [100, 400, 700, 1_000]


def test_ramp_begins_again_with_another_service(agent, clock, make_row):
    clock.advance(60_000)
    agent.accept_table(Table(2, [make_row(1, weight=50), make_row(2)]))
    assert compute_share(agent) == 1_000
    agent.accept_table(Table(3, [make_row(1, service="reporting"), make_row(2)]))
    assert compute_share(agent) == 100


def test_joining_server_gets_some_flows_but_not_too_many(clock, make_row):
    agent = AgentLoad("server-1", "zone-1", clock)
    rows = [make_row(1), make_row(2), make_row(3)]
    agent.accept_table(Table(1, rows))
    clock.advance(60_000)
    flows = 1_000
    joined_steps: list[int] = []
    for step in range(600):
        clock.advance(50)
        joining_report = LoadReport(
            "gauging", len(joined_steps), 2_000, age_ms=step * 50
        )
        agent.accept_report(ReportOrigin("server-2", 1, step), joining_report)
        steady_report = LoadReport("gauging", 1_000, 2_000)
        agent.accept_report(ReportOrigin("server-3", 1, step), steady_report)
        if agent.choose_owner("gauging", rows, flows) == "server-2":
            joined_steps.append(step)
    early = sum(1 for step in joined_steps if step < 200)
    assert 50 <= early <= 400
    assert len(joined_steps) > early


def drain_by_table(agent, make_row):
    agent.accept_table(Table(2, [make_row(1, weight=0), make_row(2), make_row(3)]))


def drain_by_stop(agent, make_row):
    agent.begin_stop()


@pytest.mark.parametrize("drain", [drain_by_table, drain_by_stop])
def test_draining_server_reports_it_and_gets_no_flows(drain, agent, clock, make_row):
    agent.tick(5)
    drain(agent, make_row)
    rows = [make_row(1), make_row(2), make_row(3)]
    assert agent.choose_owner("gauging", rows, 5) == "server-2"
    assert agent.make_report(5).state is LoadState.DRAINING
    clock.advance(300)
    assert {due.agent for due in agent.tick(5)} == {"server-2", "server-3"}


def test_server_without_answers_is_ejected_within_three_seconds(agent, clock):
    for number in range(30):
        for part in range(2):
            agent.outcomes.record_delivery(bytes([number, part]))
        clock.advance(100)
        agent.tick(5)
    assert agent.make_report(5).state is LoadState.EJECTED


def test_reports_of_unknown_and_removed_servers_are_dropped(agent, make_row):
    report = LoadReport("gauging", 5, 2_000)
    assert not agent.accept_report(ReportOrigin("server-9", 1, 1), report)
    assert agent.accept_report(ReportOrigin("server-3", 1, 1), report)
    other_service_report = report._replace(service="reporting")
    assert not agent.accept_report(ReportOrigin("server-2", 1, 1), other_service_report)
    agent.accept_table(Table(2, [make_row(1), make_row(2)]))
    assert agent.view.peers == {}


def test_agent_without_a_row_sends_no_report(clock):
    agent = AgentLoad("server-1", "zone-1", clock)
    assert agent.make_report(0) is None
    assert agent.tick(0) == []
