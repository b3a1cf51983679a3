"""Whose turn it is among priorities that wait for the same services."""

from collections.abc import Collection

PLACEMENTS_PER_LOWER_PRIORITY = 8
"""One of this many placements goes to a lower priority while openings of one wait, so
that no priority starves."""


class PriorityTurns:
    """Gives the highest priority all turns but every eighth.

    The lower priorities share the eighth turns equally.

    Example::

        >>> turns = PriorityTurns()
        >>> placed = []
        >>> for _ in range(16):
        ...     placed.append(turns.choose({0, 1, 2}))
        ...     turns.record_placed(placed[-1], {0, 1, 2})
        >>> placed
        [0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2]
    """

    def __init__(self) -> None:
        self.passed_over = 0
        """The placements since a lower priority had its turn, as far as such an opening
        waited."""
        self.lower_turns = 0
        self.last_turns: dict[int, int] = {}
        """The number of the last turn that each lower priority has had."""

    def choose(self, waiting: Collection[int]) -> int:
        """Return which of the waiting priorities is next."""
        first = min(waiting)
        lower = [priority for priority in waiting if priority != first]
        if not lower or self.passed_over < PLACEMENTS_PER_LOWER_PRIORITY - 1:
            return first
        return min(lower, key=lambda priority: (self._get_turn(priority), priority))

    def record_placed(self, priority: int, waiting: Collection[int]) -> None:
        """Record that an opening was placed while those priorities were waiting."""
        if priority != min(waiting):
            self.passed_over = 0
            self.lower_turns += 1
            self.last_turns[priority] = self.lower_turns
        elif len(set(waiting)) > 1:
            self.passed_over += 1

    def _get_turn(self, priority: int) -> int:
        return self.last_turns.get(priority, 0)
