"""Randomized fault-injection soak tests of real balancer and agent processes.

A run sends traffic through the processes, injects faults from outside and checks the
promises that the system makes to callers and backend servers.
"""

from citronwinch.soak._checks import Observations, Violation, find_violations
from citronwinch.soak._faults import FAULT_KINDS, Fault, FaultKind, generate_faults
from citronwinch.soak._run import SoakOptions, SoakResult, run_seed

__all__ = [
    "FAULT_KINDS",
    "Fault",
    "FaultKind",
    "Observations",
    "SoakOptions",
    "SoakResult",
    "Violation",
    "generate_faults",
    "find_violations",
    "run_seed",
]
