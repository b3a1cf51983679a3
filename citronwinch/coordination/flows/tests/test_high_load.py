"""New flows under high load: held openings, their order, and spillover.

Guards against balancers that send new flows to saturated backend servers although
another server or service has room, or that serve late openings before urgent ones.
"""

import random
from collections import Counter
from typing import Any

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    ChosenServer,
    DeploymentView,
    ForwardedOpening,
    LoadReport,
    Route,
    SendMessage,
    ServerSelector,
    ServiceShare,
)
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    has_reset,
    list_forwards,
    make_configuration,
    make_packet,
    make_route,
    make_server,
)


def report_load(
    selector: ServerSelector, *numbers: int, waiting: int, busy: float
) -> None:
    for number in numbers:
        report = LoadReport("gauging", 30, waiting, 60, busy, True)
        selector.record_message(f"10.0.0.{number}", report)


@pytest.fixture
def split_balancer(balancer: BalancerFlows, view: DeploymentView) -> BalancerFlows:
    """A balancer whose route sends nearly all new flows to the larger service."""
    shares = (ServiceShare("gauging", 10_000), ServiceShare("reporting", 1))
    route = Route("alarms", GAUGING, shares, 1, 120, 1_000)
    view.accept_configuration(make_configuration(2, route))
    return balancer


@pytest.mark.parametrize(
    ("waiting", "busy", "agent"),
    [
        pytest.param(0, 0.4, "10.0.0.1", id="room: the weights decide"),
        pytest.param(4, 0.6, "10.0.0.4", id="long queues"),
        pytest.param(1, 0.9, "10.0.0.4", id="no idle time"),
    ],
)
def test_new_flows_of_a_saturated_service_spill_over_within_the_route(
    split_balancer: BalancerFlows,
    selector: ServerSelector,
    waiting: int,
    busy: float,
    agent: str,
) -> None:
    report_load(selector, 2, 3, waiting=9, busy=1.0)
    report_load(selector, 1, waiting=waiting, busy=busy)
    actions = split_balancer.handle_packet(make_packet(opening=True))
    assert [ip for ip, _ in list_forwards(actions)] == [agent]


