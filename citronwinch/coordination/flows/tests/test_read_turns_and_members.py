"""Turns at reading the store, live members and isolated balancers.

Guards against a listing that gets too old after the balancer that reads the store is
lost or its reads are refused, against members that are not learned, not removed when
they are silent, or replaced by a delayed heartbeat, and against balancers that take
themselves for isolated too early or never.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerMembers,
    DeploymentView,
    Heartbeat,
    ServerSelector,
    StorePosition,
    compute_read_age_ms,
    compute_read_turn,
)
from citronwinch.coordination.flows._view import OUTAGE_GRACE_MS
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_server,
)

MEMBERS = [f"10.0.0.{number}" for number in range(1, 16)]


def make_heartbeat(
    incarnation: int = 1, *balancers: str, leaving: bool = False
) -> Heartbeat:
    position = StorePosition(1, 1)
    return Heartbeat(incarnation, "a", leaving, position, 1, 0, 1, balancers)


def test_all_balancers_have_different_turns() -> None:
    assert sorted(compute_read_turn(ip, MEMBERS) for ip in MEMBERS) == list(range(15))


def test_the_next_balancer_in_turn_replaces_a_lost_reader() -> None:
    by_turn = sorted(MEMBERS, key=lambda ip: compute_read_turn(ip, MEMBERS))
    remaining = [ip for ip in MEMBERS if ip != by_turn[0]]
    assert compute_read_turn(by_turn[1], remaining) == 0


@pytest.mark.parametrize("refused", [1, 2, 4])
def test_refused_reads_keep_the_listing_younger_than_the_drain_time(
    refused: int,
) -> None:
    assert compute_read_age_ms(refused) < 3_000 - 500


def test_the_listing_is_read_often_while_servers_register_again(
    clock: ManualClock,
) -> None:
    # With one read in 700 ms, callers wait for servers that have been back for most of
    # a second.
    view = DeploymentView(clock)
    view.mark_read_failed()
    view.accept_listing(make_listing(10), clock.now_ms())
    reads = 0
    for _ in range(0, 2 * OUTAGE_GRACE_MS, 20):
        clock.advance(20)
        age_ms, expects_servers = view.age_ms, view.expects_servers()
        assert age_ms is not None
        if age_ms >= compute_read_age_ms(0, expects_servers=expects_servers):
            view.confirm_listing(view.listing.position, clock.now_ms())
            reads += expects_servers
    assert 5 <= reads <= 10


@pytest.mark.parametrize(
    ("services", "expects_servers"),
    [
        pytest.param(("gauging", "reporting"), False, id="all services have servers"),
        pytest.param(("gauging",), True, id="a service has none"),
    ],
)
def test_a_start_alone_is_no_reason_to_read_often(
    clock: ManualClock, services: tuple[str, ...], expects_servers: bool
) -> None:
    # After a loss of power all balancers start at the same time, with little processor
    # time to spare for reads that find nothing new.
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    servers = [make_server(number, name) for number, name in enumerate(services, 1)]
    view.accept_listing(make_listing(10, *servers), clock.now_ms())
    assert view.expects_servers() is expects_servers
    clock.advance(OUTAGE_GRACE_MS)
    assert not view.expects_servers()


def test_members_are_learned_from_heartbeats_and_removed_when_silent(
    clock: ManualClock,
) -> None:
    members = BalancerMembers("10.0.0.1", ["10.0.0.2", "10.0.0.1"], clock)
    assert members.list_heartbeat_targets() == {"10.0.0.2"}
    assert members.handle_heartbeat(
        "10.0.0.2", make_heartbeat(1, "10.0.0.1", "10.0.0.3")
    )
    assert members.list_heartbeat_targets() == {"10.0.0.2", "10.0.0.3"}
    assert not members.handle_heartbeat("10.0.0.2", make_heartbeat(1))
    clock.advance(3_501)
    assert members.expire() == ["10.0.0.2"]
    clock.advance(10_000)
    members.expire()
    assert members.list_heartbeat_targets() == {"10.0.0.2"}


def test_a_heartbeat_of_an_earlier_incarnation_is_ignored(
    clock: ManualClock,
) -> None:
    members = BalancerMembers("10.0.0.1", [], clock)
    members.handle_heartbeat("10.0.0.2", make_heartbeat(5))
    assert not members.handle_heartbeat("10.0.0.2", make_heartbeat(4, leaving=True))
    assert members.list_live() == ["10.0.0.2"]
    assert members.handle_heartbeat("10.0.0.2", make_heartbeat(6, leaving=True))
    assert members.list_live() == []


def test_a_balancer_is_isolated_while_all_agents_are_silent(
    clock: ManualClock, selector: ServerSelector
) -> None:
    assert not selector.is_isolated()
    clock.advance(1_000)
    selector.record_message("10.0.0.3")
    clock.advance(1_000)
    assert not selector.is_isolated()
    clock.advance(200)
    assert selector.is_isolated()
    selector.record_message("10.0.0.1")
    assert not selector.is_isolated()


def test_a_balancer_that_knows_no_agent_is_not_isolated(
    clock: ManualClock,
) -> None:
    assert not ServerSelector("a", clock, random.Random(1)).is_isolated()
