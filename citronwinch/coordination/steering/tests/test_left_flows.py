"""Flows of an agent without peers are left to its next run.

The failures guarded against: a flow is left that the next run refuses or that appears
to the backend server as a new peer, and an agent with peers ends without a handover.
"""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from citronwinch.coordination import (
    Flow,
    FlowKey,
    Instance,
    InstanceRole,
    InstanceState,
    Table,
    TransportProtocol,
)
from citronwinch.coordination.steering import LeftFlows, Register
from citronwinch.coordination.steering._left_flows import find_left_flows
from citronwinch.coordination.steering.tests._handover_group import PATH
from citronwinch.coordination.steering.tests.conftest import (
    ADDRESSES,
    Group,
    make_key,
    make_row,
)

NAME = "gauging-1"
FIRST_PORT = 30_000
UDP = make_key(1)
TCP = Flow(TransportProtocol.TCP, ADDRESSES["reporting"], ADDRESSES["gauging"]).key
MOVED = make_key(2, "reporting")


def derive(flow):
    return FIRST_PORT + int.from_bytes(flow[5:7]) % 1_000


def find_other(flow):
    return derive(flow) + 1


def find_none(flow):
    return 0


class LoneAgent:
    """A group whose service has one agent, with one open flow."""

    def __init__(self, rows):
        self.group = Group(rows)
        self.agent = self.group.agents[NAME]
        self.group.deliver_packet(NAME, UDP)
        self.group.flush()
        assert list(self.agent.owned) == [UDP]
        self.find_local_port = derive
        self.derive_local_port = derive

    def find_left(self):
        return self.agent.find_left_flows(self.find_local_port, self.derive_local_port)


@pytest.fixture
def lone():
    return LoneAgent([make_row(NAME), make_row("reporting-1", "reporting")])


def change_row(lone, **fields):
    lone.group.publish([make_row(NAME)._replace(**fields)])


def change_to_tcp(lone):
    change_row(lone, protocol=TransportProtocol.TCP)
    lone.agent.flows.open(TCP, "gauging")


def add_flow_of_other_service(lone):
    lone.agent.flows.open(MOVED, "reporting")


def add_flow_of_moved_address(lone):
    lone.agent.flows.open(MOVED, "gauging")


def add_flow_with_same_port(lone):
    lone.agent.flows.open(make_key(1_001), "gauging")


def use_other_port(lone):
    lone.find_local_port = find_other


def use_no_socket(lone):
    lone.find_local_port = find_none


def derive_no_port(lone):
    lone.derive_local_port = find_none


def lose_certainty(lone):
    lone.agent.uncertain_flows.add(UDP)


def lower_limit(lone):
    change_row(lone, connection_limit=0)


def drain_row(lone):
    change_row(lone, weight=0)


def add_peer(lone):
    rows = [make_row(NAME), make_row("gauging-2")]
    lone.agent.accept_table(Table(9, rows))


def add_former_peer(lone):
    add_peer(lone)
    lone.agent.accept_table(Table(10, [make_row(NAME)]))


def list_as_leaving(lone):
    instance = Instance(
        NAME, InstanceRole.AGENT, "zone-0", ADDRESSES["gauging"], InstanceState.LEAVING
    )
    lone.agent.accept_instances((instance,))
    lone.agent.advance_transfer(PATH, derive)


CASES = {
    "derived port": (lambda lone: None, 1, {}),
    "no socket": (use_no_socket, 1, {}),
    "other port": (use_other_port, 0, {"other_port": 1}),
    "no ports of the system": (derive_no_port, 0, {"other_port": 1}),
    "TCP": (change_to_tcp, 0, {"tcp": 1, "other_service": 1}),
    "shared port": (add_flow_with_same_port, 0, {"shared_port": 2}),
    "other service": (add_flow_of_other_service, 1, {"other_service": 1}),
    "moved address": (add_flow_of_moved_address, 1, {"other_service": 1}),
    "uncertain owner": (lose_certainty, 0, {"uncertain": 1}),
    "limit": (lower_limit, 0, {"limit": 1}),
    "drained row": (drain_row, 0, {"not_expected": 1}),
    "leaving": (list_as_leaving, 0, {"not_expected": 1}),
    "peer": (add_peer, 0, {"not_expected": 1}),
    "former peer": (add_former_peer, 0, {"not_expected": 1}),
}


@pytest.mark.parametrize("case", CASES)
def test_flows_that_the_next_run_can_continue(lone, case):
    change, left_count, ending = CASES[case]
    change(lone)
    lone.agent.begin_stop()
    found = lone.find_left()
    assert (len(found.flows), dict(found.ending)) == (left_count, ending)


def test_running_agent_leaves_no_flow(lone):
    assert lone.find_left() == LeftFlows((), Counter(not_expected=1))


def test_next_run_opens_the_flow_at_its_next_packet(lone):
    lone.agent.begin_stop()
    assert lone.find_left().flows == (UDP,)
    lone.group.start(NAME)
    lone.group.settle(3_500)
    before = len(lone.group.delivered)
    lone.group.deliver_packet(NAME, UDP)
    lone.group.flush()
    assert lone.group.delivered[before:] == [(NAME, UDP)]
    assert not lone.group.refused


@pytest.mark.parametrize("flow", [UDP, TCP], ids=["UDP", "TCP"])
def test_next_run_refuses_no_packet_with_certainty_before_it_has_learnt(lone, flow):
    """A certain refusal would reset a flow that a former member may own."""
    lone.group.start(NAME)
    for _ in range(20):
        lone.group.deliver_packet(NAME, flow, opens=flow == UDP)
        lone.group.settle(100)
    assert not any(refuse.is_certain for _, refuse in lone.group.refused)


def test_next_run_leaves_a_flow_to_a_former_member_that_owns_it(lone):
    """The next run must not open a flow that has another owner."""
    lone.group.start(NAME)
    agent = lone.group.agents[NAME]
    lone.group.apply_actions(
        NAME, agent.handle(Register("gauging", 1, (UDP,)), "gauging-9")
    )
    lone.group.settle(3_500)
    lone.group.deliver_packet(NAME, UDP)
    lone.group.settle(100)
    assert UDP not in agent.owned


FLOWS = st.builds(
    lambda protocol, number: FlowKey(bytes([protocol]) + number.to_bytes(12)),
    st.sampled_from([6, 17]),
    st.integers(0, 30),
)


@given(
    st.dictionaries(
        FLOWS,
        st.tuples(st.sampled_from([0, 1, 2, 3]), st.sampled_from([0, 1, 2, 3])),
        max_size=8,
    )
)
def test_left_flows_have_distinct_derived_ports(ports):
    """Ports are pairs of the socket's port and the derived port, 0 for none."""
    found = find_left_flows(
        ports, lambda flow: ports[flow][0], lambda flow: ports[flow][1]
    )
    assert len(found.flows) + found.ending.total() == len(ports)
    derived = [ports[flow][1] for flow in found.flows]
    assert 0 not in derived and len(set(derived)) == len(derived)
    assert all(flow[0] == TransportProtocol.UDP for flow in found.flows)
    assert all(ports[flow][0] in (0, ports[flow][1]) for flow in found.flows)
