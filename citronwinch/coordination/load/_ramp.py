"""The gradual increase of load on a backend server that has just started."""

from citronwinch.coordination._clock import Clock

RAMP_MS = 30_000
"""How long a new server takes to grow to its full share, in milliseconds."""

INITIAL_SHARE = 0.1
"""The initial share of a new server; above 0, so that the server gets some flows."""


class ColdStartRamp:
    """Measures how long a server has worked for its service.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> ramp = ColdStartRamp(clock)
        >>> clock.advance(60_000)
        >>> ramp.compute_age_ms() == RAMP_MS
        True
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()

    def restart(self) -> None:
        """Restart the ramp, because the server was assigned to another service."""
        self.started_ms = self.clock.now_ms()

    def compute_age_ms(self) -> int:
        """Return the time since the start, at most the length of the ramp."""
        return min(RAMP_MS, self.clock.now_ms() - self.started_ms)


def compute_ramp_share(age_ms: int) -> float:
    """Return the fraction of its weight that a server of this age should carry.

    Example::

        >>> [round(compute_ramp_share(age_ms), 2) for age_ms in (0, 15_000, 30_000)]
        [0.1, 0.55, 1.0]
    """
    return min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * age_ms / RAMP_MS)
