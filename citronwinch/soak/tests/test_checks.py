"""Checks that each promise can be reported as broken, and the generated faults."""

from collections.abc import Callable

import pytest

from citronwinch.soak import FAULT_KINDS, Observations, find_violations, generate_faults


def make_valid_observations() -> Observations:
    observations = Observations()
    observations.executions = [
        ("i-1", "gauging", "gauging 1"),
        ("i-2", "reporting", "reporting 2"),
    ]
    observations.openings_at_draining_servers = [("i-1 took port 7", 2.9)]
    observations.openings_at_evacuated_servers = [("i-2 took port 8", 4.9)]
    observations.recovery_requests, observations.recovery_served = 100, 99
    return observations


def test_valid_observations_have_no_violation() -> None:
    assert find_violations(make_valid_observations()) == []


VIOLATIONS: dict[str, Callable[[Observations], object]] = {
    "whole answers": lambda observations: observations.wrong_answers.append(
        "a foreign answer"
    ),
    "at most once": lambda observations: observations.executions.append(
        ("i-2", "gauging", "gauging 1")
    ),
    "own service": lambda observations: observations.executions.append(
        ("i-1", "gauging", "reporting 9")
    ),
    "live flows": lambda observations: observations.live_flow_resets.append("port 7"),
    "own server": lambda observations: observations.astray_flows.append("port 7"),
    "leaving servers": lambda observations: (
        observations.openings_at_draining_servers.append(("i-1", 3.1))
    ),
    "evacuated zones": lambda observations: (
        observations.openings_at_evacuated_servers.append(("i-1", 5.1))
    ),
    "processes": lambda observations: observations.unexpected_exits.append(
        "balancer-11 ended with 1"
    ),
    "recovery": lambda observations: setattr(observations, "recovery_served", 90),
}


@pytest.mark.parametrize("promise", VIOLATIONS)
def test_violation_is_reported(promise: str) -> None:
    observations = make_valid_observations()
    VIOLATIONS[promise](observations)
    assert [violation.promise for violation in find_violations(observations)] == [
        promise
    ]


@pytest.mark.parametrize("field", ["refused_new_routes", "served_removed_routes"])
def test_edit_that_takes_no_effect_is_reported(field: str) -> None:
    observations = make_valid_observations()
    getattr(observations, field).append("198.18.0.3:9001")
    assert [violation.promise for violation in find_violations(observations)] == [
        "edits"
    ]


def test_seeds_generate_every_kind_of_fault_before_the_recovery_period() -> None:
    faults = [fault for seed in range(40) for fault in generate_faults(seed, 20.0)]
    assert {fault.kind for fault in faults} == set(FAULT_KINDS)
    assert all(fault.start_s < 14.0 for fault in faults)
