"""How long a balancer holds one opening, and when it refuses it early.

Guards against openings that are held longer than their callers wait or refused earlier,
placed after their callers have given up, refused by an estimate that nothing has shown
or that takes a standstill, another priority's queue or uncounted placements for the
rate, or refused early although a server may have accepted them or has room.
"""

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    LoadReport,
    Packet,
    Route,
    ServerSelector,
    ServiceShare,
)
from citronwinch.coordination.flows._held_opening import (
    NETWORK_PATH_MS,
    compute_hold_limit_ms,
)
from citronwinch.coordination.flows._held_openings import HELD_OPENINGS_LIMIT
from citronwinch.coordination.flows._opening_times import ATTEMPT_MS
from citronwinch.coordination.flows._placement_rates import (
    PAUSE_MS,
    RATE_WINDOW_MS,
    PlacementRates,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    make_configuration,
    make_packet,
)


def fill(selector: ServerSelector, waiting: int = 9) -> None:
    for number in (1, 2, 3):
        load = LoadReport("gauging", 30, waiting, 60, 1.0 if waiting else 0.0, True)
        selector.record_message(f"10.0.0.{number}", load)


def find_refused_ms(
    balancer: BalancerFlows,
    selector: ServerSelector,
    clock: ManualClock,
    packet: Packet,
) -> int:
    """Return how long an opening without room is held."""
    fill(selector)
    assert not balancer.handle_packet(packet)
    started_ms = clock.now_ms()
    while True:
        fill(selector)
        if has_reset(balancer.tick()):
            return clock.now_ms() - started_ms
        clock.advance(10)


@pytest.mark.parametrize(
    ("timeout_ms", "copy", "held_ms"),
    [
        pytest.param(4_272, 0, 1_300, id="until the attempt ends"),
        pytest.param(4_272, 1, 1_100, id="a first copy is 200 ms old"),
        pytest.param(4_272, 2, 700, id="a second copy is 600 ms old"),
        pytest.param(800, 0, 300, id="for half of the timeout"),
        pytest.param(800, 2, 0, id="half of the timeout is over"),
    ],
)
def test_an_opening_is_held_as_long_as_it_is_of_use(
    balancer: BalancerFlows,
    selector: ServerSelector,
    clock: ManualClock,
    timeout_ms: int,
    copy: int,
    held_ms: int,
) -> None:
    configuration = balancer.view.configuration
    assert configuration is not None
    routes = {
        key: route._replace(timeout_ms=timeout_ms)
        for key, route in configuration.routes.items()
    }
    changed = configuration._replace(version=2, routes=routes)
    balancer.view.accept_configuration(changed)
    packet = make_packet(opening=True, acknowledged=copy)
    assert find_refused_ms(balancer, selector, clock, packet) == held_ms


