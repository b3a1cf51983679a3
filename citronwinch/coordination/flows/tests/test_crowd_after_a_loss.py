"""The crowd of dead flows after a loss of power: each is reset soon, at little cost.

Guards against callers that learn seconds later that their flow is gone because the
questions about all flows share a thin link and a small core, and against a single dead
flow that waits for timeouts instead of answers.
"""

import pytest

from citronwinch.coordination.flows import (
    FlowAnswers,
    FlowQuestions,
    Message,
)
from citronwinch.coordination.flows._question_batches import (
    QUESTION_BANDWIDTH_SHARE,
    QUESTION_BURST_S,
)
from citronwinch.coordination.flows.tests.conftest import make_packet
from citronwinch.coordination.flows.tests.search_load import (
    PEER_IPS,
    Network,
    SearchLoad,
)

AGENTS, LINK_MBPS = 50, 5
LINK_BYTES_PER_MS = LINK_MBPS * 125
CROWD, FLOWS_PER_S, DURATION_S = 60, 60, 5
RESET_LIMIT_MS = 100
SINGLE_RESET_LIMIT_MS = 15


def run_crowd(network: Network, *, has_peers: bool = True) -> SearchLoad:
    """Send packets of 60 dead flows at once, then of 60 per second."""
    peers = PEER_IPS if has_peers else []
    load = SearchLoad(AGENTS, LINK_MBPS, network, peers)
    for number in range(CROWD):
        load.send_packet(2_000 + number, 10)
    for number in range(FLOWS_PER_S * DURATION_S):
        load.send_packet(3_000 + number, 10 + (number + 1) * 1_000 / FLOWS_PER_S)
    load.run(DURATION_S * 1_000 + 500)
    return load


@pytest.mark.parametrize("has_peers", [False, True])
def test_each_flow_of_the_crowd_is_reset_within_100_ms(*, has_peers: bool) -> None:
    load = run_crowd(Network(), has_peers=has_peers)
    delays_ms = load.list_delays_ms()
    assert len(delays_ms) == CROWD + FLOWS_PER_S * DURATION_S
    assert max(delays_ms) <= RESET_LIMIT_MS


def test_the_crowd_costs_a_fifth_of_a_question_per_flow_and_agent() -> None:
    """A small core handles the messages: each takes processor time at both ends."""
    load = run_crowd(Network())
    messages = load.sent["FlowQuestion"] + load.sent["FlowQuestions"]
    answers = load.received["FlowAnswer"] + load.received["FlowAnswers"]
    flows = CROWD + FLOWS_PER_S * DURATION_S
    assert messages <= flows * AGENTS / 5
    assert answers <= flows * AGENTS / 5


def test_questions_leave_most_of_the_link() -> None:
    load = run_crowd(Network())
    limit = LINK_MBPS * 125_000 * QUESTION_BANDWIDTH_SHARE
    assert load.question_bytes <= limit * (DURATION_S + QUESTION_BURST_S)


def test_a_link_that_the_first_questions_fill_delays_only_the_first_flows() -> None:
    """The 60 first flows cost 73 KB of questions, 117 ms of the whole link."""
    load = run_crowd(Network(LINK_BYTES_PER_MS))
    early_ms: list[float] = []
    late_ms: list[float] = []
    for flow, reset_ms in load.reset_ms.items():
        first_ms = load.first_packet_ms[flow]
        delays_ms = early_ms if first_ms <= 100_250 else late_ms
        delays_ms.append(reset_ms - first_ms)
    assert len(early_ms) + len(late_ms) == CROWD + FLOWS_PER_S * DURATION_S
    assert max(early_ms) <= 300
    assert max(late_ms) <= RESET_LIMIT_MS


@pytest.mark.parametrize("link_bytes_per_ms", [0.0, LINK_BYTES_PER_MS])
def test_a_dead_flow_without_load_is_reset_within_15_ms(
    link_bytes_per_ms: float,
) -> None:
    load = SearchLoad(AGENTS, LINK_MBPS, Network(link_bytes_per_ms), PEER_IPS)
    for number in range(40):
        load.send_packet(2_000 + number, 10 + number * 257)
    load.run(40 * 257 + 500)
    assert len(load.reset_ms) == 40
    assert max(load.list_delays_ms()) <= SINGLE_RESET_LIMIT_MS
    assert load.sent["FlowQuestions"] == 0


@pytest.mark.parametrize("lost", [FlowQuestions, FlowAnswers])
def test_flows_of_lost_batches_are_reset_by_single_questions(
    lost: type[Message],
) -> None:
    """Also guards against flows that agents of an earlier version leave unanswered."""
    network = Network(is_lost=lambda ip, message: isinstance(message, lost))
    load = SearchLoad(AGENTS, LINK_MBPS, network, PEER_IPS)
    for number in range(20):
        load.send_packet(2_000 + number, 10)
    load.run(2_000)
    assert len(load.reset_ms) == 20
    assert max(load.list_delays_ms()) <= 1_000


def test_no_flow_is_reset_while_an_agent_leaves_its_batches_unanswered() -> None:
    """The silent agent may hold any of the flows."""
    silent = "10.0.0.5"
    network = Network(is_lost=lambda ip, message: ip == silent)
    load = SearchLoad(AGENTS, LINK_MBPS, network, PEER_IPS)
    for number in range(CROWD):
        load.send_packet(2_000 + number, 10 + number)
    load.run(4_000)
    assert not load.reset_ms
    assert not load.balancer.searches


def test_the_next_flow_of_a_reset_caller_is_as_old_as_its_search() -> None:
    """Guards against retries that count as new requests and are served too late."""
    load = SearchLoad(AGENTS, LINK_MBPS, Network(), PEER_IPS)
    load.send_packet(2_000, 10)
    load.run(100)
    ages = load.balancer.searches.attempt_ages
    searched_from_ms = 100_010
    age_ms = load.clock.now_ms() - searched_from_ms
    assert ages.take_age_ms(make_packet(2_001).flow) == age_ms