def test_new_flows_never_spill_over_to_a_service_outside_the_route(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    report_load(selector, 1, 2, 3, waiting=3, busy=1.0)
    actions = balancer.handle_packet(make_packet(opening=True))
    assert [service for _, service in list_forwards(actions)] == ["gauging"]


def test_openings_without_room_wait_and_the_highest_priority_goes_first(
    balancer: BalancerFlows, view: DeploymentView, selector: ServerSelector
) -> None:
    urgent = Endpoint("198.18.0.1", 8080)
    routes = (
        make_route("alarms", GAUGING, "gauging")._replace(priority=2),
        make_route("updates", urgent, "gauging")._replace(priority=0),
    )
    view.accept_configuration(make_configuration(2, *routes))
    report_load(selector, 1, 2, 3, waiting=7, busy=1.0)
    openings = [make_packet(port, opening=True) for port in (4000, 4001)]
    openings.append(make_packet(4002, urgent, opening=True))
    assert not [a for packet in openings for a in balancer.handle_packet(packet)]
    report_load(selector, 1, waiting=3, busy=1.0)
    [placed] = [action for action in balancer.tick() if isinstance(action, SendMessage)]
    assert isinstance(placed.message, ForwardedOpening)
    assert placed.message.raw == openings[2].raw


def test_an_opening_that_waits_too_long_is_refused(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    report_load(selector, 1, 2, 3, waiting=7, busy=1.0)
    balancer.handle_packet(make_packet(opening=True))
    clock.advance(300)
    report_load(selector, 1, 2, 3, waiting=7, busy=1.0)
    assert not has_reset(balancer.tick())
    clock.advance(100)
    report_load(selector, 1, 2, 3, waiting=7, busy=1.0)
    assert has_reset(balancer.tick())
    assert not balancer.held_openings.openings


def test_many_held_openings_cost_few_choices_per_tick(
    balancer: BalancerFlows, selector: ServerSelector, monkeypatch: pytest.MonkeyPatch
) -> None:
    report_load(selector, 1, 2, 3, waiting=7, busy=1.0)
    for port in range(4000, 4300):
        balancer.handle_packet(make_packet(port, opening=True))
    assert len(balancer.held_openings.openings) == 300
    choices = []
    choose = selector.choose

    def count_choice(*arguments: Any) -> ChosenServer | None:
        choices.append(arguments)
        return choose(*arguments)

    monkeypatch.setattr(selector, "choose", count_choice)
    report_load(selector, 2, waiting=0, busy=0.5)
    placed = len(list_forwards(balancer.tick()))
    assert placed == 4
    assert len(choices) == placed + 1


def test_many_new_flows_spread_over_all_servers_between_two_reports(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    report_load(selector, 1, 2, 3, waiting=0, busy=0.0)
    counters = Counter(
        ip
        for port in range(4000, 4012)
        for ip, _ in list_forwards(
            balancer.handle_packet(make_packet(port, opening=True))
        )
    )
    assert counters == {f"10.0.0.{number}": 4 for number in (1, 2, 3)}


def test_flows_placed_at_a_remote_server_count_as_waiting_only_briefly(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    report_load(selector, 1, 2, waiting=9, busy=1.0)
    placed = 0
    for port in range(4000, 4040):
        clock.advance(30)
        actions = balancer.handle_packet(make_packet(port, opening=True))
        actions += balancer.tick()
        placed += len(list_forwards(actions))
        assert not has_reset(actions)
        assert len(balancer.held_openings.openings) <= 2
    assert placed >= 38


@pytest.mark.parametrize(
    ("waiting", "placed"),
    [
        pytest.param(0, {4000, 4001}, id="an idle server takes both"),
        pytest.param(
            1, {4001}, id="a short queue takes the opening that can be in time"
        ),
        pytest.param(5, set(), id="a long queue takes neither"),
    ],
)
def test_an_opening_that_is_already_late_delays_no_other_opening(
    balancer: BalancerFlows, selector: ServerSelector, waiting: int, placed: set[int]
) -> None:
    report_load(selector, 1, 2, 3, waiting=waiting, busy=0.9)
    late, fresh = (
        make_packet(4000, opening=True, acknowledged=1),
        make_packet(4001, opening=True),
    )
    placed_ports = set()
    for packet, port in ((late, 4000), (fresh, 4001)):
        if list_forwards(balancer.handle_packet(packet)):
            placed_ports.add(port)
    assert placed_ports == placed


def test_a_flow_leaves_its_zone_when_two_requests_wait_at_each_server(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    """After an outage, a zone's callers return at once while other zones are idle."""
    for number, open_flows, waiting in ((1, 34, 2), (2, 34, 2), (3, 30, 0)):
        report = LoadReport("gauging", open_flows, waiting, 20, 0.3, True)
        selector.record_message(f"10.0.0.{number}", report)
    actions = balancer.handle_packet(make_packet(opening=True))
    assert [ip for ip, _ in list_forwards(actions)] == ["10.0.0.3"]


def test_a_flow_stays_in_its_zone_for_a_small_difference(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    for number, open_flows in ((1, 36), (2, 36), (3, 30)):
        report = LoadReport("gauging", open_flows, 0, 20, 0.3, True)
        selector.record_message(f"10.0.0.{number}", report)
    actions = balancer.handle_packet(make_packet(opening=True))
    assert list_forwards(actions)[0][0] in ("10.0.0.1", "10.0.0.2")


def test_held_openings_that_can_still_be_in_time_go_first(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    report_load(selector, 1, 2, 3, waiting=7, busy=1.0)
    retransmitted = make_packet(4000, opening=True, acknowledged=1)
    older, fresh = (make_packet(port, opening=True) for port in (4001, 4002))
    for packet in (retransmitted, older):
        balancer.handle_packet(packet)
    clock.advance(100)
    balancer.handle_packet(fresh)
    order = [held.packet for held in balancer.held_openings.list_by_priority()]
    assert order == [fresh, retransmitted, older]


@pytest.mark.parametrize("seed", range(20))
def test_a_choice_among_many_servers_is_as_good_as_a_comparison_of_all(
    clock: ManualClock, seed: int
) -> None:
    rng = random.Random(seed)
    servers = [make_server(n, zone="abcde"[n % 5]) for n in range(1, 110)]
    selector = ServerSelector("a", clock, rng)
    for server in servers:
        busy = server.availability_zone == "a" and seed % 2
        flows, waiting = rng.randint(0, 60 if busy else 20), rng.randint(0, 4)
        report = LoadReport("gauging", flows, waiting, 20, 0.3, True)
        selector.record_message(server.address.ip, report)
    chosen = selector.choose(servers, (), 426)
    assert chosen is not None
    assert chosen.score == selector._choose_least_loaded(servers, 426).score