def test_a_frozen_balancer_refuses_what_is_past_its_time(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    fill(selector)
    balancer.handle_packet(make_packet(opening=True))
    clock.advance(ATTEMPT_MS)
    fill(selector, waiting=0)
    actions = balancer.tick()
    assert has_reset(actions) and not list_forwards(actions)


def test_an_opening_whose_time_is_just_over_is_placed_if_there_is_room(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    fill(selector)
    balancer.handle_packet(make_packet(opening=True))
    clock.advance(compute_hold_limit_ms(1_000) + NETWORK_PATH_MS // 2)
    # One request waits at each server, which is room for those that are not late.
    fill(selector, waiting=1)
    actions = balancer.tick()
    assert list_forwards(actions) and not has_reset(actions)


def test_an_opening_that_a_server_may_have_accepted_is_not_refused_by_an_estimate(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    fill(selector, waiting=0)
    unconfirmed = make_packet(opening=True)
    assert list_forwards(balancer.handle_packet(unconfirmed))
    clock.advance(130)
    fill(selector)
    for port in range(5_000, 5_400):
        assert not balancer.handle_packet(make_packet(port, opening=True))
    assert not balancer.handle_packet(unconfirmed)
    clock.advance(180)
    fill(selector)
    assert has_reset(balancer.tick())
    assert unconfirmed.flow in balancer.held_openings.openings


def test_a_restarted_balancer_refuses_nothing_before_it_has_seen_placements(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    fill(selector)
    for port in range(1_024, 1_024 + HELD_OPENINGS_LIMIT):
        assert not balancer.handle_packet(make_packet(port, opening=True))
    fill(selector)
    assert not balancer.tick()
    assert has_reset(balancer.handle_packet(make_packet(60_000, opening=True)))


class RunningClock(ManualClock):
    """A clock that goes on by 1 ms with each reading."""

    def now_ms(self) -> int:
        self.advance(1)
        return super().now_ms()


# A placement was in the window at one reading of the clock and not at the next one; a
# tick of all flows was lost by the exception.
def test_a_rate_is_estimated_while_the_only_placement_leaves_the_window() -> None:
    for age_ms in range(RATE_WINDOW_MS - 10, RATE_WINDOW_MS + 10):
        clock = RunningClock(5_000)
        rates = PlacementRates(clock)
        rates.update_waiting({"gauging"})
        rates.record_placed("gauging")
        clock.advance(age_ms)
        assert rates.estimate_most_per_s({"gauging"}, 50.0) > 0


def test_a_pause_of_the_balancer_is_no_standstill_of_the_servers(
    clock: ManualClock,
) -> None:
    rates = PlacementRates(clock)
    for _ in range(RATE_WINDOW_MS // 10):
        rates.update_waiting({"gauging"})
        rates.record_placed("gauging")
        clock.advance(10)
    before_per_s = rates.estimate_per_s({"gauging"})
    clock.advance(PAUSE_MS + 500)
    rates.update_waiting({"gauging"})
    assert rates.estimate_per_s({"gauging"}) >= before_per_s


def test_openings_wait_while_servers_work_off_what_other_balancers_placed(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    """A standstill after a crowd at several balancers says little about the rate."""
    fill(selector, waiting=16)
    for port in range(5_000, 5_020):
        assert not balancer.handle_packet(make_packet(port, opening=True))
    placed = 0
    for waited_ms in range(0, 420, 20):
        # A server answers a request in 17.5 ms.
        fill(selector, waiting=max(0, 16 - waited_ms // 17))
        actions = balancer.tick()
        assert not has_reset(actions), waited_ms
        placed += len(list_forwards(actions))
        clock.advance(20)
    assert placed == 20


def test_an_opening_that_its_second_agent_returned_is_not_refused_by_an_estimate(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    """The first agent, which did not answer, may have accepted the original."""
    fill(selector, waiting=0)
    [first] = list_forwards(balancer.handle_packet(make_packet(opening=True)))
    clock.advance(130)
    copy = make_packet(opening=True, acknowledged=1)
    [second] = list_forwards(balancer.handle_packet(copy))
    assert second != first
    fill(selector)
    assert not balancer.handle_returned(copy, second[0])
    clock.advance(10)
    for port in range(5_000, 5_400):
        assert not balancer.handle_packet(make_packet(port, opening=True))
    clock.advance(90)
    fill(selector)
    assert has_reset(balancer.tick())
    assert copy.flow in balancer.held_openings.openings


def test_an_opening_past_its_time_does_not_queue_while_a_server_has_room(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    """The last copy is the first one to arrive, and a late opening is held."""
    fill(selector)
    assert not balancer.handle_packet(make_packet(opening=True, acknowledged=1))
    # One request waits at each server: no server is idle, and none is full.
    fill(selector, waiting=1)
    last_copy = make_packet(5_000, opening=True, acknowledged=2)
    assert list_forwards(balancer.handle_packet(last_copy))


def test_a_lower_priority_does_not_wait_for_all_openings_of_another_lower_one(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    """Lower priorities take turns; the third one was refused for the second's queue."""
    addresses = [Endpoint(f"198.18.0.{n}", 8443) for n in (11, 12, 13)]
    share = (ServiceShare("gauging", 1),)
    routes = [
        Route(f"p{priority}", address, share, priority, 120, 1_000)
        for priority, address in enumerate(addresses)
    ]
    balancer.view.accept_configuration(make_configuration(2, *routes))
    fill(selector)
    for port, address in enumerate(
        [addresses[0], *[addresses[1]] * 120, addresses[2]], start=5_000
    ):
        assert not balancer.handle_packet(make_packet(port, address, opening=True))
    for _ in range(5):
        clock.advance(20)
        # 100 placements per second.
        for _ in range(2):
            balancer.held_openings.rates.record_placed("gauging")
    fill(selector)
    assert has_reset(balancer.tick())
    assert make_packet(5_121, addresses[2]).flow in balancer.held_openings.openings


def test_returned_openings_that_are_placed_from_the_queue_count_in_its_rate(
    balancer: BalancerFlows, selector: ServerSelector
) -> None:
    """Openings that were ahead of others were missing in the estimate for these."""
    fill(selector, waiting=0)
    packet = make_packet(opening=True)
    [(agent, _)] = list_forwards(balancer.handle_packet(packet))
    fill(selector)
    assert not balancer.handle_returned(packet, agent)
    for port in range(5_000, 5_030):
        assert not balancer.handle_packet(make_packet(port, opening=True))
    fill(selector, waiting=0)
    placed = len(list_forwards(balancer.tick()))
    assert packet.flow not in balancer.held_openings.openings
    assert balancer.held_openings.rates.count_placed({"gauging"})[0] == placed
