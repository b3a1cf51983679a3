"""Requests under faults: the system's decisions beside a baseline.

The baseline delivers every copy, and its callers retry on a timeout.
"""

from typing import Any

from citronwinch.benches._requests_faults import RequestFaults, list_cases
from citronwinch.benches._requests_model import RequestModel

GUARANTEE_VIOLATIONS = (
    "doubled",
    "false_not_run",
    "foreign_answers",
    "incomplete_answers",
)
"""The figures that have to be 0."""

OVERLOAD_CASE = "overload_2x"
"""The case from which the attempts at twice the capacity are taken."""


def run_case(seed: int) -> dict[str, Any]:
    """Return the figures of every case and the sums over all."""
    cases = [
        run_fault_case(name, faults, seed) for name, faults in list_cases().items()
    ]
    overload = next(case for case in cases if case["name"] == OVERLOAD_CASE)
    return {
        "seed": seed,
        "attempts_per_request_at_2x": find_attempts(overload),
        "attempts_per_request_at_2x_baseline": find_attempts(overload["baseline"]),
        **{name: sum(case[name] for case in cases) for name in GUARANTEE_VIOLATIONS},
        "baseline": {
            name: sum(case["baseline"][name] for case in cases)
            for name in GUARANTEE_VIOLATIONS
        },
        "cases": cases,
    }


def run_fault_case(name: str, faults: RequestFaults, seed: int) -> dict[str, Any]:
    """Return the figures of one case, with the baseline's under the same faults."""
    return {
        "name": name,
        **run_model(name, faults, seed, is_baseline=False),
        "baseline": run_model(name, faults, seed, is_baseline=True),
    }


def run_model(
    name: str, faults: RequestFaults, seed: int, is_baseline: bool
) -> dict[str, float | int]:
    """Play one case once."""
    model = RequestModel(name, seed, is_baseline)
    model.build(faults)
    model.run()
    return model.summarize()


def find_attempts(figures: dict[str, Any]) -> float:
    """Return the attempts per request: the higher of sent and delivered copies."""
    sent, delivered = figures["sent_per_request"], figures["deliveries_per_request"]
    return float(max(sent, delivered))
