"""Short soak runs with real processes, on seeds that failed in the past."""

from pathlib import Path

import pytest

from citronwinch.soak import SoakOptions, run_seed
from citronwinch.soak._faults import (
    FIRST_KINDS,
    Fault,
    FaultKind,
    generate_faults,
)

SECONDS = 14.0

REGRESSION_SEEDS = {
    20: "SIGHUP ended a balancer that was still importing",
    35: "dead flows waited for agents of services that their route never had",
    40: "a server with an unconfirmed acceptance reset a flow that was open elsewhere",
}
"""Seeds that CI runs, each with the cause of its past failure."""


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_soak_run_has_no_violation(seed: int, tmp_path: Path) -> None:
    faults = tuple(generate_faults(seed, SECONDS, FIRST_KINDS))
    options = SoakOptions(seconds=SECONDS, network=130 + seed % 100, faults=faults)
    result = run_seed(seed, options, tmp_path)
    assert result.violations == ()
    assert result.served > 100


def test_a_restored_store_and_lost_history_break_no_promise(tmp_path: Path) -> None:
    faults = (
        Fault(1.0, FaultKind.EDIT, 0, 0.0),
        Fault(1.2, FaultKind.SERVER_LEAVES, 1, 0.0),
        Fault(4.7, FaultKind.STORE_RESTORED, 0, 3.0),
        Fault(5.0, FaultKind.KILL_BALANCER, 0, 0.0),
        Fault(5.1, FaultKind.JOIN_BALANCER, 0, 0.0),
        Fault(9.5, FaultKind.STORE_HISTORY_DROPPED, 0, 0.0),
    )
    options = SoakOptions(seconds=16.0, network=129, faults=faults)
    assert run_seed(7, options, tmp_path).violations == ()
