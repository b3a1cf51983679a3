"""Control messages in fleets of different sizes.

Guards against control traffic that grows with the fleet. When each balancer sent
heartbeats to each agent and balancer at a fixed interval, and each agent reported every
change to each balancer of its zone, an idle balancer among 59 before 136 agents handled
200 messages a second, and an agent 60. On instances with half of a core, that delays
the packets of callers.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    AGENT_HEARTBEAT_MS,
    AGENT_HEARTBEATS_PER_S,
    BALANCER_HEARTBEAT_MS,
    BALANCER_HEARTBEATS_PER_S,
    READ_RETRY_MS,
    REMOTE_AGENT_HEARTBEAT_MS,
    REMOTE_AGENT_HEARTBEATS_PER_S,
    REPORTS_PER_S,
    BalancerMembers,
    Heartbeat,
    LoadReport,
    LoadReporting,
    MessagePace,
    ServerSelector,
    StorePosition,
    compute_interval_ms,
    compute_read_retry_ms,
)

TICK_MS = 100
SECONDS = 60
PACES = {
    "balancers": (BALANCER_HEARTBEAT_MS, BALANCER_HEARTBEATS_PER_S),
    "agents of the zone": (AGENT_HEARTBEAT_MS, AGENT_HEARTBEATS_PER_S),
    "agents of other zones": (REMOTE_AGENT_HEARTBEAT_MS, REMOTE_AGENT_HEARTBEATS_PER_S),
}


def make_addresses(count: int) -> list[str]:
    return [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}" for n in range(count)]


@pytest.mark.parametrize("receivers", [2, 12, 59, 300, 1_700])
@pytest.mark.parametrize("kind", PACES)
def test_heartbeats_of_a_process_do_not_grow_with_the_fleet(
    clock: ManualClock, kind: str, receivers: int
) -> None:
    shortest_ms, per_s = PACES[kind]
    interval_ms = compute_interval_ms(shortest_ms, receivers, per_s)
    addresses, pace = make_addresses(receivers), MessagePace(clock)
    pace.list_due(addresses, interval_ms)
    sent: list[str] = []
    counts = []
    for _ in range(SECONDS * 1_000 // TICK_MS):
        clock.advance(TICK_MS)
        due = pace.list_due(addresses, interval_ms)
        counts.append(len(due))
        sent += due
    assert len(sent) <= per_s * SECONDS * 1.1
    if receivers > per_s:
        assert max(counts) <= per_s
    fewest_rounds = SECONDS * 1_000 // interval_ms - 1
    assert all(sent.count(ip) >= fewest_rounds for ip in addresses[:20])


def test_a_new_receiver_is_due_at_once(clock: ManualClock) -> None:
    pace = MessagePace(clock)
    pace.list_due(["10.0.0.1"], 60_000)
    assert pace.list_due(["10.0.0.1", "10.0.0.2"], 60_000) == ["10.0.0.2"]
    pace.retain(["10.0.0.1"])
    assert pace.list_due(["10.0.0.1", "10.0.0.2"], 60_000) == ["10.0.0.2"]


@pytest.mark.parametrize("agents", [3, 27, 200])
def test_slow_heartbeats_do_not_make_a_balancer_seem_isolated(
    clock: ManualClock, agents: int
) -> None:
    selector = ServerSelector("a", clock, random.Random(1))
    pace, addresses = MessagePace(clock), make_addresses(agents)
    interval_ms = compute_interval_ms(
        AGENT_HEARTBEAT_MS, agents, AGENT_HEARTBEATS_PER_S
    )
    selector.set_heartbeat_intervals(interval_ms, 2_000)
    for _ in range(SECONDS * 1_000 // TICK_MS):
        for ip in pace.list_due(addresses, interval_ms):
            selector.record_message(ip)
        clock.advance(TICK_MS)
        assert not selector.is_isolated()


REPORT = LoadReport("gauging", 40, 0, 20, 0.4, True, 0.0, 0, service_ms=20)


def make_changing_report(rng: random.Random) -> LoadReport:
    """Return the report of a server that works at 40% of its capacity."""
    waiting = rng.choice((0, 0, 0, 1, 1, 2))
    busy_share = rng.choice((0.35, 0.4, 0.45))
    return REPORT._replace(
        open_flows=rng.randint(38, 42), waiting=waiting, busy_share=busy_share
    )


@pytest.mark.parametrize("receivers", [2, 5, 12, 106])
def test_reports_of_an_agent_do_not_grow_with_the_balancers(
    clock: ManualClock, receivers: int
) -> None:
    reporting, rng = LoadReporting(clock), random.Random(4)
    reports = 0
    for _ in range(SECONDS * 25):
        reports += reporting.is_due(make_changing_report(rng), receivers)
        clock.advance(40)
    assert reports * receivers <= REPORTS_PER_S * SECONDS * 1.1
    assert reports >= SECONDS * REPORTS_PER_S / receivers / 4


@pytest.mark.parametrize(
    ("change", "within_ms"),
    [
        pytest.param({"accepts_flows": False}, 0, id="accepts no flows"),
        pytest.param({"waiting": 3}, 160, id="a queue"),
        pytest.param({"failed_share": 0.3}, 160, id="fails requests"),
        pytest.param({"busy_share": 0.8}, 160, id="busy"),
        pytest.param({"latency_ms": 60}, 160, id="slow"),
        pytest.param({"service_ms": 27}, 160, id="a third slower"),
        pytest.param({"service_ms": 15}, 160, id="a third faster"),
        pytest.param({"service_ms": 23}, 1_000, id="hardly slower"),
        pytest.param({"queued": 2}, 160, id="held requests"),
        pytest.param({"queued": 1}, 1_000, id="one held request"),
        pytest.param({"opening_room": 0}, 0, id="no room for openings"),
        pytest.param({"opening_room": 7}, 1_000, id="less room for openings"),
        pytest.param({"waiting": 1}, 1_000, id="one request"),
    ],
)
def test_twelve_balancers_learn_of_a_change_in_time(
    clock: ManualClock, change: dict[str, float], within_ms: int
) -> None:
    reporting = LoadReporting(clock)
    assert reporting.is_due(REPORT, 12)
    changed = REPORT._replace(**change)  # type: ignore[arg-type]
    waited_ms = 0
    while not reporting.is_due(changed, 12):
        clock.advance(10)
        waited_ms += 10
    assert waited_ms <= within_ms
    assert not reporting.is_due(changed, 12)


def test_room_that_comes_back_is_reported_at_once(clock: ManualClock) -> None:
    reporting = LoadReporting(clock)
    assert reporting.is_due(REPORT._replace(opening_room=0), 12)
    assert reporting.is_due(REPORT._replace(opening_room=1), 12)


@pytest.mark.parametrize("receivers", [1, 5, 12, 106])
def test_room_that_comes_and_goes_causes_a_bounded_number_of_reports(
    clock: ManualClock, receivers: int
) -> None:
    # The room of a cold server that is offered more than it bears changes with every
    # opening.
    reporting = LoadReporting(clock)
    reports = 0
    for step in range(SECONDS * 100):
        reports += reporting.is_due(REPORT._replace(opening_room=step % 2), receivers)
        clock.advance(10)
    assert reports * receivers <= 2 * REPORTS_PER_S * SECONDS * 1.1


def test_three_balancers_learn_of_each_change(clock: ManualClock) -> None:
    reporting = LoadReporting(clock)
    for waiting in range(20):
        assert reporting.is_due(REPORT._replace(waiting=waiting), 3)
        clock.advance(40)


@pytest.mark.parametrize(
    ("interval_ms", "timeout_ms"), [(0, 3_500), (1_000, 3_500), (2_950, 9_350)]
)
def test_a_member_is_live_for_three_of_its_intervals(
    clock: ManualClock, interval_ms: int, timeout_ms: int
) -> None:
    members = BalancerMembers("10.0.0.1", [], clock)
    heartbeat = Heartbeat(1, "a", False, StorePosition(1, 1), 1, 0, 1, ())
    members.handle_heartbeat("10.0.0.2", heartbeat._replace(interval_ms=interval_ms))
    clock.advance(timeout_ms)
    assert members.expire() == []
    clock.advance(1)
    assert members.expire() == ["10.0.0.2"]


@pytest.mark.parametrize("balancers", [1, 6, 21, 59, 1_700])
def test_failed_reads_of_the_store_do_not_grow_with_the_fleet(balancers: int) -> None:
    retry_ms = compute_read_retry_ms(balancers)
    assert retry_ms >= READ_RETRY_MS
    assert balancers * 1_000 / retry_ms <= 20


def test_a_shorter_interval_applies_at_once(clock: ManualClock) -> None:
    # Otherwise an agent that was asked every 11 s would seem silent after 7 s.
    pace, addresses = MessagePace(clock), make_addresses(40)
    pace.list_due(addresses, 11_000)
    clock.advance(100)
    due = pace.list_due(addresses, 300)
    assert len(due) >= 30
    clock.advance(300)
    assert len(set(due) | set(pace.list_due(addresses, 300))) == 40
