"""Openings for backend servers that have just started and are still slow.

Guards against cold servers that receive more openings than they sustain: through
several balancers at once, through an agent that has restarted and forgotten the last
second, through a balancer with an older listing, and through a restart that no listing
shows yet. It also guards against openings that are refused, or placed twice, because
the only servers with room for them are found later.
"""

import random
from typing import NamedTuple

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    UNLIMITED_OPENINGS,
    AgentFlows,
    BackendServer,
    BalancerFlows,
    DeliverToServer,
    DeploymentView,
    FlowAnswer,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    LoadReport,
    ReturnedPacket,
    SendMessage,
    ServerCheck,
    ServerSelector,
    ServiceLimits,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._cold_servers import ColdServers
from citronwinch.coordination.flows._load_reporting import is_large_change
from citronwinch.coordination.flows._opening_rate import (
    RESTART_MIN_MS,
    OpeningRateLimit,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

FIRST, SECOND = 1_000, 2_000
"""Two incarnations of a server."""


def make_heartbeat(
    warmup_left_ms: int, per_s: float, started_ms: int = FIRST
) -> Heartbeat:
    heartbeat = Heartbeat(1, "a", False, StorePosition(1, 1), 1, 0, 1, ())
    return heartbeat._replace(
        server_started_ms=started_ms,
        server_slots=2,
        server_warmup_left_ms=warmup_left_ms,
        warmup_per_s=per_s,
    )


def count_accepted(limit: OpeningRateLimit, openings: int = 200) -> int:
    return sum(limit.accept_opening() for _ in range(openings))


class Step(NamedTuple):
    """One step of a history of an agent beside a cold server."""

    kind: str
    """`openings`, `restart`, `heartbeat`, `old heartbeat` or `unlisted heartbeat`."""

    amount: int
    """The number of openings, or the additional duration of a restart in ms."""

    wait_ms: int
    """The time before the step, in ms."""


STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(
            [
                "openings",
                "openings",
                "restart",
                "heartbeat",
                "old heartbeat",
                "unlisted heartbeat",
            ]
        ),
        st.integers(0, 120),
        st.sampled_from([0, 0, 1, 20, 130, 300, 870, 1_000]),
    ),
    max_size=40,
)


@settings(max_examples=400, derandomize=True, deadline=None, database=None)
@given(steps=STEPS, per_s=st.sampled_from([0.3, 1.0, 2.5, 8.0, 9.4, 40.0, 300.0]))
def test_no_sliding_second_delivers_more_than_the_bound(
    steps: list[Step], per_s: float
) -> None:
    clock = ManualClock(100_000)
    limit = OpeningRateLimit(clock)
    limit.await_heartbeat()
    cold_until_ms = clock.now_ms() + 60_000
    accepted_ms: list[int] = []
    for step in steps:
        clock.advance(step.wait_ms)
        if step.kind == "restart":
            clock.advance(RESTART_MIN_MS + step.amount)
            limit = OpeningRateLimit(clock)
            limit.await_heartbeat()
        elif step.kind == "heartbeat":
            left_ms = cold_until_ms - clock.now_ms()
            limit.apply_heartbeat(make_heartbeat(left_ms, per_s, SECOND))
        elif step.kind == "old heartbeat" and limit.server_started_ms == SECOND:
            # A balancer that has not read the server's restart yet.
            limit.apply_heartbeat(make_heartbeat(0, per_s, FIRST))
        elif step.kind == "unlisted heartbeat":
            limit.apply_heartbeat(make_heartbeat(0, 0.0, 0)._replace(server_slots=0))
        else:
            count = count_accepted(limit, step.amount)
            accepted_ms += [clock.now_ms()] * count
    for index, end_ms in enumerate(accepted_ms):
        window = [ms for ms in accepted_ms[: index + 1] if ms > end_ms - 1_000]
        assert len(window) <= per_s * 1.5 + 5


def test_a_restarted_agent_accepts_few_openings_until_a_heartbeat(
    clock: ManualClock,
) -> None:
    limit = OpeningRateLimit(clock)
    limit.await_heartbeat()
    clock.advance(1_000)
    assert 1 <= count_accepted(limit) <= 5
    limit.apply_heartbeat(make_heartbeat(0, 9.0))
    assert count_accepted(limit) == 200


