"""Checks that the soak reports each defect of balancers and agents.

Guards against a soak that passes because one of its checks never fails.
"""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from citronwinch.soak import Fault, FaultKind, SoakOptions, run_seed
from citronwinch.soak.tests.broken_launch import DEFECTS

FIRST_NETWORK = 180
"""The second octet of the addresses of the first run; each run has its own."""

SECONDS = 9.0
"""The duration of the traffic of each run, in seconds."""

CONCURRENT_RUNS = 5
"""The number of runs that are in progress at a time."""

FAULTS = {
    "live flows": [FaultKind.KILL_BALANCER],
    "leaving servers": [FaultKind.SERVER_LEAVES],
    "edits": [FaultKind.EDIT, FaultKind.EDIT],
    "evacuated zones": [FaultKind.EVACUATION],
}
"""The faults that expose a defect, by the promise that the defect breaks.

Defects without an entry show without faults.
"""


def run_with_defect(promise: str, directory: Path) -> set[str]:
    directory.mkdir()
    faults = [
        Fault(0.5 + index, kind, target_index=1, duration_s=1.0)
        for index, kind in enumerate(FAULTS.get(promise, []))
    ]
    options = SoakOptions(
        seconds=SECONDS,
        network=FIRST_NETWORK + list(DEFECTS).index(promise),
        faults=tuple(faults),
        program=("-m", "citronwinch.soak.tests.broken_launch", promise),
    )
    result = run_seed(1, options, directory)
    return {violation.promise for violation in result.violations}


@pytest.fixture(scope="module")
def reported(tmp_path_factory: pytest.TempPathFactory) -> dict[str, set[str]]:
    """Return the promises reported as broken, by the promise that a defect breaks."""
    base = tmp_path_factory.mktemp("broken")
    with ThreadPoolExecutor(CONCURRENT_RUNS) as pool:
        futures = {
            promise: pool.submit(
                run_with_defect, promise, base / promise.replace(" ", "-")
            )
            for promise in DEFECTS
        }
        return {promise: future.result() for promise, future in futures.items()}


@pytest.mark.parametrize("promise", DEFECTS)
def test_soak_reports_defect(reported: dict[str, set[str]], promise: str) -> None:
    assert promise in reported[promise]
