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

MIN_GAIN_MS = 500
"""By how much longer another balancer must know the former servers, or run, to be asked
for them, in milliseconds. After a loss of power all start within about this time, and
nobody has to wait."""

MAX_SOURCES = 4
"""How many balancers are asked at most. After an outage of the store none knows all
departures, and asking each would cost more with each balancer."""

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
        self.created_ms = clock.now_ms()
        """When the process started."""
        self.started_ms: int | None = None
        """When the process started, if it may have missed departures before."""
        self.known_since_ms = clock.now_ms() - FORMER_RETENTION_MS
        """From when on each server that left is known, in milliseconds."""
        self.current_until_ms: int | None = None
        """Until when the listing is current, in milliseconds; None without one."""
        self.first_heard_ms: int | None = None
        """When the first heartbeat of another balancer arrived since the start."""
        self.stated_since_ms: dict[str, int] = {}
        """From when on each other balancer knows all departures, as it has stated."""
        self.peers_started_ms: dict[str, int] = {}
        """When each other balancer started, as it has stated, in milliseconds."""
        self.has_heard_older = False
        """Whether a balancer that was there before this one has ever been heard."""
        self.unheard: set[str] = set()
        """The balancers that heartbeats have named, but that have not been heard."""
        self.answered: set[str] = set()
        """The balancers that have sent the former servers that they know."""

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
        """For how long each server that left is known, up to the retention, in ms.

        It is 0 while the listing is not current.
        """
        now_ms = self.clock.now_ms()
        if self.current_until_ms is not None and now_ms > self.current_until_ms:
            return 0
        return min(now_ms - self.known_since_ms, FORMER_RETENTION_MS)

    @property
    def sources(self) -> set[str]:
        """The balancers that know more and have not sent the former servers yet."""
        has_asked_enough = len(self.answered) >= MAX_SOURCES
        if self.known_for_ms >= FORMER_RETENTION_MS or has_asked_enough:
            return set()
        latest_ms = self.known_since_ms - MIN_GAIN_MS
        more = {ip for ip, ms in self.stated_since_ms.items() if ms <= latest_ms}
        return (more | self._list_older()) - self.answered

    def _list_older(self) -> set[str]:
        """Return the balancers that were there before this one, if it has restarted.

        They may know more even if they had no current listing for some time.
        """
        if self.started_ms is None:
            return set()
        latest_ms = self.started_ms - MIN_GAIN_MS
        return {ip for ip, ms in self.peers_started_ms.items() if ms <= latest_ms}

    @property
    def uptime_ms(self) -> int:
        """How long the process has run, in milliseconds."""
        return self.clock.now_ms() - self.created_ms

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
            and not self.has_heard_older
            and self.is_complete
        )

    def record_heartbeat(self, heartbeat: Heartbeat, sender: str) -> bool:
        """Record how much a balancer knows; return whether there is more to fetch."""
        now_ms = self.clock.now_ms()
        if heartbeat.configuration_version:
            # A balancer of an earlier version does not state how much it knows.
            known_for_ms = heartbeat.former_known_for_ms or FORMER_RETENTION_MS
            self.stated_since_ms[sender] = now_ms - known_for_ms
            uptime_ms = heartbeat.uptime_ms or FORMER_RETENTION_MS
            self.peers_started_ms[sender] = now_ms - uptime_ms
            self.has_heard_older |= sender in self._list_older()
            if self.first_heard_ms is None:
                self.first_heard_ms = now_ms
        if self.known_for_ms >= FORMER_RETENTION_MS:
            self.unheard.clear()
            return False
        named = {*heartbeat.balancers, *self.unheard}
        self.unheard = named - self.stated_since_ms.keys() - {self.own_ip, sender}
        return bool(self.sources)

    def record_fetched(self, source: str, known_for_ms: int) -> None:
        """Record that a balancer has sent the former servers that it knows."""
        known_since_ms = self.clock.now_ms() - known_for_ms
        self.known_since_ms = min(self.known_since_ms, known_since_ms)
        self.answered.add(source)

    def forget(self, balancer: str) -> None:
        """Expect nothing more from a balancer that is lost."""
        self.stated_since_ms.pop(balancer, None)
        self.peers_started_ms.pop(balancer, None)
        self.unheard.discard(balancer)
