"""Whether a balancer that has just started knows the servers that left before.

Servers that have left the listing may still hold flows. Balancers keep them in mind for
the lifetime of a flow; one that starts has to learn them from another balancer.
"""

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import Heartbeat

OLDER_BALANCER_WAIT_MS = 100
"""How long after its start a balancer waits for a heartbeat of one that was there
before, in milliseconds. Seeds answer its first heartbeat within a round trip."""

FORMER_FETCH_TIMEOUT_MS = 2_000
"""How long a balancer tries to fetch the former servers, in milliseconds."""

OLDER_BY_NS = 2_000_000_000
"""By how much a balancer must have started earlier to count as one that was there
before, in nanoseconds. After a loss of power all start within less, and none knows
anything; nobody has to wait for them."""


class FormerKnowledge:
    """What a starting balancer still has to learn about former servers.

    Until it has, the denials of all listed agents do not prove that a flow is dead.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> knowledge = FormerKnowledge(clock)
        >>> knowledge.is_complete
        True
        >>> knowledge.start(incarnation=9_000_000_000)
        >>> knowledge.is_complete
        False
        >>> clock.advance(100)
        >>> knowledge.is_complete
        True
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.incarnation = 0
        self.incomplete_until_ms = clock.now_ms()
        self.is_awaiting_fetch = False
        """Whether an older balancer is known and has not been asked yet."""
        self.has_learned = True
        """Whether nothing is left to learn."""

    def start(self, incarnation: int) -> None:
        """Begin to wait for older balancers, at the start of a process."""
        self.incarnation = incarnation
        self.has_learned = False
        self.incomplete_until_ms = self.clock.now_ms() + OLDER_BALANCER_WAIT_MS

    @property
    def is_complete(self) -> bool:
        """Whether former servers are known, or nobody is there to ask."""
        return self.has_learned or self.clock.now_ms() >= self.incomplete_until_ms

    def must_fetch_from(self, heartbeat: Heartbeat) -> bool:
        """Return whether to fetch the former servers from a heartbeat's sender."""
        if self.has_learned or not heartbeat.configuration_version:
            return False
        if heartbeat.incarnation > self.incarnation - OLDER_BY_NS:
            return False
        if not self.is_awaiting_fetch:
            self.is_awaiting_fetch = True
            now_ms = self.clock.now_ms()
            self.incomplete_until_ms = now_ms + FORMER_FETCH_TIMEOUT_MS
        return True

    def record_fetched(self) -> None:
        """Record that an older balancer has sent the former servers."""
        self.has_learned = True
