"""A server has left and is lost; the agents of the others have restarted.

Restarted agents do not know idle flows, so that a balancer has to try them. While an
agent that may hold the flow restarts, only two are tried. Guards against balancers that
start one after the other and each wait anew for the agent of the lost server: the
packets of an open flow then only reach two other servers, through every balancer.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    DepartedServer,
    DeploymentView,
    FlowAnswer,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows._former_servers import STATED_SILENCE_MARGIN_MS
from citronwinch.coordination.flows._searched_servers import list_restarting_agents
from citronwinch.coordination.flows._trial_records import (
    AGENT_RESTART_LIMIT_MS,
    choose_limited_agents,
)
from citronwinch.coordination.flows.tests.conftest import (
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

LISTED = [make_server(number) for number in range(1, 7)]
LEFT = make_server(9)
LEFT_AGENT = LEFT.address.ip
PACKET = make_packet(4000, payload=10, acknowledged=700)
TICK_MS = 100


def make_balancer(clock: ManualClock) -> BalancerFlows:
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, *LISTED), clock.now_ms())
    return BalancerFlows(view, ServerSelector("a", clock, random.Random(7)), clock)


def tick(balancer: BalancerFlows) -> None:
    """Pass a tick in which the listed agents are heard and the listing stays."""
    balancer.searches.batches.clock.advance(TICK_MS)  # type: ignore[attr-defined]
    now_ms = balancer.view.clock.now_ms()
    balancer.view.confirm_listing(balancer.view.listing.position, now_ms)
    for server in LISTED:
        balancer.selector.record_message(server.address.ip)
    balancer.tick()


def pass_time(balancer: BalancerFlows, for_ms: int) -> None:
    for _ in range(0, for_ms, TICK_MS):
        tick(balancer)


def list_restarting(balancer: BalancerFlows, started_ms: int) -> frozenset[str]:
    searches = balancer.searches
    return list_restarting_agents(
        balancer.view,
        balancer.selector,
        searches.batches,
        {LEFT.service},
        started_ms,
    )


def list_tried_agents(balancer: BalancerFlows) -> set[str]:
    """Return the agents that get the packet of an unknown flow as a trial."""
    unanswered = list_questions(balancer.handle_packet(PACKET))
    tried = set()
    while unanswered:
        agent = unanswered.pop()
        if agent == LEFT_AGENT:
            continue
        uncertain = FlowAnswer(PACKET.flow, Verdict.UNCERTAIN)
        actions = balancer.handle_answer(uncertain, agent)
        tried |= {ip for ip, _ in list_forwards(actions)}
        unanswered += list_questions(actions)
    return tried


@pytest.mark.parametrize(
    ("silent_ms", "is_waited_for"),
    [
        pytest.param(0, True, id="unknown silence"),
        pytest.param(AGENT_RESTART_LIMIT_MS - 1_000, True, id="may be restarting"),
        pytest.param(AGENT_RESTART_LIMIT_MS, False, id="silent for too long"),
    ],
)
def test_a_starting_balancer_takes_a_silence_for_as_old_as_stated(
    clock: ManualClock, silent_ms: int, *, is_waited_for: bool
) -> None:
    balancer, started_ms = make_balancer(clock), clock.now_ms()
    departed = DepartedServer(LEFT, AGENT_RESTART_LIMIT_MS + 500, silent_ms)
    balancer.view.accept_former([departed], "10.1.0.2", 60_000)
    assert LEFT_AGENT in list_restarting(balancer, started_ms)
    pass_time(balancer, STATED_SILENCE_MARGIN_MS + TICK_MS)
    assert (LEFT_AGENT in list_restarting(balancer, started_ms)) is is_waited_for


# The balancer that states the loss was cut off from the agent.
def test_an_agent_that_answers_this_balancer_holds_its_flows_all_along(
    clock: ManualClock,
) -> None:
    balancer = make_balancer(clock)
    balancer.view.accept_former([DepartedServer(LEFT, 90, 90_000)], "10.1.0.2", 60_000)
    pass_time(balancer, STATED_SILENCE_MARGIN_MS)
    assert LEFT.name in balancer.view.former
    balancer.selector.record_message(LEFT_AGENT)
    pass_time(balancer, AGENT_RESTART_LIMIT_MS - TICK_MS)
    assert LEFT.name in balancer.view.former


# Packets of open flows reached two other servers only, for up to 10 s a balancer.
def test_the_agent_that_holds_the_flow_is_tried_although_a_lost_server_is_learned(
    clock: ManualClock,
) -> None:
    agents = [server.address.ip for server in (*LISTED, LEFT)]
    limited = choose_limited_agents(PACKET.flow, agents)
    balancer = make_balancer(clock)
    departed = DepartedServer(LEFT, 12_000, AGENT_RESTART_LIMIT_MS + 100)
    balancer.view.accept_former([departed], "10.1.0.2", 60_000)
    pass_time(balancer, STATED_SILENCE_MARGIN_MS + TICK_MS)
    assert list_tried_agents(balancer) == set(agents) - {LEFT_AGENT}
    assert len(limited) < len(agents) - 1


def test_a_lost_server_is_handed_on_with_the_silence_of_its_agent(
    clock: ManualClock,
) -> None:
    first = make_balancer(clock)
    first.view.accept_former([DepartedServer(LEFT, 0)], "10.1.0.2", 60_000)
    passed_ms = 0
    while LEFT.name in first.view.former:
        tick(first)
        passed_ms += TICK_MS
    [departed] = first.view.former.list_departed()
    assert departed.silent_ms == departed.missing_ms == passed_ms
    second = make_balancer(clock)
    second.view.accept_former([departed], "10.1.0.3", 60_000)
    pass_time(second, STATED_SILENCE_MARGIN_MS + TICK_MS)
    assert LEFT.name in second.view.former.lost
    clock.advance(TICK_MS)
    second.selector.record_message(LEFT_AGENT)
    tick(second)
    assert LEFT.name in second.view.former


def test_an_agent_that_was_heard_is_handed_on_with_its_silence_since_then(
    clock: ManualClock,
) -> None:
    balancer = make_balancer(clock)
    balancer.view.accept_former([DepartedServer(LEFT, 0, 5_000)], "10.1.0.2", 60_000)
    tick(balancer)
    balancer.selector.record_message(LEFT_AGENT)
    for _ in range(3):
        tick(balancer)
    [departed] = balancer.view.former.list_departed()
    assert departed.silent_ms == 3 * TICK_MS
