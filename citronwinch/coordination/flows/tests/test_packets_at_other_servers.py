"""A flow's packets reach servers that do not hold it, while its own gets none.

An agent that has started after its server does not know the server's flows, so that a
search sends it packets as a trial. Guards against searches, locations and denials that
send three or more packets of a flow to other servers while its holder lives.
"""

import pytest

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    DeliverToServer,
    FlowLocation,
    FlowQuestion,
    ForwardedPacket,
    Packet,
    Verdict,
)
from citronwinch.coordination.flows._known_flows import KnownFlow
from citronwinch.coordination.flows.tests.conftest import (
    make_packet,
)
from citronwinch.coordination.flows.tests.trial_fleet import (
    BALANCER_IP,
    HOLDER,
    TrialFleet,
)

MAX_PACKETS_AT_OTHERS = 2


def keep_silent(fleet: TrialFleet, for_ms: int) -> None:
    """Let a caller send a packet while the holder's agent restarts for some time."""
    packet = make_packet(payload=10)
    fleet.hold(packet)
    fleet.silent.add(HOLDER)
    fleet.retransmit(packet, for_ms)
    fleet.restart_agent(HOLDER)
    fleet.retransmit(packet, 4_000)


SILENCES = {
    "two_others_in_the_zone": (3, "a", 1_000),
    "four_others_in_the_zone": (5, "a", 2_500),
    "twenty_others_on_a_slow_instance": (21, "a", 8_000),
    "others_in_three_zones": (12, "abc", 2_500),
    "the_holder_in_another_zone": (12, "bac", 2_500),
}


# A search sent packets to all uncertain agents while the holder's agent restarted.
@pytest.mark.parametrize("case", SILENCES)
def test_trials_are_limited_while_the_agent_of_the_holder_restarts(case: str) -> None:
    agents, zones, silence_ms = SILENCES[case]
    fleet = TrialFleet(agents, zones)
    keep_silent(fleet, silence_ms)
    reached_ms = fleet.at_holder[0]
    before = [at_ms for at_ms in fleet.at_others if at_ms < reached_ms]
    assert len(before) <= MAX_PACKETS_AT_OTHERS


# Each retransmission started a search, and each search sent packets to the others.
def test_the_limit_of_trials_lasts_over_several_searches() -> None:
    fleet = TrialFleet(21)
    packets = [make_packet(payload=10, sequence=10 * n) for n in range(12)]
    fleet.hold(packets[0])
    fleet.silent.add(HOLDER)
    for packet in packets:
        fleet.send(packet)
        fleet.run(700)
    assert fleet.balancer.counters["searches"] >= 3
    assert len(fleet.at_others) <= MAX_PACKETS_AT_OTHERS


# Each balancer that a flow moved to sent packets to other servers than the one before.
def test_the_limit_of_trials_lasts_over_a_restart_of_the_balancer() -> None:
    fleet = TrialFleet(21)
    packet = make_packet(payload=10)
    fleet.hold(packet)
    fleet.silent.add(HOLDER)
    for _ in range(3):
        fleet.send(packet)
        fleet.run(200)
        fleet.restart_balancer()
        fleet.run(200)
    assert len(fleet.at_others) <= MAX_PACKETS_AT_OTHERS


# A search with no other agents to ask made no trial at all while one was silent.
def test_a_limited_trial_is_made_when_no_other_agents_are_left_to_ask() -> None:
    fleet = TrialFleet(2)
    packet = make_packet(payload=10)
    fleet.hold(packet)
    fleet.silent.add("10.0.0.2")
    fleet.send(packet)
    fleet.run(100)
    assert fleet.at_holder


# An instance that is lost but still listed must not keep flows from being found.
def test_flows_are_found_although_a_lost_instance_is_listed() -> None:
    fleet = TrialFleet(21)
    fleet.silent.add("10.0.0.20")
    fleet.run(10_000)
    packet = make_packet(payload=10)
    fleet.hold(packet)
    fleet.send(packet)
    fleet.run(100)
    assert fleet.at_holder


# After a kill of all processes, flows must not wait for an instance that is lost.
def test_flows_are_found_after_a_restart_of_the_fleet_without_an_instance() -> None:
    fleet = TrialFleet(21)
    fleet.silent.add("10.0.0.20")
    fleet.view.former_knowledge.start(BALANCER_IP)
    fleet.run(3_500)
    packet = make_packet(payload=10)
    fleet.hold(packet)
    fleet.send(packet)
    fleet.run(100)
    assert fleet.at_holder


# The packets of a search that began during the restart have to arrive afterwards.
def test_a_flow_is_found_when_the_agent_of_its_holder_has_restarted() -> None:
    fleet = TrialFleet(21)
    packet = make_packet(payload=10)
    fleet.hold(packet)
    fleet.silent.add(HOLDER)
    fleet.send(packet)
    fleet.run(1_500)
    fleet.restart_agent(HOLDER)
    fleet.run(250)
    assert fleet.at_holder


