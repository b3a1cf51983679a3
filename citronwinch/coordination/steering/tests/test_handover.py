"""Flows of a stopping agent stay with its backend server through the next run.

The failures guarded against: callers are refused or get another backend server while
the agent is away, a flow gets two owners, an outdated transfer comes back, a flow
reaches another service, and flows wait for an agent that never returns.
"""

import pytest

from citronwinch.coordination.steering import (
    AgentSteering,
    FlowTransfer,
    FlowTransferAck,
    FlowTransferEnd,
    Forward,
    ForwardToAgent,
    Send,
    TransferredFlow,
)
from citronwinch.coordination.steering._flow_handover import TRANSFER_FLOWS
from citronwinch.coordination.steering._held_transfers import (
    RETURNED_PARTS,
    TRANSFER_MS,
    TRANSFER_RETURN_MS,
    HeldTransfers,
)
from citronwinch.coordination.steering.tests._handover_group import (
    AWAY,
    HOLDER,
    OTHER,
    PATH,
    HandoverGroup,
    find_local_port,
)
from citronwinch.coordination.steering.tests.conftest import (
    Group,
    make_key,
    make_row,
)


@pytest.fixture
def group(rows):
    return HandoverGroup(rows)


def test_restarted_agent_owns_its_flows_again(group):
    flows = [group.open_flow(start=number * 20) for number in range(5)]
    flow = flows[0]
    assert group.stop(AWAY)
    assert group.send_everywhere(flow) == (set(), [])
    group.start(AWAY)
    group.settle()
    assert {*flows} <= {*group.agents[AWAY].owned}
    assert group.send_everywhere(flow) == ({AWAY}, [])
    ports = {found.flow: found.local_port for found in group.restored[AWAY].flows}
    assert ports[flow] == find_local_port(flow)


def test_flow_of_another_home_is_restored_with_its_decision(group):
    flow = group.open_flow()
    agent = group.agents[AWAY]
    agent.flows.end(flow)
    agent.flows.open(flow, "gauging", 77)
    assert group.stop(AWAY)
    group.start(AWAY)
    group.settle()
    assert group.agents[AWAY].owned[flow].decision_number == 77


def test_flows_of_several_answers_are_restored(group):
    """One answer with all flows would overflow the receive buffer of the next run."""
    count = (2 * RETURNED_PARTS + 1) * TRANSFER_FLOWS
    for number in range(count):
        group.agents[AWAY].flows.open(make_key(number), "gauging")
    group.begin_stop(AWAY)
    group.settle(1_500)
    assert group.end(AWAY)
    answer = group.agents[HOLDER].transfers.return_parts(AWAY, 1 << 60)
    assert len(answer) == RETURNED_PARTS
    group.agents[HOLDER].transfers.by_agent[AWAY].claimed_by = 0
    group.start(AWAY)
    group.settle()
    assert len(group.agents[AWAY].owned) == count


def test_many_flows_are_transferred_in_bounded_messages(group):
    agent = group.agents[AWAY]
    for number in range(70):
        agent.flows.open(make_key(number), "gauging")
    group.begin_stop(AWAY)
    actions = agent.advance_transfer(PATH, find_local_port)
    parts = [a.message for a in actions if isinstance(a, Send)]
    sizes = [len(part.flows) for part in parts if isinstance(part, FlowTransfer)]
    assert sorted(set(sizes)) == [70 % TRANSFER_FLOWS, TRANSFER_FLOWS]
    group.apply_actions(AWAY, actions)
    group.settle(500)
    assert group.end(AWAY)
    group.start(AWAY)
    group.settle()
    assert len(group.agents[AWAY].owned) == 70


def test_flows_end_when_the_next_run_never_starts(group):
    flow = group.open_flow()
    group.stop(AWAY)
    group.settle(TRANSFER_MS - 5_000)
    assert group.send_everywhere(flow) == (set(), [])
    group.settle(5_000)
    group.deliver_packet(HOLDER, flow)
    group.settle()
    [owner] = group.owners(flow)
    assert owner != AWAY


def test_late_next_run_gets_no_flows_and_frees_them(group):
    flow = group.open_flow()
    group.stop(AWAY)
    group.settle(TRANSFER_RETURN_MS)
    group.start(AWAY)
    group.settle(4_000)
    assert group.restored[AWAY] is None
    assert flow not in group.agents[HOLDER].transfers.away_flows
    group.send_everywhere(flow)
    assert len(group.owners(flow)) == 1


