"""Measures the busy time of a backend server from the requests that wait for it."""

import math

from citronwinch.coordination._clock import Clock

DECAY_TIME_CONSTANT_MS = 1_500
"""The time constant of the exponential decay, in milliseconds; long enough to smooth
single requests of 20 ms, short enough to show a change of load before flows are placed
by it."""


class BusyMeter:
    """An exponentially decaying mean of the share of time with waiting requests.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> meter = BusyMeter(clock)
        >>> meter.record_waiting_requests(1)
        >>> clock.advance(10_000)
        >>> round(meter.read_busy_share(), 2)
        1.0
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.share = 0.0
        self.is_busy = False
        self.updated_ms = clock.now_ms()

    def record_waiting_requests(self, requests: int) -> None:
        """Record the number of requests that wait from now on."""
        self.read_busy_share()
        self.is_busy = requests > 0

    def read_busy_share(self) -> float:
        """Return the share of recent time with waiting requests, 0 to 1."""
        now_ms = self.clock.now_ms()
        remaining_weight = math.exp(
            -(now_ms - self.updated_ms) / DECAY_TIME_CONSTANT_MS
        )
        self.share = (
            self.share * remaining_weight + (1.0 - remaining_weight) * self.is_busy
        )
        self.updated_ms = now_ms
        return self.share
