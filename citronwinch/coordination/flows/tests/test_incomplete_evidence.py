"""A reset rests on a statement that is incomplete, old, or about something else.

Guards against a balancer that resets a flow, or forgets a possible holder, although
another process knows better: its statement was discarded, was made before it knew, or
was about another server at the same address.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BackendServer,
    BalancerFlows,
    DepartedServer,
    DeploymentView,
    FlowAnswer,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    ForwardedPacket,
    Heartbeat,
    LoadReport,
    SendMessage,
    ServerListing,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._former_knowledge import (
    FORMER_RETENTION_MS,
    FormerKnowledge,
)
from citronwinch.coordination.flows._former_servers import RemovalReason
from citronwinch.coordination.flows._lost_servers import UNREACHABLE_SERVER_TIMEOUT_MS
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    has_reset,
    list_forwards,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)

OWN_IP, OPENER = "10.1.0.1", "10.1.0.2"
LISTED, NEWEST, LEFT = make_server(1), make_server(5), make_server(9)
PACKET = make_packet(4000, payload=10, acknowledged=700)
TICK_MS = 20
SERVER_UP = LoadReport("gauging", 1, 0, 0, 0.0, accepts_flows=True)
SERVER_UNREACHABLE = SERVER_UP._replace(accepts_flows=False, is_server_unreachable=True)


def make_balancer(
    clock: ManualClock, listing: ServerListing, own_ip: str = OWN_IP
) -> BalancerFlows:
    """Return a balancer with a peer in its zone, which has run for some time."""
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(listing, clock.now_ms())
    selector = ServerSelector("a", clock, random.Random(7))
    for server in listing.servers.values():
        selector.record_message(server.address.ip, SERVER_UP)
    flows = BalancerFlows(view, selector, clock, own_ip=own_ip)
    flows.directory.set_balancers([OWN_IP, OPENER])
    clock.advance(400)
    return flows


@pytest.fixture
def balancer(clock: ManualClock) -> BalancerFlows:
    """A balancer whose listing lacks NEWEST, which has just registered."""
    return make_balancer(clock, make_listing(10, LISTED))


def answer(
    balancer: BalancerFlows, actions: list[Action], location: FlowLocations
) -> list[Action]:
    """Let LISTED deny each question, and OPENER answer each lookup."""
    further: list[Action] = []
    for action in actions:
        if not isinstance(action, SendMessage):
            continue
        if action.ip == LISTED.address.ip and PACKET.flow in balancer.searches:
            denial = FlowAnswer(PACKET.flow, Verdict.ABSENT)
            further += balancer.handle_answer(denial, action.ip)
        elif isinstance(action.message, FlowLookup):
            further += balancer.handle_locations(location, OPENER)
    if further:
        further = answer(balancer, further, location)
    return [*actions, *further]


def make_heartbeat(known_for_ms: int, uptime_ms: int) -> Heartbeat:
    position = StorePosition(1, 10)
    return Heartbeat(
        7,
        "a",
        False,
        position,
        1,
        0,
        1,
        (),
        former_known_for_ms=known_for_ms,
        uptime_ms=uptime_ms,
    )


def locate(server: BackendServer) -> FlowLocations:
    location = FlowLocation(PACKET.flow, server.address.ip, server.service)
    return FlowLocations((location,))


# The agent's message that it has accepted the opening was lost: the balancer that
# placed the opening at a new server answers a lookup as if it had never seen the flow.
def test_a_balancer_does_not_deny_a_flow_whose_acceptance_it_has_not_heard(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    opener = make_balancer(clock, make_listing(11, NEWEST), OPENER)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms() - 400)
    opening = opener.handle_packet(make_packet(4000, opening=True))
    assert list_forwards(opening) == [(NEWEST.address.ip, "gauging")]
    clock.advance(TICK_MS)
    location = opener.answer_lookup(FlowLookup(PACKET.flow))
    actions = answer(balancer, balancer.handle_packet(PACKET), location)
    assert not has_reset(actions)


# A balancer has restarted and its first heartbeat has not arrived here yet, because
# heartbeats are paced or one was lost. It answers lookups before, knowing nothing.
def test_a_balancer_that_has_just_started_does_not_deny_flows_of_its_former_run(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    clock.advance(600)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms() - 500)
    restarted = make_balancer(clock, make_listing(11, NEWEST), OPENER)
    location = restarted.answer_lookup(FlowLookup(PACKET.flow))
    actions = answer(balancer, balancer.handle_packet(PACKET), location)
    assert not has_reset(actions)


# A balancer that stops in turn is no member of the zone any more, but still forwards.
# It has just opened the flow at a new server, and its callers move to this balancer.
def test_a_flow_that_a_stopping_balancer_has_opened_is_not_reset(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    balancer.directory.set_balancers([OWN_IP])
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms() - 400)
    actions = answer(balancer, balancer.handle_packet(PACKET), locate(NEWEST))
    assert not has_reset(actions)


# A server was lost at an address long ago. A new server there has just registered, and
# the balancer that opened the flow says so.
def test_a_location_at_an_address_that_is_used_again_is_followed(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    lost = NEWEST._replace(name="s50")
    balancer.view.former.record_missing([lost])
    balancer.view.former.remove([lost.name], RemovalReason.AGENT_SILENT)
    clock.advance(600_000)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms() - 400)
    balancer.selector.record_message(LISTED.address.ip, SERVER_UP)
    actions = answer(balancer, balancer.handle_packet(PACKET), locate(NEWEST))
    assert not has_reset(actions)
    assert list_forwards(actions) == [(NEWEST.address.ip, "gauging")]


# The route has just been moved to another service. This balancer has the older
# configuration; the one that opened the flow says at which server it is.
@pytest.mark.parametrize(
    "is_listed",
    [
        pytest.param(False, id="at a server that is not listed here yet"),
        pytest.param(True, id="whose agent has not answered"),
    ],
)
def test_a_location_of_a_service_that_the_route_has_lately_got_prevents_a_reset(
    clock: ManualClock, is_listed: bool
) -> None:
    holder = make_server(5, "reporting")
    servers = (LISTED, holder) if is_listed else (LISTED,)
    balancer = make_balancer(clock, make_listing(10, *servers))
    actions = answer(balancer, balancer.handle_packet(PACKET), locate(holder))
    for _ in range(4):
        clock.advance(TICK_MS)
        balancer.selector.record_message(LISTED.address.ip, SERVER_UP)
        actions += answer(balancer, balancer.tick(), locate(holder))
    assert not has_reset(actions)


# A route was removed and added again within a minute; the flow was opened by a balancer
# that has the newest configuration already.
def test_a_flow_of_a_route_that_was_removed_and_added_again_is_not_reset(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    reporting = make_route("snapshots", REPORTING, "reporting")
    balancer.view.accept_configuration(make_configuration(2, reporting))
    clock.advance(20_000)
    balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    newer = make_configuration(3, reporting, make_route("alarms", GAUGING, "gauging"))
    actions = balancer.handle_packet(PACKET)
    balancer.view.accept_configuration(newer)
    assert not has_reset(actions)


# Two servers that have left had the same address one after the other. The older one
# left a minute ago; the flows of the later one live.
def test_the_end_of_an_earlier_server_at_an_address_does_not_remove_a_later_one(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    view = balancer.view
    earlier = LEFT._replace(name="s90", started_ms=500)
    departed = [
        DepartedServer(earlier, FORMER_RETENTION_MS - 500),
        DepartedServer(LEFT, 1_000),
    ]
    view.accept_former(departed, OPENER, FORMER_RETENTION_MS)
    for _ in range(40):
        clock.advance(TICK_MS)
        view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        balancer.selector.record_message(LISTED.address.ip, SERVER_UP)
        balancer.tick()
        view.expire()
    assert LEFT.name in view.former


# One connection attempt of the agent timed out, and its next report is paced: its
# answers to questions do not repeat that the server is unreachable.
def test_answers_of_an_agent_do_not_repeat_its_report_of_an_unreachable_server(
    clock: ManualClock,
) -> None:
    balancer = make_balancer(clock, make_listing(9, LISTED, LEFT))
    balancer.handle_packet(PACKET)
    held = FlowAnswer(PACKET.flow, Verdict.HELD)
    balancer.handle_answer(held, LEFT.address.ip)
    balancer.view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    balancer.selector.record_message(LEFT.address.ip, SERVER_UNREACHABLE)
    actions: list[Action] = []
    for _ in range(0, UNREACHABLE_SERVER_TIMEOUT_MS + 500, TICK_MS):
        clock.advance(TICK_MS)
        balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        balancer.selector.record_message(LISTED.address.ip, SERVER_UP)
        balancer.selector.record_message(LEFT.address.ip)
        actions += balancer.tick()
    assert not has_reset(actions)


# A balancer was cut off while a server came and went. It answers a starting balancer
# before it has a current listing, and states that it knows every departure.
def test_a_balancer_without_a_current_listing_does_not_state_that_it_knows_all(
    clock: ManualClock,
) -> None:
    cut_off = DeploymentView(clock)
    cut_off.accept_listing(make_listing(10, LISTED), clock.now_ms())
    clock.advance(8_000)
    started = FormerKnowledge(clock)
    started.start(OWN_IP)
    for ip, known_for_ms in (
        ("10.1.0.3", cut_off.former_knowledge.known_for_ms),
        (OPENER, FORMER_RETENTION_MS),
    ):
        heartbeat = make_heartbeat(known_for_ms, FORMER_RETENTION_MS)
        started.record_heartbeat(heartbeat, ip)
    started.record_fetched("10.1.0.3", cut_off.former_knowledge.known_for_ms)
    assert not started.is_complete


# Each balancer asked each other one for former servers after an outage of the store:
# their statements from before it counted, and no answer reached a flow's lifetime.
def test_the_fetches_of_former_servers_after_an_outage_do_not_grow_with_the_fleet(
    clock: ManualClock,
) -> None:
    knowledge = FormerKnowledge(clock)
    knowledge.start(OWN_IP)
    clock.advance(600_000)
    for number in range(58):
        heartbeat = make_heartbeat(FORMER_RETENTION_MS, 700_000)
        knowledge.record_heartbeat(heartbeat, f"10.2.0.{number}")
    knowledge.restart()
    clock.advance(TICK_MS)
    fetches = 0
    while sources := knowledge.sources:
        # The sources had no listing for the same time.
        knowledge.record_fetched(min(sources), TICK_MS)
        fetches += 1
    assert fetches <= 8


# A balancer held a copy of the opening until the agent of the flow's server had been
# restarted. The agent knows of the copy, and not of the flow that is open already.
def test_a_late_copy_of_an_opening_does_not_let_a_restarted_agent_deny_the_flow(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False)
    question = FlowQuestion(PACKET.flow, PACKET.acknowledged)
    assert agent.answer_question(question).verdict is Verdict.UNCERTAIN
    opening = make_packet(4000, opening=True)
    forwarded = ForwardedPacket("gauging", opening.raw)
    agent.handle_forwarded(forwarded, opening, OWN_IP)
    assert agent.answer_question(question).verdict is Verdict.UNCERTAIN


# A former server counts as lost after a silence of its agent, or while that does not
# reach it. Both may end while the server lives; it must be asked again then.
@pytest.mark.parametrize(
    ("report", "for_ms"),
    [
        pytest.param(None, 10_500, id="its agent was paused"),
        pytest.param(SERVER_UNREACHABLE, 3_000, id="its agent did not reach it"),
    ],
)
def test_a_former_server_that_counted_as_lost_is_asked_once_its_agent_is_back(
    clock: ManualClock, report: LoadReport | None, for_ms: int
) -> None:
    balancer = make_balancer(clock, make_listing(9, LISTED, LEFT))
    balancer.view.accept_listing(make_listing(10, LISTED), clock.now_ms())

    def run(for_ms: int, report: LoadReport | None) -> None:
        for _ in range(0, for_ms, TICK_MS):
            clock.advance(TICK_MS)
            balancer.view.confirm_listing(StorePosition(1, 10), clock.now_ms())
            balancer.selector.record_message(LISTED.address.ip, SERVER_UP)
            if report is not None:
                balancer.selector.record_message(LEFT.address.ip, report)
            balancer.tick()

    run(1_000, SERVER_UP)
    run(for_ms, report)
    run(6_000, SERVER_UP)
    location = FlowLocations((FlowLocation(PACKET.flow, "", ""),))
    actions = answer(balancer, balancer.handle_packet(PACKET), location)
    assert not has_reset(actions)


# After a loss of power many dead flows wait for a newer listing at the same time. Each
# of them collected its evidence anew at each tick: 25,000 times a second for 500 flows.
def test_flows_that_wait_for_a_newer_listing_do_not_collect_evidence_at_each_tick(
    balancer: BalancerFlows, clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    balancer.directory.record_restart(OPENER)
    for port in range(4_000, 4_100):
        packet = make_packet(port, payload=10)
        balancer.handle_packet(packet)
        denial = FlowAnswer(packet.flow, Verdict.ABSENT)
        balancer.handle_answer(denial, LISTED.address.ip)
        unknown = FlowLocations((FlowLocation(packet.flow, "", ""),))
        balancer.handle_locations(unknown, OPENER)
    assert len(balancer.searches) == 100
    calls: list[set[str]] = []
    list_holders = balancer.view.list_possible_holders

    def count(services: set[str]) -> list[BackendServer]:
        calls.append(services)
        return list_holders(services)

    monkeypatch.setattr(balancer.view, "list_possible_holders", count)
    for _ in range(5):
        clock.advance(TICK_MS)
        balancer.tick()
    assert len(calls) <= 100