def store_location(fleet: TrialFleet, flow: FlowKey, agent: str) -> None:
    fleet.balancer.directory.store(FlowLocation(flow, agent, "gauging"))


def store_known_flow(fleet: TrialFleet, flow: FlowKey, agent: str) -> None:
    now_ms = fleet.clock.now_ms()
    fleet.balancer.flows.store(flow, KnownFlow(agent, "gauging", now_ms))


OUTDATED = {
    "location_of_the_directory": store_location,
    "known_flow_of_a_port_that_is_used_again": store_known_flow,
}


# All packets in flight reached the wrong server before the first one was returned.
@pytest.mark.parametrize("is_complete", [False, True], ids=["uncertain", "complete"])
@pytest.mark.parametrize("case", OUTDATED)
def test_an_outdated_location_brings_few_packets_to_its_server(
    case: str, *, is_complete: bool
) -> None:
    fleet = TrialFleet(21)
    fleet.agents["10.0.0.2"].knows_all_flows = is_complete
    fleet.is_answer_late = True
    packets = [make_packet(payload=10, sequence=10 * n) for n in range(16)]
    fleet.hold(packets[0])
    fleet.silent.add(HOLDER)
    OUTDATED[case](fleet, packets[0].flow, "10.0.0.2")
    for packet in packets:
        fleet.send(packet)
    fleet.run(2_500)
    assert len(fleet.at_others) <= MAX_PACKETS_AT_OTHERS
    fleet.restart_agent(HOLDER)
    for packet in packets:
        fleet.send(packet)
    fleet.run(250)
    before = [at_ms for at_ms in fleet.at_others if at_ms < fleet.at_holder[0]]
    assert len(before) <= MAX_PACKETS_AT_OTHERS


# The search dropped all returned packets but the first one.
def test_all_packets_that_an_outdated_location_returns_reach_the_holder() -> None:
    fleet = TrialFleet(21)
    fleet.is_answer_late = True
    packets = [make_packet(payload=10, sequence=10 * n) for n in range(16)]
    fleet.hold(packets[0], is_known=True)
    store_known_flow(fleet, packets[0].flow, "10.0.0.2")
    for packet in packets:
        fleet.send(packet)
    fleet.run(20)
    assert len(fleet.at_holder) == len(packets)


# Packets of a flow that its server leaves unanswered must not be held for long.
def test_packets_reach_a_holder_that_does_not_answer_them() -> None:
    fleet = TrialFleet(1)
    packets = [make_packet(sequence=10 * n) for n in range(6)]
    fleet.hold(packets[0])
    fleet.is_answer_late = True
    store_known_flow(fleet, packets[0].flow, HOLDER)
    for packet in packets:
        fleet.send(packet)
    assert len(fleet.at_holder) == 2
    fleet.unanswered.clear()
    fleet.run(30)
    assert len(fleet.at_holder) == len(packets)


# Packets of a flow vanished for as long as its caller sent some.
@pytest.mark.parametrize("is_fleet_uncertain", [False, True])
def test_a_location_at_a_silent_agent_is_given_up(*, is_fleet_uncertain: bool) -> None:
    fleet = TrialFleet(21)
    packet = make_packet(payload=10)
    fleet.hold(packet, is_known=not is_fleet_uncertain)
    store_location(fleet, packet.flow, "10.0.0.2")
    fleet.silent.add("10.0.0.2")
    fleet.run(10_000)
    started_ms = fleet.clock.now_ms()
    fleet.retransmit(packet, 1_000)
    assert fleet.at_holder[0] - started_ms <= 300


# A location that is right costs one question, and no search of all agents.
def test_a_location_is_confirmed_with_one_question() -> None:
    fleet = TrialFleet(21)
    packets = [make_packet(payload=10, sequence=10 * n) for n in range(10)]
    fleet.hold(packets[0], is_known=True)
    store_location(fleet, packets[0].flow, HOLDER)
    for packet in packets:
        fleet.send(packet)
        fleet.run(50)
    assert len(fleet.at_holder) == len(packets)
    assert fleet.balancer.counters["questions"] == 1


# The address of a location belongs to a server of another service by now.
def test_a_location_at_a_server_of_another_service_brings_it_no_packet() -> None:
    fleet = TrialFleet(21)
    packet = make_packet(payload=10)
    fleet.hold(packet, is_known=True)
    store_location(fleet, packet.flow, "10.0.0.2")
    fleet.agents["10.0.0.2"].service = "reporting"
    fleet.send(packet)
    assert fleet.at_holder
    assert not fleet.at_others


