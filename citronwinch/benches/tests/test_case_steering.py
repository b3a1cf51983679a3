"""Tests that link faults together with a planned change break no flow.

Messages of steering that are lost, duplicated, reordered or delayed must not move a
flow or open it twice. The baselines must break flows in the same case, which shows
that the benchmark detects it; the figures depend only on the seed.
"""

import pytest

from citronwinch.benches import LinkFaults
from citronwinch.benches._case_steering import SHAPES, CaseRun, run_fault_case
from citronwinch.benches._steering_baselines import BASELINES
from citronwinch.benches._steering_changes import CHANGES_BY_NAME, Change
from citronwinch.benches._steering_fleet import STEERING_DESIGN

FAULTS = {
    "loss": LinkFaults(loss=0.1),
    "duplication": LinkFaults(duplication=0.5),
    "reordering": LinkFaults(jitter_ms=60),
    "delay": LinkFaults(jitter_ms=250),
    "all": LinkFaults(jitter_ms=80, loss=0.05, duplication=0.2),
}

PLANNED = ("server_drains", "row_moves", "weights_change")


def measure(name, changes, design=STEERING_DESIGN, seed=1):
    """Return the counts of callers under a link fault and changes."""
    case = CaseRun(SHAPES[0], design, seed, 6)
    case.warm_up()
    case.fleet.faults = FAULTS.get(name, LinkFaults())
    case.apply(tuple(CHANGES_BY_NAME[change] for change in changes))
    return case.callers.counts


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("change", PLANNED)
def test_no_flow_breaks_under_a_link_fault_and_a_change(fault, change):
    counts = measure(fault, (change,))
    assert counts["packets"] > 500
    figures = {name: counts[name] for name in ("broken_flows", "doubled_opens")}
    assert figures == {"broken_flows": 0, "doubled_opens": 0}
    assert counts["misdirected_packets"] == 0


@pytest.mark.parametrize("seed", [2, 3])
def test_edit_at_half_of_the_fleet_breaks_no_flow(seed):
    shape = SHAPES[2] if seed == 2 else SHAPES[3]
    change: Change = CHANGES_BY_NAME["edit_reaches_half"]
    figures = run_fault_case(shape, seed, (change,))
    assert figures["broken_flows"] == figures["doubled_opens"] == 0


def test_baselines_break_flows_where_steering_does_not():
    counts = [measure("none", ("row_moves",), design) for design in BASELINES]
    assert all(count["broken_flows"] > 0 for count in counts)


def test_same_seed_gives_the_same_figures():
    change = CHANGES_BY_NAME["server_crashes"]
    first, second = (run_fault_case(SHAPES[0], 5, (change,)) for _ in range(2))
    assert first == second
