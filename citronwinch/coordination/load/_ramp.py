"""The ramp of a backend server that has just started."""

from citronwinch.coordination._clock import Clock

RAMP_MS = 30_000
"""How long a new server takes to grow to its full share, in milliseconds."""

FIRST_SHARE = 0.1
"""The share that a new server starts with; above 0, so that it is never starved."""


class ColdStartRamp:
    """Grows the share of a server that joins from a tenth to the whole.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> ramp = ColdStartRamp(clock)
        >>> clock.advance(RAMP_MS // 2)
        >>> round(ramp.find_share(), 2)
        0.55
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()

    def restart(self) -> None:
        """Begin again, because the server was assigned to another service."""
        self.started_ms = self.clock.now_ms()

    def find_share(self) -> float:
        """Return the share of its weight that the server should carry now."""
        grown = (self.clock.now_ms() - self.started_ms) / RAMP_MS
        return min(1.0, FIRST_SHARE + (1 - FIRST_SHARE) * grown)
