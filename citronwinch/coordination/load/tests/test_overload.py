"""Tests of shedding before delivery.

They guard against a shedding level that toggles, established flows shed before new
ones, and a concurrency limit that overloads a server or leaves it unused.
"""

from typing import NamedTuple

import pytest

from citronwinch.coordination.load import (
    ConcurrencyLimit,
    EndedRequest,
    OverloadGuard,
    OverloadLevel,
)

NONE, NEW, ALL = OverloadLevel


class Step(NamedTuple):
    """A number of requests in progress and the expected level."""

    in_progress: int
    level: OverloadLevel


LEVELS = {
    "quiet": (Step(0, NONE), Step(47, NONE)),
    "new flows are shed first": (Step(48, NEW), Step(63, NEW)),
    "established flows are shed at the limit": (Step(64, ALL), Step(500, ALL)),
    "ALL ends below nine tenths": (Step(64, ALL), Step(58, ALL), Step(57, NEW)),
    "NEW ends below one half": (Step(48, NEW), Step(32, NEW), Step(31, NONE)),
    "from ALL to NONE at once": (Step(64, ALL), Step(5, NONE)),
    "near the threshold": (Step(48, NEW), Step(47, NEW), Step(48, NEW)),
}


@pytest.mark.parametrize("steps", LEVELS.values(), ids=LEVELS)
def test_level_follows_load_with_hysteresis(steps, clock):
    guard = OverloadGuard(clock)
    assert [guard.update(step.in_progress) for step in steps] == [
        step.level for step in steps
    ]


ADMISSIONS = {
    "quiet, new": (0, False, True),
    "quiet, established": (0, True, True),
    "busy, new": (50, False, False),
    "busy, established": (50, True, True),
    "at the limit, established": (64, True, False),
}


@pytest.mark.parametrize(
    ("in_progress", "is_established", "admitted"), ADMISSIONS.values(), ids=ADMISSIONS
)
def test_admission(in_progress, is_established, admitted, clock):
    assert OverloadGuard(clock).admits(in_progress, is_established) is admitted


def record_answers(limit, clock, seconds, latency_ms, requests_ahead):
    """Record 100 answers a second."""
    for _ in range(seconds * 100):
        clock.advance(10)
        limit.record_answer(EndedRequest(latency_ms, requests_ahead))


def test_limit_shrinks_to_a_short_queue_in_the_server(clock):
    limit = ConcurrencyLimit(clock)
    record_answers(limit, clock, 1, latency_ms=10, requests_ahead=0)
    for _ in range(200):
        requests_ahead = int(limit.limit)
        record_answers(
            limit,
            clock,
            1,
            latency_ms=10 * (requests_ahead + 1),
            requests_ahead=requests_ahead,
        )
    assert 6 <= limit.limit <= 14


def test_limit_grows_while_it_is_used_without_a_queue(clock):
    limit = ConcurrencyLimit(clock)
    for _ in range(100):
        record_answers(limit, clock, 1, latency_ms=10, requests_ahead=int(limit.limit))
    assert limit.limit > 200


def test_slow_answers_without_a_queue_do_not_shrink_the_limit(clock):
    limit = ConcurrencyLimit(clock)
    record_answers(limit, clock, 1, latency_ms=10, requests_ahead=0)
    record_answers(limit, clock, 10, latency_ms=50, requests_ahead=1)
    assert limit.limit == 64


def test_limit_returns_to_its_initial_value_without_a_queue(clock):
    limit = ConcurrencyLimit(clock)
    limit.limit = 10.0
    record_answers(limit, clock, 20, latency_ms=10, requests_ahead=1)
    assert limit.limit == 64


def test_limit_never_falls_below_its_minimum(clock):
    limit = ConcurrencyLimit(clock)
    record_answers(limit, clock, 1, latency_ms=1, requests_ahead=0)
    record_answers(limit, clock, 300, latency_ms=2_000, requests_ahead=60)
    assert limit.limit == 4
