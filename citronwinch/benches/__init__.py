"""Benchmarks, one module per case.

A module named `_case_NAME` has a function `run_case(seed)` that returns the figures
as plain values. `make -s bench CASE=NAME SEED=1` prints them as JSON. Cases that do
not measure time give the same output for the same seed, byte for byte.
"""

from citronwinch.benches._fakes import EventQueue, FakeLink, LinkFaults

__all__ = ["EventQueue", "FakeLink", "LinkFaults"]
