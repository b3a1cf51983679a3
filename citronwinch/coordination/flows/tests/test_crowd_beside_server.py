"""A crowd of callers after a loss of power, at a server that is slow after its start.

Guards against agents that serve each request in the order of arrival while more arrive
than the server can process: most answers then are just past their objective. Callers
that tried during the loss return at once, and the agent knows how long only half of
them have waited. Also guards against an order for such crowds that makes requests late
at loads which the server can process at most times.
"""

from collections.abc import Callable
from unittest.mock import patch

import pytest

from citronwinch.coordination.flows import RouteClass
from citronwinch.coordination.flows._queue_overload import QueueOverload
from citronwinch.coordination.flows.tests.request_load import (
    LONG_REQUEST_FACTOR,
    LONG_REQUEST_SHARE,
    Kind,
    RequestLoad,
    compute_share_in_time,
)
from citronwinch.coordination.flows.tests.test_greedy_caller import GREEDY, MODEST
from citronwinch.coordination.flows.tests.test_wave import compute_demand

WAITED_MS, SURGE_MS = 1_000, 2_000
SURGE_LOAD = 1.4
COLD_SPEED = 1 / 1.6
KNOWN_AGES = 0.5
SEEDS = range(1, 25)
MEAN_FACTOR = 1 + LONG_REQUEST_SHARE * (LONG_REQUEST_FACTOR - 1)
"""The mean work of requests of one kind, as a multiple of that of the short ones."""

LONG_LIVED = Kind(RouteClass(2, 356, 4_272), 26, per_s=0, callers=40, work_spread=0.5)
SLOW_ROUTE = Kind(RouteClass(2, 448, 1_962), 53, per_s=0, callers=40, work_spread=0.5)
STRICT_ROUTE = Kind(RouteClass(2, 120, 800), 12, per_s=0, callers=40, work_spread=0.5)


def compute_capacity_per_s(kind: Kind, slots: int) -> float:
    """Return how many requests the cold server can process per second."""
    return slots * COLD_SPEED * 1_000 / (kind.work_ms * MEAN_FACTOR)


def play_crowd(kind: Kind, slots: int, unseen_ms: int, seed: int) -> RequestLoad:
    per_s = SURGE_LOAD * compute_capacity_per_s(kind, slots)
    load = RequestLoad(
        [kind._replace(per_s=per_s)],
        holds=True,
        slots=slots,
        seed=seed,
        speed=COLD_SPEED,
        unseen_ms=unseen_ms,
    )
    load.send_waited(WAITED_MS, KNOWN_AGES)
    load.play(SURGE_MS)
    return load


CROWDS = [
    pytest.param(LONG_LIVED, 1, 7, id="long-lived flows, one slot"),
    pytest.param(LONG_LIVED._replace(work_spread=0.0), 1, 7, id="equal work"),
    pytest.param(SLOW_ROUTE, 2, 25, id="slow requests, two slots"),
    pytest.param(STRICT_ROUTE, 1, 5, id="a strict objective"),
]
"""The time that the agent does not see is about five times the latency of a link."""


@pytest.mark.parametrize(("kind", "slots", "unseen_ms"), CROWDS)
def test_most_of_the_capacity_of_a_surge_serves_requests_in_time(
    kind: Kind, slots: int, unseen_ms: int
) -> None:
    loads = [play_crowd(kind, slots, unseen_ms, seed) for seed in SEEDS]
    in_time = sum(o.is_in_time for load in loads for o in load.outcomes)
    allowed = len(SEEDS) * compute_capacity_per_s(kind, slots) * SURGE_MS / 1_000
    assert in_time >= 0.9 * allowed


def test_a_surge_changes_the_order_and_its_end_restores_it() -> None:
    load = play_crowd(LONG_LIVED, 1, 7, seed=1)
    queue = load.agent.requests.queue
    assert queue.delivered_newest_first > 0
    delivered = queue.delivered_newest_first
    steady = LONG_LIVED._replace(per_s=0.5 * compute_capacity_per_s(LONG_LIVED, 1))
    load.kinds = [steady]
    load.play(5_000)
    assert queue.delivered_newest_first == delivered


def list_steady(load: float) -> list[Kind]:
    work_s = LONG_LIVED.work_ms * MEAN_FACTOR / 1_000
    return [LONG_LIVED._replace(per_s=load / work_s)]


@pytest.mark.parametrize(
    ("kinds", "demand"),
    [
        pytest.param(list_steady(0.7), None, id="steady, 0.7 of the capacity"),
        pytest.param(list_steady(0.9), None, id="steady, 0.9 of the capacity"),
        pytest.param(list_steady(0.85), compute_demand, id="wave, mean of 0.85"),
        pytest.param([MODEST, GREEDY], None, id="a greedy caller"),
    ],
)
def test_loads_without_a_crowd_lose_nothing_by_the_order_for_crowds(
    kinds: list[Kind], demand: Callable[[int], float] | None
) -> None:
    shares = {}
    for may_change in (False, True):
        outcomes = []
        for seed in (1, 2, 3, 4):
            load = RequestLoad(kinds, holds=True, seed=seed)
            with patch.object(
                load.agent.requests.queue,
                "overload",
                QueueOverload(load.clock) if may_change else NeverOverloaded(),
            ):
                outcomes += load.play(17_000, demand or (lambda _: 1.0))
        shares[may_change] = compute_share_in_time(outcomes)
    assert shares[True] >= shares[False] - 0.005


class NeverOverloaded:
    """Keeps a queue in the order without overload."""

    def update(self, *_: object) -> bool:
        return False
