"""Openings from ports whose earlier flow a balancer still knows.

Guards against balancers that forward such an opening to the earlier flow's agent and do
not admit it: it reached a server that was draining, or ran on a route that was dropped.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    Packet,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    REPORTING,
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)

OPENING = make_packet(opening=True, sequence=7_000)
COPY = make_packet(opening=True, sequence=7_000, acknowledged=1)
REQUEST = make_packet(payload=10, sequence=7_001, acknowledged=501)
LATER_OPENING = make_packet(opening=True, sequence=3_000_000_000)


def place_flow(balancer: BalancerFlows) -> str:
    [(agent, _)] = list_forwards(balancer.handle_packet(OPENING))
    balancer.handle_answer(FlowAnswer(OPENING.flow, Verdict.OPENING, 500), agent)
    balancer.handle_packet(REQUEST)
    return agent


def find_flow(balancer: BalancerFlows) -> str:
    [agent, *_] = list_questions(balancer.handle_packet(REQUEST))
    balancer.handle_answer(FlowAnswer(REQUEST.flow, Verdict.HELD), agent)
    return agent


@pytest.fixture(params=[place_flow, find_flow], ids=["placed", "found"])
def agent(balancer: BalancerFlows, request: pytest.FixtureRequest) -> str:
    """The agent at which the balancer knows a flow, by its opening or by a search."""
    known: str = request.param(balancer)
    return known


# The request ran at a server that was draining, or was lost with its exit.
@pytest.mark.parametrize(
    ("opening", "goes_to_leaving_server"),
    [
        pytest.param(LATER_OPENING, False, id="later flow"),
        pytest.param(COPY, True, id="copy of its opening"),
    ],
)
def test_the_opening_of_a_later_flow_avoids_a_leaving_server(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    agent: str,
    opening: Packet,
    *,
    goes_to_leaving_server: bool,
) -> None:
    servers = [
        make_server(number, leaving=f"10.0.0.{number}" == agent) for number in (1, 2)
    ]
    view.accept_listing(make_listing(11, *servers), clock.now_ms())
    [(chosen, _)] = list_forwards(balancer.handle_packet(opening))
    assert (chosen == agent) is goes_to_leaving_server


# The request ran by a configuration that had been replaced.
@pytest.mark.usefixtures("agent")
def test_the_opening_of_a_later_flow_is_refused_on_a_dropped_route(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    kept = make_route("snapshots", REPORTING, "reporting")
    view.accept_configuration(make_configuration(2, kept))
    actions = balancer.handle_packet(LATER_OPENING)
    assert has_reset(actions) and not list_forwards(actions)


# A returned copy of the earlier opening was placed in place of the later flow.
def test_a_returned_opening_of_an_earlier_flow_is_dropped(
    balancer: BalancerFlows,
) -> None:
    place_flow(balancer)
    [(agent, _)] = list_forwards(balancer.handle_packet(LATER_OPENING))
    assert not balancer.handle_returned(COPY, agent)
