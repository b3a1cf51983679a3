"""Sequences of events in small fleets that have broken the promise about a flow.

Guards against the faults that the search over small fleets has found, one test each.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowLookup,
    SendMessage,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)
from citronwinch.coordination.flows.tests.search_small_fleets import FLEETS
from citronwinch.coordination.flows.tests.small_fleet_events import (
    FleetEvent,
    describe,
    play,
)

OWN_IP, OTHER_IP = "10.1.0.1", "10.1.0.2"

LEADS_MS = range(0, 1_000, 50)
"""The times of the first event; whether a fault shows depends on the time since the
latest heartbeats."""

Events = tuple[FleetEvent, ...]


def check(events: Events, fleet: tuple[int, int]) -> None:
    """Play events at several times between heartbeats; fail if a promise is broken."""
    for lead_ms in LEADS_MS:
        moved = (events[0]._replace(after_ms=lead_ms), *events[1:])
        outcome = play(moved, *fleet)
        assert outcome is None, describe(moved, outcome)


# After an outage of the store or a pause, a balancer states that it has known former
# servers for a short time only. A starting one takes this for a restart of the whole
# fleet, and the silence of an agent that is being restarted for the end of its server.
@pytest.mark.parametrize(
    ("events", "fleet"),
    [
        pytest.param(
            (
                FleetEvent(0, "the store answers nobody"),
                FleetEvent(0, "the flow's balancer is killed for 700 ms"),
                FleetEvent(700, "the holder leaves the listing"),
                FleetEvent(0, "the holder's agent is killed for 7,000 ms"),
            ),
            FLEETS[0],
            id="during the outage",
        ),
        pytest.param(
            (
                FleetEvent(0, "the holder's agent is killed for 7,000 ms"),
                FleetEvent(50, "the store answers nobody"),
                FleetEvent(3_000, "the holder leaves the listing"),
                FleetEvent(50, "the flow's balancer is killed for 700 ms"),
            ),
            FLEETS[1],
            id="after the outage",
        ),
        pytest.param(
            (
                FleetEvent(50, "the flow's balancer is killed for 700 ms"),
                FleetEvent(700, "the holder leaves the listing"),
                FleetEvent(0, "the other balancer is paused for 3,000 ms"),
                FleetEvent(100, "the flow's balancer is killed for 700 ms"),
                FleetEvent(1_400, "the flow's balancer reads no listing"),
            ),
            FLEETS[0],
            id="a pause instead of an outage, and no agent is silent",
        ),
        pytest.param(
            (
                FleetEvent(400, "the other balancer is restarted in turn"),
                FleetEvent(3_000, "the holder's agent is killed for 7,000 ms"),
                FleetEvent(700, "the holder leaves the listing"),
                FleetEvent(5_100, "the other balancer is killed for 700 ms"),
            ),
            FLEETS[0],
            id="the balancer that was there before restarts as well",
        ),
    ],
)
def test_an_outage_of_the_store_is_no_restart_of_the_whole_fleet(
    events: Events, fleet: tuple[int, int]
) -> None:
    check(events, fleet)


# Two balancers start within MIN_GAIN_MS of each other, and a server leaves the listing
# between their first reads. The later one does not fetch what the earlier one knows.
def test_a_server_that_leaves_between_the_starts_of_two_balancers_is_learned() -> None:
    events = (
        FleetEvent(0, "the other balancer is restarted in turn"),
        FleetEvent(3_000, "the flow's balancer is killed for 700 ms"),
        FleetEvent(50, "the holder leaves the listing"),
        FleetEvent(800, "the other balancer is paused for 3,000 ms"),
    )
    check(events, FLEETS[0])


# The last lookup before a reset finds the flow at a dead server that this balancer has
# removed already. The flow is then forwarded there, and nothing ends it any more.
@pytest.mark.parametrize(
    ("events", "fleet"),
    [
        pytest.param(
            (
                FleetEvent(0, "the holder's instance dies"),
                FleetEvent(700, "packets move to another balancer"),
                FleetEvent(3_100, "the other balancer is paused for 3,000 ms"),
            ),
            FLEETS[1],
            id="three balancers",
        ),
        pytest.param(
            (
                FleetEvent(0, "the holder's instance dies"),
                FleetEvent(50, "the other balancer is killed for 700 ms"),
                FleetEvent(3_750, "the other balancer is paused for 3,000 ms"),
            ),
            FLEETS[0],
            id="two balancers",
        ),
    ],
)
def test_a_lookup_does_not_revive_a_flow_of_a_server_that_is_lost(
    events: Events, fleet: tuple[int, int]
) -> None:
    check(events, fleet)


# A starting balancer does not know the holder yet. It sends all held packets to an
# uncertain agent as a trial, and none to the holder for 2 s.
@pytest.mark.parametrize(
    "events",
    [
        pytest.param(
            (
                FleetEvent(0, "the holder leaves the listing"),
                FleetEvent(700, "another agent is restarted in turn for 500 ms"),
                FleetEvent(50, "the other balancer is restarted in turn"),
                FleetEvent(3_000, "fetches between balancers fail"),
            ),
            id="restarted in turn, and the fetch fails",
        ),
        pytest.param(
            (
                FleetEvent(0, "the other balancer is killed for 700 ms"),
                FleetEvent(0, "the holder leaves the listing"),
                FleetEvent(0, "another agent is restarted in turn for 500 ms"),
                FleetEvent(700, "the flow's balancer is paused for 3,000 ms"),
            ),
            id="killed, and the balancer that knows is paused",
        ),
    ],
)
def test_packets_are_not_tried_elsewhere_while_servers_may_be_unknown(
    events: Events,
) -> None:
    check(events, FLEETS[0])


# A stopping balancer is not in its own set of the zone's balancers. With one other
# balancer the set then has one member, and no lookup precedes the reset.
def test_a_stopping_balancer_looks_flows_up_before_it_resets_them(
    clock: ManualClock,
) -> None:
    listed = make_server(1)
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, listed), clock.now_ms())
    selector = ServerSelector("a", clock, random.Random(7))
    balancer = BalancerFlows(view, selector, clock, own_ip=OWN_IP)
    balancer.directory.set_balancers({OWN_IP, OTHER_IP})
    balancer.directory.set_balancers({OTHER_IP})
    packet = make_packet(payload=10)
    actions = balancer.handle_packet(packet)
    denial = FlowAnswer(packet.flow, Verdict.ABSENT)
    actions += balancer.handle_answer(denial, listed.address.ip)
    assert not has_reset(actions)
    assert SendMessage(OTHER_IP, FlowLookup(packet.flow)) in actions
