"""What an agent passes on, gives back, and says about flows."""

from typing import Any

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    DeliverToCaller,
    DeliverToServer,
    FlowAnswer,
    FlowQuestion,
    ForwardedPacket,
    ResetFlow,
    ReturnedPacket,
    SendMessage,
    ServerCheck,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import make_packet

BALANCER = "10.0.1.1"


@pytest.fixture
def agent(clock: ManualClock) -> AgentFlows:
    return AgentFlows("gauging", clock, knows_all_flows=False)


def forward(agent: AgentFlows, service: str = "gauging", **fields: Any) -> list[Action]:
    packet = make_packet(**fields)
    return agent.handle_forwarded(
        ForwardedPacket(service, packet.raw), packet, BALANCER
    )


def open_flow(agent: AgentFlows, port: int = 4000) -> None:
    forward(agent, opening=True, port=port)
    agent.handle_from_server(make_packet(opening=True, sequence=500, port=port))
    forward(agent, acknowledged=501, port=port)


def ask(agent: AgentFlows, acknowledged: int = 0) -> Verdict:
    question = FlowQuestion(make_packet().flow, acknowledged)
    return agent.answer(question).verdict


def was_delivered(actions: list[Action]) -> bool:
    return any(isinstance(action, DeliverToServer) for action in actions)


def was_returned(actions: list[Action]) -> bool:
    return any(
        isinstance(action, SendMessage) and isinstance(action.message, ReturnedPacket)
        for action in actions
    )


def test_a_packet_for_another_service_is_never_delivered(agent: AgentFlows) -> None:
    actions = forward(agent, service="reporting", opening=True)
    assert was_returned(actions) and not was_delivered(actions)


def test_an_accepted_opening_is_told_to_the_balancer(agent: AgentFlows) -> None:
    forward(agent, opening=True)
    accepted = make_packet(opening=True, sequence=500)
    actions = agent.handle_from_server(accepted)
    assert actions[0] == DeliverToCaller(accepted)
    answer = FlowAnswer(accepted.flow, Verdict.OPENING)
    assert actions[1] == SendMessage(BALANCER, answer)


@pytest.mark.parametrize(
    ("acknowledged", "delivered"),
    [
        pytest.param(501, True, id="confirms this acceptance"),
        pytest.param(90_000, False, id="confirms a rival acceptance"),
    ],
)
def test_rival_acceptances_are_told_apart(
    agent: AgentFlows, acknowledged: int, delivered: bool
) -> None:
    forward(agent, opening=True)
    agent.handle_from_server(make_packet(opening=True, sequence=500))
    verdict = ask(agent, acknowledged)
    assert verdict is (Verdict.HELD if delivered else Verdict.ABSENT)
    actions = forward(agent, acknowledged=acknowledged)
    assert was_delivered(actions) is delivered
    assert was_returned(actions) is not delivered


def test_a_restarted_agent_learns_its_flows_by_trying(agent: AgentFlows) -> None:
    assert ask(agent) is Verdict.UNCERTAIN
    assert was_delivered(forward(agent, payload=10))
    assert ask(agent) is Verdict.UNCERTAIN
    answers = agent.handle_from_server(make_packet(payload=10))
    held = FlowAnswer(make_packet().flow, Verdict.HELD)
    assert SendMessage(BALANCER, held) in answers
    assert ask(agent) is Verdict.HELD


def test_a_bounced_packet_goes_back_and_the_flow_is_known_to_be_absent(
    agent: AgentFlows,
) -> None:
    forward(agent, payload=10)
    assert was_returned(agent.handle_from_server(make_packet(bounced=True, payload=10)))
    assert ask(agent) is Verdict.ABSENT
    assert was_returned(forward(agent, payload=10))


