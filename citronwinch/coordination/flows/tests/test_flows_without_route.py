"""Packets of open flows to an address for which a balancer has no route.

Configurations reach balancers at different times. Guards against a balancer that resets
a flow of a route which it does not know yet, because another balancer has opened the
flow by a newer configuration.
"""

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    Configuration,
    DeploymentView,
    StorePosition,
)
from citronwinch.coordination.flows._route_history import ROUTE_HISTORY_MS
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    has_reset,
    list_questions,
    make_configuration,
    make_packet,
    make_route,
)

ADDED = Endpoint("198.18.0.3", 8443)


def make_larger_configuration(version: int) -> Configuration:
    return make_configuration(
        version,
        make_route("alarms", GAUGING, "gauging"),
        make_route("snapshots", REPORTING, "reporting"),
        make_route("added", ADDED, "gauging"),
    )


# The flow was opened by a configuration that this balancer does not have yet.
def test_a_flow_of_a_route_that_is_not_known_yet_is_not_reset(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    packet = make_packet(address=ADDED, payload=10)
    assert balancer.handle_packet(packet) == []
    view.accept_configuration(make_larger_configuration(2))
    assert list_questions(balancer.handle_packet(packet))


@pytest.mark.parametrize("has_learned", [True, False])
def test_a_flow_of_a_removed_route_is_reset(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    has_learned: bool,
) -> None:
    if has_learned:
        older = DeploymentView(clock)
        older.accept_configuration(make_larger_configuration(2))
        older.accept_configuration(make_configuration(3))
        view.accept_configuration(make_configuration(3))
        former_routes = older.route_history.list_former_routes()
        view.route_history.record_learned(former_routes, ROUTE_HISTORY_MS)
    else:
        view.accept_configuration(make_larger_configuration(2))
        view.accept_configuration(make_configuration(3))
    view.confirm_listing(StorePosition(1, 10), clock.now_ms())
    assert has_reset(balancer.handle_packet(make_packet(address=ADDED, payload=10)))


def test_an_opening_to_an_address_without_a_route_is_refused(
    balancer: BalancerFlows,
) -> None:
    assert has_reset(balancer.handle_packet(make_packet(address=ADDED, opening=True)))
