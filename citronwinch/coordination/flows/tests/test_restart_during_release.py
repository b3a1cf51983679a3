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
    DepartedServer,
    DeploymentView,
    FlowAnswer,
    Heartbeat,
    LoadReport,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._former_knowledge import (
    FORMER_RETENTION_MS,
    MIN_GAIN_MS,
    NAMED_BALANCER_WAIT_MS,
    SILENT_FLEET_TIMEOUT_MS,
    FormerKnowledge,
)
from citronwinch.coordination.flows._lost_servers import RESTARTED_AGENT_WAIT_MS
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

OWN_IP, OLDER, OTHER = "10.1.0.1", "10.1.0.2", "10.1.0.3"
LISTED, LEFT = make_server(1), make_server(9)
DEPARTED = DepartedServer(LEFT, 5_000)
TICK_MS = 20


@pytest.fixture
def started_view(clock: ManualClock) -> DeploymentView:
    """The view of a balancer that has just started, after a server has left."""
    view = DeploymentView(clock)
    view.former_knowledge.start(OWN_IP)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    return view


@pytest.fixture
def started(started_view: DeploymentView, clock: ManualClock) -> BalancerFlows:
    selector = ServerSelector("a", clock, random.Random(7))
    for server in (LISTED, LEFT):
        selector.record_message(server.address.ip)
    return BalancerFlows(started_view, selector, clock)


@pytest.fixture
def knowledge(clock: ManualClock) -> FormerKnowledge:
    """What a balancer that has just started knows."""
    started_knowledge = FormerKnowledge(clock)
    started_knowledge.start(OWN_IP)
    return started_knowledge


def make_heartbeat(
    known_for_ms: int,
    version: int = 1,
    balancers: tuple[str, ...] = (),
    uptime_ms: int | None = None,
) -> Heartbeat:
    position = StorePosition(1, 10)
    return Heartbeat(
        7,
        "a",
        False,
        position,
        1,
        0,
        version,
        balancers,
        former_known_for_ms=known_for_ms,
        uptime_ms=known_for_ms if uptime_ms is None else uptime_ms,
    )


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
    assert knowledge.record_heartbeat(make_heartbeat(FORMER_RETENTION_MS), OLDER)
    packet = make_packet(payload=10)
    assert list_questions(started.handle_packet(packet)) == [LISTED.address.ip]
    assert not has_reset(deny(started, LISTED.address.ip))
    started.view.accept_former([DEPARTED], OLDER, FORMER_RETENTION_MS)
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
    started.view.accept_former([DEPARTED], OLDER, FORMER_RETENTION_MS)
    assert not has_reset(deny(started, LISTED.address.ip))
    assert list_questions(tick_until(started, clock, 300)) == [LEFT.address.ip]
    assert has_reset(deny(started, LEFT.address.ip))


