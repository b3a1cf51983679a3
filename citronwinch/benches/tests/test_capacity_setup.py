"""Tests that the agents of the capacity benchmark have as many flows as intended.

If an agent refused openings, the cost per flow would come from too few flows.
"""

from citronwinch.benches._capacity_setup import make_flow_key, open_flows


def test_agent_owns_all_opened_flows():
    agent = open_flows(25)
    assert set(agent.owned) == {make_flow_key(i) for i in range(25)}
