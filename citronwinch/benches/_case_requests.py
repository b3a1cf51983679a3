"""Requests under faults, compared with a baseline under the same faults.

The baseline delivers every copy, and its callers retry after a timeout.
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
"""The counts of violated guarantees, which have to be 0."""

OVERLOAD_CASE = "overload_2x"
"""The case that gives the attempts per request at twice the capacity."""


def run_case(seed: int) -> dict[str, Any]:
    """Return the figures of every case and the sums over all cases."""
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
    """Return the figures of one case and those of the baseline under its faults."""
    return {
        "name": name,
        **run_model(name, faults, seed, is_baseline=False),
        "baseline": run_model(name, faults, seed, is_baseline=True),
    }


def run_model(
    name: str, faults: RequestFaults, seed: int, is_baseline: bool
) -> dict[str, float | int]:
    """Simulate one case and return its figures."""
    model = RequestModel(name, seed, is_baseline)
    model.build(faults)
    model.run()
    return model.summarize()


def find_attempts(figures: dict[str, Any]) -> float:
    """Return the attempts per request: the maximum of copies sent and delivered."""
    sent, delivered = figures["sent_per_request"], figures["deliveries_per_request"]
    return float(max(sent, delivered))
