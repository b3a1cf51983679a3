"""Short soak runs with real processes, on seeds that failed in the past."""

from pathlib import Path

import pytest

from citronwinch.soak import SoakOptions, run_seed
from citronwinch.soak._faults import (
    FIRST_KINDS,
    KINDS_BEFORE_EVACUATIONS,
    Fault,
    FaultKind,
    generate_faults,
)

SECONDS = 14.0

REGRESSION_SEEDS = {
    # SIGHUP ended a balancer that was still importing.
    20: FIRST_KINDS,
    # Dead flows waited for agents of services that their route never had.
    35: FIRST_KINDS,
    # A server with an unconfirmed acceptance reset a flow that was open elsewhere.
    40: FIRST_KINDS,
    # The soak counted requests as unanswered that were in flight at its end.
    501: KINDS_BEFORE_EVACUATIONS,
}
"""Seeds that CI runs, with the kinds of faults from which they draw, and the cause of
the past failure of each."""


@pytest.mark.parametrize(("seed", "kinds"), REGRESSION_SEEDS.items())
def test_soak_run_has_no_violation(
    seed: int, kinds: tuple[FaultKind, ...], tmp_path: Path
) -> None:
    faults = tuple(generate_faults(seed, SECONDS, kinds))
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


def test_balancers_killed_while_the_store_is_away_break_no_promise(
    tmp_path: Path,
) -> None:
    faults = (
        Fault(2.5, FaultKind.BALANCERS_KILLED_STORE_AWAY, 0, 3.0),
        Fault(6.5, FaultKind.SERVER_LEAVES, 1, 0.0),
    )
    options = SoakOptions(seconds=14.0, network=127, faults=faults)
    result = run_seed(7, options, tmp_path)
    assert result.violations == ()
    assert result.served > 100


def test_an_evacuation_amid_faults_breaks_no_promise(tmp_path: Path) -> None:
    faults = (
        Fault(0.5, FaultKind.KILL_AGENT, 1, 0.0),
        Fault(1.0, FaultKind.EVACUATION, 0, 2.0),
        Fault(1.1, FaultKind.EVACUATION, 1, 1.0),
        Fault(2.0, FaultKind.STOP_BALANCER, 1, 0.0),
    )
    options = SoakOptions(seconds=14.0, network=128, faults=faults)
    assert run_seed(7, options, tmp_path).violations == ()
