"""A randomized soak: real processes, faults from outside, promises checked."""

from citronwinch.soak._checks import Observations, Violation, find_violations
from citronwinch.soak._faults import FAULT_KINDS, Fault, FaultKind, draw_faults
from citronwinch.soak._run import SoakOptions, SoakResult, run_seed

__all__ = [
    "FAULT_KINDS",
    "Fault",
    "FaultKind",
    "Observations",
    "SoakOptions",
    "SoakResult",
    "Violation",
    "draw_faults",
    "find_violations",
    "run_seed",
]