def test_flow_survives_two_restarts_in_a_row(group):
    flow = group.open_flow()
    for _ in range(2):
        assert group.stop(AWAY)
        group.start(AWAY)
        group.settle(4_000)
    assert group.send_everywhere(flow) == ({AWAY}, [])


def test_flow_that_ended_in_between_does_not_come_back(group):
    ended, kept = group.open_flow(), group.open_flow(start=100)
    group.stop(AWAY)
    group.start(AWAY)
    group.settle()
    group.agents[AWAY].end_flow(ended)
    assert group.stop(AWAY)
    group.start(AWAY)
    group.settle(4_000)
    assert set(group.agents[AWAY].owned) == {kept}


def test_outdated_transfer_of_a_cut_off_peer_is_not_restored(group):
    """A peer that was cut off would return flows that have other owners by then."""
    flow = group.open_flow()
    group.stop(AWAY)
    held = group.agents[OTHER].transfers
    group.cut.add(frozenset((AWAY, OTHER)))
    group.start(AWAY)
    group.settle(4_000)
    assert AWAY not in group.restored
    assert not group.agents[AWAY].owned
    group.kill(AWAY)
    group.cut.clear()
    assert held.by_agent[AWAY].claimed_by == 0
    group.start(AWAY)
    group.settle(4_000)
    assert group.restored[AWAY] is None
    group.send_everywhere(flow)
    assert len(group.owners(flow)) == 1


def test_run_that_ended_in_between_keeps_its_claim():
    held = HeldTransfers(clock := Group([]).clock)
    flow = TransferredFlow(make_key(1))
    held.store(FlowTransfer(AWAY, 1, 1, 0, "gauging", PATH, (), 0, 1, (flow,)))
    held.end(AWAY, FlowTransferEnd(1, 1, True))
    assert held.return_parts(AWAY, 1)[0].part_count == 0
    assert held.return_parts(AWAY, 2)[0].flows == (flow,)
    assert held.return_parts(AWAY, 2)[0].flows == (flow,)
    assert held.return_parts(AWAY, 3)[0].part_count == 0
    clock.advance(TRANSFER_RETURN_MS + 1)
    assert held.return_parts(AWAY, 2)[0].part_count == 0


def test_transfer_does_not_apply_to_another_service():
    """An address that was given to another service must not lead to the agent."""
    held = HeldTransfers(Group([]).clock)
    flow = TransferredFlow(make_key(1))
    held.store(FlowTransfer(AWAY, 1, 1, 0, "gauging", PATH, (), 0, 1, (flow,)))
    assert held.find(flow.flow, "gauging") is not None
    assert held.find(flow.flow, "reporting") is None


def test_restarted_peer_does_not_give_the_flow_away(group, rows):
    """A peer that restarts meanwhile has lost the transfer, and asks the others."""
    fourth = "gauging-4"
    group.start(fourth)
    group.publish([*rows, make_row(fourth)])
    group.settle()
    flow = group.open_flow()
    group.stop(AWAY)
    home = group.home(flow, seen_by=fourth)
    group.kill(home)
    group.start(home)
    group.settle(8_000)
    assert group.home(flow, seen_by=home) == home
    refused = len(group.refused)
    for name in (home, HOLDER, OTHER, fourth, home):
        group.deliver_packet(name, flow)
        group.settle(1_500)
    assert group.owners(flow) == []
    assert group.refused[refused:] == []
    group.start(AWAY)
    group.settle(4_000)
    assert group.owners(flow) == [AWAY]
    refused = len(group.refused)
    assert group.send_everywhere(flow)[0] == {AWAY}
    assert group.refused[refused:] == []


def test_peer_that_restarts_during_the_transfer_has_to_acknowledge_again(group):
    group.open_flow()
    group.begin_stop(AWAY)
    group.settle(500)
    assert group.agents[AWAY].has_transferred_all(find_local_port)
    group.kill(HOLDER)
    group.start(HOLDER)
    group.flush()
    assert not group.agents[AWAY].has_transferred_all(find_local_port)
    group.settle(1_000)
    assert group.agents[AWAY].has_transferred_all(find_local_port)


def test_transfer_is_not_complete_without_every_peer(group):
    """A peer behind a partition would open the flow elsewhere."""
    flow = group.open_flow()
    group.cut.add(frozenset((AWAY, OTHER)))
    assert not group.stop(AWAY)
    assert flow not in group.agents[HOLDER].transfers.away_flows
    group.start(AWAY)
    group.settle(4_000)
    assert group.restored[AWAY] is None


