"""Positions in the history of the platform's store."""

from typing import NamedTuple

RESTORED_DISTRUST_MS = 10_000
"""How long after the store has come back from an older copy its answers may lack or
revert what was written before, in milliseconds. Entries of servers that are gone expire
within three heartbeats of the servers, and live servers register again."""


class StorePosition(NamedTuple):
    """A state of the store; a later state compares greater.

    The store may come back from an older copy of itself. Its revisions then go back and
    are given out again, and its era rises by one, so that a revision alone does not
    identify a state.

    Example::

        >>> StorePosition(1, 900) < StorePosition(2, 870) < StorePosition(2, 871)
        True
    """

    era: int
    """How often the store has come back from a copy, counted by the store."""

    revision: int
    """The number of the store's latest change in this era."""


UNKNOWN_POSITION = StorePosition(0, 0)
"""Stands for no known position; it is lower than each position of a store."""
