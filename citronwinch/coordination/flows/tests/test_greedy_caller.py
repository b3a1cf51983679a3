"""One caller whose requests alone nearly fill a server that others use too.

Guards against agents that serve callers by the number of their requests: the requests
of modest callers then wait behind those of a greedy one and are late.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import RouteClass
from citronwinch.coordination.flows._caller_shares import CALLER_LIMIT, CallerShares
from citronwinch.coordination.flows.tests.request_load import (
    Kind,
    Outcome,
    RequestLoad,
    compute_share_in_time,
)

ROUTE_CLASS = RouteClass(2, 356, 4_272)
DURATION_MS = 15_000
MODEST = Kind(ROUTE_CLASS, 26, per_s=13, caller="100.64.0.1", callers=10)
"""With requests 7 times as long, these take 40% of a slot."""

GREEDY = Kind(ROUTE_CLASS, 26, per_s=30, caller="100.64.0.99")
"""The same for 92% of a slot."""


def list_modest(*, holds: bool) -> list[Outcome]:
    outcomes = []
    for seed in (1, 2, 3):
        load = RequestLoad([MODEST, GREEDY], holds=holds, seed=seed)
        outcomes += load.play(DURATION_MS)
    return [outcome for outcome in outcomes if outcome.kind == MODEST]


def test_a_greedy_caller_makes_no_request_of_modest_callers_late() -> None:
    baseline = compute_share_in_time(list_modest(holds=False))
    assert compute_share_in_time(list_modest(holds=True)) >= max(0.97, baseline + 0.2)


@pytest.fixture
def shares(clock: ManualClock) -> CallerShares:
    return CallerShares(clock)


@pytest.mark.parametrize(
    ("charges_ms", "age_ms", "above"),
    [
        pytest.param({}, 0, "", id="nothing was charged"),
        pytest.param({"a": 300, "b": 300, "c": 300}, 0, "", id="equal charges"),
        pytest.param({"a": 30}, 0, "", id="a single request"),
        pytest.param({"a": 600, "b": 30}, 0, "a", id="one caller has had more"),
        pytest.param({"a": 600, "b": 600}, 0, "ab", id="two callers have had more"),
        pytest.param({"a": 600}, 3_000, "", id="the charge has decayed"),
        pytest.param({"a": 600}, 400_000, "", id="a long time has passed"),
    ],
)
def test_callers_above_the_mean_of_the_waiting_ones_are_above_their_share(
    shares: CallerShares,
    clock: ManualClock,
    charges_ms: dict[str, float],
    age_ms: int,
    above: str,
) -> None:
    for caller, charge_ms in charges_ms.items():
        shares.charge(caller.encode(), charge_ms)
    clock.advance(age_ms)
    waiting = [b"a", b"b", b"c"]
    found = [c.decode() for c in waiting if shares.is_above_share(c, waiting)]
    assert "".join(found) == above


def test_the_charges_of_a_long_time_stay_finite(
    shares: CallerShares, clock: ManualClock
) -> None:
    for _ in range(100):
        clock.advance(30_000)
        shares.charge(b"a", 500)
    assert shares.is_above_share(b"a", [b"a", b"b"])


def test_the_lowest_charges_are_evicted_beyond_the_limit(shares: CallerShares) -> None:
    for number in range(CALLER_LIMIT + 10):
        shares.charge(number.to_bytes(4, "big"), 1 + number)
    assert len(shares.charges) == CALLER_LIMIT
    assert (9).to_bytes(4, "big") not in shares.charges
