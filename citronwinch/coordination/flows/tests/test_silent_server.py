"""A backend server that stops answering while its instance and its agent live.

Callers on its flows wait for answers that never come, and give up after a timeout of
some 800 ms. Guards against an agent that notices this only when they have given up,
against flows that stay with a dead server, and against resets of the flows of a server
that is only busy, slow or paused.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    DeliverToServer,
    ForwardedOpening,
    LoadReport,
    ResetFlow,
    RouteClass,
    SendMessage,
    ServerCheck,
)
from citronwinch.coordination.flows._server_liveness import (
    SILENT_CHECKS_BEFORE_DEATH,
)
from citronwinch.coordination.flows.tests.conftest import make_packet

SERVICE_MS = 29
CHECK_MS = 100
TIMEOUT_MS = 800
TICK_MS = 40
FLOWS = 8


@pytest.fixture
def agent(clock: ManualClock) -> AgentFlows:
    """An agent that has learned the service time of its server."""
    flows = AgentFlows("gauging", clock, knows_all_flows=True)
    flows.requests.slots.slots = 2
    for port in range(FLOWS):
        open_flow(flows, port)
        for _ in range(4):
            answer_request(flows, clock, port)
    return flows


def open_flow(agent: AgentFlows, port: int) -> None:
    opening = make_packet(port, opening=True)
    route_class = RouteClass(1, 173, TIMEOUT_MS)
    message = ForwardedOpening("gauging", route_class, False, opening.raw)
    agent.handle_forwarded(message, opening, "10.0.1.1")
    agent.handle_from_server(make_packet(port, opening=True, sequence=500))


def send_request(agent: AgentFlows, clock: ManualClock, port: int) -> list[Action]:
    packet = make_packet(
        port, payload=50, acknowledged=501, sequence=clock.now_ms() * 100
    )
    message = ForwardedOpening(
        "gauging", RouteClass(1, 173, TIMEOUT_MS), False, packet.raw
    )
    return agent.handle_forwarded(message, packet, "10.0.1.1")


def answer_request(agent: AgentFlows, clock: ManualClock, port: int) -> None:
    send_request(agent, clock, port)
    clock.advance(SERVICE_MS)
    agent.handle_from_server(make_packet(port, payload=4_000))


def count_resets(actions: list[Action]) -> int:
    return sum(isinstance(action, ResetFlow) for action in actions)


def find_check_start(agent: AgentFlows, clock: ManualClock) -> int:
    """Return after how many milliseconds of silence the server is checked."""
    since_ms = clock.now_ms()
    while not agent.start_check_if_due():
        clock.advance(TICK_MS)
        assert clock.now_ms() - since_ms < TIMEOUT_MS
    return clock.now_ms() - since_ms


def test_callers_of_a_dead_server_can_still_be_served_elsewhere(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for port in range(FLOWS):
        send_request(agent, clock, port)
    told_ms = find_check_start(agent, clock)
    resets = 0
    while not resets:
        clock.advance(CHECK_MS)
        told_ms += CHECK_MS
        resets += count_resets(agent.handle_server_check(ServerCheck.SILENT))
    assert resets == FLOWS
    # The earlier fixed times came to 650 ms, and no flow was reset.
    assert told_ms <= TIMEOUT_MS // 2 + CHECK_MS


def test_new_flows_avoid_a_silent_server_before_it_counts_as_dead(
    agent: AgentFlows, clock: ManualClock
) -> None:
    send_request(agent, clock, 0)
    send_request(agent, clock, 1)
    find_check_start(agent, clock)
    actions = agent.handle_server_check(ServerCheck.SILENT)
    assert not count_resets(actions)
    assert not agent.make_load_report().accepts_flows


@pytest.mark.parametrize(
    "checks",
    [
        pytest.param([ServerCheck.ACCEPTED], id="busy"),
        pytest.param([ServerCheck.SILENT, ServerCheck.ACCEPTED], id="stalled once"),
        pytest.param([ServerCheck.FAILED] * 9, id="no descriptors left"),
        pytest.param(
            [
                *[ServerCheck.SILENT] * (SILENT_CHECKS_BEFORE_DEATH - 1),
                ServerCheck.ACCEPTED,
                *[ServerCheck.SILENT] * (SILENT_CHECKS_BEFORE_DEATH - 1),
            ],
            id="stalled again and again",
        ),
    ],
)
def test_flows_of_a_living_server_are_not_reset(
    agent: AgentFlows, clock: ManualClock, checks: list[ServerCheck]
) -> None:
    for port in range(FLOWS):
        send_request(agent, clock, port)
    find_check_start(agent, clock)
    for check in checks:
        clock.advance(CHECK_MS)
        assert not count_resets(agent.handle_server_check(check))
        assert agent.server_liveness.must_repeat_check is (check is ServerCheck.SILENT)


def test_a_packet_of_the_server_ends_the_suspicion(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for port in range(FLOWS):
        send_request(agent, clock, port)
    find_check_start(agent, clock)
    for _ in range(SILENT_CHECKS_BEFORE_DEATH - 1):
        agent.handle_server_check(ServerCheck.SILENT)
    agent.handle_from_server(make_packet(0, payload=4_000))
    assert not agent.server_liveness.must_repeat_check
    assert not count_resets(agent.handle_server_check(ServerCheck.SILENT))


def test_acknowledgements_of_an_answer_need_no_answer(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for number in range(4):
        packet = make_packet(0, acknowledged=2_000 * number, sequence=99)
        message = ForwardedOpening(
            "gauging", RouteClass(1, 173, TIMEOUT_MS), False, packet.raw
        )
        agent.handle_forwarded(message, packet, "10.0.1.1")
    clock.advance(TIMEOUT_MS)
    assert not agent.start_check_if_due()


def test_a_server_that_takes_four_times_its_service_time_is_not_checked(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for port in range(2):
        send_request(agent, clock, port)
    clock.advance(3 * SERVICE_MS)
    assert not agent.start_check_if_due()


def test_a_server_that_restarted_accepts_flows_and_knows_none(
    agent: AgentFlows, clock: ManualClock
) -> None:
    for port in range(FLOWS):
        send_request(agent, clock, port)
    find_check_start(agent, clock)
    for _ in range(SILENT_CHECKS_BEFORE_DEATH):
        agent.handle_server_check(ServerCheck.SILENT)
    assert agent.make_load_report().open_flows == 0
    clock.advance(500)
    assert agent.start_check_if_due()
    agent.handle_server_check(ServerCheck.ACCEPTED)
    report = agent.make_load_report()
    assert isinstance(report, LoadReport) and report.accepts_flows
    opening = make_packet(99, opening=True)
    message = ForwardedOpening(
        "gauging", RouteClass(1, 173, TIMEOUT_MS), False, opening.raw
    )
    actions = agent.handle_forwarded(message, opening, "10.0.1.1")
    assert any(isinstance(action, DeliverToServer) for action in actions)
    assert not any(isinstance(action, SendMessage) for action in actions)
