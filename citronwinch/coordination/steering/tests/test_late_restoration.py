"""A restarted agent owns its flows again although a peer's answer is late.

An agent that gave up after 3 s voided the transfer at the peers that had kept its
flows, and the flows ended while their backend server was running.
"""

import pytest

from citronwinch.coordination.steering import (
    FlowsQuery,
    FlowTransfer,
    ForwardToAgent,
)
from citronwinch.coordination.steering._flow_handover import RESTORATION_TIMEOUT_MS
from citronwinch.coordination.steering._held_transfers import TRANSFER_RETURN_MS
from citronwinch.coordination.steering.tests._handover_group import (
    AWAY,
    HOLDER,
    OTHER,
    HandoverGroup,
)
from citronwinch.coordination.steering.tests.conftest import make_forward


@pytest.fixture
def group(rows):
    return HandoverGroup(rows)


LATE_MS = {"paused for 4 s": 4_000, "cut off for 12 s": 12_000}


@pytest.mark.parametrize("name", LATE_MS)
def test_flows_are_restored_although_a_peer_answers_late(group, name):
    """Two of two receivers have to return a transfer; one was silent for 3 s."""
    flow = group.open_flow()
    assert group.stop(AWAY)
    group.cut.add(frozenset((AWAY, OTHER)))
    group.start(AWAY)
    group.settle(LATE_MS[name])
    assert group.owners(flow) == []
    refused = len(group.refused)
    group.send_everywhere(flow)
    assert group.refused[refused:] == []
    group.cut.clear()
    group.settle(3_000)
    assert group.send_everywhere(flow) == ({AWAY}, [])
    group.settle(12_000)
    assert group.send_everywhere(flow) == ({AWAY}, [])


def test_flows_are_restored_although_no_peer_answers_at_first(group):
    """An agent that is cut off at its start does not know whether it has flows."""
    flow = group.open_flow()
    assert group.stop(AWAY)
    group.cut |= {frozenset((AWAY, HOLDER)), frozenset((AWAY, OTHER))}
    group.start(AWAY)
    group.settle(RESTORATION_TIMEOUT_MS + 2_000)
    refused = len(group.refused)
    group.send_everywhere(flow)
    assert not any(refusal.is_certain for _, refusal in group.refused[refused:])
    group.cut.clear()
    group.settle(3_000)
    assert group.send_everywhere(flow) == ({AWAY}, [])


def test_flow_is_not_given_away_before_the_first_answer(group):
    """A peer's packet overtakes its answer; a declined flow would get two owners."""
    flow = group.find_flow(HOLDER)
    group.agents[AWAY].flows.open(flow, "gauging")
    assert group.stop(AWAY)
    group.cut |= {frozenset((AWAY, HOLDER)), frozenset((AWAY, OTHER))}
    group.start(AWAY)
    group.settle(RESTORATION_TIMEOUT_MS + 100)
    group.cut.clear()
    lost = (FlowsQuery, FlowTransfer)
    for _ in range(8):
        group.tick()
        while group.in_transit:
            if not isinstance((sent := group.in_transit.pop(0)).message, lost):
                group.receive(sent)
    forwarded = group.agents[HOLDER].handle_forward(make_forward(flow))
    assert [type(action) for action in forwarded] == [ForwardToAgent]
    group.apply_actions(HOLDER, forwarded)
    group.settle(3_000)
    assert group.owners(flow) == [AWAY]


def test_agent_without_an_answer_handles_packets_of_other_flows(group):
    """Callers of a first start without peers would get no answer for 20 s."""
    group.kill(AWAY)
    group.kill(HOLDER)
    group.kill(OTHER)
    group.start(AWAY)
    group.settle(RESTORATION_TIMEOUT_MS + 300)
    refused = len(group.refused)
    group.deliver_packet(AWAY, group.find_flow(AWAY))
    group.settle(1_000)
    assert len(group.refused) == refused + 1
    group.settle(TRANSFER_RETURN_MS)
    assert group.restored[AWAY] is None


def test_restoration_ends_when_the_transfer_is_not_returned_any_more(group):
    """The agent would drop the packets of all flows for ever."""
    flow = group.open_flow()
    group.stop(AWAY)
    group.kill(OTHER)
    group.start(AWAY)
    group.settle(RESTORATION_TIMEOUT_MS + 2_000)
    assert AWAY not in group.restored
    group.settle(TRANSFER_RETURN_MS)
    assert group.restored[AWAY] is None
    assert flow not in group.agents[HOLDER].transfers.away_flows


def test_restoration_ends_early_when_no_peer_has_a_transfer(group):
    """A crashed agent would wait for an unreachable peer although no flow is kept."""
    group.open_flow()
    group.kill(AWAY)
    group.kill(OTHER)
    group.start(AWAY)
    group.settle(RESTORATION_TIMEOUT_MS + 300)
    assert group.restored[AWAY] is None