def test_crashed_agent_gets_no_flows_back(group):
    flow = group.open_flow()
    group.kill(AWAY)
    group.start(AWAY)
    group.settle(4_000)
    assert group.restored[AWAY] is None
    assert flow not in group.agents[AWAY].owned


def test_crash_after_an_uncommitted_transfer_gets_no_flows_back(group):
    flow = group.open_flow()
    group.begin_stop(AWAY)
    group.settle(500)
    group.kill(AWAY)
    group.start(AWAY)
    group.settle(4_000)
    assert group.restored[AWAY] is None
    assert flow not in group.agents[HOLDER].transfers.away_flows


def test_flow_does_not_follow_a_row_to_another_service(group, rows):
    flow = group.open_flow()
    group.stop(AWAY)
    moved = [make_row(AWAY, "reporting"), *rows[1:]]
    group.publish(moved)
    group.start(AWAY)
    group.settle(4_000)
    assert flow not in group.agents[AWAY].owned
    group.deliver_packet(AWAY, flow)
    group.settle()
    [owner] = group.owners(flow)
    assert owner in (HOLDER, OTHER)


def test_flow_that_ended_after_the_return_goes_to_a_new_owner(group):
    """A peer that keeps the transfer would send the caller's packets in a circle."""
    flow = group.open_flow()
    group.stop(AWAY)
    group.start(AWAY)
    group.settle()
    group.agents[AWAY].end_flow(flow)
    group.settle(6_000)
    assert flow not in group.agents[HOLDER].transfers.away_flows
    group.deliver_packet(HOLDER, flow)
    group.settle()
    assert len(group.owners(flow)) == 1


@pytest.mark.parametrize("change", ["drained row", "leaving", "no peers"])
def test_agent_that_is_not_expected_back_keeps_its_flows(group, rows, change):
    group.open_flow()
    if change == "drained row":
        group.publish([make_row(AWAY, weight=0), *rows[1:]])
    elif change == "leaving":
        group.agents[AWAY].leaving = frozenset([AWAY])
        group.tick()
    else:
        group.publish([make_row(AWAY), *rows[3:]])
        for name in (HOLDER, OTHER):
            group.agents[AWAY].leases_of("gauging").former_members.discard(name)
            group.kill(name)
    group.begin_stop(AWAY)
    group.settle(1_000)
    assert not group.agents[AWAY].has_transferred_all(find_local_port)


def test_transfer_is_listed_again_when_a_flow_is_added(group):
    """A flow whose socket was opened after the listing would get another port."""
    flow = group.open_flow()
    group.begin_stop(AWAY)
    group.settle(500)
    agent = group.agents[AWAY]
    assert agent.has_transferred_all(find_local_port)
    assert not agent.has_transferred_all(lambda key: 9 if key == flow else 0)
    agent.end_flow(flow)
    assert agent.has_transferred_all(find_local_port)


def test_acknowledgement_of_another_run_does_not_count(group):
    agent = group.agents[AWAY]
    agent.flows.open(make_key(1), "gauging")
    group.begin_stop(AWAY)
    agent.advance_transfer(PATH, find_local_port)
    for name, incarnation in agent.find_receivers().items():
        agent.handle(FlowTransferAck(1, 0, incarnation + 1), name)
    assert not agent.outgoing.is_complete


def test_transfer_of_another_agents_flows_is_ignored(group):
    agent = group.agents[HOLDER]
    flow = TransferredFlow(make_key(1))
    message = FlowTransfer(AWAY, 1, 1, 0, "gauging", PATH, (), 0, 1, (flow,))
    assert agent.handle(message, OTHER) == []
    assert not agent.transfers.away_flows


def test_full_store_declines_a_transfer(group, monkeypatch):
    """An agent without room does not acknowledge, so that the flows are kept."""
    monkeypatch.setattr(
        "citronwinch.coordination.steering._held_transfers.TRANSFERRED_FLOWS_LIMIT", 0
    )
    group.open_flow()
    assert not group.stop(AWAY)


def test_packet_of_a_returned_agents_flow_is_forwarded_without_a_decision(group):
    flow = group.open_flow()
    group.stop(AWAY)
    group.start(AWAY)
    group.settle()
    agent: AgentSteering = group.agents[HOLDER]
    packet = Forward(flow, "gauging", b"x", "balancer-1", opens=True)
    [action] = agent.handle_forward(packet._replace(declined=(AWAY,)))
    assert isinstance(action, ForwardToAgent)
    assert (action.agent, action.message.decision) == (AWAY, 0)
