"""Short soak runs with real processes, on seeds and faults that failed in the past."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import pytest

from citronwinch.soak import SoakOptions, SoakResult, run_seed
from citronwinch.soak._faults import (
    FIRST_KINDS,
    KINDS_BEFORE_EVACUATIONS,
    KINDS_UP_TO_RELEASES,
    Fault,
    FaultKind,
    generate_faults,
)

SECONDS = 14.0

CONCURRENT_RUNS = 3
"""The number of runs that are in progress at a time."""


class SoakCase(NamedTuple):
    """A run that CI makes."""

    seed: int
    """The seed of the run."""

    network: int
    """The second octet of the addresses; each case has its own."""

    faults: tuple[Fault, ...]
    """The faults."""

    seconds: float = SECONDS
    """The duration of the traffic, in seconds."""


def make_seed_case(seed: int, kinds: tuple[FaultKind, ...]) -> SoakCase:
    """Return a case with the faults that a seed draws from some kinds."""
    faults = tuple(generate_faults(seed, SECONDS, kinds))
    return SoakCase(seed, 130 + seed % 100, faults)


CASES = {
    # SIGHUP ended a balancer that was still importing.
    "seed 20": make_seed_case(20, FIRST_KINDS),
    # Dead flows waited for agents of services that their route never had.
    "seed 35": make_seed_case(35, FIRST_KINDS),
    # A server with an unconfirmed acceptance reset a flow that was open elsewhere.
    "seed 40": make_seed_case(40, FIRST_KINDS),
    # The soak counted requests as unanswered that were in flight at its end.
    "seed 501": make_seed_case(501, KINDS_BEFORE_EVACUATIONS),
    # Balancers reset flows of a server that had left the listing when its agent was
    # restarted in turn, killed or late.
    "seed 1045": make_seed_case(1045, KINDS_UP_TO_RELEASES),
    "a restored store and lost history": SoakCase(
        7,
        129,
        (
            Fault(1.0, FaultKind.EDIT, 0, 0.0),
            Fault(1.2, FaultKind.SERVER_LEAVES, 1, 0.0),
            Fault(4.7, FaultKind.STORE_RESTORED, 0, 3.0),
            Fault(5.0, FaultKind.KILL_BALANCER, 0, 0.0),
            Fault(5.1, FaultKind.JOIN_BALANCER, 0, 0.0),
            Fault(9.5, FaultKind.STORE_HISTORY_DROPPED, 0, 0.0),
        ),
        seconds=16.0,
    ),
    "balancers killed while the store is away": SoakCase(
        7,
        127,
        (
            Fault(2.5, FaultKind.BALANCERS_KILLED_STORE_AWAY, 0, 3.0),
            Fault(6.5, FaultKind.SERVER_LEAVES, 1, 0.0),
        ),
    ),
    # An entry of another program hid the server at its address, or ended balancers.
    "entries of other programs": SoakCase(
        7,
        126,
        (
            Fault(0.5, FaultKind.FOREIGN_ENTRIES, 0, 3.0),
            Fault(1.0, FaultKind.FOREIGN_ENTRIES, 1, 3.0),
            Fault(2.0, FaultKind.STOP_BALANCER, 0, 0.0),
            Fault(2.5, FaultKind.SERVER_LEAVES, 1, 0.0),
            Fault(5.5, FaultKind.KILL_ALL, 0, 0.0),
            Fault(7.5, FaultKind.STOP_BALANCER, 1, 0.0),
        ),
    ),
    "an evacuation amid faults": SoakCase(
        7,
        128,
        (
            Fault(0.5, FaultKind.KILL_AGENT, 1, 0.0),
            Fault(1.0, FaultKind.EVACUATION, 0, 2.0),
            Fault(1.1, FaultKind.EVACUATION, 1, 1.0),
            Fault(2.0, FaultKind.STOP_BALANCER, 1, 0.0),
        ),
    ),
}


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> dict[str, SoakResult]:
    """Return the result of each case."""

    def run(name: str, directory: Path) -> SoakResult:
        case = CASES[name]
        options = SoakOptions(
            seconds=case.seconds, network=case.network, faults=case.faults
        )
        return run_seed(case.seed, options, directory)

    with ThreadPoolExecutor(CONCURRENT_RUNS) as pool:
        futures = {
            name: pool.submit(run, name, tmp_path_factory.mktemp("soak"))
            for name in CASES
        }
        return {name: future.result() for name, future in futures.items()}


@pytest.mark.parametrize("name", CASES)
def test_soak_run_has_no_violation(results: dict[str, SoakResult], name: str) -> None:
    assert results[name].violations == ()
    assert results[name].served > 100
