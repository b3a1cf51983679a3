"""The silence of an agent is not taken as proof that it owns no flow.

A flow whose server lives would be ended, or be opened at a second server, because a
message was lost or an agent was paused or cut off for some seconds.
"""

import pytest

from citronwinch.coordination import Endpoint, Instance, InstanceRole
from citronwinch.coordination._placement import find_home
from citronwinch.coordination.steering import Register
from citronwinch.coordination.steering.tests.conftest import (
    NAMES,
    Group,
    make_key,
    make_row,
)

FOURTH = "gauging-4"


def list_instances(names):
    return tuple(
        Instance(name, InstanceRole.AGENT, "zone-0", Endpoint("198.51.100.9", 1))
        for name in names
    )


def settle_with_cut(group, duration_ms, parts):
    """Advance the time while messages between two parts of the group are lost."""
    for _ in range(duration_ms // 100):
        group.tick()
        while group.in_transit:
            sent = group.in_transit.pop(0)
            if all({sent.sender, sent.receiver} & part for part in parts):
                continue
            group.receive(sent)


CUT_OFF_OWNERS = {
    "an only member counts a former member as gone": (
        [make_row(NAMES[0]), make_row(NAMES[1])],
        [make_row(NAMES[0])],
        NAMES,
        ({NAMES[0]}, {NAMES[1]}),
    ),
    "two of three members count a former member as gone": (
        [make_row(name) for name in (*NAMES, FOURTH)],
        [make_row(name) for name in (NAMES[0], NAMES[2], FOURTH)],
        (*NAMES, FOURTH),
        ({NAMES[0], FOURTH}, {NAMES[1], NAMES[2]}),
    ),
    "the platform does not list the owner": (
        [make_row(NAMES[0]), make_row(NAMES[1])],
        None,
        [NAMES[0]],
        ({NAMES[0]}, {NAMES[1]}),
    ),
    "the platform does not list a member that only the owner hears": (
        [make_row(name) for name in (*NAMES, FOURTH)],
        None,
        [NAMES[0], NAMES[1], FOURTH],
        ({NAMES[0], FOURTH}, {NAMES[1], NAMES[2]}),
    ),
}
"""The rows before and after the flow is opened, the listed agents and the parts."""


@pytest.mark.parametrize("name", CUT_OFF_OWNERS)
def test_owner_that_may_count_as_gone_is_not_certain(name):
    """Two agents would serve one flow: the owner, and the one chosen in its place."""
    before, after, listed, parts = CUT_OFF_OWNERS[name]
    group = Group(before)
    home, owner = NAMES[0], NAMES[1]
    flow = group.find_flow(owner, seen_by=home)
    group.deliver_packet(owner, flow)
    assert group.owners(flow) == [owner]
    if after is not None:
        group.publish(after)
    group.settle()
    for agent in group.agents.values():
        is_listed = agent.backend_server in listed
        agent.accept_instances(list_instances(listed), is_listed=is_listed)
    settle_with_cut(group, 6_000, parts)
    group.deliver_packet(home, flow, packet=b"second")
    settle_with_cut(group, 300, parts)
    group.deliver_packet(owner, flow, packet=b"third")
    settle_with_cut(group, 6_000, parts)
    assert len(group.owners(flow)) <= 1
    assert [agent for agent, _ in group.delivered].count(owner) == 1
    group.settle(8_000)
    assert len(group.owners(flow)) == 1


def test_owner_that_has_an_older_list_is_not_certain():
    """An agent reads the list once a minute; its peer has read a later one."""
    group = Group([make_row(NAMES[0]), make_row(NAMES[1])])
    home, owner = NAMES[0], NAMES[1]
    flow = group.find_flow(owner, seen_by=home)
    group.deliver_packet(owner, flow)
    group.settle()
    group.agents[home].accept_instances(list_instances([home]))
    settle_with_cut(group, 6_000, ({home}, {owner}))
    group.deliver_packet(home, flow, packet=b"second")
    settle_with_cut(group, 300, ({home}, {owner}))
    assert len(group.owners(flow)) <= 1


@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("is_listed", [True, False])
def test_owner_stays_certain_when_another_member_is_lost(count, is_listed):
    """Flows of the remaining servers would wait for the answers of a lost agent."""
    names = NAMES[:count]
    group = Group([make_row(name) for name in names])
    owner, lost = NAMES[:2]
    flow = group.find_flow(owner, seen_by=owner)
    group.deliver_packet(owner, flow)
    del group.agents[lost]
    for agent in group.agents.values():
        agent.accept_instances(
            list_instances(names if is_listed else {*names} - {lost})
        )
    group.settle(12_000)
    assert group.owners(flow) == [owner]
    group.deliver_packet(owner, flow, packet=b"second")
    assert len(group.delivered) == 2


DEPARTURES = {
    "all members know it, the packet is first": (NAMES[1:], True),
    "a packet that opens no flow is first": (NAMES[1:], False),
    "the owner does not know it": (NAMES[2:], True),
    "the owner does not know it, and no packet opens the flow": (NAMES[2:], False),
}
"""The members that hear of the departure, and whether the packet may open a flow."""


@pytest.mark.parametrize("name", DEPARTURES)
def test_flow_of_a_departed_home_stays_with_its_owner(group, name):
    """The next home had complete leases from before, and took the flow for new."""
    informed, opens = DEPARTURES[name]
    departed, owner, next_home = NAMES
    flow = find_flow_with_homes(group, departed, next_home)
    open_at_owner(group, flow, owner)
    group.agents[departed].begin_stop()
    group.settle(300)
    actions = [
        action
        for action in group.agents[departed].depart()
        if action.receiver in informed
    ]
    del group.agents[departed]
    group.apply_actions(departed, actions)
    group.flush()
    group.deliver_packet(next_home, flow, opens=opens, declined=(departed,))
    group.settle(1_500)
    assert [agent for agent, key in group.delivered if key == flow] == [owner]
    assert group.owners(flow) == [owner]
    assert not group.refused


def test_flow_of_a_silent_home_stays_with_its_owner(group):
    """A member named its home silent and its flows complete before it registered."""
    silent, owner, next_home = NAMES
    flow = find_flow_with_homes(group, silent, next_home)
    open_at_owner(group, flow, owner)
    del group.agents[silent]
    owner_agent, home_agent = group.agents[owner], group.agents[next_home]
    while not all(
        agent.leases["gauging"].is_silent(silent) for agent in (owner_agent, home_agent)
    ):
        group.flush()
        group.tick(10, paused=frozenset([owner]))
        due = group.clock.now_ms() % 100 == 0
        if due and not owner_agent.leases["gauging"].is_silent(silent):
            group.apply_actions(owner, owner_agent.tick())
    home_agent.leases["gauging"].renew_all()
    group.apply_actions(next_home, home_agent.tick())
    group.flush()
    group.deliver_packet(next_home, flow, opens=False, declined=(silent,))
    group.settle(1_500)
    assert [agent for agent, key in group.delivered if key == flow] == [owner]
    assert not group.refused


def find_flow_with_homes(group, home, next_home):
    """Return a flow with a home, and another one if that home is gone."""
    rows = group.table.rows_by_service["gauging"]
    present = [row for row in rows if row.backend_server != home]
    return next(
        key
        for key in map(make_key, range(500))
        if group.home(key) == home and find_home(key, present) == next_home
    )


def open_at_owner(group, flow, owner, settle_ms=1_500):
    """Let an agent own a flow that another agent is the home of."""
    agent = group.agents[owner]
    agent.flows.open(flow, "gauging")
    agent.update_home(flow, "gauging")
    group.settle(settle_ms)


@pytest.mark.parametrize("opens", [True, False])
def test_flow_stays_with_its_owner_when_its_home_returns_to_the_owner(group, opens):
    """The owner withdrew the flow from a home that still held a complete lease."""
    returning, owner, home = NAMES
    flow = find_flow_with_homes(group, returning, home)
    open_at_owner(group, flow, owner)
    settle_with_cut(group, 9_000, ({returning}, {owner, home}))
    assert group.agents[home].owner_registry.owners[flow] == owner
    for _ in range(80):
        settle_with_cut(group, 100, ({returning}, {home}))
        packet = b"%d" % group.clock.now_ms()
        group.deliver_packet(home, flow, opens=opens, packet=packet)
    settle_with_cut(group, 1_000, ({returning}, {home}))
    assert {agent for agent, key in group.delivered if key == flow} <= {owner}
    assert not any(refusal.is_certain for _, refusal in group.refused)


def test_registration_that_overtakes_the_news_of_a_restart_is_kept(group):
    """The home discarded the flows of the new run with those of the former one."""
    home, owner = NAMES[:2]
    flow = group.find_flow(home)
    group.start(owner)
    requests = [sent for sent in group.in_transit if sent.sender == owner]
    group.in_transit.clear()
    open_at_owner(group, flow, owner, settle_ms=0)
    group.tick()
    registrations = [
        sent for sent in group.in_transit if isinstance(sent.message, Register)
    ]
    group.in_transit.clear()
    for sent in [*registrations, *requests]:
        group.receive(sent)
    group.settle()
    group.deliver_packet(home, flow)
    group.settle()
    assert [agent for agent, key in group.delivered if key == flow] == [owner]
    assert group.owners(flow) == [owner]
