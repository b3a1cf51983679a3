"""How far back a balancer knows the servers that have left the listing.

Servers that have left the listing may still hold flows. Balancers keep them in mind for
the lifetime of a flow. One that starts, or that had no current listing for some time,
has to learn them from a balancer that knows more; until then the denials of all agents
that it knows do not prove that a flow is dead.
"""

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import Heartbeat

FORMER_RETENTION_MS = 60_000
"""How long the agents of former backend servers are still queried about flows, in
milliseconds; the platform's longest lifetime of a flow."""

NAMED_BALANCER_WAIT_MS = 100
"""How long after the first heartbeat of another balancer a starting one at least waits
for those that may know more, in milliseconds. They answer its heartbeats within a round
trip."""

SILENT_FLEET_TIMEOUT_MS = 3_500
"""How long a starting balancer waits for balancers of which it hears nothing, in
milliseconds; as long as a balancer without heartbeats is considered live."""

MIN_GAIN_MS = 2_000
"""By how much longer another balancer must know the former servers to be asked, in
milliseconds. After a loss of power or of the store all know them for about the same
time, and nobody has to wait."""

FLEET_RESTART_PERIOD_MS = 10_000
"""For how long after its start a balancer counts as restarted with the whole fleet, in
milliseconds."""


class FormerKnowledge:
    """Since when a balancer knows each server that left, and which balancers know more.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> knowledge = FormerKnowledge(clock)
        >>> knowledge.is_complete
        True
        >>> knowledge.start("10.0.0.1")
        >>> knowledge.is_complete
        False
        >>> clock.advance(3_500)
        >>> knowledge.is_complete
        True
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.own_ip = ""
        self.started_ms: int | None = None
        """When the process started, if it may have missed departures before."""
        self.known_since_ms = clock.now_ms() - FORMER_RETENTION_MS
        """From when on each server that left is known, in milliseconds."""
        self.first_heard_ms: int | None = None
        """When the first heartbeat of another balancer arrived since the start."""
        self.heard: set[str] = set()
        """The balancers whose heartbeats have arrived since the start."""
        self.unheard: set[str] = set()
        """The balancers that heartbeats have named, but that have not been heard."""
        self.sources: set[str] = set()
        """The balancers that know more and have not sent the former servers yet."""
        self.answered: set[str] = set()
        """Those that have sent them."""

    def start(self, own_ip: str) -> None:
        """Begin to wait for balancers that know more, at the start of a process."""
        self.own_ip = own_ip
        self.started_ms = self.known_since_ms = self.clock.now_ms()

    def restart(self) -> None:
        """Record that departures may have been missed until now."""
        self.known_since_ms = self.clock.now_ms()
        self.answered.clear()

    @property
    def known_for_ms(self) -> int:
        """For how long each server that left is known, up to the retention, in ms."""
        return min(self.clock.now_ms() - self.known_since_ms, FORMER_RETENTION_MS)

    @property
    def is_complete(self) -> bool:
        """Whether no live balancer is known, or may be expected, to know more."""
        if self.known_for_ms >= FORMER_RETENTION_MS:
            return True
        if self.sources:
            return False
        if self.started_ms is None:
            return True
        now_ms = self.clock.now_ms()
        if now_ms >= self.started_ms + SILENT_FLEET_TIMEOUT_MS:
            return True
        return (
            self.first_heard_ms is not None
            and not self.unheard
            and now_ms >= self.first_heard_ms + NAMED_BALANCER_WAIT_MS
        )

    @property
    def is_fleet_restarted(self) -> bool:
        """Whether this balancer has just started, and no other one was there before."""
        return (
            self.started_ms is not None
            and self.clock.now_ms() < self.started_ms + FLEET_RESTART_PERIOD_MS
            and not self.answered
            and self.is_complete
        )

    def record_heartbeat(self, heartbeat: Heartbeat, sender: str) -> bool:
        """Record how much a balancer knows; return whether to fetch it from there."""
        if self.known_for_ms >= FORMER_RETENTION_MS:
            self.sources.clear()
            return False
        if self.started_ms is not None:
            self.heard.add(sender)
            self.unheard |= {*heartbeat.balancers} - self.heard - {self.own_ip}
            self.unheard.discard(sender)
        if not heartbeat.configuration_version:
            return False
        if self.first_heard_ms is None:
            self.first_heard_ms = self.clock.now_ms()
        if sender in self.answered or not self._knows_more(heartbeat):
            self.sources.discard(sender)
            return False
        self.sources.add(sender)
        return True

    def _knows_more(self, heartbeat: Heartbeat) -> bool:
        # A balancer of an earlier version does not state how much it knows.
        known_for_ms = heartbeat.former_known_for_ms or FORMER_RETENTION_MS
        return known_for_ms >= self.known_for_ms + MIN_GAIN_MS

    def record_fetched(self, source: str, known_for_ms: int) -> None:
        """Record that a balancer has sent the former servers that it knows."""
        known_since_ms = self.clock.now_ms() - known_for_ms
        self.known_since_ms = min(self.known_since_ms, known_since_ms)
        self.sources.discard(source)
        self.answered.add(source)

    def forget(self, balancer: str) -> None:
        """Expect nothing more from a balancer that is lost."""
        self.sources.discard(balancer)
        self.unheard.discard(balancer)
