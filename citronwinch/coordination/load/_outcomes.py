"""What became of the requests that an agent delivered to its backend server."""

from collections import OrderedDict, deque
from enum import Enum
from typing import NamedTuple

from citronwinch.coordination._clock import Clock

ANSWER_TIMEOUT_MS = 2_000
"""After this time without an answer a request counts as failed, in milliseconds."""

OUTCOME_WINDOW_MS = 5_000
"""How long an outcome is remembered, in milliseconds."""

MAX_OUTCOMES = 256
"""The most outcomes that are remembered."""

LATENCY_SAMPLES = 16
"""The number of latest answers whose median is the latency."""

MAX_IN_PROGRESS = 10_000
"""The most requests that are followed; further ones are not."""

PAUSE_THRESHOLD_MS = 1_000
"""A gap between two sweeps this long means that this process itself stood still."""


class Outcome(Enum):
    """How a delivered request ended."""

    ANSWERED = "answered"
    """The backend server answered."""

    SHED = "shed"
    """The backend server refused the request."""

    FAILED = "failed"
    """The backend server gave no answer, or was not there."""


class OutcomeSummary(NamedTuple):
    """The outcomes of the last seconds."""

    answered: int = 0
    """Requests that were answered."""

    shed: int = 0
    """Requests that the backend server refused."""

    failed: int = 0
    """Requests without an answer."""

    consecutive_failures: int = 0
    """Requests without an answer since the last answer or refusal."""

    latency_ms: int = 0
    """The median time to an answer; 0 without an answer."""

    @property
    def total(self) -> int:
        """All requests that ended."""
        return self.answered + self.shed + self.failed


class OutcomeRecord(NamedTuple):
    """One request that ended."""

    ended_ms: int
    """When."""

    outcome: Outcome
    """How."""

    latency_ms: int
    """How long after its delivery."""


class Delivery(NamedTuple):
    """A request that is in progress."""

    delivered_ms: int
    """When it was delivered."""

    requests_ahead: int
    """The requests that were in progress then."""


class EndedRequest(NamedTuple):
    """What is learned from a request that ended."""

    latency_ms: int
    """The time from its delivery to its end."""

    requests_ahead: int
    """The requests that were in progress when it was delivered."""


class OutcomeTracker:
    """Follows requests from delivery to answer.

    It only watches the traffic that passes; it sends no probes and believes nothing
    that the backend server says about itself.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> tracker = OutcomeTracker(clock)
        >>> tracker.record_delivery(b"request-1")
        >>> clock.advance(30)
        >>> tracker.record_end(b"request-1", Outcome.ANSWERED)
        EndedRequest(latency_ms=30, requests_ahead=0)
        >>> tracker.summarize().latency_ms
        30
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.deliveries: OrderedDict[bytes, Delivery] = OrderedDict()
        self.records: deque[OutcomeRecord] = deque(maxlen=MAX_OUTCOMES)
        self.consecutive_failures = 0
        self.swept_ms = clock.now_ms()
        self.grace_until_ms = clock.now_ms()

    @property
    def in_progress(self) -> int:
        """The requests that are followed and have not ended."""
        return len(self.deliveries)

    def record_delivery(self, request_id: bytes) -> None:
        """Follow a request from now on; a second delivery changes nothing."""
        requests_ahead = len(self.deliveries)
        if requests_ahead < MAX_IN_PROGRESS:
            delivery = Delivery(self.clock.now_ms(), requests_ahead)
            self.deliveries.setdefault(request_id, delivery)

    def record_end(self, request_id: bytes, outcome: Outcome) -> EndedRequest | None:
        """Note the end of a request; return what is learned, None if it is unknown.

        The later parts of an answer find the request ended already and change nothing.
        """
        delivery = self.deliveries.pop(request_id, None)
        if delivery is None:
            return None
        latency_ms = self.clock.now_ms() - delivery.delivered_ms
        self.add_outcome(outcome, latency_ms)
        return EndedRequest(latency_ms, delivery.requests_ahead)

    def record_cancellation(self, request_id: bytes) -> None:
        """Stop following a request whose caller no longer waits."""
        self.deliveries.pop(request_id, None)

    def record_closed_port(self) -> None:
        """Note that the backend server's port is closed."""
        self.add_outcome(Outcome.FAILED, 0)

    def add_outcome(self, outcome: Outcome, latency_ms: int) -> None:
        """Remember an outcome."""
        self.records.append(OutcomeRecord(self.clock.now_ms(), outcome, latency_ms))
        is_failure = outcome is Outcome.FAILED
        self.consecutive_failures = self.consecutive_failures + 1 if is_failure else 0

    def sweep(self) -> None:
        """Count the requests that have waited too long as failed.

        After a pause of this process the answers may still lie in its sockets, so
        they get time to be read before anything counts as unanswered.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.swept_ms >= PAUSE_THRESHOLD_MS:
            self.grace_until_ms = now_ms + PAUSE_THRESHOLD_MS
        self.swept_ms = now_ms
        while self.records and self.records[0].ended_ms < now_ms - OUTCOME_WINDOW_MS:
            self.records.popleft()
        if now_ms < self.grace_until_ms:
            return
        while self.deliveries:
            request_id, delivery = next(iter(self.deliveries.items()))
            if now_ms - delivery.delivered_ms < ANSWER_TIMEOUT_MS:
                return
            self.record_end(request_id, Outcome.FAILED)

    def summarize(self) -> OutcomeSummary:
        """Return the outcomes of the last seconds."""
        horizon_ms = self.clock.now_ms() - OUTCOME_WINDOW_MS
        recent = [record for record in self.records if record.ended_ms >= horizon_ms]
        latencies = [
            record.latency_ms for record in recent if record.outcome is Outcome.ANSWERED
        ]
        shed = sum(1 for record in recent if record.outcome is Outcome.SHED)
        return OutcomeSummary(
            len(latencies),
            shed,
            len(recent) - len(latencies) - shed,
            self.consecutive_failures,
            find_median(latencies[-LATENCY_SAMPLES:]),
        )

    def clear_outcomes(self) -> None:
        """Judge by new outcomes only."""
        self.records.clear()
        self.consecutive_failures = 0


def find_median(latencies: list[int]) -> int:
    """Return the upper median, at least 1 ms; 0 for an empty list."""
    return max(1, sorted(latencies)[len(latencies) // 2]) if latencies else 0