def test_an_agent_there_from_the_first_start_knows_what_it_does_not_hold(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    assert ask(agent) is Verdict.ABSENT


def test_the_report_counts_open_flows_and_waiting_requests(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for port in (4000, 4001):
        open_flow(agent, port)
        forward(agent, payload=50, acknowledged=501, port=port)
    report = agent.report()
    assert (report.open_flows, report.waiting) == (2, 2)
    clock.advance(100)
    agent.handle_from_server(make_packet(payload=50))
    agent.handle_from_server(make_packet(reset=True, port=4001))
    report = agent.report()
    assert (report.open_flows, report.waiting) == (1, 0)
    assert report.latency_ms == 15


def test_idle_flows_are_forgotten(agent: AgentFlows, clock: ManualClock) -> None:
    open_flow(agent)
    clock.advance(60_001)
    agent.expire()
    assert (agent.report().open_flows, len(agent.flows)) == (0, 0)


@pytest.mark.parametrize(
    ("starts_ms", "verdict"),
    [
        pytest.param([5_000], Verdict.UNCERTAIN, id="the server is older"),
        pytest.param([59_500], Verdict.ABSENT, id="both have just started"),
        pytest.param([5_000, 90_000], Verdict.ABSENT, id="the server restarted"),
        pytest.param([0], Verdict.UNCERTAIN, id="nothing is known"),
    ],
)
def test_an_agent_older_than_its_server_knows_all_flows(
    clock: ManualClock, starts_ms: list[int], verdict: Verdict
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False, started_unix_ms=60_000)
    for started_ms in starts_ms:
        agent.note_server_start(started_ms)
    assert ask(agent) is verdict


def test_a_silent_server_is_checked_and_its_flows_reset_once_it_is_dead(
    agent: AgentFlows, clock: ManualClock
) -> None:
    open_flow(agent)
    for _ in range(3):
        forward(agent, payload=50, acknowledged=777)
    assert not agent.server.start_check_if_due()
    clock.advance(350)
    assert agent.server.start_check_if_due()
    resets = [
        action.packet
        for action in agent.note_server_check(ServerCheck.REFUSED)
        if isinstance(action, ResetFlow)
    ]
    assert [(packet.flow, packet.acknowledged) for packet in resets] == [
        (make_packet().flow, 777)
    ]
    report = agent.report()
    assert (report.open_flows, report.accepts_flows) == (0, False)
    assert was_returned(forward(agent, opening=True))
    assert ask(agent) is Verdict.ABSENT


@pytest.mark.parametrize("check", [ServerCheck.ACCEPTED, ServerCheck.SILENT])
def test_no_flow_is_reset_unless_the_server_is_certainly_dead(
    agent: AgentFlows, check: ServerCheck
) -> None:
    open_flow(agent)
    actions = agent.note_server_check(check)
    assert not any(isinstance(action, ResetFlow) for action in actions)
    assert agent.report().accepts_flows is (check is ServerCheck.ACCEPTED)


def test_a_server_that_answers_is_not_checked(
    agent: AgentFlows, clock: ManualClock
) -> None:
    open_flow(agent)
    for _ in range(20):
        for _ in range(3):
            forward(agent, payload=50, acknowledged=501)
        clock.advance(300)
        agent.handle_from_server(make_packet())
        assert not agent.server.start_check_if_due()


def test_a_server_that_does_not_answer_gets_no_new_flows_until_it_does(
    agent: AgentFlows,
) -> None:
    open_flow(agent)
    agent.note_server_check(ServerCheck.SILENT)
    assert not agent.report().accepts_flows
    assert was_delivered(forward(agent, payload=10, acknowledged=501))
    agent.handle_from_server(make_packet(payload=50))
    assert agent.report().accepts_flows


def test_a_server_that_is_up_again_takes_flows(agent: AgentFlows) -> None:
    agent.note_server_check(ServerCheck.REFUSED)
    assert not agent.report().accepts_flows
    agent.note_server_check(ServerCheck.ACCEPTED)
    assert agent.report().accepts_flows
    assert was_delivered(forward(agent, opening=True))


def test_a_copy_of_a_request_is_not_counted_as_waiting(agent: AgentFlows) -> None:
    open_flow(agent)
    for sequence in (100, 150):
        forward(agent, payload=50, acknowledged=501, sequence=sequence)
        agent.handle_from_server(make_packet(payload=50))
        forward(agent, payload=50, acknowledged=501, sequence=sequence)
        assert agent.report().waiting == 0
    forward(agent, payload=50, acknowledged=501, sequence=200)
    assert agent.report().waiting == 1


def test_a_reset_by_a_server_that_does_not_hold_the_flow_stays_here(
    agent: AgentFlows,
) -> None:
    # Its caller has opened the flow at a rival; this server's half has ended.
    forward(agent, payload=10, acknowledged=90_000)
    actions = agent.handle_from_server(make_packet(reset=True))
    assert not any(isinstance(action, DeliverToCaller) for action in actions)
    absent = FlowAnswer(make_packet().flow, Verdict.ABSENT)
    assert SendMessage(BALANCER, absent) in actions
    assert ask(agent) is Verdict.ABSENT


def test_a_reset_of_an_acceptance_that_nobody_confirmed_stays_here(
    agent: AgentFlows,
) -> None:
    forward(agent, opening=True)
    agent.handle_from_server(make_packet(opening=True, sequence=500))
    actions = agent.handle_from_server(make_packet(reset=True))
    assert not any(isinstance(action, DeliverToCaller) for action in actions)


def test_a_reset_of_an_open_flow_reaches_its_caller(agent: AgentFlows) -> None:
    open_flow(agent)
    reset = make_packet(reset=True)
    assert agent.handle_from_server(reset) == [DeliverToCaller(reset)]