FIRST_SEQUENCE = 500
ACKNOWLEDGED = FIRST_SEQUENCE + 1


def forward(agent: AgentFlows, packet: Packet) -> list[Action]:
    """Let a packet of a caller arrive at an agent."""
    message = ForwardedPacket("gauging", packet.raw)
    return agent.handle_forwarded(message, packet, BALANCER_IP)


def accept(agent: AgentFlows) -> None:
    """Let the server beside an agent accept a flow."""
    forward(agent, make_packet(opening=True))
    agent.handle_from_server(make_packet(opening=True, sequence=FIRST_SEQUENCE))


def open_flow(agent: AgentFlows) -> None:
    """Let the server beside an agent accept a flow, and its caller confirm that."""
    accept(agent)
    forward(agent, make_packet(payload=10, acknowledged=ACKNOWLEDGED))


def finish_at_caller(agent: AgentFlows) -> None:
    open_flow(agent)
    forward(agent, make_packet(finishing=True, acknowledged=ACKNOWLEDGED))


def finish_at_server(agent: AgentFlows) -> None:
    open_flow(agent)
    agent.handle_from_server(make_packet(finishing=True))


def accept_after_a_withheld_reset(agent: AgentFlows) -> None:
    forward(agent, make_packet(opening=True))
    agent.handle_from_server(make_packet(reset=True))
    agent.handle_from_server(make_packet(opening=True, sequence=FIRST_SEQUENCE))


def open_after_a_bounce(agent: AgentFlows) -> None:
    forward(agent, make_packet(payload=10))
    agent.handle_from_server(make_packet(payload=10, bounced=True))
    open_flow(agent)


IDLE_FLOWS = {
    "accepted_and_not_confirmed": (accept, 14_000),
    "accepted_until_the_longest_lifetime": (accept, 59_000),
    "open_until_the_longest_lifetime": (open_flow, 59_000),
    "finished_by_the_caller": (finish_at_caller, 59_000),
    "finished_by_the_server": (finish_at_server, 59_000),
    "accepted_after_a_withheld_reset": (accept_after_a_withheld_reset, 14_000),
    "opened_after_a_bounce": (open_after_a_bounce, 59_000),
}


# An agent forgot a flow that its server held, and denied it.
@pytest.mark.parametrize("case", IDLE_FLOWS)
def test_an_agent_does_not_deny_an_idle_flow_of_its_server(
    clock: ManualClock, case: str
) -> None:
    begin, idle_ms = IDLE_FLOWS[case]
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    begin(agent)
    for _ in range(idle_ms // 500):
        clock.advance(500)
        agent.expire_idle()
    question = FlowQuestion(make_packet().flow, ACKNOWLEDGED)
    assert agent.answer_question(question).verdict is Verdict.HELD


# A port that is used again must not count as accepted where it never was confirmed.
def test_an_opening_after_an_unconfirmed_flow_is_a_new_one(clock: ManualClock) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    accept(agent)
    clock.advance(5_001)
    agent.is_evacuated = True
    opening = make_packet(opening=True)
    assert not any(isinstance(a, DeliverToServer) for a in forward(agent, opening))
    assert agent.returned_openings["evacuated"] == 1


# A restarted agent took a late copy of an opening for the flow that its server holds.
def test_a_flow_accepted_long_ago_does_not_stand_for_another_one(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False)
    accept(agent)
    clock.advance(5_001)
    later = make_packet(payload=10, acknowledged=ACKNOWLEDGED + 100)
    question = FlowQuestion(later.flow, later.acknowledged)
    assert agent.answer_question(question).verdict is Verdict.UNCERTAIN
    assert DeliverToServer(later.raw) in forward(agent, later)


# The agent's time of day was 5 s behind when it was restarted after its server.
def test_an_agent_whose_time_of_day_was_behind_does_not_deny_flows(
    clock: ManualClock,
) -> None:
    server_started_ms = 60_000
    agent = AgentFlows(
        "gauging",
        clock,
        knows_all_flows=False,
        started_unix_ms=server_started_ms - 2_000,
    )
    agent.handle_server_start(server_started_ms)
    question = FlowQuestion(make_packet().flow, ACKNOWLEDGED)
    assert agent.answer_question(question).verdict is Verdict.UNCERTAIN


# The server had opened flows in the half second before its agent was restarted.
def test_an_agent_that_starts_soon_after_its_server_does_not_deny_flows(
    clock: ManualClock,
) -> None:
    server_started_ms = 60_000
    agent = AgentFlows(
        "gauging", clock, knows_all_flows=False, started_unix_ms=server_started_ms + 500
    )
    agent.handle_server_start(server_started_ms)
    question = FlowQuestion(make_packet().flow, ACKNOWLEDGED)
    assert agent.answer_question(question).verdict is Verdict.UNCERTAIN
