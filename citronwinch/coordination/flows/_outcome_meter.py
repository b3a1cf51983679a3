"""Which share of the requests at a backend server seem to fail, without their bytes."""

import math

from citronwinch.coordination._clock import Clock

MAX_QUICK_ANSWER_MS = 2
"""An answer within so many milliseconds is too quick to have been worked on; requests
take 5 ms at the least, and a server that refuses or fails at once answers in less."""

OUTCOME_WEIGHT = 0.08
"""The weight of the newest request in the mean; a dozen requests show a change."""

DECAY_TIME_CONSTANT_MS = 6_000
"""How fast a share is forgotten without requests, in milliseconds, so that a backend
server which gets no new flows is tried again."""


class OutcomeMeter:
    """A decaying mean of the share of requests that seem to have failed.

    A request seems to have failed when it got no answer, was reset, or was answered
    too quickly. Servers of some services may answer quickly as a rule, so that the
    share means something only beside that of other servers of the service.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> meter = OutcomeMeter(clock)
        >>> for _ in range(30):
        ...     meter.note(seems_failed=True)
        >>> round(meter.read_share(), 1)
        0.9
        >>> clock.advance(20_000)
        >>> round(meter.read_share(), 1)
        0.0
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.share = 0.0
        self.updated_ms = clock.now_ms()

    def record_outcome(self, *, seems_failed: bool) -> None:
        """Note the outcome of a request."""
        share = self.read_share()
        self.share = share + OUTCOME_WEIGHT * (seems_failed - share)

    def record_answer(self, latency_ms: int) -> None:
        """Note that a request was answered."""
        self.record_outcome(seems_failed=latency_ms <= MAX_QUICK_ANSWER_MS)

    def read_share(self) -> float:
        """Return the share of recent requests that seem to have failed, 0 to 1."""
        now_ms = self.clock.now_ms()
        self.share *= math.exp((self.updated_ms - now_ms) / DECAY_TIME_CONSTANT_MS)
        self.updated_ms = now_ms
        return self.share
