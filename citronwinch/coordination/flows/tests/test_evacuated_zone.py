"""A zone that the operators have evacuated, and restore later.

Guards against openings that reach a server of an evacuated zone by any of their ways
(placed, held, returned, retransmitted, by a balancer that does not know of the
evacuation), and against flows and refusals that an evacuation must not change.
`test_evacuations.py` tests which requests are known to be active.
"""

from collections.abc import Callable

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    UNLIMITED_OPENINGS,
    Action,
    AgentFlows,
    BalancerFlows,
    DeliverToServer,
    DeploymentView,
    FlowAnswer,
    ForwardedPacket,
    LoadReport,
    Packet,
    Record,
    ReturnedPacket,
    SendMessage,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    list_forwards,
    make_entry,
    make_listing,
    make_packet,
    make_server,
)

# The `view` fixture lists s1 and s2 of zone a and s3 of zone b for the service gauging;
# its selector belongs to a balancer of zone a.

BALANCER = "10.0.1.1"


def make_agent(clock: ManualClock, *, evacuated: bool = True) -> AgentFlows:
    agent = AgentFlows("gauging", clock, knows_all_flows=True)
    agent.is_evacuated = evacuated
    return agent


def forward(agent: AgentFlows, packet: Packet) -> list[Action]:
    message = ForwardedPacket("gauging", packet.raw)
    return agent.handle_forwarded(message, packet, BALANCER)


def list_messages(actions: list[Action], kind: type) -> list[object]:
    return [
        action.message
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    ]


def is_delivered(actions: list[Action]) -> bool:
    return any(isinstance(action, DeliverToServer) for action in actions)


def list_refusal_reasons(actions: list[Action]) -> list[object]:
    return [
        dict(action.fields)["reason"]
        for action in actions
        if isinstance(action, Record) and action.event == "opening_refused"
    ]


def list_agents(actions: list[Action]) -> set[str]:
    return {agent for agent, _ in list_forwards(actions)}


# The balancer.


@pytest.fixture
def evacuated_balancer(balancer: BalancerFlows) -> BalancerFlows:
    """Return a balancer that knows of the evacuation of its own zone, zone a."""
    balancer.view.evacuations.merge([make_entry("a")])
    return balancer


def test_openings_go_to_other_zones_only(evacuated_balancer: BalancerFlows) -> None:
    for port in range(4_000, 4_040):
        actions = evacuated_balancer.handle_packet(make_packet(port, opening=True))
        assert list_agents(actions) <= {"10.0.0.3"}
        assert not has_reset(actions)


