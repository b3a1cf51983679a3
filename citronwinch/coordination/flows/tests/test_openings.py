"""The server that a balancer chooses for an opening, and openings that it refuses.

Guards against openings that are placed at a busy or remote server without need, placed
again at an agent that did not confirm them, placed at a second server although they are
confirmed, held although no server is ready, or refused because of an outdated view, and
against openings without the class of their route, which agents need to order requests.
"""

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    ForwardedOpening,
    LoadReport,
    RouteClass,
    SendMessage,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    REPORTING,
    has_reset,
    list_forwards,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)


def test_openings_go_to_the_least_loaded_server_of_the_own_zone(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    selector.record_message("10.0.0.1", LoadReport("gauging", 9, 0, 20, 0.5, True))
    selector.record_message("10.0.0.2", LoadReport("gauging", 3, 0, 20, 0.5, True))
    selector.record_message("10.0.0.3", LoadReport("gauging", 3, 0, 20, 0.5, True))
    actions = balancer.handle_packet(make_packet(opening=True))
    assert list_forwards(actions) == [("10.0.0.2", "gauging")]


def test_openings_go_to_another_zone_if_the_own_one_is_much_busier(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    for number in (1, 2):
        selector.record_message(
            f"10.0.0.{number}", LoadReport("gauging", 30, 2, 20, 0.5, True)
        )
    actions = balancer.handle_packet(make_packet(opening=True))
    assert list_forwards(actions) == [("10.0.0.3", "gauging")]


def test_a_retransmitted_opening_goes_elsewhere_if_it_was_not_confirmed(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    first = list_forwards(balancer.handle_packet(make_packet(opening=True)))
    clock.advance(200)
    second = list_forwards(balancer.handle_packet(make_packet(opening=True)))
    assert first[0][0] != second[0][0]


def test_a_retransmission_of_a_confirmed_opening_goes_to_the_same_server(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    packet = make_packet(opening=True)
    [(agent, _)] = list_forwards(balancer.handle_packet(packet))
    balancer.handle_answer(FlowAnswer(packet.flow, Verdict.OPENING), agent)
    clock.advance(200)
    assert list_forwards(balancer.handle_packet(packet)) == [(agent, "gauging")]


def test_an_opening_is_refused_at_once_if_no_server_is_ready(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    leaving = make_server(1, leaving=True)
    view.accept_listing(make_listing(11, leaving), clock.now_ms())
    assert has_reset(balancer.handle_packet(make_packet(opening=True)))


@pytest.mark.parametrize(
    ("age_ms", "refused"),
    [
        pytest.param(300, True, id="current view"),
        pytest.param(9_000, False, id="old view may lack the route"),
    ],
)
def test_an_unknown_address_is_refused_only_with_a_current_view(
    balancer: BalancerFlows, clock: ManualClock, age_ms: int, refused: bool
) -> None:
    clock.advance(age_ms)
    packet = make_packet(opening=True, address=Endpoint("198.18.0.9", 80))
    assert has_reset(balancer.handle_packet(packet)) is refused


def list_openings(actions: list[Action]) -> list[ForwardedOpening]:
    messages = [action.message for action in actions if isinstance(action, SendMessage)]
    return [message for message in messages if isinstance(message, ForwardedOpening)]


def test_an_opening_and_its_copies_carry_the_class_of_their_route(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    packet = make_packet(opening=True)
    expected = ForwardedOpening("gauging", RouteClass(1, 120, 1_000), False, packet.raw)
    for _ in range(2):
        assert list_openings(balancer.handle_packet(packet)) == [expected]
    # The route is removed before the next copy, which follows the first one.
    view.accept_configuration(make_configuration(2, make_route("x", REPORTING, "x")))
    actions = balancer.handle_packet(packet)
    assert len(list_forwards(actions)) == 1 and not list_openings(actions)


@pytest.mark.parametrize(
    ("servers", "last_choices"),
    [
        pytest.param(1, [True], id="one server"),
        pytest.param(2, [False, True], id="no third server is left"),
        pytest.param(4, [False, False, True, True], id="the third attempt"),
    ],
)
def test_returned_openings_are_the_last_choice_of_a_later_server(
    balancer: BalancerFlows,
    view: DeploymentView,
    selector: ServerSelector,
    clock: ManualClock,
    servers: int,
    last_choices: list[bool],
) -> None:
    listed = [make_server(number) for number in range(11, 11 + servers)]
    view.accept_listing(make_listing(11, *listed), clock.now_ms())
    clock.advance(5_000)
    for server in listed:
        selector.record_message(server.address.ip)
    packet = make_packet(opening=True)
    found = []
    actions = balancer.handle_packet(packet)
    while openings := list_openings(actions):
        [(agent, _)] = list_forwards(actions)
        found += [opening.is_last_choice for opening in openings]
        actions = balancer.handle_returned(packet, agent)
    assert found == last_choices


def test_an_opening_that_waits_between_its_attempts_keeps_their_number(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    # An opening that waited may be placed at the same server again.
    def report(waiting: int) -> None:
        busy_share = 1.0 if waiting else 0.0
        for number in (1, 2, 3):
            load = LoadReport("gauging", 0, waiting, 20, busy_share, True)
            selector.record_message(f"10.0.0.{number}", load)

    packet = make_packet(opening=True)
    report(waiting=0)
    actions = balancer.handle_packet(packet)
    found = []
    for _ in range(3):
        [opening] = list_openings(actions)
        [(agent, _)] = list_forwards(actions)
        found.append(opening.is_last_choice)
        report(waiting=9)
        assert not list_openings(balancer.handle_returned(packet, agent))
        report(waiting=0)
        actions = balancer.tick()
    assert found == [False, False, True]