@pytest.mark.parametrize(
    ("heartbeats", "accepted"),
    [
        pytest.param([make_heartbeat(0, 9.0)], 200, id="warm"),
        pytest.param([make_heartbeat(1_500, 0.0)], 200, id="cold without a limit"),
        pytest.param([make_heartbeat(1_500, 9.0)], 9, id="cold"),
        pytest.param([make_heartbeat(1_500, 0.4)], 1, id="at least one"),
        pytest.param(
            [make_heartbeat(1_500, 9.0, SECOND), make_heartbeat(0, 9.0, FIRST)],
            9,
            id="a balancer with an older listing changes nothing",
        ),
        pytest.param(
            [make_heartbeat(1_500, 9.0, SECOND), make_heartbeat(0, 9.0, SECOND)],
            9,
            id="the latest end counts",
        ),
        pytest.param(
            [make_heartbeat(1_500, 9.0, FIRST), make_heartbeat(0, 9.0, SECOND)],
            200,
            id="a later incarnation that is warm",
        ),
    ],
)
def test_heartbeats_limit_the_openings_of_a_cold_server(
    clock: ManualClock, heartbeats: list[Heartbeat], accepted: int
) -> None:
    limit = OpeningRateLimit(clock)
    clock.advance(5_000)
    for heartbeat in heartbeats:
        limit.apply_heartbeat(heartbeat)
    assert count_accepted(limit) == accepted


def test_a_warm_up_ends_without_a_message(clock: ManualClock) -> None:
    limit = OpeningRateLimit(clock)
    limit.apply_heartbeat(make_heartbeat(1_500, 9.0))
    clock.advance(1_499)
    assert limit.count_room() == 9
    clock.advance(1)
    assert limit.count_room() == UNLIMITED_OPENINGS


