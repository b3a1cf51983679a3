"""Determines when a balancer reads the store, without an election.

The balancers take turns: each reads once its listing has reached an age that grows with
its turn, so that usually only the first one reads, and the others fetch from it.
"""

from collections.abc import Iterable

from citronwinch.coordination._placement import hash_seed
from citronwinch.coordination.flows._control_pace import compute_interval_ms

READ_INTERVAL_MS = 700
"""The age of the listing at which the first balancer in turn reads again, in
milliseconds. If the store refuses that balancer, the next one's read still completes
within half of the shortest drain time."""

UNSETTLED_READ_INTERVAL_MS = 200
"""The same while servers may be registering again, in milliseconds: until the next
read, callers wait for servers that are back."""

TURN_STEP_MS = 300
"""How much longer each further balancer in turn waits, in milliseconds; longer than a
slow store takes to answer."""

MAX_DELAYED_TURN = 6
"""The turn after which the waiting time no longer grows, so that an isolated part of
the fleet reads within READ_INTERVAL_MS + MAX_DELAYED_TURN * TURN_STEP_MS."""

READ_RETRY_MS = 400
"""The least time that a balancer waits after a failed read of the store, in
milliseconds."""

FAILED_READS_PER_S = 20
"""The most reads per second that all balancers together repeat while the store is down.
The store charges for refused calls, and one successful read is announced to all."""


def compute_read_turn(own_ip: str, balancers: Iterable[str]) -> int:
    """Return how many of the live balancers come before this one in reading the store.

    They are ordered by a hash of the address, so that the first ones are not all in the
    zone with the lowest addresses.

    Example::

        >>> members = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
        >>> sorted(compute_read_turn(ip, members) for ip in members)
        [0, 1, 2]
    """
    own = (hash_seed(own_ip), own_ip)
    return sum((hash_seed(ip), ip) < own for ip in set(balancers) - {own_ip})


def compute_read_retry_ms(balancers: int) -> int:
    """Return how long a balancer waits after a failed read, in milliseconds.

    Example::

        >>> compute_read_retry_ms(6), compute_read_retry_ms(60)
        (400, 3000)
    """
    return compute_interval_ms(READ_RETRY_MS, balancers, FAILED_READS_PER_S)


def compute_read_age_ms(turn: int, *, expects_servers: bool = False) -> int:
    """Return the age of the listing at which it is read again, in milliseconds.

    `expects_servers` means that servers are likely to be listed soon.

    Example::

        >>> compute_read_age_ms(1), compute_read_age_ms(1, expects_servers=True)
        (1000, 500)
    """
    interval_ms = UNSETTLED_READ_INTERVAL_MS if expects_servers else READ_INTERVAL_MS
    return interval_ms + min(turn, MAX_DELAYED_TURN) * TURN_STEP_MS
