"""Servers that are gone: their flows end before callers ask, and no live flow does."""

from collections.abc import Mapping

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    LoadReport,
    Packet,
    ResetFlow,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    make_listing,
    make_packet,
    make_server,
)


def lose_server(view: DeploymentView, clock: ManualClock) -> None:
    remaining = [make_server(1), make_server(3, zone="b"), make_server(4, "reporting")]
    clock.advance(200)
    view.accept_listing(make_listing(11, *remaining), clock.now_ms())


def wait_for_resets(
    balancer: BalancerFlows,
    clock: ManualClock,
    heard: Mapping[int, LoadReport | None],
    for_ms: int = 3_000,
) -> list[Packet]:
    actions = []
    for _ in range(0, for_ms, 100):
        clock.advance(100)
        balancer.view.confirm_listing(11, clock.now_ms())
        for number, report in heard.items():
            balancer.choice.record_message(f"10.0.0.{number}", report)
        actions += balancer.tick()
    return [action.packet for action in actions if isinstance(action, ResetFlow)]


def learn_flows(balancer: BalancerFlows) -> None:
    """Find a flow at each of three agents."""
    for number in (1, 2, 3):
        packet = make_packet(4000 + number, payload=10, acknowledged=700 + number)
        balancer.handle_packet(packet)
        held = FlowAnswer(packet.flow, Verdict.HELD)
        balancer.handle_answer(held, f"10.0.0.{number}")


NO_SERVER = LoadReport("gauging", 1, 0, 0, 0.0, accepts_flows=False)
ALIVE = LoadReport("gauging", 1, 0, 0, 0.0, accepts_flows=True)


@pytest.mark.parametrize(
    ("heard_of_2", "resets"),
    [
        pytest.param({}, True, id="its agent is silent"),
        pytest.param({2: NO_SERVER}, True, id="its agent gets no answer of it"),
        pytest.param({2: ALIVE}, False, id="only its entry has lapsed"),
    ],
)
def test_flows_of_a_server_that_is_gone_end_before_their_callers_ask(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    heard_of_2: dict[int, LoadReport | None],
    resets: bool,
) -> None:
    learn_flows(balancer)
    lose_server(view, clock)
    others = dict.fromkeys((1, 3, 4), ALIVE)
    packets = wait_for_resets(balancer, clock, others | heard_of_2)
    lost = make_packet(4002)
    expected = [(lost.flow, 702)] if resets else []
    assert [(packet.flow, packet.acknowledged) for packet in packets] == expected
    assert (lost.flow in balancer.flows) is not resets


def test_a_silent_agent_whose_server_is_listed_keeps_its_flows(
    balancer: BalancerFlows, clock: ManualClock, view: DeploymentView
) -> None:
    learn_flows(balancer)
    view.confirm_listing(11, clock.now_ms())
    assert not wait_for_resets(balancer, clock, dict.fromkeys((1, 3, 4), ALIVE))


@pytest.mark.parametrize("state", ["isolated", "unsettled", "listed again"])
def test_no_flow_ends_while_it_is_not_certain_that_its_server_is_gone(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock, state: str
) -> None:
    learn_flows(balancer)
    lose_server(view, clock)
    heard = dict.fromkeys((1, 3, 4), ALIVE) if state != "isolated" else {}
    if state == "unsettled":
        view.accept_grace(2_000)
    if state == "listed again":
        back = make_listing(12, *(make_server(number) for number in (1, 2, 3)))
        view.accept_listing(back, clock.now_ms())
    assert not wait_for_resets(balancer, clock, heard, for_ms=1_900)
