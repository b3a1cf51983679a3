"""Whether an agent is the first one that runs beside its backend server."""

from citronwinch.coordination._clock import Clock

SERVER_START_MARGIN_MS = 1_000
"""How long before its agent a backend server may have started that has not received any
flow yet, in milliseconds; an agent takes about half of this to start."""

BALANCERS_WAIT_MS = 1_000
"""How long an agent waits for balancers that ran before it, in milliseconds; after a
restart of the whole fleet there are none."""


class FirstRun:
    """What an agent knows of earlier runs beside its backend server.

    The first run sees the openings of all flows of the server. A later one may follow
    so soon that its time of day does not tell it from the first one, and times of day
    jump. Balancers that heard an earlier run state since when they hear one.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock(10_000)
        >>> first_run = FirstRun(clock, started_unix_ms=60_000)
        >>> clock.advance(300)
        >>> first_run.record_statement(59_800, balancer_uptime_ms=900, heard_ms=200)
        >>> first_run.is_first
        True
        >>> first_run.record_statement(59_800, balancer_uptime_ms=900, heard_ms=800)
        >>> first_run.is_first
        False
    """

    def __init__(self, clock: Clock, started_unix_ms: int) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.started_unix_ms = started_unix_ms
        """When the agent started, in Unix time, in milliseconds; 0 if unknown, which
        counts as before the start of any backend server."""
        self.server_started_unix_ms = 0
        """The backend server's incarnation: its start in Unix time, in milliseconds; 0
        if unknown."""
        self.informed_ms = 0
        """When a balancer first stated that incarnation, in milliseconds."""
        self.has_witness = False
        """Whether a balancer that ran before this agent has stated no earlier run."""
        self.has_predecessor = False
        """Whether a balancer has heard an earlier run beside this incarnation."""

    def record_statement(
        self, server_started_unix_ms: int, balancer_uptime_ms: int, heard_ms: int
    ) -> None:
        """Record what a balancer has stated of the server and of its agent.

        `heard_ms` is for how long it has heard an agent beside this incarnation.
        """
        now_ms = self.clock.now_ms()
        uptime_ms = now_ms - self.started_ms
        if server_started_unix_ms < self.server_started_unix_ms:
            return
        if server_started_unix_ms > self.server_started_unix_ms:
            self.server_started_unix_ms = server_started_unix_ms
            self.informed_ms = now_ms
            self.has_witness = self.has_predecessor = False
        # A message may be late, and states less then.
        if heard_ms > uptime_ms:
            self.has_predecessor = True
        elif balancer_uptime_ms > uptime_ms:
            self.has_witness = True

    @property
    def is_first(self) -> bool:
        """Whether no agent has run beside the server before."""
        if not self.server_started_unix_ms or self.has_predecessor:
            return False
        latest_unix_ms = self.started_unix_ms - SERVER_START_MARGIN_MS
        if self.server_started_unix_ms < latest_unix_ms:
            return False
        waited_ms = self.clock.now_ms() - self.informed_ms
        return self.has_witness or waited_ms >= BALANCERS_WAIT_MS
