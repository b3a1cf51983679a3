"""Open flows are found after a kill of all balancers, also behind a thin link.

Guards against searches that spend the link on repeated questions, so that each fails
for agents that nobody has asked.
"""

import pytest

from citronwinch.coordination.flows.tests.search_after_kill import measure_recovery


@pytest.mark.parametrize(
    ("flows_per_agent", "link_mbps"),
    [
        pytest.param(100, 5, id="100 flows an agent at 5 Mbit/s"),
        pytest.param(1_000, 5, id="1000 flows an agent at 5 Mbit/s"),
        pytest.param(1_000, 200, id="1000 flows an agent at 200 Mbit/s"),
    ],
)
def test_no_search_lacks_room_for_its_questions_after_three_seconds(
    flows_per_agent: int, link_mbps: int
) -> None:
    recovery = measure_recovery(flows_per_agent, link_mbps, seed=1)
    assert recovery.found == recovery.flows
    assert recovery.late_unasked == 0
