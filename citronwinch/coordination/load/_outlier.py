"""Outlier detection: a server's share of its weight, set by its request outcomes."""

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._outcomes import OutcomeSummary

FAILURES_TO_EJECT = 5
"""A server is ejected after this many consecutive failures."""

UNSUCCESSFUL_RATIO_TO_EJECT = 0.5
"""A server is ejected at this ratio of failures and refusals."""

MIN_OUTCOMES = 10
"""With fewer outcomes, ratios are not evaluated."""

FIRST_EJECTION_MS = 5_000
"""Duration of the first ejection, in milliseconds; doubled for each further one."""

MAX_EJECTION_MS = 60_000
"""The longest ejection, in milliseconds."""

PROBATION_SHARE = 0.05
"""The share right after an ejection, and the lowest share without an ejection."""

SHARE_GROWTH_PER_SECOND = 0.05
"""How fast a share grows back: from 0 to 1 in 20 s."""

SLOW_LATENCY_RATIO = 1.5
"""A server is slow above this multiple of its service's median latency."""

SLOW_MARGIN_MS = 5
"""A latency this close to the median latency is never slow, in milliseconds."""

TOLERATED_SHED_RATIO = 0.02
"""Up to this ratio of refusals the share is not reduced."""


class OutlierPolicy:
    """Reduces the share of a server that fails, sheds or is slow.

    A server whose requests fail is ejected for a time. After that it is on probation:
    its share starts at `PROBATION_SHARE` and grows slowly while requests are answered.
    A server that sheds or is slow keeps a share in proportion to its throughput.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.share = 1.0
        self.ejection_count = 0
        self.ejected_until_ms: int | None = None
        self.updated_ms = clock.now_ms()
        self.ejection_ended_ms = clock.now_ms()

    @property
    def is_ejected(self) -> bool:
        """Whether the server should get no new flows."""
        return self.ejected_until_ms is not None

    def update(self, summary: OutcomeSummary, service_latency_ms: int) -> bool:
        """Update the share and the ejection by a summary of recent outcomes.

        Return True when an ejection has just begun or ended: the caller should then
        discard the earlier outcomes, so that they are not evaluated again.
        """
        now_ms = self.clock.now_ms()
        elapsed_ms, self.updated_ms = now_ms - self.updated_ms, now_ms
        if self.ejected_until_ms is not None:
            return self.end_ejection(now_ms)
        if is_failing(summary):
            self.eject(now_ms)
            return True
        achieved_share = compute_achieved_share(summary, service_latency_ms)
        growth = (
            SHARE_GROWTH_PER_SECOND * elapsed_ms / 1_000 if summary.answered else 0.0
        )
        self.share = max(PROBATION_SHARE, min(achieved_share, self.share + growth))
        if self.ejection_count and now_ms - self.ejection_ended_ms >= MAX_EJECTION_MS:
            self.ejection_count = 0
        return False

    def eject(self, now_ms: int) -> None:
        """Eject the server; each ejection lasts twice as long, up to a maximum."""
        duration_ms = min(
            MAX_EJECTION_MS, FIRST_EJECTION_MS << min(self.ejection_count, 8)
        )
        self.ejection_count += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.share = 0.0

    def end_ejection(self, now_ms: int) -> bool:
        """Start the probation when the ejection is over; return whether it is."""
        if self.ejected_until_ms is None or now_ms < self.ejected_until_ms:
            return False
        self.ejected_until_ms = None
        self.ejection_ended_ms = now_ms
        self.share = PROBATION_SHARE
        return True


def is_failing(summary: OutcomeSummary) -> bool:
    """Return whether the outcomes are bad enough to eject the server."""
    if summary.consecutive_failures >= FAILURES_TO_EJECT:
        return True
    unsuccessful = summary.failed + summary.shed
    return (
        summary.total >= MIN_OUTCOMES
        and unsuccessful >= summary.total * UNSUCCESSFUL_RATIO_TO_EJECT
    )


def compute_achieved_share(summary: OutcomeSummary, service_latency_ms: int) -> float:
    """Return the share of its weight that a server can handle, by its outcomes.

    Example::

        >>> compute_achieved_share(OutcomeSummary(answered=100, latency_ms=80), 20)
        0.25
        >>> summary = OutcomeSummary(answered=70, shed=30, latency_ms=20)
        >>> compute_achieved_share(summary, 20)
        0.7
    """
    share = 1.0
    if summary.total >= MIN_OUTCOMES:
        ratio = summary.shed / summary.total
        share -= ratio if ratio > TOLERATED_SHED_RATIO else 0.0
    slow_ms = max(
        service_latency_ms * SLOW_LATENCY_RATIO, service_latency_ms + SLOW_MARGIN_MS
    )
    if service_latency_ms and summary.latency_ms > slow_ms:
        share *= service_latency_ms / summary.latency_ms
    return share
