"""Flows at a service that their route no longer has.

The operators add a service to a route and take it away again; flows that were opened
there meanwhile live on. Guards against balancers that do not count the agents of such a
service among the possible holders of the flow.
"""

import pytest

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import Route, ServiceShare
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    make_configuration,
    make_packet,
    make_route,
)
from citronwinch.coordination.flows.tests.trial_fleet import TrialFleet

FORMER_HOLDER = "10.0.0.5"
PACKET = make_packet(payload=10)


def make_alarms(*services: str) -> Route:
    route = make_route("alarms", GAUGING, services[0])
    return route._replace(shares=tuple(ServiceShare(s, 1) for s in services))


def make_fleet() -> TrialFleet:
    """Return a fleet whose route had the service `reporting` for a short time."""
    fleet = TrialFleet(3, reporting=2)
    snapshots = make_route("snapshots", REPORTING, "reporting")
    for version, services in ((2, ("gauging", "reporting")), (3, ("gauging",))):
        configuration = make_configuration(version, make_alarms(*services), snapshots)
        fleet.view.accept_configuration(configuration)
    return fleet


def find_holder_at_once(fleet: TrialFleet) -> bool:
    """Let a caller send a packet; return whether its server gets it, for now."""
    fleet.hold(PACKET, holder=FORMER_HOLDER)
    fleet.send(PACKET)
    fleet.run(250)
    return bool(fleet.at_holder)


# All agents had restarted. Packets were tried at servers of the present service only,
# three or more of them, and never at the flow's own server.
def test_packets_are_tried_at_servers_of_a_former_service() -> None:
    assert find_holder_at_once(make_fleet())


# The same in a search that asks all agents in a single step.
def test_packets_are_tried_at_servers_of_a_former_service_in_a_single_step() -> None:
    fleet = make_fleet()
    for _ in range(16):
        fleet.balancer.searches.outcomes.record(is_dead=True)
    assert find_holder_at_once(fleet)


# The same with a location that names the agent of the former service.
def test_packets_are_tried_at_a_former_service_that_a_location_names() -> None:
    fleet = make_fleet()
    fleet.hold(PACKET, holder=FORMER_HOLDER)
    actions = fleet.balancer.searches.search(PACKET, likely_at=FORMER_HOLDER)
    fleet.packets[PACKET.raw] = PACKET
    fleet.apply(actions)
    fleet.run(250)
    assert fleet.at_holder


# While an agent of the former service restarts, it may be the holder's.
def test_trials_are_limited_while_an_agent_of_a_former_service_restarts() -> None:
    fleet = make_fleet()
    fleet.hold(PACKET, holder=FORMER_HOLDER)
    fleet.silent.add(FORMER_HOLDER)
    fleet.retransmit(PACKET, 2_500)
    assert len(fleet.at_others) <= 2
    fleet.restart_agent(FORMER_HOLDER)
    fleet.retransmit(PACKET, 4_000)
    assert fleet.at_holder


# No packet is tried at servers of a service that the route never had.
@pytest.mark.parametrize("address", [GAUGING, REPORTING])
def test_packets_are_not_tried_at_servers_of_an_unrelated_service(
    address: Endpoint,
) -> None:
    fleet = TrialFleet(3, reporting=2)
    packet = make_packet(payload=10, address=address)
    fleet.send(packet)
    fleet.run(250)
    service = "gauging" if address == GAUGING else "reporting"
    own = [ip for ip, name in fleet.services.items() if name == service]
    assert len(fleet.at_others) == len(own)
