"""Packets that an agent delivers or returns, its verdicts and its load reports.

Guards against agents that rule out a flow which their backend server may hold, that
claim a flow which the caller opened at another server, that reset flows of a live
backend server or keep those of a dead one, and that report a wrong load.
"""

from typing import Any

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    DeliverToCaller,
    DeliverToServer,
    FlowAnswer,
    FlowAnswers,
    FlowQuestion,
    FlowQuestions,
    ForwardedPacket,
    ResetFlow,
    ReturnedPacket,
    SendMessage,
    ServerCheck,
    Verdict,
)
from citronwinch.coordination.flows._first_run import BALANCERS_WAIT_MS
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


def query_verdict(agent: AgentFlows, acknowledged: int = 0) -> Verdict:
    question = FlowQuestion(make_packet().flow, acknowledged)
    return agent.answer_question(question).verdict


def test_a_batch_is_answered_in_the_order_of_its_questions(agent: AgentFlows) -> None:
    """Guards against verdicts that the balancer assigns to other flows."""
    open_flow(agent, port=4001)
    ports = (4000, 4001, 4002)
    questions = tuple(FlowQuestion(make_packet(port).flow, 501) for port in ports)
    answers = agent.answer_questions(FlowQuestions(7, questions))
    verdicts = (Verdict.UNCERTAIN, Verdict.HELD, Verdict.UNCERTAIN)
    assert answers == FlowAnswers(7, verdicts)


def is_delivered(actions: list[Action]) -> bool:
    return any(isinstance(action, DeliverToServer) for action in actions)


def is_returned(actions: list[Action]) -> bool:
    return any(
        isinstance(action, SendMessage) and isinstance(action.message, ReturnedPacket)
        for action in actions
    )


def test_a_packet_for_another_service_is_never_delivered(agent: AgentFlows) -> None:
    actions = forward(agent, service="reporting", opening=True)
    assert is_returned(actions) and not is_delivered(actions)


def test_an_accepted_opening_is_reported_to_the_balancer(agent: AgentFlows) -> None:
    forward(agent, opening=True)
    accepted = make_packet(opening=True, sequence=500)
    actions = agent.handle_from_server(accepted)
    assert actions[0] == DeliverToCaller(accepted)
    answer = FlowAnswer(accepted.flow, Verdict.OPENING, 500)
    assert actions[1] == SendMessage(BALANCER, answer)


