"""The faults of a run, drawn from its seed."""

import random
from enum import Enum
from typing import NamedTuple


class FaultKind(Enum):
    """What happens to the system or around it."""

    STOP_BALANCER = "stop balancer"
    KILL_BALANCER = "kill balancer"
    PAUSE_BALANCER = "pause balancer"
    RELOAD_BALANCER = "reload balancer"
    STOP_AGENT = "stop agent"
    KILL_AGENT = "kill agent"
    PAUSE_AGENT = "pause agent"
    KILL_ALL = "kill all"
    STORE_BUSY = "store busy"
    STORE_SILENT = "store silent"
    STORE_CUT = "store cut"
    STORE_MALFORMED = "store malformed"
    STORE_FORGETFUL = "store forgetful"
    LINK_LOSS = "link loses packets"
    LINK_DELAY = "link delays and reorders packets"
    LINK_DOUBLE = "link doubles packets"
    LINK_CUT = "link is cut"
    EDIT = "edit configuration"
    SERVER_LEAVES = "server leaves"


FAULT_KINDS = tuple(FaultKind)
"""All kinds, in the order in which they are drawn."""

MEAN_GAP_S = 1.2
"""The mean time between two faults, in seconds; shorter than most of them last, so that
two or more are there most of the time."""

QUIET_END_S = 6.0
"""The time without faults at the end of a run, in seconds, in which service returns."""


class Fault(NamedTuple):
    """One fault."""

    at_s: float
    """When it begins, in seconds from the start of traffic."""

    kind: FaultKind
    """What happens."""

    target: int
    """Which instance it strikes, as an index into those that fit."""

    for_s: float
    """How long it lasts, in seconds."""


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed, in series and overlapping.

    Example::

        >>> draw_faults(7, 20.0) == draw_faults(7, 20.0)
        True
    """
    rng = random.Random(seed)
    faults = []
    at_s = 1.0
    while at_s < seconds - QUIET_END_S:
        kind = rng.choice(FAULT_KINDS)
        fault = Fault(at_s, kind, rng.randrange(8), rng.uniform(0.3, 3.0))
        faults.append(fault)
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return faults
