"""The agent of a server that has left the listing is silent, and its server serves on.

An agent is silent for some seconds while it is restarted, on a slow instance, or when a
packet is lost. Guards against a balancer that takes this silence for the end of the
server, and resets its flows.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DepartedServer,
    DeploymentView,
    FlowAnswer,
    LoadReport,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._lost_servers import UNREACHABLE_SERVER_TIMEOUT_MS
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

LISTED, LEFT = make_server(1), make_server(9)
PACKET = make_packet(4000, payload=10, acknowledged=700)
TICK_MS = 20

RESTART_MS = 7_000
"""A restart in turn: the longest stop timeout of the deployments is 6 s."""

SERVER_UP = LoadReport("gauging", 1, 0, 0, 0.0, accepts_flows=True)
AGENT_STOPS = SERVER_UP._replace(accepts_flows=False)


@pytest.fixture
def restarted(clock: ManualClock) -> BalancerFlows:
    """A balancer that has started after LEFT left, and has learned that."""
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    view.accept_former([DepartedServer(LEFT, 1_000)], "10.1.0.2", 60_000)
    return BalancerFlows(view, ServerSelector("a", clock, random.Random(7)), clock)


@pytest.fixture
def with_flow(clock: ManualClock) -> BalancerFlows:
    """A balancer that knows a flow of LEFT, which then leaves the listing."""
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(9, LISTED, LEFT), clock.now_ms())
    balancer = BalancerFlows(view, ServerSelector("a", clock, random.Random(7)), clock)
    balancer.handle_packet(PACKET)
    answer = FlowAnswer(PACKET.flow, Verdict.HELD)
    balancer.handle_answer(answer, LEFT.address.ip)
    balancer.selector.record_message(LEFT.address.ip, SERVER_UP)
    view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    return balancer


def run(balancer: BalancerFlows, clock: ManualClock, for_ms: int) -> list[Action]:
    """Let LISTED deny each question and report its load, and the listing stay."""
    actions: list[Action] = []
    for _ in range(0, for_ms, TICK_MS):
        clock.advance(TICK_MS)
        balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        balancer.selector.record_message(LISTED.address.ip, SERVER_UP)
        step = balancer.tick()
        if LISTED.address.ip in list_questions(step):
            denial = FlowAnswer(PACKET.flow, Verdict.ABSENT)
            step += balancer.handle_answer(denial, LISTED.address.ip)
        actions += step
    return actions


# A starting balancer has had no message of any agent: a late answer is no denial.
def test_a_flow_is_found_although_the_agent_of_a_former_server_answers_late(
    restarted: BalancerFlows, clock: ManualClock
) -> None:
    actions = restarted.handle_packet(PACKET)
    denial = FlowAnswer(PACKET.flow, Verdict.ABSENT)
    actions += restarted.handle_answer(denial, LISTED.address.ip)
    actions += run(restarted, clock, 1_500)
    assert not has_reset(actions)
    answer = FlowAnswer(PACKET.flow, Verdict.HELD)
    actions = restarted.handle_answer(answer, LEFT.address.ip)
    assert list_forwards(actions) == [(LEFT.address.ip, "gauging")]


# The caller's retransmissions start further searches, which ask the agent again.
def test_the_agent_of_a_former_server_is_asked_again_after_a_silence(
    restarted: BalancerFlows, clock: ManualClock
) -> None:
    actions = []
    for _ in range(3):
        actions += restarted.handle_packet(PACKET)
        actions += run(restarted, clock, 2_400)
    assert not has_reset(actions)
    assert LEFT.address.ip in list_questions(restarted.handle_packet(PACKET))


# The last report of an agent that is stopped in turn says that it takes no new flows.
@pytest.mark.parametrize(
    "last_report",
    [
        pytest.param(AGENT_STOPS, id="stopped in turn"),
        pytest.param(None, id="killed or paused"),
    ],
)
def test_a_known_flow_outlives_the_restart_of_its_agent_after_its_server_left(
    with_flow: BalancerFlows, clock: ManualClock, last_report: LoadReport | None
) -> None:
    actions = run(with_flow, clock, 1_600)
    if last_report is not None:
        with_flow.selector.record_message(LEFT.address.ip, last_report)
    actions += run(with_flow, clock, RESTART_MS)
    assert not has_reset(actions)
    assert list_forwards(with_flow.handle_packet(PACKET)) == [
        (LEFT.address.ip, "gauging")
    ]


# A paused balancer reads none of the messages that agents send meanwhile.
def test_the_time_in_which_the_balancer_was_paused_is_no_silence_of_the_agent(
    with_flow: BalancerFlows, clock: ManualClock
) -> None:
    actions = run(with_flow, clock, 1_600)
    clock.advance(20_000)
    actions += run(with_flow, clock, RESTART_MS)
    assert not has_reset(actions)


def test_flows_of_a_server_that_has_ended_are_reset_at_once(
    with_flow: BalancerFlows, clock: ManualClock
) -> None:
    ended = AGENT_STOPS._replace(ended_server_ms=LEFT.started_ms)
    with_flow.selector.record_message(LEFT.address.ip, ended)
    assert has_reset(run(with_flow, clock, TICK_MS))


# A slow agent may find its server silent once, and reach it at the next attempt.
def test_one_failed_attempt_of_an_agent_to_reach_its_server_ends_no_flow(
    with_flow: BalancerFlows, clock: ManualClock
) -> None:
    unreachable = SERVER_UP._replace(accepts_flows=False, is_server_unreachable=True)
    actions = run(with_flow, clock, UNREACHABLE_SERVER_TIMEOUT_MS)
    with_flow.selector.record_message(LEFT.address.ip, unreachable)
    actions += run(with_flow, clock, 500)
    with_flow.selector.record_message(LEFT.address.ip, SERVER_UP)
    actions += run(with_flow, clock, 500)
    assert not has_reset(actions)
