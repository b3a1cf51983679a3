"""Records that are handed over, and who may have them back."""

import pytest

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import StartRequest
from citronwinch.coordination.requests._record_exchange import RETURN_LIMIT_MS
from citronwinch.coordination.requests.tests.conftest import (
    make_arrival,
    make_requests,
)

RUN_COUNT = 150
PEERS = ("gauging-2", "gauging-3", "gauging-4")


@pytest.fixture
def peers(clock, requests):
    """Three peers to which an agent with records has handed over."""
    for number in range(RUN_COUNT):
        requests.deliver(make_arrival(clock, number=number))
    peers = {name: make_requests(clock, name=name) for name in PEERS}
    for peer in peers.values():
        for message in requests.records.make_transfer():
            peer.records.accept_records(message, "gauging-1", len(PEERS))
    return peers


def start_again(clock, peers, returning_agents, lose_last=False):
    """Return a fresh run of the agent after it has asked some peers."""
    agent = make_requests(clock)
    for name in returning_agents:
        messages = peers[name].records.return_records("gauging-1")
        for message in messages[: -1 if lose_last else None]:
            agent.records.accept_records(message, name, len(PEERS))
    return agent


def serves(agent, clock):
    new = make_arrival(clock, number=999)
    return isinstance(agent.deliver(new)[0], StartRequest)


@pytest.mark.parametrize(
    ("returning_agents", "expected"),
    [((), False), (PEERS[:1], False), (PEERS[:2], True), (PEERS, True)],
)
def test_a_majority_of_peers_ends_the_grace(clock, peers, returning_agents, expected):
    agent = start_again(clock, peers, returning_agents)
    assert serves(agent, clock) == expected


def test_late_copies_meet_their_records_afterwards(clock, peers):
    agent = start_again(clock, peers, PEERS)
    for number in range(RUN_COUNT):
        late = make_arrival(clock, number=number)
        assert agent.receive(late, is_known_flow=False)


def test_records_are_given_back_once(clock, peers):
    assert serves(start_again(clock, peers, PEERS[:2]), clock)
    assert not serves(start_again(clock, peers, PEERS), clock)


def test_a_lost_message_leaves_the_grace(clock, peers):
    agent = start_again(clock, peers, PEERS, lose_last=True)
    assert not serves(agent, clock)


def test_old_records_are_not_given_back(clock, peers):
    clock.advance(RETURN_LIMIT_MS + 1)
    assert peers["gauging-2"].records.return_records("gauging-1") == []


def test_records_of_an_agent_that_came_back_without_asking_are_dropped(clock, peers):
    for peer in peers.values():
        peer.records.handle_restart("gauging-1")
    assert not serves(start_again(clock, peers, PEERS), clock)


def test_records_that_do_not_fit_are_as_good_as_lost(clock, requests):
    for number in range(RUN_COUNT):
        requests.deliver(make_arrival(clock, number=number))
    peer = make_requests(clock, name="gauging-2")
    peer.completeness.mark_complete_since()
    peer.window.limit_bytes = 10 * 768
    for message in requests.records.make_transfer():
        peer.records.accept_records(message, "gauging-1", 1)
    assert not serves(peer, clock)


def test_the_records_of_one_flow_travel_alone(clock, requests):
    requests.deliver(make_arrival(clock))
    other = FlowKey(bytes(13))
    [nothing] = requests.records.make_transfer(other)
    [something] = requests.records.make_transfer(make_arrival(clock).flow)
    assert (len(nothing.records), len(something.records)) == (0, 1)
    assert something.agent == ""


def test_what_a_hand_over_cannot_tell_is_unknown_to_its_receivers(clock, requests):
    requests.window.limit_bytes = 0
    requests.refuse(make_arrival(clock), "full")
    assert requests.receive(make_arrival(clock), is_known_flow=True)
    clock.advance(100)
    peer = make_requests(clock, name="gauging-2")
    peer.completeness.mark_complete_since()
    assert serves(peer, clock)
    for message in requests.records.make_transfer():
        peer.records.accept_records(message, "gauging-1", 1)
    assert not serves(peer, clock)
