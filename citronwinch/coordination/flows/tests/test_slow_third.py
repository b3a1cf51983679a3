"""Ten servers of which three take 2.4 times as long for each request.

Guards against a choice that gives slow servers as many long flows as fast ones: their
requests can only go to the server of their flow, so that they are late although other
servers have room. The choice without service times is the baseline.
"""

from collections import Counter

import pytest

from citronwinch.coordination.flows.tests.conftest import make_server
from citronwinch.coordination.flows.tests.placement_model import (
    Placement,
    Traffic,
    wave,
)

SERVERS = 10
SLOW_SERVERS = 3
SLOWNESS = 2.4
WORK_MS = 26
SHORT_SHARE = 0.22
BALANCERS = 6
SETTLED_MS = 8_000
END_MS = 38_000
WAVE_MS = 17_000
SEEDS = (1, 2)


def make_traffic(
    utilization: float,
    *,
    slots: int = 2,
    flows: int = 200,
    amplitude: float = 0.0,
    long_request_share: float = 0.0,
) -> Traffic:
    fast, slow = SERVERS - SLOW_SERVERS, SLOW_SERVERS / SLOWNESS
    rate = utilization * 1_000 / WORK_MS * slots * (fast + slow)
    return Traffic(
        flows,
        rate * (1 - SHORT_SHARE),
        rate * SHORT_SHARE,
        WORK_MS,
        long_request_share=long_request_share,
        scale=wave(amplitude, WAVE_MS),
    )


def play(
    traffic: Traffic, slots: int, seed: int, *, reports_service_times: bool
) -> Placement:
    servers = {
        make_server(number)._replace(slots=slots): (
            SLOWNESS if number <= SLOW_SERVERS else 1.0
        )
        for number in range(1, SERVERS + 1)
    }
    placement = Placement(
        servers,
        {"a": traffic},
        balancers=BALANCERS,
        reports_service_times=reports_service_times,
        seed=seed,
    )
    placement.run(SETTLED_MS)
    placement.outcomes.clear()
    return placement


def compute_untimely_share(
    traffic: Traffic, slots: int, *, reports_service_times: bool
) -> float:
    outcomes: Counter[str] = Counter()
    for seed in SEEDS:
        placement = play(
            traffic, slots, seed, reports_service_times=reports_service_times
        )
        placement.run(END_MS)
        for (_, outcome), number in placement.outcomes.items():
            outcomes[outcome] += number
    return 1 - outcomes["timely"] / outcomes.total()


@pytest.mark.parametrize(
    ("traffic", "slots", "largest_share"),
    [
        pytest.param(make_traffic(0.92, flows=800), 2, 0.5, id="many flows"),
        pytest.param(make_traffic(0.85, amplitude=0.15), 2, 0.5, id="waves of 15%"),
        pytest.param(make_traffic(0.62, amplitude=0.55), 2, 0.5, id="waves of 55%"),
        pytest.param(make_traffic(0.85, slots=1), 1, 0.5, id="one slot"),
        pytest.param(
            make_traffic(0.68, amplitude=0.55, long_request_share=0.03),
            2,
            0.9,
            id="3% of requests take seven times as long",
        ),
    ],
)
def test_fewer_requests_are_late_with_service_times(
    traffic: Traffic, slots: int, largest_share: float
) -> None:
    """Compares the share of requests that are not in time with the baseline's."""
    baseline, share = (
        compute_untimely_share(traffic, slots, reports_service_times=reports)
        for reports in (False, True)
    )
    assert share <= largest_share * baseline


@pytest.mark.parametrize("flows", [200, 800])
def test_a_replaced_server_is_neither_flooded_nor_starved(flows: int) -> None:
    traffic = make_traffic(0.75, flows=flows)
    placement = play(traffic, 2, 1, reports_service_times=True)
    ip, replaced = next(
        (ip, model) for ip, model in placement.servers.items() if model.slowness == 1.0
    )
    even = flows / (SERVERS - SLOW_SERVERS + SLOW_SERVERS / SLOWNESS)
    placement.replace_server(ip)
    placement.outcomes.clear()
    most_flows = 0
    for step in range(1, 201):
        placement.run(SETTLED_MS + step * 50)
        most_flows = max(most_flows, replaced.flows)
    assert replaced.flows >= 0.75 * even
    assert most_flows <= 1.35 * even
    assert placement.compute_timely_share() >= 0.99
