"""The requests case: promises hold under the hardest faults, and it repeats itself."""

import pytest

from citronwinch.benches._case_requests import (
    GUARANTEE_VIOLATIONS,
    find_attempts,
    run_fault_case,
    run_model,
)
from citronwinch.benches._requests_faults import list_cases

HARD_CASES = (
    "duplication+late_copies",
    "late_copies+agent_restart",
    "late_copies+pause",
    "owner_change+partition",
    "loss+refused",
    "cancel+window_full",
)


@pytest.mark.parametrize("name", HARD_CASES)
def test_promises_hold(name):
    figures = run_model(name, list_cases()[name], 11, is_baseline=False)
    assert {
        violation: figures[violation] for violation in GUARANTEE_VIOLATIONS
    } == dict.fromkeys(GUARANTEE_VIOLATIONS, 0)


def test_the_baseline_breaks_every_promise():
    name = "loss+refused"
    figures = run_model(name, list_cases()[name], 11, is_baseline=True)
    assert all(figures[violation] > 0 for violation in GUARANTEE_VIOLATIONS)


def test_attempts_stay_bounded_at_twice_the_capacity():
    faults = list_cases()["overload_2x"]._replace(traffic_ms=3_000)
    assert find_attempts(run_model("overload_2x", faults, 11, False)) <= 1.1


def test_planned_changes_cost_no_answer():
    for name in ("planned_restart", "planned_owner_change"):
        figures = run_model(name, list_cases()[name], 11, is_baseline=False)
        assert figures["answered_share"] == 1.0


def test_the_same_seed_gives_the_same_figures():
    faults = list_cases()["loss+duplication"]
    first, second = (run_fault_case("pair", faults, 3) for _ in range(2))
    assert first == second
