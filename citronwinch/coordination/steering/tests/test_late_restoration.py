"""A restarted agent owns its flows again although a peer's answer is late.

An agent that gave up after 3 s voided the transfer at the peers that had kept its
flows, and the flows ended while their backend server was running.
"""

import pytest

from citronwinch.coordination.steering._flow_handover import RESTORATION_TIMEOUT_MS
from citronwinch.coordination.steering._held_transfers import TRANSFER_RETURN_MS
from citronwinch.coordination.steering.tests._handover_group import (
    AWAY,
    HOLDER,
    OTHER,
    HandoverGroup,
)


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
