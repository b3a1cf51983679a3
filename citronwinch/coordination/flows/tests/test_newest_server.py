"""A flow has just been opened at a server that one balancer does not know yet.

The listing of a balancer may lack a server that has registered within the last second;
the balancer that opened the flow knows it. Guards against a balancer that resets the
flow because the balancer that knows better is silent, or has just restarted and has
forgotten its flows.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    SendMessage,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._flow_directory import LISTING_LAG_MS
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

OWN_IP, OPENER = "10.1.0.1", "10.1.0.2"
LISTED, NEWEST = make_server(1), make_server(5)
PACKET = make_packet(4000, payload=10, acknowledged=700)
TICK_MS = 20


@pytest.fixture
def balancer(clock: ManualClock) -> BalancerFlows:
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    selector = ServerSelector("a", clock, random.Random(7))
    selector.record_message(LISTED.address.ip)
    flows = BalancerFlows(view, selector, clock, own_ip=OWN_IP)
    flows.directory.set_balancers([OWN_IP, OPENER])
    clock.advance(400)
    return flows


def answer(
    balancer: BalancerFlows, actions: list[Action], *, is_opener_silent: bool
) -> list[Action]:
    """Let LISTED deny each question, and OPENER know nothing or be silent."""
    further: list[Action] = []
    for action in actions:
        if not isinstance(action, SendMessage):
            continue
        if action.ip == LISTED.address.ip and PACKET.flow in balancer.searches:
            denial = FlowAnswer(PACKET.flow, Verdict.ABSENT)
            further += balancer.handle_answer(denial, action.ip)
        elif isinstance(action.message, FlowLookup) and not is_opener_silent:
            unknown = FlowLocations((FlowLocation(PACKET.flow, "", ""),))
            further += balancer.handle_locations(unknown, OPENER)
    if further:
        further += answer(balancer, further, is_opener_silent=is_opener_silent)
    return [*actions, *further]


def run(
    balancer: BalancerFlows, clock: ManualClock, for_ms: int, *, is_opener_silent: bool
) -> list[Action]:
    actions: list[Action] = []
    for _ in range(0, for_ms, TICK_MS):
        clock.advance(TICK_MS)
        balancer.selector.record_message(LISTED.address.ip)
        step = balancer.tick()
        actions += answer(balancer, step, is_opener_silent=is_opener_silent)
    return actions


# The listing is newer than the flow's packet only if it was read after the packet came.
@pytest.mark.parametrize("is_opener_silent", [True, False])
def test_a_flow_is_not_reset_before_the_listing_is_newer_than_its_packet(
    balancer: BalancerFlows, clock: ManualClock, is_opener_silent: bool
) -> None:
    if not is_opener_silent:
        balancer.directory.record_restart(OPENER)
    actions = balancer.handle_packet(PACKET)
    actions = answer(balancer, actions, is_opener_silent=is_opener_silent)
    actions += run(balancer, clock, 300, is_opener_silent=is_opener_silent)
    assert not has_reset(actions)
    balancer.view.accept_listing(make_listing(11, LISTED, NEWEST), clock.now_ms())
    actions = run(balancer, clock, 300, is_opener_silent=is_opener_silent)
    assert NEWEST.address.ip in list_questions(actions)
    held = FlowAnswer(PACKET.flow, Verdict.HELD)
    actions = balancer.handle_answer(held, NEWEST.address.ip)
    assert list_forwards(actions) == [(NEWEST.address.ip, "gauging")]


@pytest.mark.parametrize("is_opener_silent", [True, False])
def test_a_dead_flow_is_reset_once_the_listing_is_newer_than_its_packet(
    balancer: BalancerFlows, clock: ManualClock, is_opener_silent: bool
) -> None:
    balancer.directory.record_restart(OPENER)
    actions = balancer.handle_packet(PACKET)
    actions = answer(balancer, actions, is_opener_silent=is_opener_silent)
    clock.advance(TICK_MS)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    actions += run(balancer, clock, 300, is_opener_silent=is_opener_silent)
    assert has_reset(actions)


def test_a_dead_flow_is_reset_at_once_if_a_balancer_denies_it_that_runs_for_longer(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    balancer.directory.record_restart(OPENER)
    clock.advance(LISTING_LAG_MS)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms() - 300)
    balancer.selector.record_message(LISTED.address.ip)
    actions = balancer.handle_packet(PACKET)
    assert has_reset(answer(balancer, actions, is_opener_silent=False))


# A balancer that is silent for longer is not waited for, but may still know the flow.
def test_a_balancer_that_is_not_waited_for_proves_nothing_either(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    for port in range(5_000, 5_003):
        packet = make_packet(port, payload=10)
        balancer.handle_packet(packet)
        denial = FlowAnswer(packet.flow, Verdict.ABSENT)
        balancer.handle_answer(denial, LISTED.address.ip)
        clock.advance(TICK_MS)
        balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        balancer.selector.record_message(LISTED.address.ip)
        balancer.tick()
    clock.advance(TICK_MS)
    actions = answer(balancer, balancer.handle_packet(PACKET), is_opener_silent=True)
    assert not has_reset(actions)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    assert has_reset(run(balancer, clock, 200, is_opener_silent=True))
