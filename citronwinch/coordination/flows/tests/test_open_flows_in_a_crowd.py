"""Open flows among the dead ones of a crowd are found, and never reset.

Guards against a reset of an open flow by batches, by a search in a single step, by lost
or repeated messages, or by instances that a search does not wait for.
"""

import random

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination.flows import (
    FlowLocation,
    ForwardedPacket,
    Message,
    SendMessage,
)
from citronwinch.coordination.flows.tests.conftest import make_packet
from citronwinch.coordination.flows.tests.search_load import (
    PEER_IPS,
    Network,
    SearchLoad,
)

FLOWS = 40
UNLISTED_AGENT = "10.0.1.1"


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    lost_share=st.sampled_from([0.0, 0.02, 0.2, 0.6]),
    silent=st.sets(st.integers(1, 20), max_size=3),
    is_presumed_dead=st.booleans(),
)
def test_no_open_flow_is_reset_whatever_is_lost(
    seed: int, lost_share: float, silent: set[int], *, is_presumed_dead: bool
) -> None:
    rng = random.Random(seed)
    silent_ips = {f"10.0.0.{number}" for number in silent}

    def is_lost(ip: str, message: Message) -> bool:
        return ip in silent_ips or rng.random() < lost_share

    load = SearchLoad(agents=20, network=Network(is_lost=is_lost), peers=PEER_IPS)
    if is_presumed_dead:
        load.presume_dead()
    # Servers with a number that is a multiple of 4 belong to another service.
    holders = [f"10.0.0.{n}" for n in range(1, 21) if n % 4]
    open_flows = set()
    for port in range(2_000, 2_000 + FLOWS):
        load.send_packet(port, rng.uniform(0, 300))
        if rng.random() < 0.5:
            load.open_flow(port, rng.choice(holders))
            open_flows.add(make_packet(port).flow)
    for until_ms in range(50, 5_000, 50):
        load.run(until_ms)
        load.repeat_answers()
    assert not open_flows & load.reset_ms.keys()
    if not silent and not lost_share:
        assert open_flows <= load.balancer.flows.keys()
        assert len(load.reset_ms) == FLOWS - len(open_flows)


@pytest.mark.parametrize("is_presumed_dead", [False, True])
@pytest.mark.parametrize("silent", [[], PEER_IPS[2:3]], ids=["all", "one silent"])
def test_a_flow_at_a_server_that_is_not_listed_yet_is_found(
    silent: list[str], *, is_presumed_dead: bool
) -> None:
    """Another balancer of the zone has opened it at a server that just registered."""
    network = Network(is_lost=lambda ip, message: ip in silent)
    load = SearchLoad(network=network, peers=PEER_IPS)
    if is_presumed_dead:
        load.presume_dead()
    flow = make_packet(2_000).flow
    load.locations[flow] = FlowLocation(flow, UNLISTED_AGENT, "gauging")
    load.send_packet(2_000, 10)
    load.run(200)
    assert not load.reset_ms
    assert load.balancer.flows[flow].agent == UNLISTED_AGENT


def test_a_location_that_the_balancer_keeps_is_used_in_a_single_step() -> None:
    load = SearchLoad(peers=PEER_IPS)
    load.presume_dead()
    packet = make_packet(2_000, payload=10)
    location = FlowLocation(packet.flow, "10.0.0.5", "gauging")
    load.balancer.directory.store(location)
    actions = load.balancer.handle_packet(packet)
    sent = [action for action in actions if isinstance(action, SendMessage)]
    assert [action.ip for action in sent] == ["10.0.0.5"]
    assert isinstance(sent[0].message, ForwardedPacket)


def test_the_answer_of_a_balancer_that_was_silent_counts_in_a_single_step() -> None:
    """Guards against a reset while the answer with the location is ignored."""
    [peer] = peers = PEER_IPS[:1]
    network = Network(is_lost=lambda ip, message: ip == peer and load.now < 101_000)
    load = SearchLoad(network=network, peers=peers)
    load.presume_dead()
    for number in range(3):
        load.send_packet(3_000 + number, 10 + number * 200)
    flow = make_packet(2_000).flow
    load.locations[flow] = FlowLocation(flow, UNLISTED_AGENT, "gauging")
    load.send_packet(2_000, 1_100)
    load.run(1_300)
    assert flow not in load.reset_ms
    assert load.balancer.flows[flow].agent == UNLISTED_AGENT


def test_lookups_lost_at_the_same_time_do_not_make_a_balancer_unresponsive() -> None:
    """Guards against resets without its answer after a loss of a few milliseconds."""
    [peer] = peers = PEER_IPS[:1]
    network = Network(is_lost=lambda ip, message: ip == peer and load.now < 100_030)
    load = SearchLoad(network=network, peers=peers)
    load.presume_dead()
    for number in range(10):
        load.send_packet(3_000 + number, 10)
    load.run(60)
    assert len(load.reset_ms) == 10
    assert not load.balancer.searches.lookups.unresponsive


def test_a_slow_agent_of_an_unrelated_service_is_waited_for() -> None:
    """Guards against a reset 15 ms after an earlier question became overdue."""
    holder = "10.0.0.12"
    load = SearchLoad(network=Network(delays_ms={holder: 40.0}), peers=PEER_IPS)
    load.presume_dead()
    load.open_flow(2_000, holder)
    load.send_packet(3_000, 10)
    load.send_packet(2_000, 30)
    load.run(200)
    assert load.balancer.flows[make_packet(2_000).flow].agent == holder


def test_balancers_are_asked_again_after_a_pause() -> None:
    """Guards against a reset after lookups that were lost 120 ms before."""
    [peer] = peers = PEER_IPS[:1]
    silent = (peer, "10.0.0.5")
    network = Network(is_lost=lambda ip, message: ip in silent and load.now < 100_100)
    load = SearchLoad(network=network, peers=peers)
    load.presume_dead()
    flow = make_packet(2_000).flow
    load.locations[flow] = FlowLocation(flow, UNLISTED_AGENT, "gauging")
    load.send_packet(2_000, 10)
    load.run(400)
    assert load.balancer.flows[flow].agent == UNLISTED_AGENT
