"""A balancer restarts while backend servers are replaced.

Servers that have left the listing go on with their flows for some time. Guards against
a balancer that has just started, knows only the listed servers, takes the denials of
their agents for proof, and resets a flow whose server lives.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    Heartbeat,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._former_knowledge import (
    FORMER_FETCH_TIMEOUT_MS,
    OLDER_BALANCER_WAIT_MS,
    OLDER_BY_NS,
    FormerKnowledge,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

OWN_START_NS = 100 * OLDER_BY_NS
LISTED, LEFT = make_server(1), make_server(9)
TICK_MS = 20


@pytest.fixture
def started_view(clock: ManualClock) -> DeploymentView:
    """The view of a balancer that has just started, after a server has left."""
    view = DeploymentView(clock)
    view.former_knowledge.start(OWN_START_NS)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    return view


@pytest.fixture
def started(started_view: DeploymentView, clock: ManualClock) -> BalancerFlows:
    selector = ServerSelector("a", clock, random.Random(7))
    for server in (LISTED, LEFT):
        selector.record_message(server.address.ip)
    return BalancerFlows(started_view, selector, clock)


def make_heartbeat(age_ns: int, version: int = 1) -> Heartbeat:
    position = StorePosition(1, 10)
    incarnation = OWN_START_NS - age_ns
    return Heartbeat(incarnation, "a", False, position, 1, 0, version, ())


def deny(balancer: BalancerFlows, ip: str) -> list[Action]:
    answer = FlowAnswer(make_packet().flow, Verdict.ABSENT)
    return balancer.handle_answer(answer, ip)


def tick_until(
    balancer: BalancerFlows, clock: ManualClock, duration_ms: int
) -> list[Action]:
    """Tick with a listing that stays current, until something happens."""
    for _ in range(0, duration_ms, TICK_MS):
        clock.advance(TICK_MS)
        balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        if actions := balancer.tick():
            return actions
    return []


def test_a_flow_at_a_server_that_has_left_is_found_once_that_is_known(
    started: BalancerFlows, clock: ManualClock
) -> None:
    knowledge = started.view.former_knowledge
    assert knowledge.must_fetch_from(make_heartbeat(2 * OLDER_BY_NS))
    packet = make_packet(payload=10)
    assert list_questions(started.handle_packet(packet)) == [LISTED.address.ip]
    assert not has_reset(deny(started, LISTED.address.ip))
    started.view.accept_former([LEFT])
    questions = list_questions(tick_until(started, clock, 300))
    assert questions == [LEFT.address.ip]
    held = FlowAnswer(packet.flow, Verdict.HELD)
    actions = started.handle_answer(held, LEFT.address.ip)
    assert list_forwards(actions) == [(LEFT.address.ip, "gauging")]


def test_servers_that_become_known_during_a_search_are_asked(
    started: BalancerFlows, clock: ManualClock
) -> None:
    packet = make_packet(payload=10)
    started.handle_packet(packet)
    started.view.accept_former([LEFT])
    assert not has_reset(deny(started, LISTED.address.ip))
    assert list_questions(tick_until(started, clock, 300)) == [LEFT.address.ip]
    assert has_reset(deny(started, LEFT.address.ip))


def test_dead_flows_end_at_once_after_a_loss_of_power(
    started: BalancerFlows, clock: ManualClock
) -> None:
    # All balancers have started within a second; none knows what was before.
    knowledge = started.view.former_knowledge
    assert not knowledge.must_fetch_from(make_heartbeat(OLDER_BY_NS // 2))
    clock.advance(OLDER_BALANCER_WAIT_MS)
    started.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    started.handle_packet(make_packet(payload=10))
    assert has_reset(deny(started, LISTED.address.ip))


@pytest.mark.parametrize(
    ("heartbeat", "must_fetch"),
    [
        pytest.param(make_heartbeat(2 * OLDER_BY_NS), True, id="older"),
        pytest.param(make_heartbeat(OLDER_BY_NS // 2), False, id="same age"),
        pytest.param(make_heartbeat(-OLDER_BY_NS), False, id="younger"),
        pytest.param(make_heartbeat(2 * OLDER_BY_NS, 0), False, id="without a view"),
    ],
)
def test_former_servers_are_fetched_from_older_balancers(
    clock: ManualClock, heartbeat: Heartbeat, must_fetch: bool
) -> None:
    knowledge = FormerKnowledge(clock)
    knowledge.start(OWN_START_NS)
    assert knowledge.must_fetch_from(heartbeat) is must_fetch
    knowledge.record_fetched()
    assert not knowledge.must_fetch_from(heartbeat)


def test_a_balancer_that_cannot_fetch_does_not_wait_for_ever(
    clock: ManualClock,
) -> None:
    knowledge = FormerKnowledge(clock)
    knowledge.start(OWN_START_NS)
    older = make_heartbeat(2 * OLDER_BY_NS)
    for _ in range(0, FORMER_FETCH_TIMEOUT_MS, 100):
        assert knowledge.must_fetch_from(older)
        assert not knowledge.is_complete
        clock.advance(100)
    assert knowledge.is_complete


def test_listed_servers_are_not_former_ones(started_view: DeploymentView) -> None:
    started_view.accept_former([LISTED, LEFT])
    assert list(started_view.former) == [LEFT.name]
