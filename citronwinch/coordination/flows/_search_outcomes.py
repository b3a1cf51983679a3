"""Whether the latest searches found their flows."""

from collections import deque

REMEMBERED_OUTCOMES = 16
"""How many finished searches are remembered."""

MIN_DEAD_OUTCOMES = 8
"""From this many dead flows among them on, the next flow is presumed dead."""


class SearchOutcomes:
    """The outcomes of the latest finished searches.

    After a loss of power nearly all searches end with a dead flow, which needs the
    verdicts of all agents. Otherwise most flows have only moved to another balancer.

    Example::

        >>> outcomes = SearchOutcomes()
        >>> for _ in range(8):
        ...     outcomes.record(is_dead=True)
        >>> outcomes.presume_dead()
        True
        >>> for _ in range(9):
        ...     outcomes.record(is_dead=False)
        >>> outcomes.presume_dead()
        False
    """

    def __init__(self) -> None:
        self.latest: deque[bool] = deque(maxlen=REMEMBERED_OUTCOMES)
        """Whether each of the latest searches ended with a dead flow."""

    def record(self, *, is_dead: bool) -> None:
        """Record the outcome of a finished search."""
        self.latest.append(is_dead)

    def presume_dead(self) -> bool:
        """Return whether the flow of a new search is presumed dead."""
        return sum(self.latest) >= MIN_DEAD_OUTCOMES
