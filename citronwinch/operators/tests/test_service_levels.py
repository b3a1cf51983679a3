"""Tests that outcomes are counted once, expire and stay within bounded memory."""

import pytest

from citronwinch.operators import Metrics, Objective, ObjectiveOutcome, ServiceLevels
from citronwinch.operators._service_levels import RETENTION_MS, SLOT_LIMIT, SLOT_MS

ANSWERS = {
    "within the objective": (500, 2_000, 500, ObjectiveOutcome.ANSWERED_IN_TIME),
    "after the objective": (500, 2_000, 501, ObjectiveOutcome.ANSWERED_LATE),
    "within the deadline": (None, 2_000, 2_000, ObjectiveOutcome.ANSWERED_IN_TIME),
    "after the deadline": (None, 2_000, 2_001, ObjectiveOutcome.ANSWERED_LATE),
}


@pytest.fixture
def levels():
    return ServiceLevels()


def total(levels, outcome):
    return sum(slot[1 + outcome] for slot in levels.slots.get("gauging", ()))


@pytest.mark.parametrize("case", ANSWERS.values(), ids=ANSWERS.keys())
def test_answer_is_counted_once_as_in_time_or_late(levels, case):
    answer_time_ms, remaining_ms, latency_ms, outcome = case
    levels.configure([Objective("gauging", None, 99.0, answer_time_ms)], 0)
    levels.record_delivery("gauging", b"id", remaining_ms, 0)
    levels.record_answer(b"id", latency_ms)
    levels.record_answer(b"id", latency_ms)
    assert [total(levels, each) for each in ObjectiveOutcome] == [
        int(each is outcome) for each in ObjectiveOutcome
    ]


def test_unanswered_request_is_counted_once_as_late(levels):
    levels.record_delivery("gauging", b"id", 100, 0)
    levels.record_delivery("gauging", b"id", 100, 50)
    for now_ms in (100, 101, 102):
        levels.expire_requests(now_ms)
    levels.record_answer(b"id", 103)
    assert total(levels, ObjectiveOutcome.ANSWERED_LATE) == 1
    assert not levels.pending


def test_old_slots_are_discarded(levels):
    levels.count("gauging", ObjectiveOutcome.FAILED, 0)
    levels.count("gauging", ObjectiveOutcome.FAILED, RETENTION_MS + SLOT_MS)
    assert total(levels, ObjectiveOutcome.FAILED) == 1


def test_memory_is_bounded_over_many_services(levels):
    for slot in range(40):
        for service in range(1_200):
            levels.count(f"service-{service}", ObjectiveOutcome.FAILED, slot * SLOT_MS)
    assert levels.slot_count <= SLOT_LIMIT
    assert levels.slot_count == sum(len(slots) for slots in levels.slots.values())


def test_histogram_is_exported():
    metrics = Metrics()
    metrics.count("replies_total")
    metrics.service_levels.record_delivery("gauging", b"id", 0, 0)
    metrics.service_levels.record_answer(b"id", 7)
    text = metrics.render().decode()
    assert 'citronwinch_answer_latency_ms_bucket{le="10.0",service="gauging"} 1' in text
    assert 'citronwinch_answer_latency_ms_bucket{le="5.0",service="gauging"} 0' in text
    assert "citronwinch_replies_total 1" in text
