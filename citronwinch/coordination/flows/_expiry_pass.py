"""Spreads the check of many entries for expiry over time."""

from citronwinch.coordination._clock import Clock

EXPIRY_PASS_MS = 5_000
"""The time in which every entry is checked once, in milliseconds; well below the idle
timeout of a flow, which may be exceeded by this much."""


class ExpiryPass:
    """Tells how many entries to check now, whatever the interval between calls.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> expiry_pass = ExpiryPass(clock)
        >>> clock.advance(100)
        >>> expiry_pass.count_due(1_000)
        20
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.checked_ms = clock.now_ms()

    def count_due(self, entries: int) -> int:
        """Return how many of the entries are due since the last call."""
        now_ms = self.clock.now_ms()
        elapsed_ms = min(now_ms - self.checked_ms, EXPIRY_PASS_MS)
        self.checked_ms = now_ms
        return -(-entries * elapsed_ms // EXPIRY_PASS_MS)
