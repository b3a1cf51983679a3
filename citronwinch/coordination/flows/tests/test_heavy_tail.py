"""Requests that take 7 times as long as others, and requests that hang.

Guards against agents that learn a service time which a few long requests dominate, that
take a long request for a hung one, and that keep a slot for a request that never ends.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import RouteClass
from citronwinch.coordination.flows._service_times import ServiceTimes
from citronwinch.coordination.flows.tests.request_load import (
    Kind,
    RequestLoad,
    compute_share_in_time,
)

STEADY = Kind(RouteClass(2, 356, 4_272), work_ms=26, per_s=23, callers=20)
"""With requests 7 times as long, these take 70% of a slot."""


def test_long_requests_do_not_fill_the_queue_of_the_server() -> None:
    load = RequestLoad([STEADY], holds=True)
    load.play(20_000)
    assert load.server.longest_queue == 0
    assert 26 <= load.agent.requests.service_times.service_ms <= 40


def test_requests_are_in_time_beside_long_ones() -> None:
    shares = {
        holds: compute_share_in_time(
            [
                outcome
                for seed in (1, 2, 3, 4)
                for outcome in RequestLoad([STEADY], holds=holds, seed=seed).play(
                    10_000
                )
            ]
        )
        for holds in (False, True)
    }
    assert shares[True] >= max(0.9, shares[False])


@pytest.mark.parametrize("hung", [1, 3])
def test_hung_requests_leave_the_other_slots_to_later_requests(hung: int) -> None:
    load = RequestLoad([STEADY._replace(per_s=35)], holds=True, slots=4)
    load.play(2_000)
    for _ in range(hung):
        load.hang(STEADY)
    outcomes = load.play(5_000)
    assert compute_share_in_time(outcomes) > (0.95 if hung == 1 else 0.5)
    assert load.server.longest_queue <= 8


@pytest.fixture
def times(clock: ManualClock) -> ServiceTimes:
    return ServiceTimes(clock)


@pytest.mark.parametrize(
    ("answers_ms", "service_ms"),
    [
        pytest.param([], 0, id="nothing is known"),
        pytest.param([20, 30, 40], 30, id="the first requests have equal weights"),
        pytest.param([30] * 50 + [210], 37, id="a long request counts four times"),
        pytest.param([30] * 50 + [1] * 50, 30, id="failures do not count"),
        pytest.param([30] * 50 + [72] * 50, 71, id="the server becomes slower"),
        pytest.param([72] * 50 + [30] * 50, 31, id="the server becomes faster"),
    ],
)
def test_the_service_time_is_a_moving_mean(
    times: ServiceTimes, answers_ms: list[int], service_ms: int
) -> None:
    for answer_ms in answers_ms:
        times.record_answer(answer_ms)
    assert times.service_ms == service_ms


def test_a_new_incarnation_is_learned_afresh(times: ServiceTimes) -> None:
    for _ in range(50):
        times.record_answer(72)
    times.reset()
    assert times.service_ms == 0
    times.record_answer(30)
    assert times.service_ms == 30
