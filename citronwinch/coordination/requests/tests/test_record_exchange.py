"""Transfer of request records to other agents, and their return after a restart.

Guards against a restarted agent that runs a request again because it serves with
incomplete records.
"""

import pytest

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import StartRequest
from citronwinch.coordination.requests._record_exchange import RETURN_LIMIT_MS
from citronwinch.coordination.requests.tests.conftest import (
    make_arrival,
    make_requests,
)

REQUEST_COUNT = 150
PEERS = ("gauging-2", "gauging-3", "gauging-4")


@pytest.fixture
def peers(clock, requests):
    """Three peers to which an agent has transferred its records."""
    for number in range(REQUEST_COUNT):
        requests.deliver(make_arrival(clock, number=number))
    peers = {name: make_requests(clock, name=name) for name in PEERS}
    for peer in peers.values():
        for message in requests.record_exchange.make_transfer():
            peer.record_exchange.accept_records(message, "gauging-1", len(PEERS))
    return peers


def restart_agent(clock, peers, returning_agents, lose_last=False):
    """Return a new run of the agent with the records that some peers returned."""
    agent = make_requests(clock)
    for name in returning_agents:
        messages = peers[name].record_exchange.return_records("gauging-1")
        for message in messages[: -1 if lose_last else None]:
            agent.record_exchange.accept_records(message, name, len(PEERS))
    return agent


def serves(agent, clock):
    new_request = make_arrival(clock, number=999)
    return isinstance(agent.deliver(new_request)[0], StartRequest)


@pytest.mark.parametrize(
    ("returning_agents", "expected"),
    [((), False), (PEERS[:1], False), (PEERS[:2], True), (PEERS, True)],
)
def test_records_from_a_majority_of_peers_are_complete(
    clock, peers, returning_agents, expected
):
    agent = restart_agent(clock, peers, returning_agents)
    assert serves(agent, clock) == expected


def test_late_copies_find_the_returned_records(clock, peers):
    agent = restart_agent(clock, peers, PEERS)
    for number in range(REQUEST_COUNT):
        late = make_arrival(clock, number=number)
        assert agent.receive(late, is_known_flow=False)


def test_records_are_returned_once(clock, peers):
    assert serves(restart_agent(clock, peers, PEERS[:2]), clock)
    assert not serves(restart_agent(clock, peers, PEERS), clock)


def test_lost_message_leaves_records_incomplete(clock, peers):
    agent = restart_agent(clock, peers, PEERS, lose_last=True)
    assert not serves(agent, clock)


def test_old_records_are_not_returned(clock, peers):
    clock.advance(RETURN_LIMIT_MS + 1)
    assert peers["gauging-2"].record_exchange.return_records("gauging-1") == []


def test_restart_without_query_discards_the_records(clock, peers):
    for peer in peers.values():
        peer.record_exchange.handle_restart("gauging-1")
    assert not serves(restart_agent(clock, peers, PEERS), clock)


def test_records_that_do_not_fit_count_as_lost(clock, requests):
    for number in range(REQUEST_COUNT):
        requests.deliver(make_arrival(clock, number=number))
    peer = make_requests(clock, name="gauging-2")
    peer.completeness.mark_complete_since()
    peer.window.limit_bytes = 10 * 768
    for message in requests.record_exchange.make_transfer():
        peer.record_exchange.accept_records(message, "gauging-1", 1)
    assert not serves(peer, clock)


def test_transfer_of_one_flow_has_its_records_only(clock, requests):
    requests.deliver(make_arrival(clock))
    other = FlowKey(bytes(13))
    [nothing] = requests.record_exchange.make_transfer(other)
    [something] = requests.record_exchange.make_transfer(make_arrival(clock).flow)
    assert (len(nothing.records), len(something.records)) == (0, 1)
    assert something.agent == ""


def test_refusals_outside_the_transfer_leave_records_incomplete(clock, requests):
    requests.window.limit_bytes = 0
    requests.refuse(make_arrival(clock), "full")
    assert requests.receive(make_arrival(clock), is_known_flow=True)
    clock.advance(100)
    peer = make_requests(clock, name="gauging-2")
    peer.completeness.mark_complete_since()
    assert serves(peer, clock)
    for message in requests.record_exchange.make_transfer():
        peer.record_exchange.accept_records(message, "gauging-1", 1)
    assert not serves(peer, clock)
