"""Tests that the capacity benchmark measures what it means to."""

from citronwinch.benches._capacity_setup import make_flow_key, open_flows


def test_an_agent_with_open_flows_owns_them_all():
    agent = open_flows(25)
    assert set(agent.owned) == {make_flow_key(i) for i in range(25)}
