"""Waves of demand at a server whose crests are above its capacity.

Guards against agents that deliver requests in the order of their arrival: the server
then refuses requests and answers most others late, although those of a higher priority
could have been served in time.
"""

import math

import pytest

from citronwinch.coordination.flows import RouteClass
from citronwinch.coordination.flows.tests.request_load import (
    FIRST_RESEND_MS,
    Kind,
    Outcome,
    RequestLoad,
    compute_share_in_time,
)

WAVE_SHARE, WAVE_MS = 0.55, 17_000
URGENT = Kind(RouteClass(1, 400, 4_000), work_ms=33, per_s=165, callers=20)
STEADY = Kind(RouteClass(2, 356, 4_272), work_ms=26, per_s=576, callers=40)
SEEDS = range(1, 9)
WEIGHTS = {URGENT: 2, STEADY: 1}
MEAN_WORK_MS_PER_S = 1.18 * (165 * 33 + 576 * 26)
"""With 3% of the requests 7 times as long."""


def compute_demand(elapsed_ms: int) -> float:
    return 1 + WAVE_SHARE * math.sin(2 * math.pi * elapsed_ms / WAVE_MS)


def play_waves(mean_load: float, *, holds: bool, seed: int) -> RequestLoad:
    scale = mean_load * 1_000 / MEAN_WORK_MS_PER_S
    kinds = [URGENT, STEADY]
    load = RequestLoad(kinds, holds=holds, seed=seed)
    load.play(2 * WAVE_MS, lambda elapsed_ms: scale * compute_demand(elapsed_ms))
    return load


def compute_weighted_share(outcomes: list[Outcome]) -> float:
    weights = [WEIGHTS[outcome.kind] for outcome in outcomes]
    in_time = [WEIGHTS[outcome.kind] for outcome in outcomes if outcome.is_in_time]
    return sum(in_time) / sum(weights)


def count_unanswered(outcomes: list[Outcome]) -> int:
    """Return how many requests were refused or abandoned."""
    return sum(outcome.latency_ms is None for outcome in outcomes)


def list_kind(outcomes: list[Outcome], kind: Kind) -> list[Outcome]:
    return [outcome for outcome in outcomes if outcome.kind == kind]


@pytest.mark.parametrize(
    ("mean_load", "least_gain"),
    [
        pytest.param(0.55, 0.0, id="crests below the capacity"),
        pytest.param(0.75, 0.03, id="crests above the capacity"),
    ],
)
def test_more_requests_are_in_time_than_in_the_order_of_arrival(
    mean_load: float, least_gain: float
) -> None:
    by_policy: dict[bool, list[Outcome]] = {}
    for holds in (False, True):
        loads = [play_waves(mean_load, holds=holds, seed=seed) for seed in SEEDS]
        by_policy[holds] = [outcome for load in loads for outcome in load.outcomes]
    baseline, held = by_policy[False], by_policy[True]
    gain = compute_weighted_share(held) - compute_weighted_share(baseline)
    assert gain >= least_gain
    assert compute_share_in_time(list_kind(held, URGENT)) > 0.98
    assert count_unanswered(held) <= 0.6 * count_unanswered(baseline)


def test_the_server_queues_no_request_and_receives_few_copies() -> None:
    load = play_waves(0.75, holds=True, seed=1)
    # A request that may be hung leaves its place to one in the server's own queue.
    assert load.server.longest_queue <= 1
    copied = {raw for raw, count in load.server.received.items() if count > 1}
    # The caller of a long request sends a copy, which the server discards.
    assert all(load.sent[raw].work_ms > FIRST_RESEND_MS for raw in copied)
