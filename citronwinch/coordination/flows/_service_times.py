"""Learns how long a backend server takes for a request."""

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._outcome_meter import MAX_QUICK_ANSWER_MS

SAMPLE_WEIGHT = 0.08
"""The least weight of the newest request in the mean; a dozen requests show that the
server has become slower or faster."""

MAX_AGED_WEIGHT = 0.25
"""The most weight that the newest request gets for the age of the mean, so that one
unusually long request does not replace the mean."""

AGEING_MS = 10_000
"""A mean that was last changed this long ago carries no weight by its age alone, in
milliseconds."""

MAX_SAMPLE_FACTOR = 4
"""A request counts for at most this many times the mean: a few requests in a hundred
take 7 times as long as the others, and would dominate a mean of a dozen requests."""

MAX_DEVIATION_FACTOR = 2
"""A request that differs from the mean by more than this factor does not count for the
mean deviation. The few long requests would otherwise make up two thirds of it, and
requests that can be in time would count as late. After a long first request the usual
ones differ that much, until the mean has come down."""


class ServiceTimes:
    """A moving mean of the time from the delivery of a request to its answer.

    Time in a queue, beside the server or inside it, is not part of it. The margin, the
    mean deviation, tells how much longer than the mean requests often take.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> times = ServiceTimes(ManualClock())
        >>> for _ in range(20):
        ...     times.record_answer(30)
        >>> times.record_answer(1)
        >>> times.service_ms, times.margin_ms
        (30, 0)
        >>> for _ in range(20):
        ...     times.record_answer(20)
        ...     times.record_answer(40)
        >>> times.service_ms, times.margin_ms
        (30, 10)
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.mean_ms = 0.0
        self.service_ms = 0
        """The mean in whole milliseconds; 0 if unknown."""
        self.deviation_ms = 0.0
        self.margin_ms = 0
        """The mean deviation in whole milliseconds; 0 if unknown."""
        self.samples = 0
        self.updated_ms = clock.now_ms()

    def record_answer(self, service_ms: int) -> None:
        """Record an answered request; a very quick answer is a failure and ignored."""
        if service_ms <= MAX_QUICK_ANSWER_MS:
            return
        now_ms = self.clock.now_ms()
        self.samples += 1
        if self.samples > 1:
            service_ms = min(service_ms, round(MAX_SAMPLE_FACTOR * self.mean_ms))
        # The first requests have equal weights.
        weight = max(1 / self.samples, self._compute_weight(now_ms))
        if self._counts_for_deviation(service_ms):
            deviation_ms = abs(service_ms - self.mean_ms)
            self.deviation_ms += weight * (deviation_ms - self.deviation_ms)
            self.margin_ms = round(self.deviation_ms)
        self.mean_ms += weight * (service_ms - self.mean_ms)
        self.service_ms = round(self.mean_ms)
        self.updated_ms = now_ms

    def _counts_for_deviation(self, service_ms: int) -> bool:
        """Return whether a request resembles the mean of those before it."""
        factor = MAX_DEVIATION_FACTOR
        return self.mean_ms / factor <= service_ms <= factor * self.mean_ms

    def _compute_weight(self, now_ms: int) -> float:
        """Return the weight of a request now; it grows with the age of the mean."""
        age_share = (now_ms - self.updated_ms) / AGEING_MS
        return min(max(SAMPLE_WEIGHT, age_share), MAX_AGED_WEIGHT)

    def reset(self) -> None:
        """Discard what was learned; the server is a new incarnation."""
        self.mean_ms, self.service_ms, self.samples = 0.0, 0, 0
        self.deviation_ms, self.margin_ms = 0.0, 0
