"""Another program on a backend server's instance has an entry of its own.

Its service is one that no operator names. Guards against a balancer that takes this
entry for the server at that address: it leaves the backend server out, forwards packets
of its flows in the name of the other service, takes their return for a denial, and
resets flows that live.
"""

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import (
    BackendServer,
    BalancerFlows,
    DepartedServer,
    DeploymentView,
    FlowAnswer,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    has_reset,
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)

SERVERS = [make_server(1), make_server(2), make_server(3, zone="b")]
REPORTING_SERVER = make_server(4, "reporting")
OWN_AGENT = "10.0.0.1"
PACKET = make_packet(4000, payload=10, acknowledged=700)


def make_foreign(
    name: str = "m1", service: str = "host-metrics", started_ms: int = 90_000
) -> BackendServer:
    """Return an entry for another port of the instance of the first server."""
    return make_server(1)._replace(
        name=name,
        service=service,
        address=Endpoint(OWN_AGENT, 9_100),
        started_ms=started_ms,
    )


def list_with_foreign(view: DeploymentView, *foreign: BackendServer) -> None:
    listing = make_listing(11, *SERVERS, REPORTING_SERVER, *foreign)
    view.accept_listing(listing, view.clock.now_ms())


@pytest.mark.parametrize(
    "foreign",
    [
        pytest.param([make_foreign()], id="started later"),
        pytest.param([make_foreign(started_ms=1_000)], id="started at the same time"),
        pytest.param([make_foreign(started_ms=0)], id="without a start"),
        pytest.param([make_foreign(f"m{n}") for n in range(20)], id="many"),
    ],
)
def test_an_entry_of_an_unnamed_service_hides_no_server(
    view: DeploymentView, foreign: list[BackendServer]
) -> None:
    list_with_foreign(view, *foreign)
    assert view.list_servers() == [*SERVERS, REPORTING_SERVER]
    assert view.list_possible_holders(["gauging"]) == SERVERS
    assert view.list_services() == {"gauging", "reporting"}
    assert view.listed.unnamed == tuple(sorted(each.name for each in foreign))
    assert view.listed.superseded == ()


# Live flows were reset when a planned stop moved them to another balancer.
def test_an_unknown_flow_is_forwarded_in_the_name_of_its_own_service(
    balancer: BalancerFlows, view: DeploymentView
) -> None:
    list_with_foreign(view, make_foreign())
    actions = balancer.handle_packet(PACKET)
    assert OWN_AGENT in list_questions(actions)
    held = FlowAnswer(PACKET.flow, Verdict.HELD)
    actions = balancer.handle_answer(held, OWN_AGENT)
    assert list_forwards(actions) == [(OWN_AGENT, "gauging")]
    assert not has_reset(actions)


def test_an_entry_of_an_unnamed_service_never_becomes_a_former_server(
    view: DeploymentView, clock: ManualClock
) -> None:
    list_with_foreign(view, make_foreign())
    clock.advance(500)
    view.accept_listing(make_listing(12, *SERVERS), clock.now_ms())
    assert set(view.former) == {"s4"}
    departed = [DepartedServer(make_foreign("m2"), 100)]
    view.accept_former(departed, "10.1.0.2", 60_000, [make_foreign("m3")])
    assert set(view.former) == {"s4"}


# A server that has left may still hold flows; an entry at its address says nothing.
def test_a_departed_server_is_probed_although_a_foreign_entry_has_its_address(
    view: DeploymentView, clock: ManualClock
) -> None:
    list_with_foreign(view, make_foreign())
    clock.advance(500)
    others = (*SERVERS[1:], REPORTING_SERVER, make_foreign())
    view.accept_listing(make_listing(12, *others), clock.now_ms())
    assert view.list_former() == [SERVERS[0]]
    assert SERVERS[0] in view.list_possible_holders(["gauging"])


@pytest.mark.parametrize("is_routed", [True, False])
def test_a_service_that_is_named_later_has_its_servers_at_once(
    view: DeploymentView, *, is_routed: bool
) -> None:
    server = make_server(7, "billing")
    list_with_foreign(view, server)
    assert "billing" not in view.by_service
    routes = (make_route("bills", GAUGING, "billing"),) if is_routed else ()
    configuration = make_configuration(2, *routes)
    if not is_routed:
        named = frozenset({"billing"})
        configuration = configuration._replace(other_services=named)
    view.accept_configuration(configuration)
    assert view.by_service["billing"] == [server]


def test_a_service_that_lost_its_route_keeps_its_servers_for_a_flows_lifetime(
    view: DeploymentView, clock: ManualClock
) -> None:
    view.accept_configuration(
        make_configuration(2, make_route("alarms", GAUGING, "reporting"))
    )
    assert view.by_service["gauging"] == SERVERS
    assert view.list_current_and_former_services(
        next(iter(make_configuration().routes))
    ) == {"gauging", "reporting"}
    clock.advance(61_000)
    view.expire()
    list_with_foreign(view)
    assert list(view.by_service) == ["reporting"]


def test_every_service_counts_as_named_before_the_first_configuration(
    clock: ManualClock,
) -> None:
    view = DeploymentView(clock)
    list_with_foreign(view, make_foreign())
    clock.advance(500)
    view.accept_listing(make_listing(12, *SERVERS[:2]), clock.now_ms())
    assert {"s3", "s4", "m1"} <= set(view.former)
    view.accept_configuration(make_configuration())
    assert set(view.former) == {"s3", "s4"}
