"""Flows of servers that left the listing: dead flows are reset, live flows are not.

Without a reset, callers would notice a dead server only by the loss of their next
request. A missing entry alone does not prove that the server is dead: the entry may
have expired, or the balancer itself may be isolated.
"""

from collections.abc import Mapping

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    AgentFlows,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    LoadReport,
    Packet,
    ResetFlow,
    ServerCheck,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._former_servers import (
    AGENT_START_MS,
    DEFAULT_STOP_TIMEOUT_MS,
)
from citronwinch.coordination.flows.tests.conftest import (
    make_listing,
    make_packet,
    make_server,
)


def remove_from_listing(view: DeploymentView, clock: ManualClock) -> None:
    remaining = [make_server(1), make_server(3, zone="b"), make_server(4, "reporting")]
    clock.advance(200)
    view.accept_listing(make_listing(11, *remaining), clock.now_ms())


def collect_resets(
    balancer: BalancerFlows,
    clock: ManualClock,
    reports: Mapping[int, LoadReport | None],
    for_ms: int = 3_000,
) -> list[Packet]:
    actions = []
    for _ in range(0, for_ms, 100):
        clock.advance(100)
        balancer.view.confirm_listing(StorePosition(1, 11), clock.now_ms())
        for number, report in reports.items():
            balancer.selector.record_message(f"10.0.0.{number}", report)
        actions += balancer.tick()
    return [action.packet for action in actions if isinstance(action, ResetFlow)]


def learn_flows(balancer: BalancerFlows) -> None:
    """Let the balancer find one flow at each of three agents."""
    for number in (1, 2, 3):
        packet = make_packet(4000 + number, payload=10, acknowledged=700 + number)
        balancer.handle_packet(packet)
        held = FlowAnswer(packet.flow, Verdict.HELD)
        balancer.handle_answer(held, f"10.0.0.{number}")


SERVER_DOWN = LoadReport(
    "gauging", 1, 0, 0, 0.0, accepts_flows=False, is_server_unreachable=True
)
SERVER_UP = LoadReport("gauging", 1, 0, 0, 0.0, accepts_flows=True)


SILENCE_LIMIT_MS = AGENT_START_MS + DEFAULT_STOP_TIMEOUT_MS


@pytest.mark.parametrize(
    ("reports_of_2", "for_ms", "is_reset"),
    [
        pytest.param({}, SILENCE_LIMIT_MS - 500, False, id="its agent may restart"),
        pytest.param({}, SILENCE_LIMIT_MS + 700, True, id="its agent is silent"),
        pytest.param(
            {2: SERVER_DOWN}, 3_000, True, id="its agent gets no answer from it"
        ),
        pytest.param(
            {2: SERVER_UP},
            SILENCE_LIMIT_MS + 700,
            False,
            id="only its entry has expired",
        ),
    ],
)
def test_flows_of_a_lost_server_are_reset_without_another_packet(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    reports_of_2: dict[int, LoadReport | None],
    for_ms: int,
    is_reset: bool,
) -> None:
    learn_flows(balancer)
    remove_from_listing(view, clock)
    other_reports = dict.fromkeys((1, 3, 4), SERVER_UP)
    packets = collect_resets(balancer, clock, other_reports | reports_of_2, for_ms)
    lost = make_packet(4002)
    expected = [(lost.flow, 702)] if is_reset else []
    assert [(packet.flow, packet.acknowledged) for packet in packets] == expected
    assert (lost.flow in balancer.flows) is not is_reset


def test_flows_of_a_silent_agent_are_not_reset_while_its_server_is_listed(
    balancer: BalancerFlows, clock: ManualClock, view: DeploymentView
) -> None:
    learn_flows(balancer)
    view.confirm_listing(StorePosition(1, 11), clock.now_ms())
    reports = dict.fromkeys((1, 3, 4), SERVER_UP)
    assert not collect_resets(balancer, clock, reports, SILENCE_LIMIT_MS + 700)


@pytest.mark.parametrize("state", ["isolated", "unsettled", "listed again"])
def test_no_flow_is_reset_unless_its_server_is_certainly_lost(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock, state: str
) -> None:
    learn_flows(balancer)
    remove_from_listing(view, clock)
    reports = dict.fromkeys((1, 3, 4), SERVER_UP) if state != "isolated" else {}
    if state == "unsettled":
        view.accept_grace(2_000)
    if state == "listed again":
        back = make_listing(12, *(make_server(number) for number in (1, 2, 3)))
        view.accept_listing(back, clock.now_ms())
    for_ms = 1_900 if state == "unsettled" else SILENCE_LIMIT_MS + 700
    assert not collect_resets(balancer, clock, reports, for_ms)


@pytest.mark.parametrize(
    ("ended_server_ms", "is_reset"),
    [
        pytest.param(1_000, True, id="its server has ended"),
        pytest.param(0, False, id="nothing is known of its server"),
        pytest.param(900, False, id="an earlier incarnation has ended"),
    ],
)
def test_a_dead_flow_is_reset_while_an_agent_that_stopped_is_silent(
    balancer: BalancerFlows, clock: ManualClock, ended_server_ms: int, is_reset: bool
) -> None:
    last_report = SERVER_DOWN._replace(ended_server_ms=ended_server_ms)
    balancer.selector.record_message("10.0.0.2", last_report)
    packet = make_packet(4009, payload=10)
    actions = balancer.handle_packet(packet)
    for agent in ("10.0.0.1", "10.0.0.3", "10.0.0.4"):
        answer = FlowAnswer(packet.flow, Verdict.ABSENT)
        actions += balancer.handle_answer(answer, agent)
    for _ in range(20):
        clock.advance(20)
        balancer.view.confirm_listing(StorePosition(1, 11), clock.now_ms())
        actions += balancer.tick()
        for agent in ("10.0.0.1", "10.0.0.3", "10.0.0.4"):
            if packet.flow in balancer.searches:
                answer = FlowAnswer(packet.flow, Verdict.ABSENT)
                actions += balancer.handle_answer(answer, agent)
    assert any(isinstance(action, ResetFlow) for action in actions) is is_reset


@pytest.mark.parametrize(
    ("is_leaving", "check", "ended_server_ms"),
    [
        (True, ServerCheck.REFUSED, 5_000),
        (True, ServerCheck.SILENT, 0),
        (True, ServerCheck.ACCEPTED, 0),
        (False, ServerCheck.REFUSED, 0),
    ],
)
def test_only_a_stopping_agent_reports_the_end_of_its_server(
    clock: ManualClock, is_leaving: bool, check: ServerCheck, ended_server_ms: int
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    agent.handle_server_start(5_000)
    agent.is_leaving = is_leaving
    agent.handle_server_check(check)
    assert agent.make_load_report().ended_server_ms == ended_server_ms
