"""Tests that edits reach every daemon of a small fleet in time under each fault.

They also guard against a daemon that returns to an older table, and against members
that stay listed as unreachable after a pause or a partition has ended.
"""

from collections.abc import Callable

import pytest

from citronwinch.benches._case_spread import (
    FAULT_LOSS,
    FAULTS,
    LOSSES,
    Trial,
    count_wrong_verdicts,
    run_steady,
    run_trial,
)
from citronwinch.benches._spread_fleet import SHAPES

COVERAGE_LIMIT_MS = 5_000
CONTROL_LIMIT_BYTES_PER_SECOND = 2_000
READS_LIMIT_PER_SECOND = 2_000

Scenario = Callable[[Trial], None]
CASES: list[tuple[str, Scenario, float, int]] = [
    ("steady", run_steady, loss, 1) for loss in LOSSES
]
CASES += [(name, run, 0.05, 1) for name, run in FAULTS.items()]
CASES += [(name, run, 0.2, 2) for name, run in FAULTS.items()]


def format_case_id(value):
    return value if isinstance(value, str) else None


@pytest.mark.parametrize(("name", "run", "loss", "seed"), CASES, ids=format_case_id)
def test_an_edit_reaches_every_daemon_and_is_never_reverted(name, run, loss, seed):
    figures = run_trial(name, run, SHAPES[0], loss, seed)
    assert figures["reverts"] == 0
    assert figures["not_covered"] == 0
    assert figures["wrong_tables"] == 0
    assert figures["not_ready"] == 0
    assert figures["coverage_max_ms"] <= COVERAGE_LIMIT_MS
    assert figures["control_bytes_per_second_mean"] <= CONTROL_LIMIT_BYTES_PER_SECOND
    assert figures["reads_per_second_max"] <= READS_LIMIT_PER_SECOND


def test_the_same_seed_gives_the_same_figures():
    first, second = (
        run_trial("steady", run_steady, SHAPES[0], 0.2, 3) for _ in range(2)
    )
    assert first == second


def test_a_restored_copy_is_counted_as_a_conflict():
    name = "service_restored_from_old_copy"
    figures = run_trial(name, FAULTS[name], SHAPES[0], 0.0, 1)
    assert figures["digest_conflicts"] > 0
    assert figures["lower_revisions_ignored"] > 0


@pytest.mark.parametrize("name", ["paused_peers", "partition_of_an_hour"])
def test_every_daemon_corrects_wrong_verdicts(name):
    trial = Trial(SHAPES[1], FAULT_LOSS, 1)
    FAULTS[name](trial)
    trial.fleet.run(60_000)
    assert count_wrong_verdicts(list(trial.fleet.daemons.values())) == 0
