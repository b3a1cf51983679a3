"""Decides which balancer reads the store, without an election."""

from collections.abc import Iterable

from citronwinch.coordination._placement import hash_seed

READ_INTERVAL_MS = 700
"""The age at which the first balancer in turn reads again, in milliseconds; with one
refused reader the listing still arrives within half of the shortest drain time."""

TURN_STEP_MS = 300
"""How much longer each next balancer in turn waits, in milliseconds; longer than an
answer of a slow store takes."""

TURN_LIMIT = 6
"""The turn after which waiting no longer grows, so that an isolated part of the fleet
reads within READ_INTERVAL_MS + TURN_LIMIT * TURN_STEP_MS."""

RETRY_MS = 400
"""How long a reader waits after a failed read, in milliseconds."""


def compute_read_turn(own_ip: str, balancers: Iterable[str]) -> int:
    """Return how many live balancers read the store before this one does.

    The order is that of a hash, so that the readers are not all in the zone with the
    lowest addresses.

    Example::

        >>> members = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
        >>> sorted(compute_read_turn(ip, members) for ip in members)
        [0, 1, 2]
    """
    own = (hash_seed(own_ip), own_ip)
    return sum((hash_seed(ip), ip) < own for ip in set(balancers) - {own_ip})


def compute_read_age_ms(turn: int) -> int:
    """Return the age of the listing at which a balancer reads it, in milliseconds."""
    return READ_INTERVAL_MS + min(turn, TURN_LIMIT) * TURN_STEP_MS
