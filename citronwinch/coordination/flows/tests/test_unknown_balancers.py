"""A reset while balancers that may know the flow are unknown to this one.

All seeds may be outdated, so that a balancer knows no other one. Guards against resets
of flows at servers that have just registered, which another balancer has opened.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    BalancerMembers,
    DeploymentView,
    FlowAnswer,
    Heartbeat,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._members import (
    MIN_MEMBER_TIMEOUT_MS,
    NAMED_ADDRESS_TIMEOUT_MS,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

OWN_IP, OTHER, NAMED = "10.1.0.1", "10.1.0.2", "10.1.0.3"
LISTED = make_server(1)
PACKET = make_packet(payload=10)
TICK_MS = 20


@pytest.fixture
def members(clock: ManualClock) -> BalancerMembers:
    """The members of a balancer whose only seed is outdated."""
    return BalancerMembers(OWN_IP, ["10.1.0.99"], clock)


def make_heartbeat(*balancers: str) -> Heartbeat:
    return Heartbeat(7, "a", False, StorePosition(1, 10), 1, 0, 1, balancers)


def is_reset_before_newer_listing(clock: ManualClock, members: BalancerMembers) -> bool:
    """Let the only listed server deny a flow; return whether that is taken for proof.

    Checks that the flow is reset as soon as the listing is newer than its packet.
    """
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration())
    view.accept_listing(make_listing(10, LISTED), clock.now_ms())
    selector = ServerSelector("a", clock, random.Random(7))
    selector.record_message(LISTED.address.ip)
    balancer = BalancerFlows(view, selector, clock, own_ip=OWN_IP)
    balancer.directory.may_lack_balancers = members.may_lack_balancers()
    clock.advance(400)
    actions = balancer.handle_packet(PACKET)
    denial = FlowAnswer(PACKET.flow, Verdict.ABSENT)
    actions += balancer.handle_answer(denial, LISTED.address.ip)
    clock.advance(TICK_MS)
    actions += balancer.tick()
    is_reset = has_reset(actions)
    view.confirm_listing(StorePosition(1, 11), clock.now_ms())
    clock.advance(TICK_MS)
    assert is_reset or has_reset(balancer.tick())
    return is_reset


# All seeds were outdated: the balancer asked nobody, and reset the flow.
def test_a_balancer_that_knows_no_other_needs_a_newer_listing_for_a_reset(
    clock: ManualClock, members: BalancerMembers
) -> None:
    assert not is_reset_before_newer_listing(clock, members)


# A balancer that another one has named may know the flow before it is heard.
def test_a_balancer_that_was_named_lately_makes_a_newer_listing_necessary(
    clock: ManualClock, members: BalancerMembers
) -> None:
    members.handle_heartbeat(OTHER, make_heartbeat(NAMED))
    assert not is_reset_before_newer_listing(clock, members)


def test_a_named_balancer_that_is_never_heard_does_not_delay_resets_for_long(
    clock: ManualClock, members: BalancerMembers
) -> None:
    members.handle_heartbeat(OTHER, make_heartbeat(NAMED))
    clock.advance(MIN_MEMBER_TIMEOUT_MS)
    assert is_reset_before_newer_listing(clock, members)


def test_a_balancer_that_knows_the_others_resets_at_once(
    clock: ManualClock, members: BalancerMembers
) -> None:
    members.handle_heartbeat(OTHER, make_heartbeat(OWN_IP))
    assert is_reset_before_newer_listing(clock, members)


def test_balancers_that_an_agent_names_get_heartbeats_until_they_are_given_up(
    clock: ManualClock, members: BalancerMembers
) -> None:
    assert members.record_named([OWN_IP, OTHER, NAMED]) == [OTHER, NAMED]
    assert members.record_named([OTHER, NAMED]) == []
    assert {OTHER, NAMED} < members.list_heartbeat_targets()
    members.handle_heartbeat(OTHER, make_heartbeat())
    clock.advance(NAMED_ADDRESS_TIMEOUT_MS + 1)
    members.expire()
    assert NAMED not in members.list_heartbeat_targets()
