"""Bounds the openings that an agent delivers to its backend server while it is cold."""

from collections import deque

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import UNLIMITED_OPENINGS, Heartbeat

OPENING_WINDOW_MS = 1_000
"""The sliding window in which openings are counted, in milliseconds."""

UNKNOWN_OPENINGS_PER_S = 3
"""The openings per second that a restarted agent accepts before its first heartbeat.
The platform allows 5 in a second; a run of the agent may use 3 of them at its end and
the next run 2 before the second is over."""

RESTART_MIN_MS = 125
"""The shortest time without an agent during a restart, in milliseconds: half of the
shortest start that was measured."""

RESTART_RATE_SHARE = 0.5
"""The share of `warmup_per_s` that a restarted agent accepts in its first second, in
addition to `UNKNOWN_OPENINGS_PER_S`. Its predecessor may have used the whole rate in
the same sliding second, and together they may not exceed 1.5 times the rate and 5."""

UNLISTED_START_MS = 2_500
"""How long after a refused connection the server may have been started again without
any balancer knowing it, in milliseconds: its registration, a read of the listing and a
heartbeat."""

RECORDED_OPENINGS_LIMIT = 4_096
"""The most openings that are recorded; no server accepts more of them in a second."""


class OpeningRateLimit:
    """Counts openings in a sliding window and tells whether one more is accepted.

    Without a heartbeat that says otherwise there is no limit. Balancers may read the
    listing at different times; the latest end of the warm-up that any of them states
    for the current incarnation is used.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> limit = OpeningRateLimit(clock)
        >>> limit.apply_warmup(started_ms=1, warmup_left_ms=2_000, per_s=2.0)
        >>> clock.advance(1_000)
        >>> [limit.accept_opening() for _ in range(3)], limit.count_room()
        ([True, True, False], 0)
        >>> clock.advance(1_000)
        >>> limit.count_room() == UNLIMITED_OPENINGS
        True
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.is_informed = True
        """Whether a heartbeat has described the server, or none is needed."""
        self.server_started_ms = 0
        """The server's incarnation according to the heartbeats."""
        self.cold_until_ms = 0
        self.per_s = 0.0
        """The openings per second that the server sustains while cold; 0: no limit."""
        self.accepted_ms: deque[int] = deque(maxlen=RECORDED_OPENINGS_LIMIT)
        """When the openings of the last second were accepted."""
        self.returned = 0
        """The number of openings that were returned because of the limit."""

    def await_heartbeat(self) -> None:
        """Limit the openings until a heartbeat describes the server.

        For an agent that has just started, maybe beside a cold server.
        """
        self.started_ms = self.clock.now_ms()
        self.is_informed = False

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply what a balancer knows about the server from the listing.

        A heartbeat to the agent of a server that is not listed any more does not
        describe it.
        """
        if heartbeat.server_started_ms or heartbeat.server_slots:
            self.apply_warmup(
                heartbeat.server_started_ms,
                heartbeat.server_warmup_left_ms,
                heartbeat.warmup_per_s,
            )

    def apply_warmup(self, started_ms: int, warmup_left_ms: int, per_s: float) -> None:
        """Apply the remaining warm-up of an incarnation of the server."""
        self.is_informed = True
        if started_ms < self.server_started_ms:
            return
        until_ms = self.clock.now_ms() + warmup_left_ms
        if started_ms > self.server_started_ms:
            self.server_started_ms, self.cold_until_ms = started_ms, until_ms
        if warmup_left_ms:
            self.cold_until_ms = max(self.cold_until_ms, until_ms)
        self.per_s = per_s

    def expect_restart(self) -> None:
        """Treat a server that refused a connection as cold until it is listed anew."""
        until_ms = self.clock.now_ms() + UNLISTED_START_MS
        self.cold_until_ms = max(self.cold_until_ms, until_ms)

    def accept_opening(self) -> bool:
        """Return whether an opening is accepted now; if so, count it."""
        if self.count_room() <= 0:
            self.returned += 1
            return False
        self.accepted_ms.append(self.clock.now_ms())
        return True

    def count_room(self) -> int:
        """Return how many more openings are accepted in the current second."""
        now_ms = self.clock.now_ms()
        while self.accepted_ms and self.accepted_ms[0] <= now_ms - OPENING_WINDOW_MS:
            self.accepted_ms.popleft()
        if not self.is_limited:
            return UNLIMITED_OPENINGS
        limit = self._compute_limit(now_ms - self.started_ms)
        return max(0, min(limit - len(self.accepted_ms), UNLIMITED_OPENINGS - 1))

    @property
    def is_filling(self) -> bool:
        """Whether openings are limited and some were accepted in the last second."""
        return self.is_limited and bool(self.accepted_ms)

    @property
    def is_limited(self) -> bool:
        """Whether openings are limited now."""
        if not self.is_informed:
            return True
        return self.per_s > 0 and self.clock.now_ms() < self.cold_until_ms

    def _compute_limit(self, age_ms: int) -> int:
        """Return the openings allowed in the window that ends now.

        An agent younger than the window does not know what its predecessor delivered;
        its allowance grows with the time since its predecessor's end.
        """
        earned_s = min(1.0, (age_ms + RESTART_MIN_MS) / OPENING_WINDOW_MS)
        if not self.is_informed:
            return int(UNKNOWN_OPENINGS_PER_S * earned_s)
        per_s = max(1.0, self.per_s)
        if earned_s >= 1.0:
            return int(per_s)
        restart_per_s = RESTART_RATE_SHARE * self.per_s + UNKNOWN_OPENINGS_PER_S
        return int(min(per_s, restart_per_s) * earned_s)
