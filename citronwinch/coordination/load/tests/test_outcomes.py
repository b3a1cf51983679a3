"""Tests of following requests and of judging a server by them."""

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


def test_second_copies_and_later_parts_change_nothing(clock, tracker):
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


def test_answers_are_read_before_a_paused_process_judges(clock, tracker):
    tracker.record_delivery(b"a")
    tracker.sweep()
    clock.advance(10_000)
    tracker.sweep()
    tracker.record_end(b"a", Outcome.ANSWERED)
    assert tracker.summarize().failed == 0
    assert tracker.summarize().answered == 1


class Judgement(NamedTuple):
    """A summary of outcomes with the service's latency, and the share it leads to."""

    summary: OutcomeSummary
    latency_ms: int
    share: float


JUDGEMENTS = {
    "quiet": Judgement(OutcomeSummary(), 0, 1.0),
    "well": Judgement(OutcomeSummary(answered=100, latency_ms=20), 20, 1.0),
    "a bit slow": Judgement(OutcomeSummary(answered=100, latency_ms=29), 20, 1.0),
    "fast service, small difference": Judgement(
        OutcomeSummary(answered=100, latency_ms=5), 1, 1.0
    ),
    "four times as slow": Judgement(
        OutcomeSummary(answered=100, latency_ms=80), 20, 0.25
    ),
    "sheds a fifth": Judgement(
        OutcomeSummary(answered=80, shed=20, latency_ms=20), 20, 0.8
    ),
    "errs fast": Judgement(OutcomeSummary(answered=4, shed=96, latency_ms=1), 20, 0),
    "answers nothing": Judgement(
        OutcomeSummary(failed=5, consecutive_failures=5), 20, 0
    ),
    "one failure among few": Judgement(
        OutcomeSummary(failed=1, consecutive_failures=1), 20, 1.0
    ),
}


@pytest.mark.parametrize("case", JUDGEMENTS.values(), ids=JUDGEMENTS)
def test_share_after_judgement(case, clock):
    policy = OutlierPolicy(clock)
    clock.advance(500)
    policy.update(case.summary, case.latency_ms)
    assert policy.share == pytest.approx(case.share)
    assert policy.is_ejected is (case.share == 0)


def run_policy(policy, clock, duration_ms, summary):
    """Judge twice a second; return the shares."""
    shares = []
    for _ in range(duration_ms // 500):
        clock.advance(500)
        policy.update(summary, 20)
        shares.append(policy.share)
    return shares


WELL = OutcomeSummary(answered=100, latency_ms=20)
DEAD = OutcomeSummary(failed=9, consecutive_failures=9)


def test_ejected_server_comes_back_with_a_small_growing_share(clock):
    policy = OutlierPolicy(clock)
    run_policy(policy, clock, 500, DEAD)
    shares = run_policy(policy, clock, 30_000, WELL)
    assert shares[:9] == [0.0] * 9
    assert shares[9] == pytest.approx(0.05)
    assert shares == sorted(shares)
    assert max(b - a for a, b in pairwise(shares)) < 0.06
    assert shares[-1] == 1.0


def test_each_further_ejection_lasts_twice_as_long_up_to_a_minute(clock):
    policy = OutlierPolicy(clock)
    lengths = []
    for _ in range(6):
        run_policy(policy, clock, 500, DEAD)
        started_ms = clock.now_ms()
        while policy.is_ejected:
            run_policy(policy, clock, 500, DEAD)
        lengths.append(clock.now_ms() - started_ms)
    assert lengths == [5_000, 10_000, 20_000, 40_000, 60_000, 60_000]


def test_probation_without_answers_does_not_grow(clock):
    policy = OutlierPolicy(clock)
    run_policy(policy, clock, 500, DEAD)
    shares = run_policy(policy, clock, 30_000, OutcomeSummary())
    assert shares[-1] == pytest.approx(0.05)
