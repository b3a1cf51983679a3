"""No order of messages around a change of a flow's home opens the flow twice.

Without fencing, the former home and the new one both choose an owner. The test
explores all reachable states; a state is identified by the state of the agents and
the messages in transit.
"""

import pickle

import pytest

from citronwinch.coordination.steering import LeaseAnswer, LeaseRequest
from citronwinch.coordination.steering._leases import SILENT_MS, ServiceLeases
from citronwinch.coordination.steering.tests.conftest import Group, make_key, make_row

FORMER_HOME, NEW_HOME = "gauging-1", "gauging-2"

STATES_LIMIT = 40_000


def weights(**values):
    return [
        make_row(name.replace("_", "-"), weight=weight)
        for name, weight in values.items()
    ]


def start_group():
    """Return a settled group and a flow whose home is `FORMER_HOME`."""
    rows = weights(gauging_1=100, gauging_2=100)
    group = Group(rows)
    flow = next(
        key
        for key in (make_key(number) for number in range(500))
        if group.home(key, seen_by=NEW_HOME) == FORMER_HOME
    )
    return group, flow


def apply_event(group, flow, event):
    """Apply an external event: a packet, a table or a pause."""
    kind, name = event
    if kind == "packet":
        group.deliver_packet(name, flow)
    elif kind == "table":
        group.deliver_table(name)
    elif kind == "pause":
        group.tick(SILENT_MS + 100, paused=frozenset([name]))


def find_steps(group, events):
    """Return the kind and index of each message and event that can come next.

    Lease requests of one link arrive in order, and so do lease answers.
    """
    seen = set()
    for index, sent in enumerate(group.in_transit):
        is_lease = isinstance(sent.message, LeaseRequest | LeaseAnswer)
        link = (sent.sender, sent.receiver, type(sent.message) if is_lease else sent)
        if link not in seen:
            seen.add(link)
            yield "message", index
    for index in range(len(events)):
        yield "event", index


def identify(group, events):
    state = [
        (name, agent.owned, agent.owner_registry.owners, agent.leases, agent.held.flows)
        for name, agent in group.agents.items()
    ]
    in_transit = sorted(map(repr, group.in_transit))
    return hash(pickle.dumps((state, in_transit, events, group.clock.now_ms())))


def explore(group, flow, events):
    """Visit all reachable states and return their number."""
    visited = set()
    stack = [(group.copy(), tuple(events))]
    while stack:
        group, events = stack.pop()
        assert len(group.owners(flow)) <= 1, group.owners(flow)
        identity = identify(group, events)
        if identity in visited:
            continue
        visited.add(identity)
        assert len(visited) <= STATES_LIMIT
        for kind, index in find_steps(group, events):
            successor, left = group.copy(), events
            if kind == "message":
                successor.receive(successor.in_transit.pop(index))
            else:
                apply_event(successor, flow, events[index])
                left = events[:index] + events[index + 1 :]
            stack.append((successor, left))
    return len(visited)


CASES = {
    "both homes receive a copy while the table arrives": [
        ("packet", FORMER_HOME),
        ("packet", NEW_HOME),
        ("table", FORMER_HOME),
        ("table", NEW_HOME),
    ],
    "the former home is paused": [
        ("packet", FORMER_HOME),
        ("packet", NEW_HOME),
        ("table", NEW_HOME),
        ("pause", FORMER_HOME),
    ],
    "the new home is paused": [
        ("packet", FORMER_HOME),
        ("packet", NEW_HOME),
        ("table", NEW_HOME),
        ("pause", NEW_HOME),
    ],
}


@pytest.mark.parametrize("name", CASES)
def test_no_order_of_messages_opens_a_flow_twice(name):
    group, flow = start_group()
    group.publish(weights(gauging_1=0, gauging_2=100), only=[])
    states = explore(group, flow, CASES[name])
    assert states > 100


def test_exploration_finds_a_double_open_without_fencing(monkeypatch):
    """The exploration fails when a home never waits for other members."""
    monkeypatch.setattr(ServiceLeases, "list_blocking_members", lambda self: [])
    group, flow = start_group()
    group.publish(weights(gauging_1=0, gauging_2=100), only=[])
    with pytest.raises(AssertionError):
        explore(group, flow, next(iter(CASES.values())))