def test_a_server_that_refused_connections_counts_as_cold_until_it_is_listed(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    agent.opening_limit.apply_heartbeat(make_heartbeat(0, 9.0, FIRST))
    clock.advance(5_000)
    agent.handle_server_check(ServerCheck.REFUSED)
    agent.opening_limit.apply_heartbeat(make_heartbeat(0, 9.0, FIRST))
    assert count_accepted(agent.opening_limit) == 9
    agent.opening_limit.apply_heartbeat(make_heartbeat(0, 9.0, SECOND))
    assert agent.make_load_report().opening_room == UNLIMITED_OPENINGS


def test_an_agent_returns_openings_beyond_the_limit_with_a_report(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    clock.advance(5_000)
    agent.opening_limit.apply_heartbeat(make_heartbeat(1_500, 2.0))
    results = []
    for port in (4000, 4001, 4002):
        packet = make_packet(port, opening=True)
        message = ForwardedPacket("gauging", packet.raw)
        results.append(agent.handle_forwarded(message, packet, "10.0.9.1"))
    assert [len(actions) for actions in results] == [1, 1, 2]
    assert all(isinstance(actions[0], DeliverToServer) for actions in results[:2])
    messages = [a.message for a in results[2] if isinstance(a, SendMessage)]
    assert isinstance(messages[0], LoadReport)
    assert messages[0].opening_room == 0
    assert messages[0].accepts_flows
    assert messages[1] == ReturnedPacket(packet.raw)
    assert agent.opening_limit.returned == 1


@pytest.mark.parametrize(
    ("old", "new", "is_large"),
    [(0, 1, True), (1, 0, True), (4, 5, False), (4, 7, True)],
)
def test_balancers_soon_learn_that_an_agent_has_room_again(
    old: int, new: int, is_large: bool
) -> None:
    report = LoadReport("gauging", 1, 0, 20, 0.5, True)
    before, after = (report._replace(opening_room=room) for room in (old, new))
    assert is_large_change(before, after) is is_large


def cool(number: int, left_ms: int = 2_000, started_ms: int = FIRST) -> BackendServer:
    server = make_server(number)
    return server._replace(warmup_left_ms=left_ms, started_ms=started_ms)


@pytest.mark.parametrize(
    ("entries", "left_ms"),
    [
        pytest.param([(0, 2_000, FIRST)], 1_400, id="expires by itself"),
        pytest.param(
            [(0, 2_000, FIRST), (500, 2_000, FIRST)], 1_400, id="a repeated entry"
        ),
        pytest.param(
            [(0, 2_000, FIRST), (500, 1_500, FIRST)], 1_400, id="a later entry"
        ),
        pytest.param(
            [(0, 2_000, FIRST), (500, 500, FIRST)], 400, id="it warms up sooner"
        ),
        pytest.param([(0, 2_000, FIRST), (500, 0, FIRST)], 0, id="it is warm"),
        pytest.param(
            [(0, 500, FIRST), (500, 2_000, SECOND)], 1_900, id="it has restarted"
        ),
        pytest.param(
            [(0, 0, FIRST), (500, 2_000, FIRST)], 1_900, id="it is cold again"
        ),
    ],
)
def test_the_listing_states_until_when_a_server_is_cold(
    clock: ManualClock, entries: list[tuple[int, int, int]], left_ms: int
) -> None:
    """Each entry is the time at which it is read, its remaining time and its start."""
    cold_servers = ColdServers(clock)
    started_ms = clock.now_ms()
    for at_ms, listed_ms, incarnation in entries:
        clock.advance(started_ms + at_ms - clock.now_ms())
        cold_servers.update([cool(1, listed_ms, incarnation)])
    clock.advance(started_ms + 600 - clock.now_ms())
    assert cold_servers.get_warmup(cool(1)).left_ms == left_ms


def test_a_server_that_is_missing_for_a_moment_continues_its_warm_up(
    clock: ManualClock,
) -> None:
    cold_servers = ColdServers(clock)
    cold_servers.update([cool(1)])
    clock.advance(500)
    cold_servers.update([])
    clock.advance(500)
    cold_servers.update([cool(1)])
    assert cold_servers.get_warmup(cool(1)).left_ms == 1_000


@pytest.fixture
def limited_view(view: DeploymentView, clock: ManualClock) -> DeploymentView:
    """A view in which the first server is cold and its service has a limit."""
    limits = {"gauging": ServiceLimits(4.0)}
    view.accept_configuration(make_configuration(2)._replace(services=limits))
    servers = [cool(1), make_server(2), make_server(3, zone="b")]
    view.accept_listing(make_listing(11, *servers), clock.now_ms())
    return view


def report_room(selector: ServerSelector, number: int, room: int) -> None:
    report = LoadReport("gauging", 0, 0, 20, 0.0, True, opening_room=room)
    selector.record_message(f"10.0.0.{number}", report)


def place(balancer: BalancerFlows, ports: range) -> list[str]:
    placed = []
    for port in ports:
        actions = balancer.handle_packet(make_packet(port, opening=True))
        assert not has_reset(actions)
        placed += [ip for ip, _ in list_forwards(actions)]
    return placed


@pytest.mark.parametrize(
    ("room", "placed"),
    [
        pytest.param(UNLIMITED_OPENINGS, 0, id="the agent does not know yet"),
        pytest.param(3, 3, id="room for three"),
        pytest.param(0, 0, id="no room"),
    ],
)
def test_a_balancer_places_no_more_than_the_reported_room(
    limited_view: DeploymentView,
    balancer: BalancerFlows,
    selector: ServerSelector,
    room: int,
    placed: int,
) -> None:
    report_room(selector, 1, room)
    agents = place(balancer, range(4000, 4007))
    assert len(agents) == 7
    assert agents.count("10.0.0.1") == placed


def test_openings_wait_while_a_whole_service_is_cold(
    limited_view: DeploymentView,
    balancer: BalancerFlows,
    selector: ServerSelector,
    clock: ManualClock,
) -> None:
    servers = [cool(1), cool(2), cool(3)]
    limited_view.accept_listing(make_listing(12, *servers), clock.now_ms())
    for number in (1, 2, 3):
        report_room(selector, number, 1)
    assert len(place(balancer, range(4000, 4010))) == 3
    assert len(balancer.held_openings.openings) == 7
    report_room(selector, 2, 2)
    assert [ip for ip, _ in list_forwards(balancer.tick())] == ["10.0.0.2"] * 2


def test_an_opening_returned_for_lack_of_room_may_go_to_that_agent_later(
    limited_view: DeploymentView,
    balancer: BalancerFlows,
    selector: ServerSelector,
    clock: ManualClock,
) -> None:
    limited_view.accept_listing(make_listing(12, cool(1)), clock.now_ms())
    report_room(selector, 1, 1)
    packet = make_packet(opening=True)
    assert list_forwards(balancer.handle_packet(packet))
    report_room(selector, 1, 0)
    assert not balancer.handle_returned(packet, "10.0.0.1")
    assert packet.flow in balancer.held_openings.openings
    report_room(selector, 1, 1)
    assert list_forwards(balancer.tick()) == [("10.0.0.1", "gauging")]


@pytest.mark.parametrize("is_answer", [True, False])
def test_a_held_copy_of_an_opening_that_was_accepted_is_not_placed_again(
    limited_view: DeploymentView,
    balancer: BalancerFlows,
    selector: ServerSelector,
    clock: ManualClock,
    is_answer: bool,
) -> None:
    limited_view.accept_listing(make_listing(12, cool(1)), clock.now_ms())
    report_room(selector, 1, 1)
    packet = make_packet(opening=True)
    balancer.handle_packet(packet)
    report_room(selector, 1, 0)
    balancer.handle_returned(packet, "10.0.0.1")
    if is_answer:
        answer = FlowAnswer(packet.flow, Verdict.OPENING)
        balancer.handle_answer(answer, "10.0.0.1")
    else:
        balancer.handle_packet(make_packet(acknowledged=7, payload=40))
    assert not balancer.held_openings.openings


def test_an_old_report_of_no_room_allows_one_opening_a_second(
    limited_view: DeploymentView,
    balancer: BalancerFlows,
    selector: ServerSelector,
    clock: ManualClock,
) -> None:
    limited_view.accept_listing(make_listing(12, cool(1)), clock.now_ms())
    report_room(selector, 1, 0)
    assert not place(balancer, range(4000, 4003))
    clock.advance(1_000)
    assert len(place(balancer, range(4003, 4006))) == 1


def test_balancers_together_stay_within_the_limit_of_each_cold_server(
    clock: ManualClock,
) -> None:
    """Five balancers with 300 openings in two seconds before three cold servers."""
    limits = {"gauging": ServiceLimits(8.0)}
    servers = [cool(number, 4_000) for number in (1, 2, 3)]
    agents = {}
    for server in servers:
        agent = AgentFlows("gauging", clock, knows_all_flows=True)
        agent.opening_limit.await_heartbeat()
        agents[server.address.ip] = agent
    clock.advance(300)
    balancers = {}
    for number in range(5):
        view = DeploymentView(clock)
        view.accept_configuration(make_configuration()._replace(services=limits))
        view.accept_listing(make_listing(1, *servers), clock.now_ms())
        selector = ServerSelector("a", clock, random.Random(number))
        balancers[f"10.0.9.{number}"] = BalancerFlows(view, selector, clock)
    delivered_ms: dict[str, list[int]] = {ip: [] for ip in agents}
    packets = {}
    for step in range(200):
        for index, (ip, flows) in enumerate(balancers.items()):
            actions = flows.tick() if step % 2 else []
            if step % 3 == 0:
                packet = make_packet(4000 + step * 5 + index, opening=True)
                packets[packet.raw] = packet
                actions += flows.handle_packet(packet)
            for agent_ip, agent in agents.items():
                if step % 30 == index:
                    left_ms = flows.view.cold_servers.get_warmup(cool(1)).left_ms
                    agent.opening_limit.apply_heartbeat(make_heartbeat(left_ms, 8.0))
                    report = agent.make_load_report()
                    flows.selector.record_message(agent_ip, report)
            while actions:
                sent = actions.pop()
                if not isinstance(sent, SendMessage):
                    continue
                message = sent.message
                assert isinstance(message, ForwardedOpening)
                packet = packets[message.raw]
                for answer in agents[sent.ip].handle_forwarded(message, packet, ip):
                    if isinstance(answer, DeliverToServer):
                        delivered_ms[sent.ip].append(clock.now_ms())
                        continue
                    assert isinstance(answer, SendMessage)
                    if isinstance(answer.message, LoadReport):
                        flows.selector.record_message(sent.ip, answer.message)
                    else:
                        actions += flows.handle_returned(packet, sent.ip)
        clock.advance(10)
    for times in delivered_ms.values():
        assert len(times) >= 12
        for end_ms in times:
            assert sum(end_ms - 1_000 < ms <= end_ms for ms in times) <= 8