def test_established_flows_stay_where_they_are(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    [agent] = list_agents(balancer.handle_packet(make_packet(opening=True)))
    balancer.handle_answer(FlowAnswer(make_packet().flow, Verdict.HELD), agent)
    view.evacuations.merge([make_entry("a")])
    assert list_agents(balancer.handle_packet(make_packet(payload=9))) == {agent}


@pytest.mark.parametrize(
    ("confirmed", "stays"),
    [
        pytest.param(True, True, id="the server has accepted the flow"),
        pytest.param(False, False, id="the agent has not confirmed the opening"),
    ],
)
def test_a_copy_of_an_opening_after_the_request(
    balancer: BalancerFlows, view: DeploymentView, confirmed: bool, stays: bool
) -> None:
    packet = make_packet(opening=True)
    [agent] = list_agents(balancer.handle_packet(packet))
    if confirmed:
        balancer.handle_answer(FlowAnswer(packet.flow, Verdict.OPENING), agent)
    view.evacuations.merge([make_entry("a")])
    assert list_agents(balancer.handle_packet(packet)) == (
        {agent} if stays else {"10.0.0.3"}
    )


def test_a_returned_opening_is_placed_in_another_zone(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    packet = make_packet(opening=True)
    [agent] = list_agents(balancer.handle_packet(packet))
    view.evacuations.merge([make_entry("a")])
    assert list_agents(balancer.handle_returned(packet, agent)) == {"10.0.0.3"}


def fill_servers(selector: ServerSelector, *numbers: int) -> None:
    for number in numbers:
        full = LoadReport("gauging", 40, 40, 400, 1.0, True)
        selector.record_message(f"10.0.0.{number}", full)


def test_a_held_opening_is_placed_in_another_zone(
    balancer: BalancerFlows, selector: ServerSelector, view: DeploymentView
) -> None:
    fill_servers(selector, 1, 2, 3)
    assert not list_agents(balancer.handle_packet(make_packet(opening=True)))
    assert balancer.held_openings.openings
    view.evacuations.merge([make_entry("a")])
    for number in (1, 2, 3):
        idle = LoadReport("gauging", 0, 0, 20, 0.0, True)
        selector.record_message(f"10.0.0.{number}", idle)
    assert list_agents(balancer.tick()) == {"10.0.0.3"}


@pytest.mark.parametrize(
    "is_held", [pytest.param(False, id="new"), pytest.param(True, id="held")]
)
def test_openings_are_refused_at_once_if_only_evacuated_servers_are_left(
    balancer: BalancerFlows,
    selector: ServerSelector,
    view: DeploymentView,
    is_held: bool,
) -> None:
    packet = make_packet(opening=True)
    if is_held:
        fill_servers(selector, 1, 2, 3)
        balancer.handle_packet(packet)
    view.evacuations.merge([make_entry("a"), make_entry("b")])
    actions = balancer.tick() if is_held else balancer.handle_packet(packet)
    assert has_reset(actions)
    assert list_refusal_reasons(actions) == ["zones evacuated"]
    assert not balancer.held_openings.openings


def test_other_reasons_of_refusals_stay(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    """The evacuation of a zone whose only server is leaving explains no refusal."""
    leaving = make_server(3, zone="b", leaving=True)
    view.accept_listing(make_listing(11, leaving), clock.now_ms())
    view.evacuations.merge([make_entry("b")])
    actions = balancer.handle_packet(make_packet(opening=True))
    assert list_refusal_reasons(actions) == ["no server left"]


def test_an_evacuation_of_a_zone_without_servers_changes_nothing(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    before = view.list_ready("gauging")
    view.evacuations.merge([make_entry("nowhere")])
    assert view.list_ready("gauging") == before
    assert list_agents(balancer.handle_packet(make_packet(opening=True)))


def test_a_restored_zone_gets_flows_again(evacuated_balancer: BalancerFlows) -> None:
    evacuated_balancer.view.evacuations.merge(
        [make_entry("a", active=False, revision=21)]
    )
    agents = set()
    for port in range(4_000, 4_010):
        packet = make_packet(port, opening=True)
        agents |= list_agents(evacuated_balancer.handle_packet(packet))
    assert agents >= {"10.0.0.1", "10.0.0.2"}


def test_searches_still_ask_the_agents_of_evacuated_zones(
    evacuated_balancer: BalancerFlows,
) -> None:
    """Established flows of an evacuated zone are found by other balancers."""
    holders = evacuated_balancer.view.list_possible_holders(["gauging"])
    assert {server.name for server in holders} == {"s1", "s2", "s3"}


# The agent.


def accept(agent: AgentFlows) -> None:
    agent.handle_from_server(make_packet(opening=True, sequence=100))


def prepare_nothing(_: AgentFlows) -> None:
    pass


def prepare_asked(agent: AgentFlows) -> None:
    forward(agent, make_packet(opening=True))


def prepare_accepted(agent: AgentFlows) -> None:
    prepare_asked(agent)
    accept(agent)


def prepare_open(agent: AgentFlows) -> None:
    prepare_accepted(agent)
    forward(agent, make_packet(acknowledged=101, payload=5))


def prepare_finished(agent: AgentFlows) -> None:
    prepare_open(agent)
    forward(agent, make_packet(acknowledged=101, finishing=True))


def prepare_absent(agent: AgentFlows) -> None:
    prepare_accepted(agent)
    agent.handle_from_server(make_packet(reset=True))


@pytest.mark.parametrize(
    ("prepare", "delivered"),
    [
        pytest.param(prepare_nothing, False, id="new flow"),
        pytest.param(prepare_asked, False, id="not accepted yet"),
        pytest.param(prepare_accepted, True, id="accepted"),
        pytest.param(prepare_open, True, id="open"),
        pytest.param(prepare_finished, False, id="finished, ports used again"),
        pytest.param(prepare_absent, False, id="denied by the server"),
    ],
)
def test_the_agent_delivers_only_openings_of_accepted_flows(
    clock: ManualClock, prepare: Callable[[AgentFlows], None], delivered: bool
) -> None:
    agent = make_agent(clock, evacuated=False)
    prepare(agent)
    agent.is_evacuated = True
    actions = forward(agent, make_packet(opening=True))
    assert is_delivered(actions) is delivered
    returned = list_messages(actions, ReturnedPacket)
    reports = list_messages(actions, LoadReport)
    assert bool(returned) is not delivered
    assert len(reports) == len(returned)
    assert agent.returned_openings["evacuated"] == len(returned)


def test_a_report_of_an_evacuated_agent_has_no_room_but_accepts_flows(
    clock: ManualClock,
) -> None:
    """Without `accepts_flows`, balancers would consider the server's flows dead."""
    agent = make_agent(clock)
    report = agent.make_load_report()
    assert (report.opening_room, report.accepts_flows) == (0, True)
    agent.is_evacuated = False
    assert agent.make_load_report().opening_room == UNLIMITED_OPENINGS


def test_packets_of_flows_are_delivered_in_an_evacuated_zone(
    clock: ManualClock,
) -> None:
    agent = make_agent(clock, evacuated=False)
    prepare_accepted(agent)
    agent.is_evacuated = True
    confirmation = make_packet(acknowledged=101, payload=5)
    assert is_delivered(forward(agent, confirmation))
    assert is_delivered(forward(agent, make_packet(4_001, payload=5)))


def test_the_agent_returns_what_a_partitioned_balancer_sends(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    """The balancer knows of no evacuation; its openings end in another zone."""
    agents = {
        f"10.0.0.{number}": make_agent(clock, evacuated=number < 3)
        for number in (1, 2, 3)
    }
    packet = make_packet(opening=True)
    actions = balancer.handle_packet(packet)
    for _ in agents:
        [ip] = list_agents(actions)
        result = forward(agents[ip], packet)
        if is_delivered(result):
            break
        actions = balancer.handle_returned(packet, ip)
    assert ip == "10.0.0.3"
    assert not any(agents[f"10.0.0.{number}"].flows for number in (1, 2))
