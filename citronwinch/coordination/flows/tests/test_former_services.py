"""Flows at a service that their route no longer has.

The operators add a service to a route and take it away again; flows that were opened
there meanwhile live on. Guards against balancers that do not count the agents of such a
service among the possible holders of the flow.
"""

import pytest

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    ConfigurationFollower,
    FormerRoute,
    Route,
    ServiceShare,
    pack_route_address,
)
from citronwinch.coordination.flows._route_history import ROUTE_HISTORY_MS
from citronwinch.coordination.flows._searched_servers import UNRELATED_SERVERS_LIMIT
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    make_configuration,
    make_packet,
    make_route,
)
from citronwinch.coordination.flows.tests.trial_fleet import BALANCER_IP, TrialFleet

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
        fleet.view.accept_configuration(configuration, is_next_version=True)
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


def restart_fleet(*, reporting: int = 2) -> TrialFleet:
    """Return a fleet whose processes have all restarted after the route's changes."""
    fleet = TrialFleet(3, reporting=reporting)
    fleet.view.start_after_others(BALANCER_IP)
    fleet.run(4_000)
    return fleet


# After a kill of all processes nobody knew that the route had the service. Its agents'
# uncertain answers did not count, and live flows were reset.
def test_a_flow_at_a_service_that_everybody_has_forgotten_is_found() -> None:
    fleet = restart_fleet()
    assert find_holder_at_once(fleet)
    assert not fleet.resets


# The same while the agent of the flow's server is still away.
def test_a_flow_at_a_forgotten_service_is_not_reset_while_its_agent_is_silent() -> None:
    fleet = restart_fleet()
    fleet.hold(PACKET, holder=FORMER_HOLDER)
    fleet.silent.add(FORMER_HOLDER)
    fleet.retransmit(PACKET, 3_500)
    assert not fleet.resets
    fleet.restart_agent(FORMER_HOLDER)
    fleet.retransmit(PACKET, 4_000)
    assert fleet.at_holder


# More servers than a search asks for services that the route may never have had.
def test_a_flow_that_may_be_at_one_of_too_many_servers_is_not_reset() -> None:
    fleet = restart_fleet(reporting=UNRELATED_SERVERS_LIMIT + 1)
    fleet.hold(PACKET, holder=FORMER_HOLDER)
    fleet.retransmit(PACKET, 4_000)
    assert not fleet.resets


def test_a_dead_flow_is_reset_although_the_history_of_its_route_is_unknown() -> None:
    fleet = restart_fleet()
    fleet.send(PACKET)
    fleet.run(500)
    assert fleet.resets == [PACKET.flow]


# A balancer that had missed the version in between took the service for unrelated.
@pytest.mark.parametrize(
    ("is_next_version", "is_complete"),
    [pytest.param(True, True, id="followed"), pytest.param(False, False, id="missed")],
)
def test_a_balancer_that_may_have_missed_a_version_does_not_reset(
    *, is_next_version: bool, is_complete: bool
) -> None:
    fleet = TrialFleet(3, reporting=2)
    fleet.view.accept_configuration(
        make_configuration(3), is_next_version=is_next_version
    )
    assert fleet.view.route_history.is_complete is is_complete
    fleet.hold(PACKET, holder=FORMER_HOLDER)
    fleet.silent.add(FORMER_HOLDER)
    fleet.retransmit(PACKET, 2_500)
    assert bool(fleet.resets) is is_complete


# One answer to a watch had two versions, and the first one was ignored.
def test_a_version_that_was_replaced_at_once_counts() -> None:
    view = TrialFleet(3, reporting=2).view
    follower = ConfigurationFollower(view)
    versions = [
        make_configuration(2, make_alarms("gauging", "reporting")),
        make_configuration(3, make_alarms("gauging")),
    ]
    position = view.configuration_position
    assert follower.handle_watch(versions, position, position)
    services = view.list_current_and_former_services(pack_route_address(GAUGING))
    assert services == {"gauging", "reporting"}
    assert view.route_history.is_complete


KNOWN_BY_OTHERS = {
    "for the lifetime of a flow": (ROUTE_HISTORY_MS, 3, True),
    "since before the missed version": (20_000, 3, True),
    "since after it": (5_000, 3, False),
    "not stated": (0, 3, False),
    "with an older configuration": (ROUTE_HISTORY_MS, 2, False),
}


# Another balancer that has seen the missed versions closes the gap, no other one does.
@pytest.mark.parametrize("case", KNOWN_BY_OTHERS)
def test_a_gap_is_closed_by_a_balancer_that_has_followed_all_versions(
    case: str,
) -> None:
    known_for_ms, version, is_complete = KNOWN_BY_OTHERS[case]
    fleet = TrialFleet(3, reporting=2)
    view = fleet.view
    fleet.run(10_000)
    view.accept_configuration(make_configuration(3))
    former = FormerRoute(pack_route_address(GAUGING), "reporting", 100)
    view.accept_route_history(version, [former], known_for_ms)
    assert view.route_history.is_complete is is_complete
    services = view.list_current_and_former_services(pack_route_address(GAUGING))
    assert services == {"gauging", "reporting"}
