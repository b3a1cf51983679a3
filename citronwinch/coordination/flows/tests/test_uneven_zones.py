"""Three zones whose demand differs: by 55% for good, or in waves out of phase.

Guards against openings that stay in a zone whose servers are full while other zones
have room, that leave it without need, that go on leaving it after its demand has
fallen, or that cross each other between two zones. Bytes between zones are charged.
"""

from collections.abc import Callable
from typing import NamedTuple

import pytest

from citronwinch.coordination.flows.tests.conftest import make_server
from citronwinch.coordination.flows.tests.placement_model import (
    Placement,
    Traffic,
    wave,
)

ZONES = "abc"
SERVERS_PER_ZONE = 9
BALANCERS_PER_ZONE = 4
SPEEDS = (0.7, 0.7, 1.7)
"""The relative speeds of the servers, in repeating order."""
WORK_MS = 26
UTILIZATION = 0.68
SHORT_SHARE = 0.22
LONG_FLOWS = 200
WAVE_MS = 17_000
SETTLED_MS = 6_000
CALM_MS = 34_000
"""From when on all zones have the same demand."""
END_MS = 40_000


class Demand(NamedTuple):
    """How the demand of the zones differs."""

    amplitude: float
    """The amplitude of the waves; each zone's wave is a third of a period later."""

    first_factor: float
    """The factor of the first zone's demand."""


WAVES = Demand(0.55, 1.0)
ONE_ZONE = Demand(0.0, 1.55)


def make_scale(demand: Demand, index: int) -> Callable[[float], float]:
    waves = wave(demand.amplitude, WAVE_MS, index / len(ZONES))
    factor = demand.first_factor if index == 0 else 1.0
    return lambda now_ms: factor * waves(now_ms) if now_ms < CALM_MS else 1.0


def play(demand: Demand, *, reports_service_times: bool, seed: int = 1) -> Placement:
    servers = {
        make_server(n + 1, zone=ZONES[n // SERVERS_PER_ZONE]): 1 / SPEEDS[n % 3]
        for n in range(len(ZONES) * SERVERS_PER_ZONE)
    }
    rate = UTILIZATION * 1_000 / WORK_MS * SERVERS_PER_ZONE / len(SPEEDS) * sum(SPEEDS)
    traffic = {
        zone: Traffic(
            LONG_FLOWS,
            rate * (1 - SHORT_SHARE),
            rate * SHORT_SHARE,
            WORK_MS,
            scale=make_scale(demand, index),
        )
        for index, zone in enumerate(ZONES)
    }
    placement = Placement(
        servers,
        traffic,
        balancers=BALANCERS_PER_ZONE,
        reports_service_times=reports_service_times,
        seed=seed,
    )
    placement.run(SETTLED_MS)
    placement.outcomes.clear()
    placement.run(END_MS)
    return placement


def compute_remote_request_share(placement: Placement) -> float:
    remote = sum(
        number
        for second, number in placement.remote_requests.items()
        if second >= SETTLED_MS // 1_000
    )
    return remote / placement.outcomes.total()


def compute_remote_opening_share(
    placement: Placement, zones: str, seconds: range
) -> float:
    keys = [(zone, second) for zone in zones for second in seconds]
    remote = sum(placement.remote_openings[key] for key in keys)
    return remote / sum(placement.openings[key] for key in keys)


@pytest.mark.parametrize(
    "demand",
    [
        pytest.param(WAVES, id="waves out of phase"),
        pytest.param(ONE_ZONE, id="one zone has 55% more"),
    ],
)
def test_flows_leave_a_crowded_zone_and_the_next_ones_stay(demand: Demand) -> None:
    """Compares lateness and bytes between zones with the baseline's."""
    baseline, placement = (
        play(demand, reports_service_times=reports) for reports in (False, True)
    )
    late, baseline_late = (
        1 - run.compute_timely_share() for run in (placement, baseline)
    )
    assert late <= 0.5 * baseline_late
    remote_share = compute_remote_request_share(placement)
    assert remote_share <= compute_remote_request_share(baseline)
    calm = range(CALM_MS // 1_000 + 2, END_MS // 1_000)
    assert compute_remote_opening_share(placement, ZONES, calm) <= 0.02


def test_flows_of_zones_with_room_stay_while_another_zone_is_crowded() -> None:
    placement = play(ONE_ZONE, reports_service_times=True)
    crowded = range(SETTLED_MS // 1_000, CALM_MS // 1_000)
    assert compute_remote_opening_share(placement, "a", crowded) >= 0.05
    assert compute_remote_opening_share(placement, "bc", crowded) <= 0.05
