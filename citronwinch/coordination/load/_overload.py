"""When an agent sheds work before its backend server gets it."""

from collections import deque
from enum import IntEnum

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._outcomes import EndedRequest, find_median

INITIAL_LIMIT = 64
"""The requests in progress that are allowed before anything was learned."""

MIN_LIMIT = 4
"""The requests in progress that are always allowed, so that learning goes on."""

MAX_LIMIT = 4_096
"""The requests in progress that are never exceeded."""

ADJUST_INTERVAL_MS = 200
"""How often the limit is adjusted, in milliseconds."""

MIN_SAMPLES = 5
"""The fewest answers that the limit is adjusted by."""

MAX_SAMPLES = 256
"""The most answers that the limit is adjusted by."""

IDLE_REQUESTS = 2
"""With fewer requests in progress a server counts as idle."""

IDLE_LATENCY_GAIN = 0.05
"""How fast a longer time without waiting is believed, per answer."""

QUEUE_LOW = 6.0
"""With fewer requests waiting in the backend server the limit grows."""

QUEUE_HIGH = 12.0
"""With more requests waiting in the backend server the limit shrinks."""

SHED_NEW_ENTER_RATIO = 0.75
"""Above this part of the limit requests of new flows are shed."""

SHED_NEW_LEAVE_RATIO = 0.5
"""Below this part of the limit requests of new flows are taken again."""

SHED_ALL_LEAVE_RATIO = 0.9
"""Below this part of the limit requests of established flows are taken again."""

RETRY_AFTER_MS = 1_000
"""When a caller whose request was shed may ask again, in milliseconds."""


class OverloadLevel(IntEnum):
    """What is shed."""

    NONE = 0
    """Nothing."""

    NEW = 1
    """New flows and their first requests."""

    ALL = 2
    """Requests of established flows too, until some are answered."""


class ConcurrencyLimit:
    """Learns how many requests a backend server can have in progress.

    The shortest time of a request that found the server nearly idle is the time
    without waiting. What is in progress beyond that time is a queue inside the
    server, and the limit is moved so that the queue stays between `QUEUE_LOW` and
    `QUEUE_HIGH` requests: long enough to keep the server busy, short enough that no
    answer comes too late. Without a queue the limit goes back to `INITIAL_LIMIT`, and
    beyond it only while it is used. An endpoint of the server is not asked.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limit = float(INITIAL_LIMIT)
        self.idle_latency_ms = 0.0
        self.samples: deque[EndedRequest] = deque(maxlen=MAX_SAMPLES)
        self.adjusted_ms = clock.now_ms()

    def record_answer(self, ended: EndedRequest) -> None:
        """Learn from an answered request."""
        latency_ms = max(1, ended.latency_ms)
        self.samples.append(ended)
        if not self.idle_latency_ms or latency_ms < self.idle_latency_ms:
            self.idle_latency_ms = float(latency_ms)
        elif ended.requests_ahead < IDLE_REQUESTS:
            difference_ms = latency_ms - self.idle_latency_ms
            self.idle_latency_ms += difference_ms * IDLE_LATENCY_GAIN
        is_due = self.clock.now_ms() - self.adjusted_ms >= ADJUST_INTERVAL_MS
        if is_due and len(self.samples) >= MIN_SAMPLES:
            self.adjust()

    def adjust(self) -> None:
        """Move the limit by the answers since the last time."""
        latency_ms = find_median([ended.latency_ms for ended in self.samples])
        requests_ahead = sorted(ended.requests_ahead for ended in self.samples)
        queueing_share = 1 - min(1.0, self.idle_latency_ms / latency_ms)
        queued_requests = requests_ahead[len(requests_ahead) // 2] * queueing_share
        if queued_requests > QUEUE_HIGH:
            self.limit -= max(1.0, (queued_requests - QUEUE_HIGH) / 2)
        elif queued_requests < QUEUE_LOW and (
            self.limit < INITIAL_LIMIT
            or requests_ahead[-1] >= self.limit * SHED_NEW_LEAVE_RATIO
        ):
            self.limit += 1.0
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))
        self.samples.clear()
        self.adjusted_ms = self.clock.now_ms()


class OverloadGuard:
    """Sheds work early: new flows first, established flows only at the limit.

    Each level is left at a lower load than it is entered, so that a load near the
    threshold does not switch it back and forth.
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
