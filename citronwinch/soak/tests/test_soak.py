"""A short seeded run with real processes, and seeds that once failed."""

from pathlib import Path

import pytest

from citronwinch.soak import SoakOptions, run_seed

REGRESSION_SEEDS = {
    20: "SIGHUP ended a balancer that was still importing",
    35: "dead flows waited for agents of services that their route never had",
    40: "a server with an unconfirmed acceptance reset a flow that was open elsewhere",
}
"""Seeds that are played in CI, each with the cause of its failure."""


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_a_seeded_run_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    options = SoakOptions(seconds=14.0, network=130 + seed % 100)
    result = run_seed(seed, options, tmp_path)
    assert result.violations == ()
    assert result.served > 100
