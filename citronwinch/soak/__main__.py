"""Runs the soak for a list of seeds and prints the outcome of each."""

import argparse
import shutil
import signal
import sys
from pathlib import Path

from citronwinch.soak import SoakOptions, SoakResult, run_seed

MAX_BALANCERS = 80
"""The most balancers at the start of a run, in which further ones may join."""

MIN_AGENTS, MAX_AGENTS = 6, 1_000
"""The fewest and the most agents at the start of a run."""


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds and ranges of seeds, such as `1-5,9`.

    Example::

        >>> parse_seeds("1-3,9")
        [1, 2, 3, 9]
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def format_result(result: SoakResult) -> str:
    """Format the outcome of a seed.

    The first line is a summary. If promises were broken, a line for each violation
    and a line for each injected fault follow.
    """
    share = result.served / max(result.requests, 1)
    lines = [
        f"seed {result.seed}: {len(result.faults)} faults, {result.requests} requests, "
        f"{share:.3f} served, p50 {result.p50_ms} ms, p99 {result.p99_ms} ms, "
        f"{len(result.violations)} promises broken"
    ]
    lines += [
        f"  {violation.promise}: {violation.detail}" for violation in result.violations
    ]
    if result.violations:
        lines += [
            f"    {fault.start_s:6.2f} s {fault.kind.value} {fault.target_index} "
            f"for {fault.duration_s:.2f} s"
            for fault in result.faults
        ]
    return "\n".join(lines)


def main() -> int:
    """Run the seeds; return 1 if any promise was broken, 0 otherwise."""
    parser = argparse.ArgumentParser(prog="python -m citronwinch.soak")
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3])
    parser.add_argument("--seconds-each", type=float, default=SoakOptions().seconds)
    parser.add_argument("--network", type=int, default=SoakOptions().network)
    parser.add_argument("--balancers", type=int, default=SoakOptions().balancers)
    parser.add_argument(
        "--agents", type=int, default=SoakOptions().servers, help="and backend servers"
    )
    parser.add_argument("--logs", type=Path, default=Path("target/soak"))
    options = parser.parse_args()
    if not 1 <= options.balancers <= MAX_BALANCERS:
        parser.error(
            f"--balancers {options.balancers}: expected 1 to {MAX_BALANCERS}, "
            "since the addresses of further ones belong to links"
        )
    if not MIN_AGENTS <= options.agents <= MAX_AGENTS:
        parser.error(
            f"--agents {options.agents}: expected {MIN_AGENTS} to {MAX_AGENTS}, "
            "of which every third one belongs to the smaller service"
        )
    # On SIGTERM, as on SIGINT, KeyboardInterrupt unwinds the run, which ends the
    # balancers and agents that it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    has_violations = False
    for seed in options.seeds:
        directory = options.logs / f"seed-{seed}"
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        soak_options = SoakOptions(
            seconds=options.seconds_each,
            balancers=options.balancers,
            servers=options.agents,
            network=options.network,
        )
        result = run_seed(seed, soak_options, directory)
        print(format_result(result), flush=True)
        has_violations = has_violations or bool(result.violations)
        if not result.violations:
            # Logs are kept only for seeds that failed.
            shutil.rmtree(directory)
    return int(has_violations)


if __name__ == "__main__":
    sys.exit(main())