@pytest.mark.parametrize(
    ("acknowledged", "delivered"),
    [
        pytest.param(501, True, id="confirms this acceptance"),
        pytest.param(90_000, False, id="confirms another acceptance"),
    ],
)
def test_only_the_confirmed_one_of_several_acceptances_holds_the_flow(
    clock: ManualClock, acknowledged: int, delivered: bool
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    forward(agent, opening=True)
    agent.handle_from_server(make_packet(opening=True, sequence=500))
    verdict = query_verdict(agent, acknowledged)
    assert verdict is (Verdict.HELD if delivered else Verdict.ABSENT)
    actions = forward(agent, acknowledged=acknowledged)
    assert is_delivered(actions) is delivered
    assert is_returned(actions) is not delivered


def test_a_restarted_agent_learns_flows_by_delivering_their_packets(
    agent: AgentFlows,
) -> None:
    assert query_verdict(agent) is Verdict.UNCERTAIN
    assert is_delivered(forward(agent, payload=10))
    assert query_verdict(agent) is Verdict.UNCERTAIN
    answers = agent.handle_from_server(make_packet(payload=10))
    held = FlowAnswer(make_packet().flow, Verdict.HELD)
    assert SendMessage(BALANCER, held) in answers
    assert query_verdict(agent) is Verdict.HELD


def test_a_bounced_packet_is_returned_and_its_flow_marked_absent(
    agent: AgentFlows,
) -> None:
    forward(agent, payload=10)
    assert is_returned(agent.handle_from_server(make_packet(bounced=True, payload=10)))
    assert query_verdict(agent) is Verdict.ABSENT
    assert is_returned(forward(agent, payload=10))


def test_an_agent_that_knows_all_flows_denies_unknown_ones(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    assert query_verdict(agent) is Verdict.ABSENT


def test_the_load_report_counts_open_flows_and_waiting_requests(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for port in (4000, 4001):
        open_flow(agent, port)
        forward(agent, payload=50, acknowledged=501, port=port)
    report = agent.make_load_report()
    assert (report.open_flows, report.waiting) == (2, 2)
    clock.advance(100)
    agent.handle_from_server(make_packet(payload=50))
    agent.handle_from_server(make_packet(reset=True, port=4001))
    report = agent.make_load_report()
    assert (report.open_flows, report.waiting) == (1, 0)
    assert report.latency_ms == 15


def test_idle_flows_are_removed(agent: AgentFlows, clock: ManualClock) -> None:
    open_flow(agent)
    clock.advance(60_001)
    agent.expire_idle()
    assert (agent.make_load_report().open_flows, len(agent.flows)) == (0, 0)


OLDER_BALANCER_MS = 90_000
"""How long a balancer has run that started before the agent."""


@pytest.mark.parametrize(
    ("statements", "verdict"),
    [
        pytest.param([(5_000, 0)], Verdict.UNCERTAIN, id="the server is older"),
        pytest.param([(59_500, 0)], Verdict.ABSENT, id="both have just started"),
        pytest.param(
            [(5_000, 0), (90_000, 0)], Verdict.ABSENT, id="the server restarted"
        ),
        pytest.param([(0, 0)], Verdict.UNCERTAIN, id="nothing is known"),
        pytest.param([(59_500, 700)], Verdict.ABSENT, id="heard since its start"),
        pytest.param([(59_500, 701)], Verdict.UNCERTAIN, id="an earlier run was heard"),
        pytest.param(
            [(62_400, 1_500)], Verdict.UNCERTAIN, id="the server's clock was ahead"
        ),
        pytest.param(
            [(59_500, 0), (59_500, 1_500)],
            Verdict.UNCERTAIN,
            id="one of two balancers heard an earlier run",
        ),
        pytest.param(
            [(59_500, 1_500), (59_500, 0)],
            Verdict.UNCERTAIN,
            id="one of two balancers did not hear the earlier run",
        ),
        pytest.param(
            [(59_500, 1_500), (90_000, 200)],
            Verdict.ABSENT,
            id="the server restarted after the earlier run",
        ),
        pytest.param(
            [(90_000, 200), (59_500, 1_500)],
            Verdict.ABSENT,
            id="a late statement of the server before",
        ),
    ],
)
def test_the_first_agent_beside_its_server_knows_all_flows(
    clock: ManualClock, statements: list[tuple[int, int]], verdict: Verdict
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False, started_unix_ms=60_000)
    clock.advance(700)
    for started_ms, heard_ms in statements:
        agent.handle_server_start(
            started_ms, balancer_uptime_ms=OLDER_BALANCER_MS, heard_ms=heard_ms
        )
    assert query_verdict(agent) is verdict


# Balancers that have started with the agent have not heard an earlier run either.
@pytest.mark.parametrize("balancer_uptime_ms", [0, 700])
def test_an_agent_waits_for_balancers_that_ran_before_it(
    clock: ManualClock, balancer_uptime_ms: int
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False, started_unix_ms=60_000)
    clock.advance(700)
    agent.handle_server_start(59_500, balancer_uptime_ms=balancer_uptime_ms)
    assert query_verdict(agent) is Verdict.UNCERTAIN
    clock.advance(BALANCERS_WAIT_MS)
    assert query_verdict(agent) is Verdict.ABSENT
    agent.handle_server_start(59_500, balancer_uptime_ms=9_000, heard_ms=1_701)
    assert query_verdict(agent) is Verdict.UNCERTAIN


# A dead server proves more than what balancers have heard.
def test_an_earlier_run_does_not_matter_once_the_server_has_died(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False, started_unix_ms=60_000)
    agent.handle_server_check(ServerCheck.REFUSED)
    agent.handle_server_start(59_500, balancer_uptime_ms=9_000, heard_ms=9_000)
    assert query_verdict(agent) is Verdict.ABSENT


def test_a_silent_server_is_checked_and_its_flows_reset_if_it_is_dead(
    agent: AgentFlows, clock: ManualClock
) -> None:
    open_flow(agent)
    for _ in range(3):
        forward(agent, payload=50, acknowledged=777)
    assert not agent.server_liveness.start_check_if_due()
    clock.advance(350)
    assert agent.server_liveness.start_check_if_due()
    resets = [
        action.packet
        for action in agent.handle_server_check(ServerCheck.REFUSED)
        if isinstance(action, ResetFlow)
    ]
    assert [(packet.flow, packet.acknowledged) for packet in resets] == [
        (make_packet().flow, 777)
    ]
    report = agent.make_load_report()
    assert (report.open_flows, report.accepts_flows) == (0, False)
    assert is_returned(forward(agent, opening=True))
    assert query_verdict(agent) is Verdict.ABSENT


@pytest.mark.parametrize("check", [ServerCheck.ACCEPTED, ServerCheck.SILENT])
def test_no_flow_is_reset_unless_the_server_is_certainly_dead(
    agent: AgentFlows, check: ServerCheck
) -> None:
    open_flow(agent)
    actions = agent.handle_server_check(check)
    assert not any(isinstance(action, ResetFlow) for action in actions)
    assert agent.make_load_report().accepts_flows is (check is ServerCheck.ACCEPTED)


def test_a_responsive_server_is_not_checked(
    agent: AgentFlows, clock: ManualClock
) -> None:
    open_flow(agent)
    for _ in range(20):
        for _ in range(3):
            forward(agent, payload=50, acknowledged=501)
        clock.advance(300)
        agent.handle_from_server(make_packet())
        assert not agent.server_liveness.start_check_if_due()


def test_acknowledgements_of_an_answer_need_no_answer(
    agent: AgentFlows, clock: ManualClock
) -> None:
    # An idle server was checked every half second.
    open_flow(agent)
    for _ in range(20):
        forward(agent, acknowledged=501)
        clock.advance(300)
        assert not agent.server_liveness.start_check_if_due()


def test_a_check_that_could_not_be_made_says_nothing(agent: AgentFlows) -> None:
    open_flow(agent)
    for _ in range(9):
        agent.handle_server_check(ServerCheck.FAILED)
    assert agent.make_load_report().accepts_flows


def test_a_silent_server_gets_no_new_flows_until_it_answers(
    agent: AgentFlows,
) -> None:
    open_flow(agent)
    agent.handle_server_check(ServerCheck.SILENT)
    assert not agent.make_load_report().accepts_flows
    assert is_delivered(forward(agent, payload=10, acknowledged=501))
    agent.handle_from_server(make_packet(payload=50))
    assert agent.make_load_report().accepts_flows


def test_a_restarted_server_accepts_flows_again(agent: AgentFlows) -> None:
    agent.handle_server_check(ServerCheck.REFUSED)
    assert not agent.make_load_report().accepts_flows
    agent.handle_server_check(ServerCheck.ACCEPTED)
    assert agent.make_load_report().accepts_flows
    assert is_delivered(forward(agent, opening=True))


def test_a_retransmitted_request_is_not_counted_as_waiting(agent: AgentFlows) -> None:
    open_flow(agent)
    for sequence in (100, 150):
        forward(agent, payload=50, acknowledged=501, sequence=sequence)
        agent.handle_from_server(make_packet(payload=50))
        forward(agent, payload=50, acknowledged=501, sequence=sequence)
        assert agent.make_load_report().waiting == 0
    forward(agent, payload=50, acknowledged=501, sequence=200)
    assert agent.make_load_report().waiting == 1


def test_a_reset_of_an_undecided_flow_is_not_forwarded_to_the_caller(
    agent: AgentFlows,
) -> None:
    # The caller confirmed another server's acceptance; this server has dropped its own.
    forward(agent, payload=10, acknowledged=90_000)
    actions = agent.handle_from_server(make_packet(reset=True))
    assert not any(isinstance(action, DeliverToCaller) for action in actions)
    absent = FlowAnswer(make_packet().flow, Verdict.ABSENT)
    assert SendMessage(BALANCER, absent) in actions
    assert query_verdict(agent) is Verdict.ABSENT


def test_a_reset_of_an_unconfirmed_acceptance_is_not_forwarded_to_the_caller(
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


@pytest.mark.parametrize(
    ("confirming_balancer", "is_informed"), [(BALANCER, False), ("10.0.1.2", True)]
)
def test_only_a_balancer_that_does_not_know_of_the_flow_is_told_that_it_is_open(
    agent: AgentFlows, confirming_balancer: str, is_informed: bool
) -> None:
    forward(agent, opening=True)
    agent.handle_from_server(make_packet(opening=True, sequence=500))
    packet = make_packet(acknowledged=501)
    actions = agent.handle_forwarded(
        ForwardedPacket("gauging", packet.raw), packet, confirming_balancer
    )
    held = SendMessage(confirming_balancer, FlowAnswer(packet.flow, Verdict.HELD))
    assert is_delivered(actions)
    assert (held in actions) is is_informed


def test_a_restarted_agent_delivers_the_rest_of_an_answer(agent: AgentFlows) -> None:
    # The restart falls between two packets of an answer; the server repeats what was
    # not acknowledged, and the new process knows nothing of the flow.
    rest = make_packet(sequence=900, payload=600)
    assert DeliverToCaller(rest) in agent.handle_from_server(rest)
    assert query_verdict(agent) is Verdict.HELD
    acknowledgement = forward(agent, acknowledged=1_500)
    assert is_delivered(acknowledgement) and not is_returned(acknowledgement)


def finish_flow(agent: AgentFlows, port: int = 4000) -> None:
    forward(agent, finishing=True, acknowledged=900, port=port)
    agent.handle_from_server(make_packet(finishing=True, sequence=900, port=port))


def test_flows_that_both_ends_finished_do_not_count_as_open(agent: AgentFlows) -> None:
    # A service whose callers open a flow for each request reported all flows of the
    # last minute, so that a server that had just started seemed to have no load.
    for port in range(4_000, 4_020):
        open_flow(agent, port)
        finish_flow(agent, port)
    open_flow(agent, 5_000)
    assert agent.make_load_report().open_flows == 1


@pytest.mark.parametrize("has_caller_finished", [True, False])
def test_a_flow_that_one_end_has_finished_counts_as_open(
    agent: AgentFlows, has_caller_finished: bool
) -> None:
    open_flow(agent)
    if has_caller_finished:
        forward(agent, finishing=True, acknowledged=900)
    else:
        agent.handle_from_server(make_packet(finishing=True, sequence=900))
    assert agent.make_load_report().open_flows == 1


def test_late_packets_of_a_finished_flow_still_reach_the_server(
    agent: AgentFlows,
) -> None:
    open_flow(agent)
    finish_flow(agent)
    assert is_delivered(forward(agent, finishing=True, acknowledged=901))
    assert query_verdict(agent) is Verdict.HELD
    assert agent.make_load_report().open_flows == 0


def test_a_finished_flow_is_not_reset_when_the_server_dies(agent: AgentFlows) -> None:
    open_flow(agent)
    finish_flow(agent)
    actions = agent.handle_server_check(ServerCheck.REFUSED)
    assert not any(isinstance(action, ResetFlow) for action in actions)


def test_a_caller_can_open_a_new_flow_from_the_port_of_a_finished_one(
    agent: AgentFlows,
) -> None:
    open_flow(agent)
    finish_flow(agent)
    open_flow(agent)
    assert agent.make_load_report().open_flows == 1
