"""Ports from which a caller opens one flow after the other.

Guards against agents and balancers that know a flow by its addresses and ports alone.
Agents stated that their servers held a flow that had ended, and let their servers reset
the later flow of the port, which was open elsewhere.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BalancerFlows,
    DeliverToCaller,
    DeliverToServer,
    FlowAnswer,
    FlowQuestion,
    ForwardedPacket,
    Packet,
    ReturnedPacket,
    SendMessage,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    list_forwards,
    list_questions,
    make_packet,
)

BALANCER = "10.0.1.1"
FIRST_SEQUENCE = 500
OPENING = make_packet(opening=True, sequence=7_000)
ACCEPTANCE = make_packet(opening=True, sequence=FIRST_SEQUENCE)
REQUEST = make_packet(payload=10, sequence=7_001, acknowledged=FIRST_SEQUENCE + 1)
ANSWER = make_packet(payload=200, sequence=FIRST_SEQUENCE + 1, acknowledged=7_011)
LAST_OF_CALLER = make_packet(
    finishing=True, sequence=7_011, acknowledged=FIRST_SEQUENCE + 202
)
LAST_OF_SERVER = make_packet(
    finishing=True, sequence=FIRST_SEQUENCE + 201, acknowledged=7_011
)
LATER_REQUEST = make_packet(
    payload=10, sequence=3_000_000_001, acknowledged=2_000_000_001
)
"""A packet of a later flow of the port."""


def forward(agent: AgentFlows, packet: Packet) -> list[Action]:
    message = ForwardedPacket("gauging", packet.raw)
    return agent.handle_forwarded(message, packet, BALANCER)


def query_verdict(agent: AgentFlows, acknowledged: int) -> Verdict:
    return agent.answer_question(FlowQuestion(OPENING.flow, acknowledged)).verdict


def open_flow(agent: AgentFlows) -> None:
    forward(agent, OPENING)
    agent.handle_from_server(ACCEPTANCE)
    forward(agent, REQUEST)
    agent.handle_from_server(ANSWER)


def close_flow(agent: AgentFlows) -> None:
    agent.handle_from_server(LAST_OF_SERVER)
    forward(agent, LAST_OF_CALLER)


@pytest.fixture(params=[True, False], ids=["knows all flows", "has restarted"])
def agent(clock: ManualClock, request: pytest.FixtureRequest) -> AgentFlows:
    return AgentFlows("gauging", clock, knows_all_flows=request.param)


# The agent's word was believed, and its server reset the later flow.
@pytest.mark.parametrize("is_closed", [True, False], ids=["closed", "left open"])
def test_an_agent_denies_a_later_flow_of_a_port(
    agent: AgentFlows, *, is_closed: bool
) -> None:
    open_flow(agent)
    if is_closed:
        close_flow(agent)
    assert query_verdict(agent, LATER_REQUEST.acknowledged) is Verdict.ABSENT
    assert query_verdict(agent, LAST_OF_CALLER.acknowledged) is Verdict.HELD
    returned = SendMessage(BALANCER, ReturnedPacket(LATER_REQUEST.raw))
    assert forward(agent, LATER_REQUEST) == [returned]
    late_copy = DeliverToServer(LAST_OF_CALLER.raw)
    assert late_copy in forward(agent, LAST_OF_CALLER)


# An agent that has restarted has not seen the beginning of the open flow.
@pytest.mark.parametrize(
    ("acknowledged", "verdict"),
    [
        pytest.param(50_000_000, Verdict.HELD, id="latest"),
        pytest.param(50_000_000 - 19_200, Verdict.HELD, id="before the latest"),
        pytest.param(45_000_000, Verdict.HELD, id="late by the time of a freeze"),
        pytest.param(50_000_200 + 19_200, Verdict.HELD, id="sent before the restart"),
        pytest.param(2_000_000_001, Verdict.ABSENT, id="later flow"),
    ],
)
def test_an_agent_that_has_restarted_holds_a_flow_by_what_its_server_sends(
    agent: AgentFlows, acknowledged: int, verdict: Verdict
) -> None:
    agent.handle_from_server(make_packet(payload=200, sequence=50_000_000))
    assert query_verdict(agent, acknowledged) is verdict


def test_numbers_of_a_flow_may_wrap_around(agent: AgentFlows) -> None:
    first = (1 << 32) - 100
    forward(agent, OPENING)
    agent.handle_from_server(make_packet(opening=True, sequence=first))
    forward(agent, make_packet(payload=10, sequence=7_001, acknowledged=first + 1))
    agent.handle_from_server(make_packet(payload=300, sequence=first + 1))
    assert query_verdict(agent, first + 1) is Verdict.HELD
    assert query_verdict(agent, 201) is Verdict.HELD
    assert query_verdict(agent, LATER_REQUEST.acknowledged) is Verdict.ABSENT


# A caller that has lost its flow without a FIN opens the next one at the same server.
def test_a_server_that_accepts_a_later_flow_has_ended_the_earlier_one(
    agent: AgentFlows,
) -> None:
    open_flow(agent)
    forward(agent, make_packet(opening=True, sequence=3_000_000_000))
    actions = agent.handle_from_server(
        make_packet(opening=True, sequence=2_000_000_000)
    )
    answer = FlowAnswer(OPENING.flow, Verdict.OPENING, 2_000_000_000)
    assert SendMessage(BALANCER, answer) in actions
    assert agent.open_flows == 0
    assert DeliverToServer(LATER_REQUEST.raw) in forward(agent, LATER_REQUEST)
    assert query_verdict(agent, LATER_REQUEST.acknowledged) is Verdict.HELD
    assert agent.open_flows == 1


# The server's answer to a late copy of the opening of an open flow changes nothing.
def test_a_late_copy_of_its_opening_leaves_a_flow_open(agent: AgentFlows) -> None:
    open_flow(agent)
    forward(agent, OPENING)
    assert agent.handle_from_server(ACCEPTANCE) == [DeliverToCaller(ACCEPTANCE)]
    assert query_verdict(agent, FIRST_SEQUENCE + 201) is Verdict.HELD


# Its late packets were denied by an agent that had not seen the numbers in between.
def test_a_late_copy_of_an_opening_shows_where_a_flow_began(clock: ManualClock) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False)
    agent.handle_from_server(make_packet(payload=200, sequence=50_000_000))
    forward(agent, OPENING)
    agent.handle_from_server(ACCEPTANCE)
    assert query_verdict(agent, 45_000_000) is Verdict.HELD
    assert query_verdict(agent, LATER_REQUEST.acknowledged) is Verdict.ABSENT


def learn_flow(balancer: BalancerFlows) -> str:
    """Let a balancer find a flow; return the agent."""
    [agent, *_] = list_questions(balancer.handle_packet(REQUEST))
    balancer.handle_answer(FlowAnswer(REQUEST.flow, Verdict.HELD), agent)
    return agent


# The packet went to the agent of the earlier flow, also after that had ended.
@pytest.mark.parametrize(
    ("packet", "is_asked"),
    [
        pytest.param(LATER_REQUEST, True, id="later flow"),
        pytest.param(LAST_OF_CALLER, False, id="same flow"),
        pytest.param(make_packet(reset=True), False, id="reset by the caller"),
    ],
)
def test_a_balancer_asks_the_agent_before_a_packet_of_a_later_flow(
    balancer: BalancerFlows, packet: Packet, *, is_asked: bool
) -> None:
    agent = learn_flow(balancer)
    actions = balancer.handle_packet(packet)
    assert list_questions(actions) == ([agent] if is_asked else [])
    assert list_forwards(actions) == ([] if is_asked else [(agent, "gauging")])
