"""Kinds of faults, and the random schedule of faults for a seed."""

import random
from enum import Enum
from typing import NamedTuple


class FaultKind(Enum):
    """A kind of fault, or of planned change, that a run injects."""

    STOP_BALANCER = "stop balancer"
    KILL_BALANCER = "kill balancer"
    PAUSE_BALANCER = "pause balancer"
    RELOAD_BALANCER = "reload balancer"
    """A balancer receives SIGHUP."""
    STOP_AGENT = "stop agent"
    KILL_AGENT = "kill agent"
    PAUSE_AGENT = "pause agent"
    KILL_ALL = "kill all"
    """All balancers and agents are killed at once."""
    STORE_BUSY = "store busy"
    STORE_SILENT = "store silent"
    STORE_CUT = "store cut"
    STORE_MALFORMED = "store malformed"
    STORE_FORGETFUL = "store forgetful"
    """The store has discarded its history: it answers every watch with status 410."""
    LINK_LOSS = "link loses packets"
    LINK_DELAY = "link delays and reorders packets"
    LINK_DUPLICATE = "link doubles packets"
    LINK_CUT = "link is cut"
    EDIT = "edit configuration"
    """A new configuration adds a route and removes the route added before."""
    SERVER_LEAVES = "server leaves"
    """A new backend server replaces an old one, which drains and is then removed."""
    STORE_RESTORED = "store restored"
    """The store comes back from an older copy; what was lost is then written again."""
    STORE_HISTORY_DROPPED = "store history dropped"
    """Watches hear nothing for a second, during an edit; then the history is gone."""
    JOIN_BALANCER = "join balancer"
    """A balancer is added to the deployment."""
    EVACUATION = "evacuation"
    """The operators evacuate a zone for some seconds."""
    BALANCERS_KILLED_STORE_AWAY = "balancers killed while the store is away"
    """The store is silent, and all balancers are killed half a second later."""
    MESSAGES_LOST = "messages of an agent are lost"
    """Messages between an agent and one balancer, or all of them, are lost."""
    MESSAGES_LATE = "messages of an agent are late"
    """Such messages are late, each by another time, so that they are reordered."""
    MESSAGES_LOST_ONE_WAY = "messages of an agent are lost one way"
    """Such messages are lost in one direction only."""
    RELEASE_IN_TURN = "release in turn"
    """A replaced server serves on without an entry, while balancers and agents are
    restarted in turn and messages of its agent are disturbed."""
    FOREIGN_ENTRIES = "entries of other programs"
    """Other programs write entries into the store, some with a server's address."""


FAULT_KINDS = tuple(FaultKind)
"""All kinds of faults.

A seed selects kinds by their position and number, so a change of either changes its
faults. Seeds of earlier kinds are played with the first kinds only.
"""

FIRST_KINDS = FAULT_KINDS[:19]
"""The kinds up to `SERVER_LEAVES`, from which the first regression seeds were drawn."""

KINDS_BEFORE_EVACUATIONS = FAULT_KINDS[:22]
"""The kinds up to `JOIN_BALANCER`, from which the next ones were drawn."""

KINDS_BEFORE_KILLED_BALANCERS = FAULT_KINDS[:23]
"""The kinds up to `EVACUATION`, from which the next ones were drawn."""

KINDS_BEFORE_MESSAGE_FAULTS = FAULT_KINDS[:24]
"""The kinds up to `BALANCERS_KILLED_STORE_AWAY`, from which the next ones were drawn.
"""

KINDS_UP_TO_RELEASES = FAULT_KINDS[:28]
"""The kinds up to `RELEASE_IN_TURN`, from which the next ones were drawn."""

MESSAGE_FAULT_KINDS = FAULT_KINDS[24:27]
"""The kinds that disturb messages between balancers and agents."""

MEAN_FAULT_INTERVAL_S = 1.2
"""The mean time between the starts of two faults, in seconds.

It is shorter than most faults last, so that two or more overlap most of the time.
"""

RECOVERY_PERIOD_S = 6.0
"""The last part of a run, in which no generated fault starts, in seconds.

It shows whether the services recover.
"""


class Fault(NamedTuple):
    """A scheduled fault."""

    start_s: float
    """When the fault starts, in seconds after the start of traffic."""

    kind: FaultKind
    """The kind of fault."""

    target_index: int
    """Selects the affected instance or link: an index, modulo their number, into those
    that the kind applies to."""

    duration_s: float
    """How long the fault lasts, in seconds.

    Only pauses and faults of the store, of links and of messages use it.
    """


def generate_faults(
    seed: int, seconds: float, kinds: tuple[FaultKind, ...] = FAULT_KINDS
) -> list[Fault]:
    """Return the faults of a seed, ordered by start time; they may overlap.

    Example::

        >>> generate_faults(7, 20.0) == generate_faults(7, 20.0)
        True
    """
    rng = random.Random(seed)
    faults = []
    start_s = 1.0
    while start_s < seconds - RECOVERY_PERIOD_S:
        kind = rng.choice(kinds)
        fault = Fault(start_s, kind, rng.randrange(8), rng.uniform(0.3, 3.0))
        faults.append(fault)
        start_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return faults
