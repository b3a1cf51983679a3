"""A rate limit on the bytes that are sent for one purpose."""

from citronwinch.coordination._clock import Clock


class ByteBudget:
    """A token bucket for bytes: it allows a burst, and a constant average rate.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> budget = ByteBudget(clock, burst_bytes=100, bytes_per_second=10)
        >>> budget.try_spend(100), budget.try_spend(1)
        (True, False)
        >>> clock.advance(1_000)
        >>> budget.try_spend(10)
        True
    """

    def __init__(self, clock: Clock, burst_bytes: int, bytes_per_second: int) -> None:
        self.clock = clock
        self.burst_bytes = burst_bytes
        self.bytes_per_second = bytes_per_second
        self.available_bytes = burst_bytes
        self.refilled_ms = clock.now_ms()

    def try_spend(self, size_bytes: int) -> bool:
        """Take bytes from the budget; return False when there are not enough."""
        if self.available_bytes < size_bytes:
            self.refill()
        if self.available_bytes < size_bytes:
            return False
        self.available_bytes -= size_bytes
        return True

    def refill(self) -> None:
        """Add the bytes that the elapsed time allows."""
        now_ms = self.clock.now_ms()
        earned_bytes = (now_ms - self.refilled_ms) * self.bytes_per_second // 1_000
        if earned_bytes > 0:
            self.refilled_ms = now_ms
            self.available_bytes = min(
                self.burst_bytes, self.available_bytes + earned_bytes
            )

    def count_available_bytes(self) -> int:
        """Return how many bytes `try_spend` would allow now, without a refill."""
        elapsed_ms = self.clock.now_ms() - self.refilled_ms
        earned_bytes = elapsed_ms * self.bytes_per_second // 1_000
        return min(self.burst_bytes, self.available_bytes + earned_bytes)
