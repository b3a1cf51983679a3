"""Requests that take 7 times as long as others, and requests that hang.

Guards against agents that learn a service time which a few long requests dominate, that
take a long request for a hung one, that let long requests widen the margin, and that
keep a slot for a request that never ends.
"""

import pytest
from hypothesis import given, strategies as st

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


@pytest.mark.parametrize(
    ("answers_ms", "margin_ms"),
    [
        pytest.param([], 0, id="nothing is known"),
        pytest.param([30], 0, id="one request shows no deviation"),
        pytest.param([30] * 50, 0, id="equal requests"),
        pytest.param([20, 40] * 50, 10, id="requests that vary by a third"),
        pytest.param(([30] * 32 + [210]) * 9 + [30] * 16, 3, id="3 of 100 are long"),
        pytest.param(([20, 40] * 16 + [210]) * 9, 10, id="varying and long ones"),
        pytest.param([30] * 50 + [48] * 50, 1, id="the server becomes slower"),
        pytest.param([210] + [30] * 11, 11, id="the first of a dozen is long"),
    ],
)
def test_the_margin_is_the_mean_deviation_of_all_but_long_requests(
    times: ServiceTimes, answers_ms: list[int], margin_ms: int
) -> None:
    # Guards against a margin that long requests dominate, or that stays for ever.
    for answer_ms in answers_ms:
        times.record_answer(answer_ms)
    assert times.margin_ms == margin_ms


@given(
    usual=st.lists(st.integers(20, 40), min_size=30, max_size=90),
    long_at=st.integers(10, 29),
)
def test_one_long_request_leaves_the_margin_below_the_spread(
    usual: list[int], long_at: int
) -> None:
    times = ServiceTimes(ManualClock())
    for answer_ms in [*usual[:long_at], 210, *usual[long_at:]]:
        times.record_answer(answer_ms)
    assert 0 <= times.margin_ms <= 30


def test_a_new_incarnation_is_learned_afresh(times: ServiceTimes) -> None:
    for _ in range(50):
        times.record_answer(72)
        times.record_answer(60)
    assert times.margin_ms > 0
    times.reset()
    assert (times.service_ms, times.margin_ms) == (0, 0)
    times.record_answer(30)
    assert times.service_ms == 30
