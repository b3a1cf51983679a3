"""The soak finds each promise that its processes break on purpose."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from citronwinch.soak import Fault, FaultKind, SoakOptions, run_seed
from citronwinch.soak.tests.broken_launch import BREACHES

FIRST_NETWORK = 180
SECONDS = 9.0
RUNS_AT_ONCE = 4

FAULTS = {
    "live flows": [FaultKind.KILL_BALANCER],
    "leaving servers": [FaultKind.SERVER_LEAVES],
    "edits": [FaultKind.EDIT, FaultKind.EDIT],
}
"""What has to happen so that the breach shows; the others show by themselves."""


def find_broken_promises(promise: str, directory: Path) -> set[str]:
    directory.mkdir()
    faults = [
        Fault(0.5 + index, kind, target=1, for_s=1.0)
        for index, kind in enumerate(FAULTS.get(promise, []))
    ]
    options = SoakOptions(
        seconds=SECONDS,
        network=FIRST_NETWORK + list(BREACHES).index(promise),
        faults=tuple(faults),
        program=("citronwinch.soak.tests.broken_launch", promise),
    )
    result = run_seed(1, options, directory)
    return {violation.promise for violation in result.violations}


@pytest.fixture(scope="module")
def found(tmp_path_factory: pytest.TempPathFactory) -> dict[str, set[str]]:
    """Return the promises that were found broken, by the one that was broken."""
    base = tmp_path_factory.mktemp("broken")
    with ThreadPoolExecutor(RUNS_AT_ONCE) as pool:
        runs = {
            promise: pool.submit(
                find_broken_promises, promise, base / promise.replace(" ", "-")
            )
            for promise in BREACHES
        }
        return {promise: run.result() for promise, run in runs.items()}


@pytest.mark.parametrize("promise", BREACHES)
def test_a_promise_that_is_broken_on_purpose_is_found(
    found: dict[str, set[str]], promise: str
) -> None:
    assert promise in found[promise]
