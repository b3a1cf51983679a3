"""How much work a backend server is given by what became of its requests."""

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._outcomes import OutcomeSummary

FAILURES_TO_EJECT = 5
"""This many failures in a row eject a server."""

FAILURE_RATIO_TO_EJECT = 0.5
"""This part of failures and refusals ejects a server."""

MIN_OUTCOMES = 10
"""With fewer outcomes the ratio says nothing."""

FIRST_EJECTION_MS = 5_000
"""How long the first ejection lasts, in milliseconds; each further one twice that."""

MAX_EJECTION_MS = 60_000
"""How long an ejection lasts at most, in milliseconds."""

PROBATION_SHARE = 0.05
"""The share of a server that comes back, and the least of one that is not ejected."""

SHARE_GROWTH_PER_SECOND = 0.05
"""How fast a share grows back: from nothing to the whole in 20 s."""

SLOW_LATENCY_RATIO = 1.5
"""Up to this many times the median latency of its service a server is not slow."""

SLOW_MARGIN_MS = 5
"""A difference of latency below this is noise, in milliseconds."""

TOLERATED_SHED_RATIO = 0.02
"""Up to this part of refusals the share stays."""


class OutlierPolicy:
    """Takes work from a server that fails, sheds or is slow, and gives it back slowly.

    A server whose requests fail is ejected for a time. Then it is on probation with a
    small share that grows while its requests are answered. A server that sheds or is
    slow keeps a share in proportion to what it gets done.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.share = 1.0
        self.ejections = 0
        self.ejected_until_ms: int | None = None
        self.updated_ms = clock.now_ms()
        self.healthy_since_ms = clock.now_ms()

    @property
    def is_ejected(self) -> bool:
        """Whether the server should get no new flows."""
        return self.ejected_until_ms is not None

    def update(self, summary: OutcomeSummary, service_latency_ms: int) -> bool:
        """Judge by the outcomes of the last seconds.

        Return True when an ejection has just begun or ended: outcomes from before
        should not be judged again.
        """
        now_ms = self.clock.now_ms()
        elapsed_ms, self.updated_ms = now_ms - self.updated_ms, now_ms
        if self.ejected_until_ms is not None:
            return self.end_ejection(now_ms)
        if is_failing(summary):
            self.eject(now_ms)
            return True
        target = find_achieved_share(summary, service_latency_ms)
        growth = (
            SHARE_GROWTH_PER_SECOND * elapsed_ms / 1_000 if summary.answered else 0.0
        )
        self.share = max(PROBATION_SHARE, min(target, self.share + growth))
        if self.ejections and now_ms - self.healthy_since_ms >= MAX_EJECTION_MS:
            self.ejections = 0
        return False

    def eject(self, now_ms: int) -> None:
        """Give the server no new flows for a time."""
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(self.ejections, 8))
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.share = 0.0

    def end_ejection(self, now_ms: int) -> bool:
        """Begin the probation once the time is over."""
        if self.ejected_until_ms is None or now_ms < self.ejected_until_ms:
            return False
        self.ejected_until_ms = None
        self.healthy_since_ms = now_ms
        self.share = PROBATION_SHARE
        return True


def is_failing(summary: OutcomeSummary) -> bool:
    """Return whether the outcomes are bad enough to eject the server."""
    if summary.consecutive_failures >= FAILURES_TO_EJECT:
        return True
    bad = summary.failed + summary.shed
    return (
        summary.total >= MIN_OUTCOMES and bad >= summary.total * FAILURE_RATIO_TO_EJECT
    )


def find_achieved_share(summary: OutcomeSummary, service_latency_ms: int) -> float:
    """Return the share of its weight that a server gets done.

    Example::

        >>> find_achieved_share(OutcomeSummary(answered=100, latency_ms=80), 20)
        0.25
        >>> find_achieved_share(OutcomeSummary(answered=70, shed=30, latency_ms=20), 20)
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
