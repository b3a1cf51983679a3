"""Searches for unknown flows: the agents that are queried, and the possible results.

Guards against a reset of a flow that may exist at a silent or uncertain agent, and
against dead flows whose callers get no answer.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    ForwardedPacket,
    Packet,
    SendMessage,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._route_history import ROUTE_HISTORY_MS
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)


def test_a_returned_opening_tries_every_server_and_is_then_reset_at_once(
    balancer: BalancerFlows,
) -> None:
    packet = make_packet(opening=True)
    actions = balancer.handle_packet(packet)
    tried_agents = []
    while forwards := list_forwards(actions):
        tried_agents.append(forwards[0][0])
        actions = balancer.handle_returned(packet, tried_agents[-1])
    assert sorted(tried_agents) == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    assert has_reset(actions)


def test_a_search_queries_the_own_zone_first(
    balancer: BalancerFlows,
) -> None:
    packet = make_packet(payload=10)
    assert list_questions(balancer.handle_packet(packet)) == ["10.0.0.1", "10.0.0.2"]
    answer = FlowAnswer(packet.flow, Verdict.HELD)
    actions = balancer.handle_answer(answer, "10.0.0.2")
    assert list_forwards(actions) == [("10.0.0.2", "gauging")]
    assert list_forwards(balancer.handle_packet(packet)) == [("10.0.0.2", "gauging")]


def test_a_search_queries_other_zones_next(balancer: BalancerFlows) -> None:
    packet = make_packet(payload=10)
    balancer.handle_packet(packet)
    absent = FlowAnswer(packet.flow, Verdict.ABSENT)
    assert not balancer.handle_answer(absent, "10.0.0.1")
    assert list_questions(balancer.handle_answer(absent, "10.0.0.2")) == ["10.0.0.3"]


def test_a_search_continues_without_silent_agents(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    balancer.handle_packet(make_packet(payload=10))
    clock.advance(15)
    assert list_questions(balancer.tick()) == ["10.0.0.3"]


def test_uncertain_agents_get_the_held_packets(balancer: BalancerFlows) -> None:
    packet = make_packet(payload=10)
    balancer.handle_packet(packet)
    balancer.handle_packet(make_packet(payload=10, sequence=10))
    uncertain = FlowAnswer(packet.flow, Verdict.UNCERTAIN)
    balancer.handle_answer(uncertain, "10.0.0.1")
    assert not list_forwards(balancer.handle_answer(uncertain, "10.0.0.2"))
    absent = FlowAnswer(packet.flow, Verdict.ABSENT)
    forwards = list_forwards(balancer.handle_answer(absent, "10.0.0.3"))
    assert [ip for ip, _ in forwards] == ["10.0.0.1"] * 2 + ["10.0.0.2"] * 2
    held = FlowAnswer(packet.flow, Verdict.HELD)
    assert not list_forwards(balancer.handle_answer(held, "10.0.0.2"))
    assert list_forwards(balancer.handle_packet(packet)) == [("10.0.0.2", "gauging")]


def test_a_flow_is_found_at_a_service_that_its_route_no_longer_has(
    balancer: BalancerFlows,
) -> None:
    packet = make_packet(address=REPORTING, payload=10)
    assert list_questions(balancer.handle_packet(packet)) == ["10.0.0.4"]
    absent = FlowAnswer(packet.flow, Verdict.ABSENT)
    queried = list_questions(balancer.handle_answer(absent, "10.0.0.4"))
    assert queried == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    held = FlowAnswer(packet.flow, Verdict.HELD)
    actions = balancer.handle_answer(held, "10.0.0.3")
    assert list_forwards(actions) == [("10.0.0.3", "gauging")]


def test_no_packet_is_forwarded_to_another_service_as_a_trial(
    balancer: BalancerFlows,
) -> None:
    packet = make_packet(address=REPORTING, payload=10)
    actions = balancer.handle_packet(packet)
    uncertain = FlowAnswer(packet.flow, Verdict.UNCERTAIN)
    for number in (4, 1, 2, 3):
        actions += balancer.handle_answer(uncertain, f"10.0.0.{number}")
        actions += balancer.handle_returned(packet, f"10.0.0.{number}")
    assert {ip for ip, _ in list_forwards(actions)} == {"10.0.0.4"}


def test_a_returned_packet_starts_a_search_without_that_agent(
    balancer: BalancerFlows,
) -> None:
    opening, packet = make_packet(opening=True), make_packet(payload=10)
    [(agent, _)] = list_forwards(balancer.handle_packet(opening))
    actions = balancer.handle_returned(packet, agent)
    assert agent not in list_questions(actions)
    assert list_questions(actions)


def send_verdicts(
    balancer: BalancerFlows, packet: Packet, verdicts: dict[int, Verdict]
) -> list[Action]:
    actions = balancer.handle_packet(packet)
    for number, verdict in verdicts.items():
        answer = FlowAnswer(packet.flow, verdict)
        actions += balancer.handle_answer(answer, f"10.0.0.{number}")
    return actions


ALL_ABSENT = dict.fromkeys((1, 2, 3, 4), Verdict.ABSENT)


def route_to_former_service(view: DeploymentView) -> None:
    """Route the gauging address to the reporting service, then back."""
    former = make_route("alarms", GAUGING, "reporting")
    view.accept_configuration(make_configuration(2, former))
    view.accept_configuration(make_configuration(3))


def test_a_flow_that_is_absent_at_every_agent_is_reset_at_once(
    balancer: BalancerFlows,
) -> None:
    assert has_reset(send_verdicts(balancer, make_packet(payload=10), ALL_ABSENT))


@pytest.mark.parametrize(
    "verdicts",
    [
        pytest.param({1: Verdict.ABSENT, 2: Verdict.ABSENT}, id="silent agents"),
        pytest.param(
            ALL_ABSENT | {4: Verdict.UNCERTAIN}, id="former service uncertain"
        ),
        pytest.param(ALL_ABSENT | {2: Verdict.UNCERTAIN}, id="own agent uncertain"),
    ],
)
def test_a_flow_that_may_exist_is_never_reset(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    verdicts: dict[int, Verdict],
) -> None:
    route_to_former_service(view)
    packet = make_packet(payload=10)
    actions = []
    for _ in range(20):
        actions += send_verdicts(balancer, packet, verdicts)
        clock.advance(100)
        view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        actions += balancer.tick()
    assert not has_reset(actions)


@pytest.mark.parametrize("verdict", [Verdict.UNCERTAIN, None])
def test_agents_of_unrelated_services_do_not_delay_the_reset_of_dead_flows(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    verdict: Verdict | None,
) -> None:
    route_verdicts = dict.fromkeys((1, 2, 3), Verdict.ABSENT)
    verdicts = route_verdicts | ({4: verdict} if verdict is not None else {})
    actions = send_verdicts(balancer, make_packet(payload=10), verdicts)
    clock.advance(100)
    view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    assert has_reset(actions + balancer.tick())


def test_agents_of_a_former_service_are_queried_among_many_unrelated_ones(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    servers = [make_server(number) for number in (1, 2, 3)]
    unrelated_servers = [
        make_server(number, f"other-{number}") for number in range(20, 250)
    ]
    listing = make_listing(
        11, *servers, make_server(4, "reporting"), *unrelated_servers
    )
    view.accept_listing(listing, clock.now_ms())
    route_to_former_service(view)
    packet = make_packet(payload=10)
    actions = send_verdicts(balancer, packet, dict.fromkeys((1, 2, 3), Verdict.ABSENT))
    assert list_questions(actions)[-1:] == ["10.0.0.4"]
    assert not has_reset(actions)


def test_a_former_service_is_discarded_after_the_lifetime_of_a_flow(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    route_to_former_service(view)
    clock.advance(60_001)
    view.expire()
    view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    verdicts = ALL_ABSENT | {4: Verdict.UNCERTAIN}
    assert has_reset(send_verdicts(balancer, make_packet(payload=10), verdicts))


@pytest.mark.parametrize(
    ("silent_ms", "reset"),
    [
        pytest.param(400, False, id="its agent may be restarting"),
        pytest.param(7_000, False, id="its agent may be restarting slowly"),
        pytest.param(10_400, True, id="missing from the listing and silent"),
    ],
)
def test_an_unlisted_and_silent_server_does_not_delay_the_reset_of_dead_flows(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    silent_ms: int,
    reset: bool,
) -> None:
    remaining = make_listing(11, *(make_server(number) for number in (1, 2)))
    for _ in range(0, silent_ms, 200):
        clock.advance(200)
        view.accept_listing(remaining, clock.now_ms())
        for number in (1, 2, 4):
            balancer.selector.record_message(f"10.0.0.{number}")
        balancer.tick()
    packet = make_packet(payload=10)
    actions = send_verdicts(balancer, packet, dict.fromkeys((1, 2, 4), Verdict.ABSENT))
    for _ in range(5):
        clock.advance(60)
        actions += balancer.tick()
        view.confirm_listing(StorePosition(1, 11), clock.now_ms())
    assert has_reset(actions) is reset


@pytest.mark.parametrize("outage_ms", [2_000, 6_000])
def test_no_flow_is_reset_until_expired_entries_can_be_listed_again(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    outage_ms: int,
) -> None:
    packet = make_packet(payload=10)
    clock.advance(outage_ms)
    assert not has_reset(send_verdicts(balancer, packet, ALL_ABSENT))
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    clock.advance(500)
    view.accept_listing(make_listing(12, make_server(1)), clock.now_ms())
    actions = send_verdicts(balancer, packet, ALL_ABSENT)
    for _ in range(3):
        assert not has_reset(actions)
        clock.advance(400)
        view.accept_listing(make_listing(13, make_server(1)), clock.now_ms())
        actions += balancer.tick()
        view.expire()
    assert not has_reset(actions)
    clock.advance(400)
    view.accept_listing(make_listing(13, make_server(1)), clock.now_ms())
    actions += balancer.tick() + send_verdicts(balancer, packet, ALL_ABSENT)
    assert has_reset(actions)


def test_a_search_queries_silent_agents_again(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    packet = make_packet(payload=10)
    actions = balancer.handle_packet(packet)
    for number in (1, 2, 4):
        absent = FlowAnswer(packet.flow, Verdict.ABSENT)
        actions += balancer.handle_answer(absent, f"10.0.0.{number}")
    for _ in range(6):
        clock.advance(50)
        actions += balancer.tick()
    assert list_questions(actions).count("10.0.0.3") >= 2
    held = FlowAnswer(packet.flow, Verdict.HELD)
    forwards = list_forwards(balancer.handle_answer(held, "10.0.0.3"))
    assert forwards == [("10.0.0.3", "gauging")]


def test_the_last_absent_verdict_resets_a_flow_without_another_packet(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    packet = make_packet(payload=10)
    actions = send_verdicts(balancer, packet, dict.fromkeys((1, 2, 4), Verdict.ABSENT))
    for _ in range(4):
        clock.advance(60)
        view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        actions += balancer.tick()
    assert not has_reset(actions)
    absent = FlowAnswer(packet.flow, Verdict.ABSENT)
    assert has_reset(balancer.handle_answer(absent, "10.0.0.3"))


def test_a_search_for_a_flow_at_a_silent_agent_ends(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    balancer.handle_packet(make_packet(payload=10))
    for _ in range(60):
        clock.advance(50)
        assert not has_reset(balancer.tick())
    assert not balancer.searches


def test_a_hint_is_removed_when_its_agent_does_not_hold_the_flow(
    balancer: BalancerFlows,
) -> None:
    packet = make_packet(payload=10)
    balancer.handle_packet(packet)
    balancer.handle_answer(FlowAnswer(packet.flow, Verdict.HELD), "10.0.0.2")
    balancer.handle_answer(FlowAnswer(packet.flow, Verdict.ABSENT), "10.0.0.2")
    assert list_questions(balancer.handle_packet(packet))


def test_lost_packets_of_a_trial_are_forwarded_once_the_flow_is_found(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    packet = make_packet(payload=10)
    uncertain = FlowAnswer(packet.flow, Verdict.UNCERTAIN)
    balancer.handle_packet(packet)
    for number in (1, 2):
        balancer.handle_answer(uncertain, f"10.0.0.{number}")
    for _ in range(8):
        clock.advance(50)
        balancer.tick()
    held = FlowAnswer(packet.flow, Verdict.HELD)
    forwards = list_forwards(balancer.handle_answer(held, "10.0.0.2"))
    assert forwards == [("10.0.0.2", "gauging")]


def test_packets_received_after_a_trial_are_forwarded_once_the_flow_is_found(
    balancer: BalancerFlows,
) -> None:
    first, second = make_packet(payload=10), make_packet(payload=20)
    uncertain = FlowAnswer(first.flow, Verdict.UNCERTAIN)
    balancer.handle_packet(first)
    for number in (1, 2):
        balancer.handle_answer(uncertain, f"10.0.0.{number}")
    absent = FlowAnswer(first.flow, Verdict.ABSENT)
    balancer.handle_answer(absent, "10.0.0.3")
    balancer.handle_packet(second)
    held = FlowAnswer(first.flow, Verdict.HELD)
    actions = balancer.handle_answer(held, "10.0.0.2")
    assert [
        action.message.raw
        for action in actions
        if isinstance(action, SendMessage)
        and isinstance(action.message, ForwardedPacket)
    ] == [second.raw]


def test_a_search_queries_servers_that_are_listed_while_it_runs(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    packet = make_packet(payload=10)
    view.mark_read_failed()
    servers = [make_server(1), make_server(2)]
    view.accept_listing(make_listing(11, *servers), clock.now_ms())
    actions = send_verdicts(balancer, packet, ALL_ABSENT)
    assert "10.0.0.7" not in list_questions(actions)
    listing_with_new_server = make_listing(12, *servers, make_server(7))
    view.accept_listing(listing_with_new_server, clock.now_ms())
    for _ in range(4):
        clock.advance(60)
        actions += balancer.tick()
    assert "10.0.0.7" in list_questions(actions)


# A balancer that starts after the change of a route learns where it sent flows before.
@pytest.mark.parametrize("has_learned", [True, False])
def test_a_former_service_of_a_route_counts_after_a_restart_of_the_balancer(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    has_learned: bool,
) -> None:
    older = DeploymentView(clock)
    older.accept_configuration(make_configuration())
    route_to_former_service(older)
    if has_learned:
        former_routes = older.route_history.list_former_routes()
        view.route_history.record_learned(former_routes, ROUTE_HISTORY_MS)
    actions = send_verdicts(
        balancer, make_packet(payload=10), dict.fromkeys((1, 2, 3), Verdict.ABSENT)
    )
    for _ in range(20):
        clock.advance(20)
        view.confirm_listing(StorePosition(1, 10), clock.now_ms())
        actions += balancer.tick()
    assert has_reset(actions) is not has_learned
