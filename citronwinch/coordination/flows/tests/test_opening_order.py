"""The order of held openings, without servers.

Guards against an order that lets a late opening, a lower priority or a caller above its
share go first, that serves the oldest first while most are late by then, and against
openings that are counted as ahead of others although they want other services.
"""

import pytest
from hypothesis import given, strategies as st

from citronwinch.coordination import (
    Endpoint,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import Route, ServiceShare
from citronwinch.coordination.flows._held_opening import (
    HeldOpening,
    compute_hold_limit_ms,
    make_held_opening,
)
from citronwinch.coordination.flows._held_openings import HeldOpenings
from citronwinch.coordination.flows._opening_order import group_services
from citronwinch.coordination.flows._opening_times import ATTEMPT_MS, OpeningTimes
from citronwinch.coordination.flows.tests.conftest import make_packet

OBJECTIVE_MS = 400
SERVICE = Endpoint("198.18.0.1", 8443)


def make_held(
    clock: ManualClock,
    port: int = 4_000,
    *,
    priority: int = 1,
    age_ms: int = 0,
    attempt_age_ms: int | None = None,
    caller: str = "100.64.0.7",
    services: str = "a",
) -> HeldOpening:
    """Return an opening that was received now; each letter is one service."""
    shares = tuple(ServiceShare(service, 1) for service in services)
    route = Route(
        f"{services}{priority}", SERVICE, shares, priority, OBJECTIVE_MS, 4_000
    )
    flow = pack_flow_key(
        TransportProtocol.TCP,
        pack_ip(caller),
        port,
        pack_ip(SERVICE.ip),
        SERVICE.port,
    )
    packet = make_packet(opening=True)._replace(flow=flow)
    now_ms = clock.now_ms()
    if attempt_age_ms is None:
        attempt_age_ms = age_ms
    times = OpeningTimes(now_ms - age_ms, now_ms - attempt_age_ms)
    return make_held_opening(packet, route, times, now_ms)


@pytest.fixture
def held_openings(clock: ManualClock) -> HeldOpenings:
    return HeldOpenings(clock)


def list_ports(openings: list[HeldOpening]) -> list[int]:
    return [int.from_bytes(held.packet.flow[5:7], "big") for held in openings]


def test_priority_lateness_and_age_decide(
    held_openings: HeldOpenings, clock: ManualClock
) -> None:
    openings = [
        make_held(clock, 6, priority=2),
        make_held(clock, 5, age_ms=300),
        make_held(clock, 3),
        make_held(clock, 2, age_ms=100),
        make_held(clock, 4, age_ms=300, attempt_age_ms=0),
        make_held(clock, 1, priority=0, age_ms=300),
    ]
    for held in openings:
        assert held_openings.hold_opening(held)
    assert list_ports(held_openings.list_by_priority()) == [1, 2, 3, 4, 5, 6]


@pytest.mark.parametrize(
    ("placed", "ports"),
    [
        pytest.param(9, [1, 2, 3, 4, 5], id="all can be placed in time"),
        pytest.param(0, [5, 4, 3, 2, 1], id="hardly any can be placed in time"),
    ],
)
def test_the_newest_go_first_while_more_wait_than_are_placed_in_time(
    held_openings: HeldOpenings, clock: ManualClock, placed: int, ports: list[int]
) -> None:
    held_openings.rates.record_waiting({"a"})
    for port in range(1, 6):
        clock.advance(20)
        held_openings.hold_opening(make_held(clock, port))
        held_openings.update_rates()
    for _ in range(placed):
        held_openings.rates.record_placed("a")
    clock.advance(20)
    assert list_ports(held_openings.list_by_priority()) == ports


def test_a_caller_above_its_share_comes_after_the_others_of_its_lateness(
    held_openings: HeldOpenings, clock: ManualClock
) -> None:
    greedy = "100.64.0.1"
    held_openings.shares.charge(pack_ip(greedy), 2_000)
    for held in (
        make_held(clock, 3, caller=greedy, age_ms=50),
        make_held(clock, 1),
        make_held(clock, 2, age_ms=300, attempt_age_ms=0),
        make_held(clock, 4, age_ms=300),
    ):
        held_openings.hold_opening(held)
    assert list_ports(held_openings.list_by_priority()) == [1, 2, 3, 4]


@given(routes=st.lists(st.sets(st.sampled_from("abcdef"), min_size=1), max_size=8))
def test_openings_that_share_a_service_are_in_one_pool(routes: list[set[str]]) -> None:
    clock = ManualClock(10_000)
    openings = [
        make_held(clock, port, services="".join(sorted(services)))
        for port, services in enumerate(routes, start=1)
    ]
    pools = group_services(openings)
    assert set(pools) == set().union(*routes)
    for held in openings:
        assert held.services <= held.pool_in(pools)
    distinct = list(set(pools.values()))
    assert sum(len(pool) for pool in distinct) == len(pools)


@given(
    copy_age_ms=st.sampled_from([0, 200, 600]),
    earlier_ms=st.integers(0, 3_000),
    timeout_ms=st.integers(200, 10_000),
)
def test_no_opening_is_held_beyond_its_attempt_or_half_of_its_timeout(
    copy_age_ms: int, earlier_ms: int, timeout_ms: int
) -> None:
    clock = ManualClock(10_000)
    times = OpeningTimes(10_000 - copy_age_ms - earlier_ms, 10_000 - copy_age_ms)
    route = make_held(clock).route._replace(timeout_ms=timeout_ms)
    held = make_held_opening(make_packet(opening=True), route, times, 10_000)
    limit_ms = compute_hold_limit_ms(timeout_ms)
    assert held.deadline_ms - times.attempt_ms == limit_ms
    assert limit_ms < min(ATTEMPT_MS, timeout_ms / 2)
    assert held.caller_gives_up_ms - times.attempt_ms <= ATTEMPT_MS
