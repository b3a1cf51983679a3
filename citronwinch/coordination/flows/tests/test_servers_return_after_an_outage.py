"""Openings that arrive before the backend servers are listed again.

While the store is down, entries of live servers lapse; they register again within two
seconds of its return. A balancer that starts in this time has a configuration and an
empty listing. Guards against balancers that refuse all openings then, so that callers
spend their attempts within milliseconds although servers are about to return, and
against openings that are held without hope: when the listing is settled, when their
callers have given up, or when an evacuation excludes the servers.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    Record,
    ServerSelector,
)
from citronwinch.coordination.flows._view import OUTAGE_GRACE_MS
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    make_configuration,
    make_entry,
    make_listing,
    make_packet,
    make_server,
)

TICK_MS = 20


@pytest.fixture
def started_view(clock: ManualClock) -> DeploymentView:
    """The view of a process that has started after the listing became empty."""
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10), clock.now_ms())
    return view


@pytest.fixture
def started_balancer(started_view: DeploymentView, clock: ManualClock) -> BalancerFlows:
    selector = ServerSelector("a", clock, random.Random(7))
    return BalancerFlows(started_view, selector, clock)


def run_ticks(
    balancer: BalancerFlows, clock: ManualClock, duration_ms: int
) -> list[Action]:
    """Confirm the listing and tick, until a tick has a result or the time is over."""
    for _ in range(0, duration_ms, TICK_MS):
        clock.advance(TICK_MS)
        view = balancer.view
        view.confirm_listing(view.listing.position, clock.now_ms())
        if actions := balancer.tick():
            return actions
    return []


def find_refusal(actions: list[Action]) -> Record:
    [refusal] = [a for a in actions if isinstance(a, Record)]
    return refusal


def test_an_opening_is_placed_when_its_server_registers_again(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    assert started_balancer.handle_packet(make_packet(opening=True)) == []
    assert run_ticks(started_balancer, clock, 500) == []
    view = started_balancer.view
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    started_balancer.selector.record_message("10.0.0.1")
    assert list_forwards(started_balancer.tick()) == [("10.0.0.1", "gauging")]
    assert not started_balancer.held_openings.openings


def test_copies_of_a_waiting_opening_wait_with_it(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    started_balancer.handle_packet(make_packet(opening=True))
    assert run_ticks(started_balancer, clock, 200) == []
    assert (
        started_balancer.handle_packet(make_packet(opening=True, acknowledged=1)) == []
    )
    assert len(started_balancer.held_openings.openings) == 1
    assert started_balancer.counters["openings_awaiting_listing"] == 1


def test_a_crowd_that_waited_is_placed_as_servers_return(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    # No opening was placed for a second, which must not be taken for a standstill.
    for port in range(4_000, 4_040):
        started_balancer.handle_packet(make_packet(port, opening=True))
    assert run_ticks(started_balancer, clock, 600) == []
    servers = [make_server(number)._replace(slots=2) for number in range(1, 8)]
    view = started_balancer.view
    view.accept_listing(make_listing(11, *servers), clock.now_ms())
    for server in servers:
        started_balancer.selector.record_message(server.address.ip)
    actions = started_balancer.tick()
    assert len(list_forwards(actions)) >= 2 * len(servers)
    assert not has_reset(actions)


def test_an_opening_is_refused_when_its_caller_gives_up(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    started_balancer.handle_packet(make_packet(opening=True))
    actions = run_ticks(started_balancer, clock, 5_000)
    assert has_reset(actions)
    assert dict(find_refusal(actions).fields)["reason"] == "no server left"
    # The timeout of the route is 1,000 ms, of which 100 ms are for the network.
    assert clock.now_ms() == 100_000 + 900


def test_an_opening_is_refused_at_once_when_the_listing_has_settled(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    run_ticks(started_balancer, clock, OUTAGE_GRACE_MS)
    assert has_reset(started_balancer.handle_packet(make_packet(opening=True)))


def test_waiting_openings_are_refused_when_the_listing_settles(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    run_ticks(started_balancer, clock, OUTAGE_GRACE_MS - 300)
    started_balancer.handle_packet(make_packet(opening=True))
    assert has_reset(run_ticks(started_balancer, clock, 300))


def test_an_opening_waits_while_the_store_is_away(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    # The listing was read while all servers of the service were missing, long after
    # the start of the process; the store has not answered since.
    view.accept_listing(make_listing(11, make_server(4, "reporting")), clock.now_ms())
    clock.advance(OUTAGE_GRACE_MS + 100)
    assert balancer.handle_packet(make_packet(opening=True)) == []


def test_an_opening_of_evacuated_zones_does_not_wait(
    started_balancer: BalancerFlows, clock: ManualClock
) -> None:
    view = started_balancer.view
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    view.evacuations.merge([make_entry("a")])
    actions = started_balancer.handle_packet(make_packet(opening=True))
    assert has_reset(actions)
    assert dict(find_refusal(actions).fields)["reason"] == "zones evacuated"
