"""Short soak runs with real processes, on seeds that failed in the past."""

from pathlib import Path

import pytest

from citronwinch.soak import SoakOptions, run_seed

REGRESSION_SEEDS = {
    20: "SIGHUP ended a balancer that was still importing",
    35: "dead flows waited for agents of services that their route never had",
    40: "a server with an unconfirmed acceptance reset a flow that was open elsewhere",
}
"""Seeds that CI runs, each with the cause of its past failure."""


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_soak_run_has_no_violation(seed: int, tmp_path: Path) -> None:
    options = SoakOptions(seconds=14.0, network=130 + seed % 100)
    result = run_seed(seed, options, tmp_path)
    assert result.violations == ()
    assert result.served > 100
