"""Late copies of the openings of open flows, at agents that have restarted.

A balancer that wakes from a freeze forwards the copies of openings that lay in its
socket. Guards against agents that take the server's answer to such a copy for a new
acceptance, and then deny the flow that the server has held all the while.
"""

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
    Packet,
    ReturnedPacket,
    SendMessage,
    Verdict,
)
from citronwinch.coordination.flows._agent_flows import LEARNING_PERIOD_MS
from citronwinch.coordination.flows._flow_entry import OTHER_FLOW_TIMEOUT_MS
from citronwinch.coordination.flows.tests.conftest import make_packet

BALANCER, WOKEN = "10.0.1.1", "10.0.1.2"
FIRST_SEQUENCE = 500
REQUEST = make_packet(payload=10, acknowledged=FIRST_SEQUENCE + 2_001)
"""A packet of a caller that has received 2,000 bytes on its flow."""
ANSWER = make_packet(payload=100, sequence=FIRST_SEQUENCE + 2_001)


def forward(agent: AgentFlows, packet: Packet, balancer: str) -> list[Action]:
    message = ForwardedPacket("gauging", packet.raw)
    return agent.handle_forwarded(message, packet, balancer)


def query_verdict(agent: AgentFlows) -> Verdict:
    question = FlowQuestion(REQUEST.flow, REQUEST.acknowledged)
    return agent.answer_question(question).verdict


def deliver_late_copy(agent: AgentFlows) -> None:
    """Let a woken balancer forward a copy, and the server answer it."""
    opening = make_packet(opening=True)
    assert DeliverToServer(opening.raw) in forward(agent, opening, WOKEN)
    agent.handle_from_server(make_packet(opening=True, sequence=FIRST_SEQUENCE))


@pytest.fixture
def agent(clock: ManualClock) -> AgentFlows:
    """An agent that has restarted, and delivered a late copy of an opening."""
    restarted = AgentFlows("gauging", clock, knows_all_flows=False)
    deliver_late_copy(restarted)
    return restarted


# The denial was taken for a proof, and a live flow was reset.
@pytest.mark.parametrize("after_ms", [0, OTHER_FLOW_TIMEOUT_MS - 1, 30_000])
def test_an_agent_does_not_deny_a_flow_whose_late_opening_its_server_answered(
    agent: AgentFlows, clock: ManualClock, after_ms: int
) -> None:
    clock.advance(after_ms)
    assert query_verdict(agent) is Verdict.UNCERTAIN


# The packets of the flow were returned without being tried at its server.
def test_the_server_gets_the_packets_of_a_flow_whose_late_opening_it_answered(
    agent: AgentFlows,
) -> None:
    assert DeliverToServer(REQUEST.raw) in forward(agent, REQUEST, BALANCER)
    held = FlowAnswer(REQUEST.flow, Verdict.HELD)
    assert SendMessage(BALANCER, held) in agent.handle_from_server(ANSWER)
    assert query_verdict(agent) is Verdict.HELD


# A server that has only answered the late copy does not hold the flow.
@pytest.mark.parametrize("is_bounced", [True, False], ids=["bounces", "resets"])
def test_a_server_that_holds_only_the_late_opening_is_ruled_out(
    agent: AgentFlows, *, is_bounced: bool
) -> None:
    forward(agent, REQUEST, BALANCER)
    answer = REQUEST._replace(is_bounced=True)
    if not is_bounced:
        answer = make_packet(reset=True)
    actions = agent.handle_from_server(answer)
    assert not any(isinstance(action, DeliverToCaller) for action in actions)
    assert query_verdict(agent) is Verdict.ABSENT


# An acceptance that the caller does confirm is delivered as before.
def test_a_new_flow_opens_at_an_agent_that_has_restarted(agent: AgentFlows) -> None:
    confirming = make_packet(acknowledged=FIRST_SEQUENCE + 1)
    assert DeliverToServer(confirming.raw) in forward(agent, confirming, BALANCER)
    question = FlowQuestion(confirming.flow, confirming.acknowledged)
    assert agent.answer_question(question).verdict is Verdict.HELD


# Agents that know all flows, and those that have run for a flow's lifetime, are sure
# that the caller confirmed another server.
@pytest.mark.parametrize("knows_all_flows", [True, False])
def test_an_agent_that_knows_its_flows_denies_one_confirmed_elsewhere(
    clock: ManualClock, *, knows_all_flows: bool
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=knows_all_flows)
    clock.advance(LEARNING_PERIOD_MS)
    deliver_late_copy(agent)
    assert query_verdict(agent) is Verdict.ABSENT
    returned = SendMessage(BALANCER, ReturnedPacket(REQUEST.raw))
    assert forward(agent, REQUEST, BALANCER) == [returned]
