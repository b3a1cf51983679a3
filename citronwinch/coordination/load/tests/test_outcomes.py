"""Tests of the tracking of requests and of a server's share by their outcomes.

They guard against failures that are counted wrongly (cancelled requests, second copies,
answers that wait while the process is paused) and against a wrong share or ejection.
"""

from itertools import pairwise
from typing import NamedTuple

import pytest

from citronwinch.coordination.load import (
    EndedRequest,
    Outcome,
    OutcomeSummary,
    OutcomeTracker,
    OutlierPolicy,
)


@pytest.fixture
def tracker(clock):
    return OutcomeTracker(clock)


def test_request_without_an_answer_fails_after_two_seconds(clock, tracker):
    tracker.record_delivery(b"a")
    for _ in range(19):
        clock.advance(100)
        tracker.sweep()
    assert tracker.summarize().failed == 0
    clock.advance(100)
    tracker.sweep()
    assert tracker.summarize() == OutcomeSummary(failed=1, consecutive_failures=1)


def test_second_delivery_and_later_answer_parts_change_nothing(clock, tracker):
    tracker.record_delivery(b"a")
    clock.advance(10)
    tracker.record_delivery(b"a")
    clock.advance(10)
    assert tracker.record_end(b"a", Outcome.ANSWERED) == EndedRequest(20, 0)
    assert tracker.record_end(b"a", Outcome.ANSWERED) is None
    assert tracker.summarize().answered == 1


def test_cancelled_request_is_no_failure(clock, tracker):
    tracker.record_delivery(b"a")
    tracker.record_cancellation(b"a")
    for _ in range(30):
        clock.advance(100)
        tracker.sweep()
    assert tracker.summarize().total == 0


def test_paused_process_reads_answers_before_it_counts_failures(clock, tracker):
    tracker.record_delivery(b"a")
    tracker.sweep()
    clock.advance(10_000)
    tracker.sweep()
    tracker.record_end(b"a", Outcome.ANSWERED)
    assert tracker.summarize().failed == 0
    assert tracker.summarize().answered == 1


class ShareCase(NamedTuple):
    """A summary of outcomes, the service's latency, and the expected share."""

    summary: OutcomeSummary
    latency_ms: int
    share: float


SHARE_CASES = {
    "no requests": ShareCase(OutcomeSummary(), 0, 1.0),
    "all answered": ShareCase(OutcomeSummary(answered=100, latency_ms=20), 20, 1.0),
    "slightly slow": ShareCase(OutcomeSummary(answered=100, latency_ms=29), 20, 1.0),
    "fast service, small difference": ShareCase(
        OutcomeSummary(answered=100, latency_ms=5), 1, 1.0
    ),
    "four times as slow": ShareCase(
        OutcomeSummary(answered=100, latency_ms=80), 20, 0.25
    ),
    "sheds a fifth": ShareCase(
        OutcomeSummary(answered=80, shed=20, latency_ms=20), 20, 0.8
    ),
    "sheds nearly all, fast": ShareCase(
        OutcomeSummary(answered=4, shed=96, latency_ms=1), 20, 0
    ),
    "answers nothing": ShareCase(
        OutcomeSummary(failed=5, consecutive_failures=5), 20, 0
    ),
    "one failure among few": ShareCase(
        OutcomeSummary(failed=1, consecutive_failures=1), 20, 1.0
    ),
}


@pytest.mark.parametrize("case", SHARE_CASES.values(), ids=SHARE_CASES)
def test_share_after_update(case, clock):
    policy = OutlierPolicy(clock)
    clock.advance(500)
    policy.update(case.summary, case.latency_ms)
    assert policy.share == pytest.approx(case.share)
    assert policy.is_ejected is (case.share == 0)


def run_policy(policy, clock, duration_ms, summary):
    """Update the policy twice a second; return the shares."""
    shares = []
    for _ in range(duration_ms // 500):
        clock.advance(500)
        policy.update(summary, 20)
        shares.append(policy.share)
    return shares


HEALTHY = OutcomeSummary(answered=100, latency_ms=20)
FAILING = OutcomeSummary(failed=9, consecutive_failures=9)


def test_ejected_server_comes_back_with_a_small_growing_share(clock):
    policy = OutlierPolicy(clock)
    run_policy(policy, clock, 500, FAILING)
    shares = run_policy(policy, clock, 30_000, HEALTHY)
    assert shares[:9] == [0.0] * 9
    assert shares[9] == pytest.approx(0.05)
    assert shares == sorted(shares)
    assert max(b - a for a, b in pairwise(shares)) < 0.06
    assert shares[-1] == 1.0


def test_each_further_ejection_lasts_twice_as_long_up_to_a_minute(clock):
    policy = OutlierPolicy(clock)
    durations_ms = []
    for _ in range(6):
        run_policy(policy, clock, 500, FAILING)
        started_ms = clock.now_ms()
        while policy.is_ejected:
            run_policy(policy, clock, 500, FAILING)
        durations_ms.append(clock.now_ms() - started_ms)
    assert durations_ms == [5_000, 10_000, 20_000, 40_000, 60_000, 60_000]


def test_probation_without_answers_does_not_grow(clock):
    policy = OutlierPolicy(clock)
    run_policy(policy, clock, 500, FAILING)
    shares = run_policy(policy, clock, 30_000, OutcomeSummary())
    assert shares[-1] == pytest.approx(0.05)
