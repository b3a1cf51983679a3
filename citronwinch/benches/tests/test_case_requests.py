"""Tests that no guarantee for requests is violated under pairs of faults.

Copies that arrive late, after a restart, a pause or a change of owner, must not run
a request twice or produce a wrong answer. The figures depend only on the seed.
"""

import pytest

from citronwinch.benches._case_requests import (
    GUARANTEE_VIOLATIONS,
    find_attempts,
    run_fault_case,
    run_model,
)
from citronwinch.benches._requests_faults import list_cases

FAULT_PAIRS = (
    "duplication+late_copies",
    "late_copies+agent_restart",
    "late_copies+pause",
    "owner_change+partition",
    "loss+refused",
    "cancel+window_full",
)


@pytest.mark.parametrize("name", FAULT_PAIRS)
def test_no_guarantee_is_violated_under_two_faults(name):
    figures = run_model(name, list_cases()[name], 11, is_baseline=False)
    assert {
        violation: figures[violation] for violation in GUARANTEE_VIOLATIONS
    } == dict.fromkeys(GUARANTEE_VIOLATIONS, 0)


def test_the_baseline_violates_every_guarantee():
    name = "loss+refused"
    figures = run_model(name, list_cases()[name], 11, is_baseline=True)
    assert all(figures[violation] > 0 for violation in GUARANTEE_VIOLATIONS)


def test_attempts_stay_bounded_at_twice_the_capacity():
    faults = list_cases()["overload_2x"]._replace(traffic_ms=3_000)
    assert find_attempts(run_model("overload_2x", faults, 11, False)) <= 1.1


def test_every_call_is_answered_through_planned_changes():
    for name in ("planned_restart", "planned_owner_change"):
        figures = run_model(name, list_cases()[name], 11, is_baseline=False)
        assert figures["answered_share"] == 1.0


def test_the_same_seed_gives_the_same_figures():
    faults = list_cases()["loss+duplication"]
    first, second = (run_fault_case("pair", faults, 3) for _ in range(2))
    assert first == second
