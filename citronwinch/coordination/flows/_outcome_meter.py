"""Estimates the share of failed requests at a backend server from their timing."""

import math

from citronwinch.coordination._clock import Clock

MAX_QUICK_ANSWER_MS = 2
"""An answer after at most this many milliseconds counts as a failure: requests take at
least 5 ms, and a server that refuses or fails a request at once answers sooner."""

OUTCOME_WEIGHT = 0.08
"""The weight of the newest request in the mean; a dozen requests show a change."""

DECAY_TIME_CONSTANT_MS = 6_000
"""The time constant with which the share decays, in milliseconds; the decay lets a
backend server that gets no new flows receive some again."""


class OutcomeMeter:
    """A decaying mean of the share of requests that seem to have failed.

    The bytes of requests and answers are opaque. A request seems to have failed if it
    got no answer, was reset, or was answered too quickly. Since the servers of some
    services may always answer quickly, the share is meaningful only in comparison with
    other servers of the same service.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> meter = OutcomeMeter(clock)
        >>> for _ in range(30):
        ...     meter.record_outcome(seems_failed=True)
        >>> round(meter.read_failed_share(), 1)
        0.9
        >>> clock.advance(20_000)
        >>> round(meter.read_failed_share(), 1)
        0.0
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.share = 0.0
        self.updated_ms = clock.now_ms()

    def record_outcome(self, *, seems_failed: bool) -> None:
        """Record whether a request seems to have failed."""
        share = self.read_failed_share()
        self.share = share + OUTCOME_WEIGHT * (seems_failed - share)

    def record_answer(self, latency_ms: int) -> None:
        """Record an answered request; a very quick answer counts as a failure."""
        self.record_outcome(seems_failed=latency_ms <= MAX_QUICK_ANSWER_MS)

    def read_failed_share(self) -> float:
        """Return the share of recent requests that seem to have failed, 0 to 1."""
        now_ms = self.clock.now_ms()
        self.share *= math.exp((self.updated_ms - now_ms) / DECAY_TIME_CONSTANT_MS)
        self.updated_ms = now_ms
        return self.share
