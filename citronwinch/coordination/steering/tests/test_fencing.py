"""Every order of messages around a change of homes opens a flow at most once.

The states that can be reached are explored one after the other; what the agents
know and what is on its way identifies a state.
"""

import pickle

import pytest

from citronwinch.coordination.steering import LeaseAnswer, LeaseRequest
from citronwinch.coordination.steering._leases import SILENT_MS, ServiceLeases
from citronwinch.coordination.steering.tests.conftest import Group, make_key, make_row

FORMER, FIRST = "gauging-1", "gauging-2"

STATES_LIMIT = 40_000


def weights(**values):
    return [make_row(name.replace("_", "-"), weight=w) for name, w in values.items()]


def start_group():
    """Return a settled group and a flow whose home moves from one agent to another."""
    rows = weights(gauging_1=100, gauging_2=100)
    group = Group(rows)
    flow = next(
        key
        for key in (make_key(n) for n in range(500))
        if group.home(key, seen_by=FIRST) == FORMER
    )
    return group, flow


def apply_event(group, flow, event):
    """Let one thing happen from outside."""
    kind, name = event
    if kind == "packet":
        group.packet(name, flow)
    elif kind == "table":
        group.give_table(name)
    elif kind == "pause":
        group.tick(SILENT_MS + 100, paused=frozenset([name]))


def steps(group, events):
    """Return the indexes of the messages and events that can come next.

    Events at one agent come in their order, and so do lease messages of one link.
    """
    seen = set()
    for index, wire in enumerate(group.wires):
        is_lease = isinstance(wire.message, LeaseRequest | LeaseAnswer)
        link = (wire.sender, wire.receiver, type(wire.message) if is_lease else wire)
        if link not in seen:
            seen.add(link)
            yield "message", index
    for index in range(len(events)):
        yield "event", index


def identify(group, events):
    state = [
        (name, agent.owned, agent.registry.owners, agent.leases, agent.held.flows)
        for name, agent in group.agents.items()
    ]
    wires = sorted(map(repr, group.wires))
    return hash(pickle.dumps((state, wires, events, group.clock.now_ms())))


def explore(group, flow, events):
    """Visit all states; return how many there are."""
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
        for kind, index in steps(group, events):
            successor, left = group.copy(), events
            if kind == "message":
                successor.receive(successor.wires.pop(index))
            else:
                apply_event(successor, flow, events[index])
                left = events[:index] + events[index + 1 :]
            stack.append((successor, left))
    return len(visited)


CASES = {
    "both homes see a copy while the table arrives": [
        ("packet", FORMER),
        ("packet", FIRST),
        ("table", FORMER),
        ("table", FIRST),
    ],
    "the former home is paused": [
        ("packet", FORMER),
        ("packet", FIRST),
        ("table", FIRST),
        ("pause", FORMER),
    ],
    "the new home is paused": [
        ("packet", FORMER),
        ("packet", FIRST),
        ("table", FIRST),
        ("pause", FIRST),
    ],
}


@pytest.mark.parametrize("name", CASES)
def test_no_order_of_messages_opens_a_flow_twice(name):
    group, flow = start_group()
    group.publish(weights(gauging_1=0, gauging_2=100), only=[])
    states = explore(group, flow, CASES[name])
    assert states > 100


def test_exploration_finds_a_double_open_without_fencing(monkeypatch):
    """The same exploration fails when a home never waits for the others."""
    monkeypatch.setattr(ServiceLeases, "blocking_members", lambda self: [])
    group, flow = start_group()
    group.publish(weights(gauging_1=0, gauging_2=100), only=[])
    with pytest.raises(AssertionError):
        explore(group, flow, next(iter(CASES.values())))
