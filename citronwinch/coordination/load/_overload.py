"""Shedding of requests at the agent, before the backend server receives them."""

from collections import deque
from enum import IntEnum

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._outcomes import EndedRequest, compute_upper_median

INITIAL_LIMIT = 64
"""The concurrency limit before the first adjustment, in requests."""

MIN_LIMIT = 4
"""The lowest concurrency limit; above 0, so that answers keep adjusting it."""

MAX_LIMIT = 4_096
"""The highest concurrency limit, in requests."""

ADJUST_INTERVAL_MS = 200
"""The least time between two adjustments of the limit, in milliseconds."""

MIN_SAMPLES = 5
"""The fewest answers that an adjustment is based on."""

MAX_SAMPLES = 256
"""The most answers that an adjustment is based on; the latest ones count."""

IDLE_BELOW_REQUESTS = 2
"""A server with fewer requests in progress than this counts as idle."""

IDLE_LATENCY_GAIN = 0.05
"""Weight of one answer in the moving average that raises the idle latency."""

MIN_QUEUED_REQUESTS = 6.0
"""The limit grows while fewer requests than this are queued in the server."""

MAX_QUEUED_REQUESTS = 12.0
"""The limit shrinks while more requests than this are queued in the server."""

SHED_NEW_ENTER_RATIO = 0.75
"""From this fraction of the limit on, requests of new flows are shed."""

SHED_NEW_LEAVE_RATIO = 0.5
"""Below this fraction of the limit, requests of new flows are admitted again."""

SHED_ALL_LEAVE_RATIO = 0.9
"""Below this fraction of the limit, established flows are admitted again."""

RETRY_AFTER_MS = 1_000
"""The delay after which a caller may retry a request that was shed, in ms."""


class OverloadLevel(IntEnum):
    """Which requests are shed."""

    NONE = 0
    """No requests are shed."""

    NEW = 1
    """New flows and their first requests are shed."""

    ALL = 2
    """Requests of established flows are shed too, until some are answered."""


class ConcurrencyLimit:
    """Adapts the number of requests that a backend server may have in progress.

    The idle latency is the answer time of a nearly idle server. A longer answer time
    means that requests queue inside the server. The limit is adjusted to keep this
    queue between `MIN_QUEUED_REQUESTS` and `MAX_QUEUED_REQUESTS`: long enough to keep
    the server busy, short enough that no answer comes too late. With a shorter queue
    the limit grows back to `INITIAL_LIMIT`, and beyond it only while it is in use.
    The limit is based on observed answers alone; the server's load endpoint is not
    queried.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limit = float(INITIAL_LIMIT)
        self.idle_latency_ms = 0.0
        self.samples: deque[EndedRequest] = deque(maxlen=MAX_SAMPLES)
        self.adjusted_ms = clock.now_ms()

    def record_answer(self, ended: EndedRequest) -> None:
        """Update the idle latency by an answered request; adjust the limit if due."""
        latency_ms = max(1, ended.latency_ms)
        self.samples.append(ended)
        if not self.idle_latency_ms or latency_ms < self.idle_latency_ms:
            self.idle_latency_ms = float(latency_ms)
        elif ended.requests_ahead < IDLE_BELOW_REQUESTS:
            difference_ms = latency_ms - self.idle_latency_ms
            self.idle_latency_ms += difference_ms * IDLE_LATENCY_GAIN
        is_due = self.clock.now_ms() - self.adjusted_ms >= ADJUST_INTERVAL_MS
        if is_due and len(self.samples) >= MIN_SAMPLES:
            self.adjust()

    def adjust(self) -> None:
        """Adjust the limit by the answers since the last adjustment."""
        latency_ms = compute_upper_median([ended.latency_ms for ended in self.samples])
        requests_ahead = sorted(ended.requests_ahead for ended in self.samples)
        queueing_share = 1 - min(1.0, self.idle_latency_ms / latency_ms)
        queued_requests = requests_ahead[len(requests_ahead) // 2] * queueing_share
        if queued_requests > MAX_QUEUED_REQUESTS:
            self.limit -= max(1.0, (queued_requests - MAX_QUEUED_REQUESTS) / 2)
        elif queued_requests < MIN_QUEUED_REQUESTS and (
            self.limit < INITIAL_LIMIT
            or requests_ahead[-1] >= self.limit * SHED_NEW_LEAVE_RATIO
        ):
            self.limit += 1.0
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))
        self.samples.clear()
        self.adjusted_ms = self.clock.now_ms()


class OverloadGuard:
    """Sheds requests of new flows first, those of established flows at the limit.

    Each level ends at a lower load than it begins (hysteresis), so that a load near
    the threshold does not toggle it.
    """

    def __init__(self, clock: Clock) -> None:
        self.concurrency = ConcurrencyLimit(clock)
        self.level = OverloadLevel.NONE

    def admits(self, in_progress: int, is_established: bool) -> bool:
        """Return whether a request may be delivered now."""
        self.update(in_progress)
        if self.level is OverloadLevel.ALL:
            return False
        return is_established or self.level is OverloadLevel.NONE

    def update(self, in_progress: int) -> OverloadLevel:
        """Set the level by the requests in progress and return it."""
        load = in_progress / self.concurrency.limit
        if load >= 1:
            self.level = OverloadLevel.ALL
        elif self.level is OverloadLevel.ALL and load < SHED_ALL_LEAVE_RATIO:
            self.level = OverloadLevel.NEW
        if self.level is OverloadLevel.NONE and load >= SHED_NEW_ENTER_RATIO:
            self.level = OverloadLevel.NEW
        elif self.level is OverloadLevel.NEW and load < SHED_NEW_LEAVE_RATIO:
            self.level = OverloadLevel.NONE
        return self.level
