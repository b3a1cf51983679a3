"""Plays seeds of the soak and prints a table of outcomes."""

import argparse
import shutil
import signal
import sys
from pathlib import Path

from citronwinch.soak import SoakOptions, SoakResult, run_seed


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a list such as `1-5,9`.

    Example::

        >>> parse_seeds("1-3,9")
        [1, 2, 3, 9]
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def describe(result: SoakResult) -> str:
    """Return the outcome of a seed: one line, and one for each broken promise."""
    share = result.served / max(result.requests, 1)
    lines = [
        f"seed {result.seed}: {len(result.faults)} faults, {result.requests} requests, "
        f"{share:.3f} served, p50 {result.p50_ms} ms, p99 {result.p99_ms} ms, "
        f"{len(result.violations)} promises broken"
    ]
    lines += [f"  {broken.promise}: {broken.detail}" for broken in result.violations]
    if result.violations:
        lines += [
            f"    {fault.at_s:6.2f} s {fault.kind.value} {fault.target} "
            f"for {fault.for_s:.2f} s"
            for fault in result.faults
        ]
    return "\n".join(lines)


def main() -> int:
    """Play the seeds; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m citronwinch.soak")
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3])
    parser.add_argument("--seconds-each", type=float, default=SoakOptions().seconds)
    parser.add_argument("--network", type=int, default=SoakOptions().network)
    parser.add_argument("--logs", type=Path, default=Path("target/soak"))
    options = parser.parse_args()
    # A soak that is told to end ends the processes that it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    is_broken = False
    for seed in options.seeds:
        directory = options.logs / f"seed-{seed}"
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        shape = SoakOptions(seconds=options.seconds_each, network=options.network)
        result = run_seed(seed, shape, directory)
        print(describe(result), flush=True)
        is_broken = is_broken or bool(result.violations)
        if not result.violations:
            # Only the logs of a failed seed are worth keeping.
            shutil.rmtree(directory)
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
