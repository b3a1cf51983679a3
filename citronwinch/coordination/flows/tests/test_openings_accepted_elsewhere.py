"""Openings whose copies several servers have accepted, at balancers and agents.

A balancer that wakes from a freeze places late copies of openings whose flows are open
by then. Guards against balancers that take the agent's answer to such a copy for the
flow: they forwarded packets there, and reset the open flow when that server ended.
Agents did the same, by a number that callers of open flows pass over.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowLocation,
    FlowLocations,
    ForwardedPacket,
    LoadReport,
    Packet,
    ResetFlow,
    ReturnedPacket,
    SendMessage,
    ServerCheck,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    list_forwards,
    list_questions,
    make_listing,
    make_packet,
    make_server,
)

FIRST_SEQUENCE = 500
OPENING = make_packet(opening=True)
SERVER_ACCEPTANCE = make_packet(opening=True, sequence=FIRST_SEQUENCE)
CONFIRMATION = make_packet(acknowledged=FIRST_SEQUENCE + 1)
PACKET_OF_OPEN_FLOW = make_packet(payload=10, acknowledged=90_000)
"""A packet of the caller, which has confirmed another server's acceptance."""
ACCEPTED = FlowAnswer(OPENING.flow, Verdict.OPENING, FIRST_SEQUENCE)
HELD = FlowAnswer(OPENING.flow, Verdict.HELD)


def place_opening(balancer: BalancerFlows) -> str:
    """Place an opening; return the agent that it was forwarded to."""
    [(agent, _)] = list_forwards(balancer.handle_packet(OPENING))
    return agent


def end_server(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock, agent: str
) -> list[Packet]:
    """Let an agent state that its server has ended; return the flows that are reset."""
    numbers = {f"10.0.0.{number}": number for number in (1, 2, 3, 4)}
    servers = [make_server(each) for ip, each in numbers.items() if ip != agent]
    clock.advance(200)
    view.accept_listing(make_listing(11, *servers), clock.now_ms())
    ended = LoadReport("gauging", 1, 0, 0, 0.0, False, ended_server_ms=1_000)
    balancer.selector.record_message(agent, ended)
    return list_resets(balancer.tick())


def list_resets(actions: list[Action]) -> list[Packet]:
    return [action.packet for action in actions if isinstance(action, ResetFlow)]


# Callers lost open flows when a server ended that had accepted a late copy.
@pytest.mark.parametrize(
    ("answers", "packets", "acknowledged"),
    [
        pytest.param([], [], None, id="placed"),
        pytest.param([ACCEPTED], [], None, id="accepted"),
        pytest.param([ACCEPTED], [CONFIRMATION], 501, id="confirmed by the caller"),
        pytest.param([HELD], [], 0, id="held by the agent's word"),
        pytest.param(
            [ACCEPTED._replace(server_first_sequence=None)],
            [CONFIRMATION],
            None,
            id="accepted, agent of an earlier version",
        ),
    ],
)
def test_only_a_flow_that_is_open_at_an_ended_server_is_reset(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    answers: list[FlowAnswer],
    packets: list[Packet],
    acknowledged: int | None,
) -> None:
    agent = place_opening(balancer)
    for answer in answers:
        balancer.handle_answer(answer, agent)
    for packet in packets:
        assert list_forwards(balancer.handle_packet(packet)) == [(agent, "gauging")]
    resets = end_server(balancer, view, clock, agent)
    expected = [] if acknowledged is None else [(OPENING.flow, acknowledged)]
    assert [(each.flow, each.acknowledged) for each in resets] == expected
    assert OPENING.flow not in balancer.flows


# The packet went to the ended agent, and the reset got its valid number from it.
def test_a_packet_that_confirms_another_acceptance_begins_a_search(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    agent = place_opening(balancer)
    balancer.handle_answer(ACCEPTED, agent)
    actions = balancer.handle_packet(PACKET_OF_OPEN_FLOW)
    assert list_questions(actions) == [agent] and not list_forwards(actions)
    assert not end_server(balancer, view, clock, agent)


# The caller's confirmation may overtake the agent's answer to the opening.
def test_an_acceptance_is_confirmed_by_a_packet_that_came_before_its_answer(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    agent = place_opening(balancer)
    balancer.handle_packet(CONFIRMATION)
    balancer.handle_answer(ACCEPTED, agent)
    assert len(end_server(balancer, view, clock, agent)) == 1


# A search took the answer to a late copy for the holder's answer.
@pytest.mark.parametrize(
    ("packet", "is_found"),
    [(CONFIRMATION, True), (PACKET_OF_OPEN_FLOW, False)],
    ids=["this acceptance", "another acceptance"],
)
def test_a_search_is_ended_by_an_acceptance_only_if_its_packet_confirms_that(
    balancer: BalancerFlows, packet: Packet, *, is_found: bool
) -> None:
    balancer.handle_packet(packet)
    forwards = list_forwards(balancer.handle_answer(ACCEPTED, "10.0.0.1"))
    assert forwards == ([("10.0.0.1", "gauging")] if is_found else [])


# Balancers hand on locations of openings that no caller has confirmed.
def test_a_flow_whose_location_no_agent_has_confirmed_is_not_reset(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    balancer.handle_packet(PACKET_OF_OPEN_FLOW)
    search = balancer.searches[OPENING.flow]
    search.await_keeper("10.0.1.2")
    location = FlowLocation(OPENING.flow, "10.0.0.1", "gauging")
    actions = balancer.handle_locations(FlowLocations((location,)), "10.0.1.2")
    assert list_forwards(actions) == [("10.0.0.1", "gauging")]
    assert not end_server(balancer, view, clock, "10.0.0.1")


def forward(agent: AgentFlows, packet: Packet) -> list[Action]:
    message = ForwardedPacket("gauging", packet.raw)
    return agent.handle_forwarded(message, packet, "10.0.1.1")


@pytest.fixture
def agent(clock: ManualClock) -> AgentFlows:
    return AgentFlows("gauging", clock, knows_all_flows=True)


# Callers of open flows got a reset with number 0 from the agent of another server.
@pytest.mark.parametrize(
    ("packets", "acknowledged"),
    [
        pytest.param([OPENING], None, id="asked"),
        pytest.param([OPENING, SERVER_ACCEPTANCE], None, id="accepted"),
        pytest.param([OPENING, SERVER_ACCEPTANCE, CONFIRMATION], 501, id="open"),
    ],
)
def test_an_agent_resets_only_open_flows_of_a_dead_server(
    agent: AgentFlows, packets: list[Packet], acknowledged: int | None
) -> None:
    for packet in packets:
        if packet is SERVER_ACCEPTANCE:
            agent.handle_from_server(packet)
        else:
            forward(agent, packet)
    resets = list_resets(agent.handle_server_check(ServerCheck.REFUSED))
    expected = [] if acknowledged is None else [acknowledged]
    assert [packet.acknowledged for packet in resets] == expected


# A caller's packet on a flow that had opened at the dead server got no answer.
def test_the_agent_of_a_dead_server_returns_packets_of_unknown_flows(
    agent: AgentFlows,
) -> None:
    forward(agent, OPENING)
    agent.handle_from_server(SERVER_ACCEPTANCE)
    agent.handle_server_check(ServerCheck.REFUSED)
    returned = SendMessage("10.0.1.1", ReturnedPacket(CONFIRMATION.raw))
    assert forward(agent, CONFIRMATION) == [returned]