def test_dead_flows_end_at_once_after_a_loss_of_power(
    started: BalancerFlows, clock: ManualClock
) -> None:
    # All balancers have started within a second; none knows what was before.
    knowledge = started.view.former_knowledge
    assert not knowledge.record_heartbeat(make_heartbeat(MIN_GAIN_MS // 2), OTHER)
    clock.advance(NAMED_BALANCER_WAIT_MS)
    started.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    started.handle_packet(make_packet(payload=10))
    assert has_reset(deny(started, LISTED.address.ip))


# An agent that lost power with the fleet would be back by now.
def test_a_server_that_did_not_return_from_a_loss_of_power_delays_resets_shortly(
    started: BalancerFlows, clock: ManualClock
) -> None:
    started.selector.retain_agents([LISTED.address.ip])
    knowledge = started.view.former_knowledge
    knowledge.record_heartbeat(make_heartbeat(1), OTHER)
    started.view.former.record_missing([LEFT])
    started.handle_packet(make_packet(payload=10))
    actions = deny(started, LISTED.address.ip)
    waited_ms = 0
    while not has_reset(actions):
        waited_ms += TICK_MS
        actions = tick_until(started, clock, TICK_MS)
        started.selector.record_message(LISTED.address.ip)
        if LISTED.address.ip in list_questions(actions):
            actions = deny(started, LISTED.address.ip)
    assert RESTARTED_AGENT_WAIT_MS <= waited_ms <= RESTARTED_AGENT_WAIT_MS + 200


@pytest.mark.parametrize(
    ("heartbeat", "must_fetch"),
    [
        pytest.param(make_heartbeat(FORMER_RETENTION_MS), True, id="knows all"),
        pytest.param(make_heartbeat(MIN_GAIN_MS), True, id="knows more"),
        pytest.param(make_heartbeat(MIN_GAIN_MS - 1), False, id="as little"),
        pytest.param(make_heartbeat(60_000, 0), False, id="without a view"),
        pytest.param(make_heartbeat(0), True, id="of an earlier version"),
        pytest.param(
            make_heartbeat(1, uptime_ms=MIN_GAIN_MS), True, id="was without a listing"
        ),
    ],
)
def test_former_servers_are_fetched_from_balancers_that_know_more(
    knowledge: FormerKnowledge, heartbeat: Heartbeat, must_fetch: bool
) -> None:
    assert knowledge.record_heartbeat(heartbeat, OLDER) is must_fetch
    knowledge.record_fetched(OLDER, heartbeat.former_known_for_ms)
    assert not knowledge.record_heartbeat(heartbeat, OLDER)


# Rolling restarts must not hand on the little that the last balancer has learned.
def test_a_source_that_knows_little_does_not_complete_the_knowledge(
    knowledge: FormerKnowledge, clock: ManualClock
) -> None:
    assert knowledge.record_heartbeat(make_heartbeat(4_000), OTHER)
    assert knowledge.record_heartbeat(make_heartbeat(30_000), OLDER)
    knowledge.record_fetched(OTHER, 4_000)
    clock.advance(NAMED_BALANCER_WAIT_MS)
    assert not knowledge.is_complete
    knowledge.record_fetched(OLDER, 30_000)
    assert knowledge.is_complete
    assert knowledge.known_for_ms == 30_000


# Heartbeats are paced on a large fleet, and one may be lost.
@pytest.mark.parametrize(
    ("heard", "is_complete_after_ms"),
    [
        pytest.param([], SILENT_FLEET_TIMEOUT_MS, id="nobody"),
        pytest.param(
            [make_heartbeat(1)], NAMED_BALANCER_WAIT_MS, id="one that knows no other"
        ),
        pytest.param(
            [make_heartbeat(1, 1, (OWN_IP, OLDER))],
            SILENT_FLEET_TIMEOUT_MS,
            id="one that names a balancer which is not heard",
        ),
    ],
)
def test_silence_of_other_balancers_proves_a_loss_of_power_only_after_some_time(
    knowledge: FormerKnowledge,
    clock: ManualClock,
    heard: list[Heartbeat],
    is_complete_after_ms: int,
) -> None:
    for heartbeat in heard:
        knowledge.record_heartbeat(heartbeat, OTHER)
    clock.advance(is_complete_after_ms - 1)
    assert not knowledge.is_complete
    clock.advance(1)
    assert knowledge.is_complete


# A fetch that fails does not show that there is nothing to learn.
def test_knowledge_stays_incomplete_while_a_live_balancer_is_known_to_know_more(
    knowledge: FormerKnowledge, clock: ManualClock
) -> None:
    for _ in range(20):
        assert knowledge.record_heartbeat(make_heartbeat(FORMER_RETENTION_MS), OLDER)
        clock.advance(1_000)
        assert not knowledge.is_complete
    knowledge.forget(OLDER)
    assert knowledge.is_complete


def test_a_balancer_knows_all_former_servers_after_the_lifetime_of_a_flow(
    knowledge: FormerKnowledge, clock: ManualClock
) -> None:
    knowledge.record_heartbeat(make_heartbeat(FORMER_RETENTION_MS), OLDER)
    clock.advance(FORMER_RETENTION_MS)
    assert knowledge.is_complete


# Servers may have come and gone while a balancer was paused or cut off.
@pytest.mark.parametrize("is_changed", [True, False])
def test_a_balancer_without_a_current_listing_learns_the_former_servers_again(
    started_view: DeploymentView, clock: ManualClock, is_changed: bool
) -> None:
    knowledge = started_view.former_knowledge
    started_view.accept_former([], OLDER, FORMER_RETENTION_MS)
    assert knowledge.is_complete
    knowledge.record_heartbeat(make_heartbeat(FORMER_RETENTION_MS), OLDER)
    clock.advance(8_000)
    if is_changed:
        started_view.accept_listing(make_listing(14, LISTED), clock.now_ms())
    else:
        started_view.confirm_listing(StorePosition(1, 14), clock.now_ms())
    assert not knowledge.is_complete
    assert knowledge.record_heartbeat(make_heartbeat(1), OTHER)
    assert knowledge.sources == {OLDER}


def test_listed_servers_are_not_former_ones(started_view: DeploymentView) -> None:
    listed = DepartedServer(LISTED, 0)
    started_view.accept_former([listed, DEPARTED], OLDER, FORMER_RETENTION_MS)
    assert list(started_view.former) == [LEFT.name]


# The time counts from the departure, and not from when a balancer learned of it.
@pytest.mark.parametrize(
    ("open_flows", "is_kept"),
    [
        pytest.param(0, False, id="without open flows"),
        pytest.param(3, True, id="with open flows"),
    ],
)
def test_a_former_server_is_kept_for_the_lifetime_of_a_flow_or_while_it_has_flows(
    started: BalancerFlows, clock: ManualClock, open_flows: int, is_kept: bool
) -> None:
    started.view.accept_former([DEPARTED], OLDER, FORMER_RETENTION_MS)
    report = LoadReport("gauging", open_flows, 0, 0, 0.0, accepts_flows=True)
    for waited_ms in range(0, FORMER_RETENTION_MS - DEPARTED.missing_ms + 1, 500):
        started.selector.record_message(LEFT.address.ip, report)
        started.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        started.tick()
        assert LEFT.name in started.view.former, waited_ms
        clock.advance(500)
    started.selector.record_message(LEFT.address.ip, report)
    started.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    started.tick()
    assert (LEFT.name in started.view.former) is is_kept


# All balancers and the store were away, and entries of live servers have lapsed.
def test_no_flow_is_reset_while_the_first_listing_lacks_all_servers_of_a_service(
    clock: ManualClock,
) -> None:
    view = DeploymentView(clock)
    view.former_knowledge.start(OWN_IP)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10), clock.now_ms())
    balancer = BalancerFlows(view, ServerSelector("a", clock, random.Random(7)), clock)
    view.former_knowledge.record_heartbeat(make_heartbeat(1), OTHER)
    clock.advance(NAMED_BALANCER_WAIT_MS)
    view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    actions = balancer.handle_packet(make_packet(payload=10))
    actions += tick_until(balancer, clock, 1_000)
    assert not has_reset(actions)
    view.accept_listing(make_listing(11, LISTED), clock.now_ms())
    questions = list_questions(tick_until(balancer, clock, 300))
    assert questions == [LISTED.address.ip]


# The agent at the address reports the flows of the server that is there now.
def test_a_former_server_whose_address_is_used_again_does_not_stay_for_ever(
    started: BalancerFlows, clock: ManualClock
) -> None:
    successor = LISTED._replace(name="s10", address=LEFT.address)
    started.view.accept_former([DEPARTED], OLDER, FORMER_RETENTION_MS)
    started.view.accept_listing(make_listing(11, LISTED, successor), clock.now_ms())
    report = LoadReport("gauging", 5, 0, 0, 0.0, accepts_flows=True)
    for _ in range(0, FORMER_RETENTION_MS, 500):
        clock.advance(500)
        started.selector.record_message(LEFT.address.ip, report)
        started.view.confirm_listing(StorePosition(1, 11), clock.now_ms())
        started.tick()
        started.view.expire()
    assert not started.view.former


# The source has not read the listing since the server left.
def test_a_server_that_a_source_still_lists_is_a_former_one(
    started_view: DeploymentView,
) -> None:
    listed = (LISTED, LEFT)
    started_view.accept_former([], OLDER, FORMER_RETENTION_MS, listed)
    assert list(started_view.former) == [LEFT.name]
    assert started_view.list_possible_holders(["gauging"]) == [LISTED, LEFT]
